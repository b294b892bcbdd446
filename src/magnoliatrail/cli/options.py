"""Flags and environment variables, generated from the settings schema."""

from collections.abc import Callable
from enum import Enum, EnumType
from typing import Any

import click
import msgspec
from msgspec.structs import FieldInfo, fields

from magnoliatrail.generated.settings import Settings
from magnoliatrail.settings import check_settings

ENVIRONMENT_PREFIX = "MAGNOLIATRAIL_"

Command = Callable[..., Any]


def flag_of(name: str) -> str:
    """Return the flag of a setting."""
    return "--" + name.replace("_", "-")


def variable_of(name: str) -> str:
    """Return the environment variable of a setting."""
    return ENVIRONMENT_PREFIX + name.upper()


def click_type(field: FieldInfo) -> click.ParamType[Any, Any]:
    """Return the click type of a setting."""
    kind: Any = getattr(field.type, "__origin__", field.type)
    if isinstance(kind, EnumType):
        return click.Choice([item.value for item in list[Enum](kind)])
    if kind is int:
        return click.INT
    return click.FLOAT if kind is float else click.STRING


def default_of(field: FieldInfo) -> object:
    """Return the default of a setting as it is written on the command line."""
    if field.default is msgspec.NODEFAULT:
        return None
    return field.default.value if isinstance(field.default, Enum) else field.default


def description_of(name: str) -> str:
    """Return the description of a setting from the schema."""
    properties = msgspec.json.schema(Settings)["$defs"]["Settings"]["properties"]
    text: str = properties[name].get("description", "")
    return text


def settings_options(command: Command) -> Command:
    """Add a flag and an environment variable for each setting."""
    for field in reversed(fields(Settings)):
        required = field.default is msgspec.NODEFAULT
        command = click.option(
            flag_of(field.name),
            field.name,
            type=click_type(field),
            envvar=variable_of(field.name),
            required=required,
            default=default_of(field),
            show_default=not required,
            show_envvar=True,
            help=description_of(field.name),
        )(command)
    return command


def settings_from(values: dict[str, Any]) -> Settings:
    """Return validated settings.

    Raises click.UsageError with the flag, the value and the remedy.
    """
    for name, value in values.items():
        check_one(name, value)
    settings = msgspec.convert(values, Settings)
    try:
        check_settings(settings)
    except ValueError as error:
        raise click.UsageError(str(error)) from error
    return settings


def check_one(name: str, value: object) -> None:
    """Validate one setting against the schema."""
    field = next(item for item in fields(Settings) if item.name == name)
    try:
        msgspec.convert(value, field.type)
    except msgspec.ValidationError as error:
        raise click.UsageError(
            f"{flag_of(name)} (or {variable_of(name)}) is {value!r}: {error}; "
            f"give a value that fits: {description_of(name)}"
        ) from error
