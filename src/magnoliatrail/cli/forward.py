"""The command `magnoliatrail forward`."""

import asyncio
import signal
import sys
from pathlib import Path

import click

from magnoliatrail.cli.exit_codes import ExitCode
from magnoliatrail.generated.settings import LogLevel
from magnoliatrail.log_output import BoundedOutput
from magnoliatrail.platform.protocol import SETTINGS_VARIABLE
from magnoliatrail.platform.settings_file import InstanceSettings, read_settings
from magnoliatrail.platform_daemon import PlatformDaemon

STANDARD_OUTPUT = 1


@click.command()
@click.option(
    "--settings",
    "path",
    envvar=SETTINGS_VARIABLE,
    required=True,
    type=click.Path(path_type=Path, dir_okay=False),
    help="Settings file of the platform.",
)
@click.option(
    "--log-level",
    envvar="MAGNOLIATRAIL_LOG_LEVEL",
    type=click.Choice([level.value for level in LogLevel]),
    default=LogLevel.INFO.value,
    show_default=True,
    help="Lowest log level that is written.",
)
def forward(path: Path, log_level: str) -> None:
    """Run one instance on the users' platform until SIGTERM.

    SIGHUP reloads the settings file.
    """
    try:
        settings = read_settings(path)
    except ValueError as error:
        raise click.ClickException(str(error)) from error
    BoundedOutput(STANDARD_OUTPUT, log_level.upper()).push_application()
    sys.exit(asyncio.run(run(settings, path)))


async def run(settings: InstanceSettings, path: Path) -> ExitCode:
    """Run an instance until SIGTERM or SIGINT, and shut it down gracefully."""
    daemon = PlatformDaemon(settings)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    # Before the listeners open, as a signal without a handler ends the process.
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, reload, daemon, path)
    try:
        await daemon.start()
    except OSError as error:
        click.echo(f"cannot listen: {error}; check the settings file", err=True)
        return ExitCode.FAILED
    await stop.wait()
    await daemon.stop()
    return ExitCode.OK


def reload(daemon: PlatformDaemon, path: Path) -> None:
    """Reload the settings; invalid ones are logged and not applied."""
    try:
        daemon.reload(read_settings(path))
    except ValueError as error:
        daemon.log_invalid_settings(str(error))
