"""Heartbeats between instances, which carry gossip about the fleet."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import TypeAlias

from expression import Ok, Result

from magnoliatrail.errors import Failure
from magnoliatrail.generated.membership import (
    Heartbeat,
    HeartbeatAnswer,
    MemberRecord,
)
from magnoliatrail.ids import InstanceId
from magnoliatrail.logs import EventLog
from magnoliatrail.membership.fleet import Fleet
from magnoliatrail.membership.neighbours import neighbours
from magnoliatrail.membership.suspicion import Suspicion
from magnoliatrail.peers.client import PeerClient
from magnoliatrail.periodic import PeriodicTasks
from magnoliatrail.wire import CallLimits

log = EventLog("peers")

CatchUp = Callable[[int, InstanceId], Awaitable[None]]
Message: TypeAlias = Heartbeat | HeartbeatAnswer

# Changes within this time are sent together.
GOSSIP_BATCH_DELAY = timedelta(milliseconds=20)
HEARTBEAT_RETRY_DELAY = timedelta(milliseconds=300)
HEARTBEAT_LIMITS = CallLimits(timedelta(seconds=1), timedelta(seconds=2))


@dataclass
class GossipLink:
    """Track the gossip exchanged with one run of a peer, in both directions."""

    incarnation: str
    sent_through: int = 0
    received_through: int = 0


class Heartbeats:
    """Send and answer the heartbeats of one instance."""

    def __init__(
        self,
        *,
        fleet: Fleet,
        suspicion: Suspicion,
        peers: PeerClient,
        tasks: PeriodicTasks,
        interval: timedelta,
        revision: Callable[[], int],
        renewals: Callable[[], int],
        catch_up: CatchUp,
    ) -> None:
        self.fleet = fleet
        self.suspicion = suspicion
        self.peers = peers
        self.tasks = tasks
        self.interval = interval
        self.revision = revision
        self.renewals = renewals
        self.catch_up = catch_up
        self.links: dict[InstanceId, GossipLink] = {}
        self.woken = asyncio.Event()
        self.heartbeats_sent = 0

    def wake(self) -> None:
        """Send the next round of heartbeats at once."""
        self.woken.set()

    async def run(self) -> None:
        """Send a round at every interval, and at once after a change."""
        while True:
            await self.send_round()
            try:
                async with asyncio.timeout(self.interval.total_seconds()):
                    await self.woken.wait()
                await self.fleet.clock.sleep(GOSSIP_BATCH_DELAY)
            except TimeoutError:
                pass
            self.woken.clear()

    async def send_round(self) -> None:
        """Send a heartbeat to every neighbour."""
        members = self.fleet.members
        chosen = neighbours(members.own, members.reachable().values())
        records = [members.records[name] for name in chosen]
        await asyncio.gather(*(self.send(record) for record in records))

    async def send(self, record: MemberRecord) -> None:
        """Send a heartbeat to one peer, and retry once if it does not answer."""
        if await self.exchange(record):
            return
        await self.fleet.clock.sleep(HEARTBEAT_RETRY_DELAY)
        await self.exchange(record)

    async def exchange(self, record: MemberRecord) -> bool:
        """Exchange gossip with one peer, and return whether it answered."""
        peer = InstanceId(record.instance)
        link = self.link(peer, record.incarnation)
        batch = self.fleet.gossip.after(link.sent_through, peer)
        heartbeat = Heartbeat(
            instance=self.fleet.members.own.instance,
            incarnation=self.fleet.members.own.incarnation,
            configuration_revision=self.revision(),
            renewals=self.renewals(),
            taken=link.received_through,
            members=batch.members,
            owners=batch.owners,
            leaving=self.fleet.servers.describe_leaving(),
            list_age_seconds=round(self.fleet.servers.list_age().total_seconds(), 3),
        )
        self.heartbeats_sent += 1
        url = f"{record.peer_url}/peer/heartbeat"
        match await self.peers.ask(url, heartbeat, HeartbeatAnswer, HEARTBEAT_LIMITS):
            case Result(tag="ok", ok=answer):
                self.apply_message(answer)
                if answer.incarnation == link.incarnation:
                    link.sent_through = max(link.sent_through, batch.through)
                    link.received_through = answer.through
                if not batch.complete:
                    self.wake()
                await self.catch_up(answer.configuration_revision, peer)
                return True
            case Result(error=failure):
                log.info("peer_silent", peer=peer, reason=failure.message)
                self.suspicion.record_miss(record)
                return False

    def link(self, peer: InstanceId, incarnation: str) -> GossipLink:
        """Return the gossip state for one run of a peer; a new run resets it."""
        link = self.links.get(peer)
        if link is None or link.incarnation != incarnation:
            link = GossipLink(incarnation)
            self.links[peer] = link
        return link

    def apply_message(self, message: Message) -> None:
        """Apply the gossip of a heartbeat or of its answer."""
        source = InstanceId(message.instance)
        self.suspicion.record_heartbeat(source, message.incarnation, message.renewals)
        changed = [self.fleet.members.merge(item, source) for item in message.members]
        changed += [self.fleet.apply_owner(row, source) for row in message.owners]
        list_age = timedelta(seconds=message.list_age_seconds)
        changed.append(self.fleet.servers.merge_peer_view(message.leaving, list_age))
        if any(changed):
            self.wake()

    async def answer(self, heartbeat: Heartbeat) -> Result[HeartbeatAnswer, Failure]:
        """Answer a peer's heartbeat; fetch a newer configuration in the background."""
        peer = InstanceId(heartbeat.instance)
        self.apply_message(heartbeat)
        if self.fleet.members.get(peer):
            revision = heartbeat.configuration_revision
            self.tasks.once(lambda: self.catch_up(revision, peer))
        batch = self.fleet.gossip.after(heartbeat.taken, peer)
        return Ok(
            HeartbeatAnswer(
                instance=self.fleet.members.own.instance,
                incarnation=self.fleet.members.own.incarnation,
                configuration_revision=self.revision(),
                renewals=self.renewals(),
                through=batch.through,
                members=batch.members,
                owners=batch.owners,
                leaving=self.fleet.servers.describe_leaving(),
                list_age_seconds=round(
                    self.fleet.servers.list_age().total_seconds(), 3
                ),
            )
        )
