import msgspec
import pytest

from magnoliatrail.config.changes import SCOPES_OF_SETTING, apply_change, setting_names
from magnoliatrail.config.in_force import initial_configuration
from magnoliatrail.config.resolve import Scopes, setting_of
from magnoliatrail.errors import ErrorKind
from magnoliatrail.generated.configuration import (
    Change,
    ChangeKind,
    ConfigurationException,
    ScopeKind,
)


def exception(**changes):
    fields = {
        "id": "x",
        "scope": ScopeKind.SERVICE,
        "name": "bookings",
        "setting": "idempotent",
        "value": "false",
        "reason": "a reason",
        "author": "a",
        "time": "t",
    }
    return ConfigurationException(**{**fields, **changes})


def added(*exceptions):
    configuration = initial_configuration()
    for item in exceptions:
        change = Change(kind=ChangeKind.ADD_EXCEPTION, exception=item)
        configuration = apply_change(configuration, change).ok
    return configuration


@pytest.mark.parametrize(
    "invalid",
    [
        {"reason": "  "},
        {"name": " "},
        {"value": "7"},
        {"value": "nonsense"},
        {"setting": "nothing"},
        {"scope": ScopeKind.CALLER},
        {"setting": "accept_work"},
        {"reason": "x" * 2000},
    ],
)
def test_an_invalid_exception_is_refused(invalid):
    change = Change(kind=ChangeKind.ADD_EXCEPTION, exception=exception(**invalid))
    failure = apply_change(initial_configuration(), change).error
    assert failure.kind is ErrorKind.INVALID_CONFIGURATION


@pytest.mark.parametrize("conflicting", [exception(name="other"), exception(id="y")])
def test_conflicting_exceptions_are_refused(conflicting):
    change = Change(kind=ChangeKind.ADD_EXCEPTION, exception=conflicting)
    assert apply_change(added(exception()), change).is_error()


@pytest.mark.parametrize("value", ['"text"', "-1", "0", "x"])
def test_a_default_outside_the_schemas_bounds_is_refused(value):
    change = Change(kind=ChangeKind.SET_DEFAULT, setting="loads_in_flight", value=value)
    assert apply_change(initial_configuration(), change).is_error()


def test_an_exception_overrides_the_default_in_its_scope_only():
    configuration = added(exception())
    assert not setting_of(configuration, "idempotent", bool, Scopes(service="bookings"))
    assert setting_of(configuration, "idempotent", bool, Scopes(service="other"))


def test_the_narrowest_exception_takes_precedence():
    narrow = exception(
        id="y", scope=ScopeKind.OPERATION, name="bookings/find", value="true"
    )
    configuration = added(exception(), narrow)
    scopes = Scopes(service="bookings", operation="bookings/find")
    assert setting_of(configuration, "idempotent", bool, scopes)


def test_removing_a_missing_exception_is_refused():
    change = Change(kind=ChangeKind.REMOVE_EXCEPTION, exception_id="x")
    assert apply_change(initial_configuration(), change).is_error()


def test_an_import_is_checked_like_single_edits():
    change = Change(
        kind=ChangeKind.REPLACE_ALL,
        defaults=initial_configuration().defaults,
        exceptions=[exception(), exception()],
    )
    assert apply_change(initial_configuration(), change).is_error()


def test_every_setting_with_restricted_scopes_exists():
    assert set(SCOPES_OF_SETTING) <= set(setting_names())


def test_a_change_round_trips_through_json():
    change = Change(kind=ChangeKind.ADD_EXCEPTION, exception=exception())
    assert msgspec.json.decode(msgspec.json.encode(change), type=Change) == change
