"""Messages between instances about the configuration."""

from collections.abc import Callable
from typing import Any

from expression import Result

from magnoliatrail.config.propagation import ConfigurationPropagation, PropagationLinks
from magnoliatrail.errors import Failure
from magnoliatrail.generated.configuration import (
    Configuration,
    ConfigurationEdit,
    ConfigurationPush,
    ConfigurationPushAnswer,
    ConfigurationRequest,
    FleetRevisionsRequest,
    HistoryRequest,
)
from magnoliatrail.ids import InstanceId
from magnoliatrail.peers.client import PeerClient
from magnoliatrail.peers.server import PeerRoute
from magnoliatrail.wire import CallLimits

CONFIGURATION_PATH = "/peer/configuration"
EDIT_PATH = "/peer/configuration/edit"
PUSH_PATH = "/peer/configuration/push"
HISTORY_PATH = "/peer/configuration/history"
IN_FORCE_PATH = "/peer/configuration/in-force"


def configuration_links(
    peers: Callable[[], list[InstanceId]],
    url_of: Callable[[InstanceId], str],
    client: PeerClient,
    limits: CallLimits,
) -> PropagationLinks:
    """Build the functions that propagate the configuration to peers."""

    async def push(
        peer: InstanceId, message: ConfigurationPush
    ) -> Result[ConfigurationPushAnswer, Failure]:
        url = url_of(peer) + PUSH_PATH
        return await client.ask(url, message, ConfigurationPushAnswer, limits)

    async def fetch(peer: InstanceId) -> Result[Configuration, Failure]:
        url = url_of(peer) + CONFIGURATION_PATH
        return await client.ask(url, ConfigurationRequest(), Configuration, limits)

    return PropagationLinks(push_targets=peers, all_peers=peers, push=push, fetch=fetch)


def configuration_routes(propagation: ConfigurationPropagation) -> list[PeerRoute[Any]]:
    """Return the peer listener's routes for the configuration."""
    return [
        PeerRoute(CONFIGURATION_PATH, ConfigurationRequest, propagation.answer_request),
        PeerRoute(EDIT_PATH, ConfigurationEdit, propagation.edit),
        PeerRoute(PUSH_PATH, ConfigurationPush, propagation.handle_push),
        PeerRoute(HISTORY_PATH, HistoryRequest, propagation.answer_history),
        PeerRoute(IN_FORCE_PATH, FleetRevisionsRequest, propagation.answer_in_force),
    ]
