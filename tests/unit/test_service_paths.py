from types import SimpleNamespace

import pytest

from magnoliatrail.entry.paths import service_path
from magnoliatrail.entry.services import is_idempotent
from magnoliatrail.generated.configuration import (
    Configuration,
    ConfigurationException,
    Defaults,
    ScopeKind,
)

NAMES = [
    ("/services/b/confirm", "confirm", "b/confirm"),
    ("/services/b/confirm/", "confirm/", "b/confirm"),
    ("/services/b/%63onfirm", "%63onfirm", "b/confirm"),
    ("/services/b/confirm;v=1", "confirm;v=1", "b/confirm"),
    ("/services/b/", "", "b"),
    ("/services/b/a%20b/c", "a%20b/c", "b/a b/c"),
]


@pytest.mark.parametrize(("path", "sent", "name"), NAMES)
def test_equivalent_paths_name_the_same_operation(path, sent, name):
    read = service_path(path).ok
    assert (read.service, read.upstream_path, read.operation_name) == ("b", sent, name)


def declared(*exceptions):
    items = [
        ConfigurationException(
            id=f"e{number}",
            scope=scope,
            name=name,
            setting="idempotent",
            value=value,
            reason="r",
            author="a",
            time="2026-01-01T00:00:00+00:00",
        )
        for number, (scope, name, value) in enumerate(exceptions)
    ]
    return Configuration(revision=1, edit_id="e", defaults=Defaults(), exceptions=items)


def idempotent(configuration, method, path):
    request = SimpleNamespace(method=method, context=SimpleNamespace(caller="c"))
    return is_idempotent(configuration, request, service_path(path).ok)


def test_an_exception_for_a_method_overrides_one_for_the_path():
    configuration = declared(
        (ScopeKind.SERVICE, "b", "false"),
        (ScopeKind.OPERATION, "b/confirm", "false"),
        (ScopeKind.OPERATION, "GET b/confirm", "true"),
    )
    assert idempotent(configuration, "GET", "/services/b/confirm")
    assert not idempotent(configuration, "POST", "/services/b/confirm")
    assert not idempotent(configuration, "POST", "/services/b/%63onfirm/")
    assert not idempotent(configuration, "GET", "/services/b/other")
    assert idempotent(configuration, "POST", "/services/other/confirm")
