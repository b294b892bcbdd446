"""Heartbeats between instances."""

import asyncio
from collections.abc import Awaitable, Callable

from expression import Ok, Result

from magnoliatrail.errors import Failure
from magnoliatrail.generated.membership import Heartbeat, HeartbeatAnswer, SessionRow
from magnoliatrail.ids import Incarnation, InstanceId
from magnoliatrail.logs import EventLog
from magnoliatrail.membership.fleet import Fleet
from magnoliatrail.peers.client import PeerClient
from magnoliatrail.periodic import PeriodicTasks
from magnoliatrail.wire import CallLimits

log = EventLog("peers")

CatchUp = Callable[[int, InstanceId], Awaitable[None]]


class Heartbeats:
    """Send and answer the heartbeats of one instance."""

    def __init__(
        self,
        *,
        instance: InstanceId,
        incarnation: Incarnation,
        fleet: Fleet,
        peers: PeerClient,
        limits: CallLimits,
        tasks: PeriodicTasks,
        revision: Callable[[], int],
        catch_up: CatchUp,
    ) -> None:
        self.instance = instance
        self.incarnation = incarnation
        self.fleet = fleet
        self.peers = peers
        self.limits = limits
        self.tasks = tasks
        self.revision = revision
        self.catch_up = catch_up

    async def send_all(self) -> None:
        """Send a heartbeat to every peer."""
        peers = [row for name, row in self.fleet.sessions.items()]
        await asyncio.gather(
            *(self.send(row) for row in peers if row.instance != self.instance)
        )

    async def send(self, peer: SessionRow) -> None:
        """Send a heartbeat to one peer, and catch up with its configuration."""
        heartbeat = Heartbeat(
            instance=self.instance,
            incarnation=self.incarnation,
            configuration_revision=self.revision(),
        )
        url = f"{peer.peer_url}/peer/heartbeat"
        match await self.peers.ask(url, heartbeat, HeartbeatAnswer, self.limits):
            case Result(tag="ok", ok=answer):
                peer_id = InstanceId(peer.instance)
                await self.catch_up(answer.configuration_revision, peer_id)
            case Result(error=failure):
                log.warning("peer_silent", peer=peer.instance, reason=failure.message)

    async def answer(self, heartbeat: Heartbeat) -> Result[HeartbeatAnswer, Failure]:
        """Answer a peer's heartbeat, and catch up without delaying the answer."""
        revision = heartbeat.configuration_revision
        peer = InstanceId(heartbeat.instance)
        self.tasks.once(lambda: self.catch_up(revision, peer))
        return Ok(
            HeartbeatAnswer(
                instance=self.instance,
                incarnation=self.incarnation,
                configuration_revision=self.revision(),
            )
        )
