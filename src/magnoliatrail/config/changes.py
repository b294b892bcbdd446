"""Validation and application of configuration changes."""

import msgspec
from expression import Error, Ok, Result
from msgspec.structs import fields, replace

from magnoliatrail.config.resolve import setting_type
from magnoliatrail.errors import ErrorKind, Failure
from magnoliatrail.generated.configuration import (
    Change,
    ChangeKind,
    Configuration,
    ConfigurationException,
    Defaults,
    ScopeKind,
)

MAX_EXCEPTIONS = 500
MAX_TEXT_CHARS = 1000
NO_SCOPES: frozenset[ScopeKind] = frozenset()
ALL_SCOPES = frozenset(ScopeKind)

# A setting that is not listed accepts exceptions in every scope.
SCOPES_OF_SETTING = {
    "accept_work": NO_SCOPES,
    "loads_per_second": NO_SCOPES,
    "load_burst": NO_SCOPES,
    "loads_in_flight": NO_SCOPES,
    "retry_share": NO_SCOPES,
    "operation_retention_seconds": NO_SCOPES,
    "idempotent": frozenset({ScopeKind.OPERATION, ScopeKind.SERVICE}),
    "engine_checks_fencing": frozenset(
        {ScopeKind.BASE_MODEL, ScopeKind.FAILURE_DOMAIN}
    ),
}


def setting_names() -> list[str]:
    """Return the names of all defaults."""
    return [field.name for field in fields(Defaults)]


def apply_change(
    current: Configuration, change: Change
) -> Result[Configuration, Failure]:
    """Validate and apply a change; the revision stays the same."""
    match change.kind:
        case ChangeKind.SET_DEFAULT:
            return set_default(current, change.setting, change.value)
        case ChangeKind.ADD_EXCEPTION:
            return add_exception(current, change.exception)
        case ChangeKind.REMOVE_EXCEPTION:
            return remove_exception(current, change.exception_id)
        case ChangeKind.REPLACE_ALL:
            return replace_all(current, change)


def set_default(
    current: Configuration, setting: str, value: str
) -> Result[Configuration, Failure]:
    """Set one default."""
    return decode_value(setting, value).map(
        lambda decoded: replace(
            current, defaults=replace(current.defaults, **{setting: decoded})
        )
    )


def decode_value(setting: str, value: str) -> Result[object, Failure]:
    """Decode the JSON text of a setting's value."""
    if setting not in setting_names():
        known = ", ".join(setting_names())
        return Error(
            invalid_edit(f"setting {setting!r} is unknown; choose from {known}")
        )
    try:
        return Ok(msgspec.json.decode(value, type=setting_type(setting)))
    except msgspec.DecodeError as error:
        return Error(invalid_edit(f"value {value!r} of setting {setting}: {error}"))


def add_exception(
    current: Configuration, exception: ConfigurationException | None
) -> Result[Configuration, Failure]:
    """Add one exception."""
    if exception is None:
        return Error(invalid_edit("the edit names no exception"))
    problem = exception_problem(exception) or find_conflict(
        current.exceptions, exception
    )
    if problem:
        return Error(invalid_edit(problem))
    return Ok(replace(current, exceptions=[*current.exceptions, exception]))


def exception_problem(exception: ConfigurationException) -> str | None:
    """Return why an exception is invalid by itself, None if it is valid."""
    if not exception.reason.strip():
        return f"exception {exception.id!r} has no written reason"
    if not exception.name.strip():
        return f"exception {exception.id!r} names nothing that it applies to"
    texts = (exception.id, exception.name, exception.reason, exception.author)
    if max(len(text) for text in texts) > MAX_TEXT_CHARS:
        return f"a text of exception {exception.id!r} is over {MAX_TEXT_CHARS} letters"
    match decode_value(exception.setting, exception.value):
        case Result(tag="error", error=failure):
            return failure.message
    allowed = SCOPES_OF_SETTING.get(exception.setting, ALL_SCOPES)
    if exception.scope not in allowed:
        names = ", ".join(sorted(allowed)) or "none: it is for the whole fleet"
        return (
            f"setting {exception.setting} cannot be excepted by {exception.scope}; "
            f"allowed scopes: {names}"
        )
    return None


def find_conflict(
    present: list[ConfigurationException], exception: ConfigurationException
) -> str | None:
    """Return why an exception conflicts with the present ones, None if it does not."""
    if len(present) >= MAX_EXCEPTIONS:
        return f"there are {len(present)} exceptions already; change a default instead"
    for other in present:
        if other.id == exception.id:
            return f"exception {exception.id!r} exists; remove it first"
        if exception_target(other) == exception_target(exception):
            return f"exception {other.id!r} already sets this; remove it first"
    return None


def exception_target(exception: ConfigurationException) -> tuple[str, ScopeKind, str]:
    """Return the setting, the scope and the name that an exception applies to."""
    return (exception.setting, exception.scope, exception.name)


def remove_exception(
    current: Configuration, exception_id: str
) -> Result[Configuration, Failure]:
    """Remove one exception."""
    kept = [item for item in current.exceptions if item.id != exception_id]
    if len(kept) == len(current.exceptions):
        return Error(invalid_edit(f"there is no exception {exception_id!r}"))
    return Ok(replace(current, exceptions=kept))


def replace_all(
    current: Configuration, change: Change
) -> Result[Configuration, Failure]:
    """Replace all defaults and exceptions by imported ones."""
    if change.defaults is None:
        return Error(invalid_edit("the import has no defaults"))
    replaced = replace(current, defaults=change.defaults, exceptions=[])
    for exception in change.exceptions:
        match add_exception(replaced, exception):
            case Result(tag="ok", ok=added):
                replaced = added
            case Result(error=failure):
                return Error(failure)
    return Ok(replaced)


def invalid_edit(message: str) -> Failure:
    """Return the failure for an invalid edit."""
    return Failure(ErrorKind.INVALID_CONFIGURATION, message)


def describe_change(change: Change) -> str:
    """Describe a change in one line for operators."""
    match change.kind:
        case ChangeKind.SET_DEFAULT:
            return f"set {change.setting} to {change.value}"
        case ChangeKind.ADD_EXCEPTION if change.exception:
            added = change.exception
            return (
                f"add exception {added.id}: {added.setting} is {added.value} for "
                f"{added.scope} {added.name} ({added.reason})"
            )
        case ChangeKind.REMOVE_EXCEPTION:
            return f"remove exception {change.exception_id}"
        case _:
            return f"replace all, with {len(change.exceptions)} exceptions"
