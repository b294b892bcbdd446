"""The command `magnoliatrail serve`."""

import asyncio
import signal
import sys
from datetime import timedelta
from typing import Any

import click

from magnoliatrail.cli.exit_codes import ExitCode
from magnoliatrail.cli.options import settings_from, settings_options
from magnoliatrail.daemon import Daemon
from magnoliatrail.generated.settings import Settings
from magnoliatrail.logs import log_to_stderr


@click.command()
@settings_options
def serve(**values: Any) -> None:
    """Run one instance until SIGTERM or SIGINT.

    The first signal shuts down gracefully: requests in flight are finished.
    A second one ends the process at once.
    """
    settings = settings_from(values)
    log_to_stderr(settings.log_level)
    sys.exit(asyncio.run(run(settings)))


async def run(settings: Settings) -> ExitCode:
    """Run an instance until a signal, and shut it down gracefully."""
    daemon = Daemon(settings)
    try:
        await daemon.start()
    except OSError as error:
        click.echo(f"cannot listen: {error}; choose another --port", err=True)
        return ExitCode.FAILED
    stop = asyncio.Event()
    force = asyncio.Event()
    watch_signals(stop, force)
    await stop.wait()
    limit = timedelta(seconds=settings.shutdown_seconds)
    return await shut_down(daemon, force, limit)


def watch_signals(stop: asyncio.Event, force: asyncio.Event) -> None:
    """Set `stop` at the first signal and `force` at the second."""

    def on_signal() -> None:
        if stop.is_set():
            force.set()
        stop.set()

    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, on_signal)


async def shut_down(daemon: Daemon, force: asyncio.Event, limit: timedelta) -> ExitCode:
    """Shut down gracefully, or stop waiting when forced or after the limit."""
    graceful = asyncio.create_task(daemon.shutdown())
    forced = asyncio.create_task(force.wait())
    done, _ = await asyncio.wait(
        {graceful, forced},
        timeout=limit.total_seconds(),
        return_when=asyncio.FIRST_COMPLETED,
    )
    if graceful in done:
        forced.cancel()
        graceful.result()
        return ExitCode.OK
    return ExitCode.FAILED
