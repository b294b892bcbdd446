"""Calls from the command line to an instance."""

import asyncio
import sys
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import Any, NoReturn, TypeVar

import click
from expression import Result

from magnoliatrail.cli.exit_codes import ExitCode
from magnoliatrail.errors import ErrorKind, Failure, retry_after_of
from magnoliatrail.peers.client import PeerClient
from magnoliatrail.wire import CallLimits

T = TypeVar("T")
Command = Callable[..., Any]

LIMITS = CallLimits(timedelta(seconds=2), timedelta(seconds=30))
EXIT_CODES = {
    ErrorKind.CONFLICT: ExitCode.CONFLICT,
    ErrorKind.PEER_UNAVAILABLE: ExitCode.UNAVAILABLE,
    ErrorKind.TABLE_UNAVAILABLE: ExitCode.UNAVAILABLE,
    ErrorKind.TABLE_OUTCOME_UNKNOWN: ExitCode.UNAVAILABLE,
}


@dataclass(frozen=True, slots=True)
class Instance:
    """The instance that a command calls."""

    peer_url: str
    peer_token: str

    def ask(self, path: str, message: object, answer_type: type[T]) -> T:
        """Send a message and return the answer, or exit with an error."""

        async def send() -> Result[T, Failure]:
            peers = PeerClient(self.peer_token)
            return await peers.ask(self.peer_url + path, message, answer_type, LIMITS)

        result = asyncio.run(send())
        if result.is_error():
            fail(result.error)
        return result.ok


def fail(failure: Failure) -> NoReturn:
    """Print a failure and its remedy, and exit."""
    click.echo(f"{failure.kind.value}: {failure.message}", err=True)
    click.echo(f"remedy: {failure.rule.remedy}", err=True)
    retry_after = retry_after_of(failure)
    if retry_after:
        click.echo(f"retry after: {retry_after.total_seconds():g} s", err=True)
    sys.exit(EXIT_CODES.get(failure.kind, ExitCode.FAILED))


def instance_options(command: Command) -> Command:
    """Add the flags that select an instance."""
    command = click.option(
        "--peer-token",
        envvar="MAGNOLIATRAIL_PEER_TOKEN",
        show_envvar=True,
        required=True,
        help="Shared secret of the fleet.",
    )(command)
    return click.option(
        "--peer-url",
        envvar="MAGNOLIATRAIL_PEER_URL",
        show_envvar=True,
        required=True,
        help="Address of any instance's listener for peers.",
    )(command)
