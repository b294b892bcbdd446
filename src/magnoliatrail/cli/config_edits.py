"""The commands `magnoliatrail config ...` that edit the configuration."""

import getpass
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click
import msgspec

from magnoliatrail.cli.instance import Instance
from magnoliatrail.clock import SystemClock
from magnoliatrail.config.changes import setting_names
from magnoliatrail.generated.configuration import (
    AcceptedEdit,
    Change,
    ChangeKind,
    ConfigurationEdit,
    ConfigurationException,
    ConfigurationExport,
    ScopeKind,
)
from magnoliatrail.ids import new_write_id
from magnoliatrail.peers.configuration import EDIT_PATH

Command = Callable[..., Any]


def edit_options(command: Command) -> Command:
    """Add the flags that all edits share."""
    command = click.option(
        "--expect",
        type=click.IntRange(0),
        help="Accept the edit only on this revision, else end with a conflict.",
    )(command)
    command = click.option(
        "--edit-id",
        help="Id of an edit whose answer was lost, to send it again safely.",
    )(command)
    return click.option(
        "--author",
        envvar="MAGNOLIATRAIL_AUTHOR",
        default=getpass.getuser,
        help="Who edits; the login name by default.",
    )(command)


def send(
    instance: Instance,
    change: Change,
    *,
    author: str,
    expect: int | None,
    edit_id: str | None,
) -> None:
    """Send an edit and print the resulting revision."""
    edit = ConfigurationEdit(
        edit_id=edit_id or new_write_id(),
        author=author,
        time=SystemClock().now().isoformat(),
        expected_revision=expect,
        change=change,
    )
    click.echo(f"edit {edit.edit_id}", err=True)
    accepted = instance.ask(EDIT_PATH, edit, AcceptedEdit)
    click.echo(f"accepted as revision {accepted.revision}")


@click.command("set")
@click.argument("setting", type=click.Choice(setting_names()))
@click.argument("value")
@edit_options
@click.pass_obj
def set_(instance: Instance, /, setting: str, value: str, **edit: Any) -> None:
    """Set a default; VALUE is JSON, such as 4.5 or true."""
    change = Change(kind=ChangeKind.SET_DEFAULT, setting=setting, value=value)
    send(instance, change, **edit)


@click.command("add")
@click.argument("exception_id")
@click.option("--scope", type=click.Choice([s.value for s in ScopeKind]), required=True)
@click.option("--name", required=True, help="What the exception applies to.")
@click.option("--setting", type=click.Choice(setting_names()), required=True)
@click.option("--value", required=True, help="JSON, such as 4.5 or true.")
@click.option("--reason", required=True, help="Why; an exception needs a reason.")
@edit_options
@click.pass_obj
def add(
    instance: Instance,
    /,
    exception_id: str,
    scope: str,
    name: str,
    setting: str,
    value: str,
    reason: str,
    author: str,
    **edit: Any,
) -> None:
    """Add an exception."""
    try:
        exception = msgspec.convert(
            {
                "id": exception_id,
                "scope": scope,
                "name": name,
                "setting": setting,
                "value": value,
                "reason": reason,
                "author": author,
                "time": SystemClock().now().isoformat(),
            },
            ConfigurationException,
        )
    except msgspec.ValidationError as error:
        raise click.UsageError(f"{error}; give a longer text") from error
    change = Change(kind=ChangeKind.ADD_EXCEPTION, exception=exception)
    send(instance, change, author=author, **edit)


@click.command("remove")
@click.argument("exception_id")
@edit_options
@click.pass_obj
def remove(instance: Instance, /, exception_id: str, **edit: Any) -> None:
    """Remove an exception."""
    change = Change(kind=ChangeKind.REMOVE_EXCEPTION, exception_id=exception_id)
    send(instance, change, **edit)


def change_from(file: Path) -> Change:
    """Return the change that imports an exported file.

    Raises click.UsageError if the file is not an export.
    """
    try:
        document = msgspec.json.decode(file.read_bytes(), type=ConfigurationExport)
    except msgspec.DecodeError as error:
        raise click.UsageError(f"{file}: {error}; give an exported file") from error
    return Change(
        kind=ChangeKind.REPLACE_ALL,
        defaults=document.configuration.defaults,
        exceptions=document.configuration.exceptions,
    )


@click.command("import")
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@edit_options
@click.pass_obj
def import_(instance: Instance, /, file: Path, **edit: Any) -> None:
    """Replace defaults and exceptions by those of an exported file."""
    send(instance, change_from(file), **edit)


@click.command("switch-off")
@edit_options
@click.pass_obj
def switch_off(instance: Instance, /, **edit: Any) -> None:
    """Refuse all new work; requests in flight are finished."""
    change = Change(kind=ChangeKind.SET_DEFAULT, setting="accept_work", value="false")
    send(instance, change, **edit)


@click.command("switch-on")
@edit_options
@click.pass_obj
def switch_on(instance: Instance, /, **edit: Any) -> None:
    """Accept work again."""
    change = Change(kind=ChangeKind.SET_DEFAULT, setting="accept_work", value="true")
    send(instance, change, **edit)
