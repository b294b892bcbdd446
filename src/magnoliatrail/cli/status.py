"""The command `magnoliatrail status`."""

import asyncio
import sys
from datetime import timedelta

import click
import msgspec
from expression import Result

from magnoliatrail.cli.exit_codes import ExitCode
from magnoliatrail.generated.membership import InstanceStatus
from magnoliatrail.peers.client import PeerClient
from magnoliatrail.wire import CallLimits

LIMITS = CallLimits(timedelta(seconds=2), timedelta(seconds=5))


@click.command()
@click.option("--peer-url", envvar="MAGNOLIATRAIL_PEER_URL", required=True)
@click.option("--peer-token", envvar="MAGNOLIATRAIL_PEER_TOKEN", required=True)
def status(peer_url: str, peer_token: str) -> None:
    """Print what one instance knows, as JSON."""
    sys.exit(asyncio.run(print_status(peer_url, peer_token)))


async def print_status(peer_url: str, peer_token: str) -> ExitCode:
    """Ask one instance for its status and print it."""
    peers = PeerClient(peer_token)
    url = f"{peer_url}/peer/status"
    match await peers.ask(url, {}, InstanceStatus, LIMITS):
        case Result(tag="ok", ok=answer):
            click.echo(msgspec.json.format(msgspec.json.encode(answer)).decode())
            return ExitCode.OK
        case Result(error=failure):
            click.echo(f"{peer_url}: {failure.message}", err=True)
            return ExitCode.UNAVAILABLE
