"""The command `magnoliatrail status`."""

import click
import msgspec

from magnoliatrail.cli.instance import Instance, instance_options
from magnoliatrail.generated.membership import InstanceStatus


@click.command()
@instance_options
def status(peer_url: str, peer_token: str) -> None:
    """Print the status of one instance as JSON."""
    instance = Instance(peer_url, peer_token)
    answer = instance.ask("/peer/status", {}, InstanceStatus)
    click.echo(msgspec.json.format(msgspec.json.encode(answer)).decode())
