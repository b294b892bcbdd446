"""How instances tell each other of the configuration."""

from collections.abc import Callable
from typing import Any

from expression import Result

from magnoliatrail.config.spread import ConfigurationSpread, SpreadLinks
from magnoliatrail.errors import Failure
from magnoliatrail.generated.configuration import (
    Configuration,
    ConfigurationEdit,
    ConfigurationPush,
    ConfigurationPushAnswer,
    ConfigurationRequest,
    HistoryRequest,
    InForceRequest,
)
from magnoliatrail.ids import InstanceId
from magnoliatrail.peers.client import PeerClient
from magnoliatrail.peers.server import PeerRoute
from magnoliatrail.wire import CallLimits

CONFIGURATION = "/peer/configuration"
EDIT = "/peer/configuration/edit"
PUSH = "/peer/configuration/push"
HISTORY = "/peer/configuration/history"
IN_FORCE = "/peer/configuration/in-force"


def configuration_links(
    peers: Callable[[], list[InstanceId]],
    url_of: Callable[[InstanceId], str],
    client: PeerClient,
    limits: CallLimits,
) -> SpreadLinks:
    """Return the functions by which the configuration reaches peers."""

    async def push(
        peer: InstanceId, message: ConfigurationPush
    ) -> Result[ConfigurationPushAnswer, Failure]:
        url = url_of(peer) + PUSH
        return await client.ask(url, message, ConfigurationPushAnswer, limits)

    async def fetch(peer: InstanceId) -> Result[Configuration, Failure]:
        url = url_of(peer) + CONFIGURATION
        return await client.ask(url, ConfigurationRequest(), Configuration, limits)

    return SpreadLinks(push_targets=peers, all_peers=peers, push=push, fetch=fetch)


def configuration_routes(spread: ConfigurationSpread) -> list[PeerRoute[Any]]:
    """Return what the peer listener serves about the configuration."""
    return [
        PeerRoute(CONFIGURATION, ConfigurationRequest, spread.answer_request),
        PeerRoute(EDIT, ConfigurationEdit, spread.edit),
        PeerRoute(PUSH, ConfigurationPush, spread.receive),
        PeerRoute(HISTORY, HistoryRequest, spread.answer_history),
        PeerRoute(IN_FORCE, InForceRequest, spread.answer_in_force),
    ]
