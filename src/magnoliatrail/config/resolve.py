"""Resolution of settings: exceptions override defaults within their scope."""

from dataclasses import dataclass
from typing import Any, TypeVar

import msgspec
from msgspec.structs import fields

from magnoliatrail.generated.configuration import (
    Configuration,
    ConfigurationException,
    Defaults,
    ScopeKind,
)

T = TypeVar("T")

# An exception with a narrower scope overrides one with a wider scope.
SCOPES_NARROWEST_FIRST = [
    ScopeKind.OPERATION,
    ScopeKind.ADAPTER,
    ScopeKind.CALLER,
    ScopeKind.SERVICE,
    ScopeKind.BASE_MODEL,
    ScopeKind.FAILURE_DOMAIN,
]


@dataclass(frozen=True, slots=True)
class Scopes:
    """Name what a setting is resolved for; empty fields match no exception."""

    caller: str = ""
    adapter: str = ""
    base_model: str = ""
    operation: str = ""
    service: str = ""
    failure_domain: str = ""


def setting_type(setting: str) -> Any:
    """Return the annotated type of a setting, with its bounds from the schema."""
    return next(field.type for field in fields(Defaults) if field.name == setting)


def applies(exception: ConfigurationException, scopes: Scopes) -> bool:
    """Return whether an exception applies to the given scopes."""
    named: str = getattr(scopes, exception.scope.value)
    return exception.name == named


def setting_of(
    configuration: Configuration, setting: str, value_type: type[T], scopes: Scopes
) -> T:
    """Return the value of a setting for the given scopes."""
    assert setting in Defaults.__struct_fields__, setting
    matching = [
        exception
        for exception in configuration.exceptions
        if exception.setting == setting and applies(exception, scopes)
    ]
    if not matching:
        value: T = getattr(configuration.defaults, setting)
        return value
    narrowest = min(matching, key=lambda item: SCOPES_NARROWEST_FIRST.index(item.scope))
    return msgspec.json.decode(narrowest.value, type=value_type)
