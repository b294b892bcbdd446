"""The commands `magnoliatrail config ...` that read the configuration."""

import sys
import time
from datetime import timedelta
from pathlib import Path

import click
import msgspec
from expression import Result
from msgspec.structs import asdict

from magnoliatrail.cli.config_edits import (
    add,
    change_from,
    import_,
    remove,
    set_,
    switch_off,
    switch_on,
)
from magnoliatrail.cli.exit_codes import ExitCode
from magnoliatrail.cli.instance import Instance, fail, instance_options
from magnoliatrail.config.changes import describe_change, replace_all, setting_names
from magnoliatrail.config.in_force import initial_configuration
from magnoliatrail.generated.configuration import (
    AcceptedEdit,
    Configuration,
    ConfigurationException,
    ConfigurationExport,
    ConfigurationRequest,
    FleetRevisions,
    FleetRevisionsRequest,
    History,
    HistoryRequest,
)
from magnoliatrail.peers.configuration import (
    CONFIGURATION_PATH,
    HISTORY_PATH,
    IN_FORCE_PATH,
)

REVISIONS_PER_HISTORY_REQUEST = 32
WAIT_INTERVAL = timedelta(milliseconds=200)


@click.group()
@instance_options
@click.pass_context
def config(context: click.Context, peer_url: str, peer_token: str) -> None:
    """Show and edit the fleet's defaults and exceptions.

    Use any instance: an accepted edit is in force at all of them within seconds. If
    two edits with the same --expect race, one gets a conflict (exit code 4).
    """
    context.obj = Instance(peer_url, peer_token)


def read(instance: Instance) -> Configuration:
    """Read the configuration in force at an instance."""
    return instance.ask(CONFIGURATION_PATH, ConfigurationRequest(), Configuration)


def read_history(instance: Instance, after: int, up_to: int) -> list[AcceptedEdit]:
    """Read all retained edits after one revision up to another."""
    edits: list[AcceptedEdit] = []
    for first in range(after, up_to, REVISIONS_PER_HISTORY_REQUEST):
        last = min(first + REVISIONS_PER_HISTORY_REQUEST, up_to)
        request = HistoryRequest(after=first, up_to=last)
        edits.extend(instance.ask(HISTORY_PATH, request, History).edits)
    return edits


def print_exception(exception: ConfigurationException) -> None:
    """Print one exception."""
    click.echo(
        f"{exception.id}: {exception.setting} = {exception.value} "
        f"for {exception.scope} {exception.name}"
    )
    click.echo(f"    {exception.reason} ({exception.author}, {exception.time})")


def print_edits(edits: list[AcceptedEdit]) -> None:
    """Print edits, one per line."""
    for item in edits:
        what = describe_change(item.edit.change)
        click.echo(f"{item.revision} {item.edit.time} {item.edit.author}: {what}")


@config.command()
@click.pass_obj
def show(instance: Instance) -> None:
    """Print all defaults and exceptions."""
    configuration = read(instance)
    click.echo(f"revision {configuration.revision}")
    for name, value in asdict(configuration.defaults).items():
        click.echo(f"{name} = {msgspec.json.encode(value).decode()}")
    for exception in configuration.exceptions:
        print_exception(exception)


@config.command()
@click.argument("setting", type=click.Choice(setting_names()))
@click.pass_obj
def get(instance: Instance, setting: str) -> None:
    """Print one default as JSON, and the exceptions from it."""
    configuration = read(instance)
    value = getattr(configuration.defaults, setting)
    click.echo(msgspec.json.encode(value).decode())
    for exception in configuration.exceptions:
        if exception.setting == setting:
            print_exception(exception)


@config.group("except")
def exceptions() -> None:
    """Add, remove and list exceptions; each has a written reason."""


@exceptions.command("list")
@click.pass_obj
def list_(instance: Instance) -> None:
    """Print all exceptions."""
    for exception in read(instance).exceptions:
        print_exception(exception)


@config.command()
@click.option("--last", type=click.IntRange(1), default=20, show_default=True)
@click.pass_obj
def history(instance: Instance, last: int) -> None:
    """Print the last accepted edits."""
    revision = read(instance).revision
    print_edits(read_history(instance, max(0, revision - last), revision))


@config.command()
@click.argument("older", type=click.IntRange(0))
@click.argument("newer", type=click.IntRange(0))
@click.pass_obj
def diff(instance: Instance, older: int, newer: int) -> None:
    """Print the edits that lead from one revision to another."""
    if older > newer:
        raise click.UsageError(f"OLDER is {older}: give a revision up to {newer}")
    print_edits(read_history(instance, older, newer))


@config.command()
@click.option("--output", type=click.Path(dir_okay=False, path_type=Path))
@click.pass_obj
def export(instance: Instance, output: Path | None) -> None:
    """Write the configuration and its history as JSON."""
    configuration = read(instance)
    edits = read_history(instance, 0, configuration.revision)
    document = ConfigurationExport(configuration=configuration, history=edits)
    text = msgspec.json.format(msgspec.json.encode(document)).decode()
    if output is None:
        click.echo(text)
    else:
        output.write_text(text + "\n")


@config.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
def check(file: Path) -> None:
    """Check an exported file without importing it."""
    match replace_all(initial_configuration(), change_from(file)):
        case Result(tag="ok"):
            click.echo(f"{file} can be imported")
        case Result(error=failure):
            fail(failure)


@config.command()
@click.option("--revision", type=click.IntRange(0), required=True)
@click.option("--timeout-seconds", type=click.FloatRange(0), default=30.0)
@click.pass_obj
def wait(instance: Instance, revision: int, timeout_seconds: float) -> None:
    """Wait until a revision is in force at every instance."""
    until = time.monotonic() + timeout_seconds
    while True:
        everywhere = instance.ask(
            IN_FORCE_PATH, FleetRevisionsRequest(), FleetRevisions
        )
        behind = [
            item.instance
            for item in everywhere.instances
            if item.revision is None or item.revision < revision
        ]
        if not behind:
            count = len(everywhere.instances)
            click.echo(f"revision {revision} is in force at {count} instances")
            return
        if time.monotonic() >= until:
            click.echo(f"not yet in force at: {', '.join(behind)}", err=True)
            sys.exit(ExitCode.UNAVAILABLE)
        time.sleep(WAIT_INTERVAL.total_seconds())


for command in (set_, import_, switch_off, switch_on):
    config.add_command(command)
for command in (add, remove):
    exceptions.add_command(command)
