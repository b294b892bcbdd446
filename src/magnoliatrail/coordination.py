"""Membership, ownership and peer communication of one instance."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any

from expression import Result
from msgspec.structs import replace

from magnoliatrail.clock import Clock
from magnoliatrail.engines.adoption import Adoption
from magnoliatrail.engines.claims import Claims
from magnoliatrail.engines.owned import NewOwner, OwnedEngines
from magnoliatrail.engines.owner import EngineOwner
from magnoliatrail.engines.permits import PermitHolder
from magnoliatrail.errors import Failure
from magnoliatrail.generated.membership import (
    Handover,
    HandoverAnswer,
    Heartbeat,
    HeartbeatAnswer,
    MemberRecord,
    MemberState,
    SessionRow,
    TakeoverInquiry,
)
from magnoliatrail.generated.permits import PermitRecall, PermitRequest
from magnoliatrail.generated.platform import ListedKind
from magnoliatrail.generated.settings import Settings
from magnoliatrail.ids import Incarnation, InstanceId, new_incarnation
from magnoliatrail.logs import EventLog
from magnoliatrail.membership.ended import EndedRuns
from magnoliatrail.membership.fleet import Fleet
from magnoliatrail.membership.members import member_of
from magnoliatrail.membership.ownership import OwnershipTable
from magnoliatrail.membership.pause import TICK_INTERVAL, PauseGate
from magnoliatrail.membership.preference import Preference
from magnoliatrail.membership.refresh import FleetRefresh
from magnoliatrail.membership.session import SessionLease, read_session
from magnoliatrail.membership.suspicion import Suspicion
from magnoliatrail.metrics import Metrics
from magnoliatrail.peers.client import PeerClient
from magnoliatrail.peers.heartbeats import CatchUp, Heartbeats
from magnoliatrail.peers.permit_calls import PermitCalls
from magnoliatrail.peers.server import PeerRoute
from magnoliatrail.periodic import PeriodicTasks
from magnoliatrail.platform.instance_list import InstanceListService
from magnoliatrail.platform.table import TableService
from magnoliatrail.wire import CallLimits

log = EventLog("coordination")

SCAN_SECONDS = 600.0
SCAN_JITTER = 0.5
RENEWAL_JITTER = 0.1
SUSPICION_CHECK_SECONDS = 0.5
DEPARTURE_TIMEOUT = timedelta(seconds=5)
PLACEHOLDER_PEER_URL = "http://unjoined"


class Coordination:
    """Connect the membership, ownership and peer communication of one instance."""

    def __init__(
        self,
        *,
        settings: Settings,
        clock: Clock,
        metrics: Metrics,
        table: TableService,
        instance_list: InstanceListService,
        permits: PermitHolder,
        peers: PeerClient,
        tasks: PeriodicTasks,
        limits: CallLimits,
        new_owner: NewOwner,
        checks_fencing: Callable[[EngineOwner], bool],
    ) -> None:
        self.settings = settings
        self.metrics = metrics
        self.table = table
        self.peers = peers
        self.tasks = tasks
        self.limits = limits
        own = own_record(settings)
        self.fleet = Fleet(clock, own)
        self.session = SessionLease(table, session_row(own))
        self.ended = EndedRuns(self.fleet, settings)
        self.suspicion = Suspicion(fleet=self.fleet, table=table, settings=settings)
        ownership = OwnershipTable(table, self.instance, Incarnation(own.incarnation))
        self.refresh = FleetRefresh(
            fleet=self.fleet,
            table=table,
            instance_list=instance_list,
            ownership=ownership,
        )
        self.permit_calls = PermitCalls(
            fleet=self.fleet,
            permits=permits,
            peers=peers,
            ended=self.ended,
            limits=limits,
            read_owner=self.refresh.read_owner,
        )
        adoption = Adoption(
            members=self.fleet.members,
            ended=self.ended,
            inquire=self.permit_calls.inquire,
            checks_fencing=checks_fencing,
        )
        self.owned = OwnedEngines(
            instance=self.instance,
            fleet=self.fleet,
            adoption=adoption,
            new_owner=new_owner,
        )
        self.permit_calls.grant_locally = self.owned.answer_permit
        self.claims = Claims(
            owned=self.owned,
            ownership=ownership,
            preference=Preference(self.fleet.members),
            tasks=tasks,
            send_handover=self.send_handover,
            find_member=self.find_member,
            wake=self.wake,
        )
        self.gate = PauseGate(
            clock=clock, metrics=metrics, refresh=self.refresh_after_pause
        )
        self.permit_calls.gate = self.gate
        self.heartbeats: Heartbeats | None = None
        self.poll_configuration: Callable[[], Awaitable[None]] | None = None
        self.fleet.members.on_change.append(self.handle_member_change)

    @property
    def instance(self) -> InstanceId:
        """Return the id of this instance."""
        return self.fleet.members.instance

    @property
    def incarnation(self) -> Incarnation:
        """Return the id of this run of the process."""
        return Incarnation(self.fleet.members.own.incarnation)

    def connect(
        self,
        *,
        peer_url: str,
        revision: Callable[[], int],
        catch_up: CatchUp,
        poll_configuration: Callable[[], Awaitable[None]],
    ) -> None:
        """Set the address to advertise and the links to the configuration."""
        members = self.fleet.members
        members.own = replace(members.own, peer_url=peer_url)
        self.session.row = session_row(members.own)
        self.poll_configuration = poll_configuration
        self.heartbeats = Heartbeats(
            fleet=self.fleet,
            suspicion=self.suspicion,
            peers=self.peers,
            tasks=self.tasks,
            interval=timedelta(seconds=self.settings.heartbeat_seconds),
            revision=revision,
            renewals=lambda: self.session.row.renewals,
            catch_up=catch_up,
        )

    async def join(self) -> None:
        """Acquire a session, read members and owners, and announce this instance."""
        await self.renew()
        await self.read_list()
        await self.refresh.scan()
        self.fleet.members.publish(version=self.session.revision)
        assert self.heartbeats is not None
        await self.heartbeats.send_round()
        await self.claims.reconcile()

    def start_tasks(self) -> None:
        """Start the periodic tasks."""
        settings, every = self.settings, self.tasks.every
        assert self.heartbeats is not None
        self.gate.last_tick = self.fleet.clock.monotonic()
        every(TICK_INTERVAL.total_seconds(), self.gate.tick)
        every(settings.renewal_seconds, self.renew, jitter=RENEWAL_JITTER)
        every(settings.instance_list_seconds, self.read_list)
        every(settings.load_report_seconds, self.owned.refresh)
        every(SUSPICION_CHECK_SECONDS, self.suspicion.check)
        every(settings.heartbeat_seconds, self.claims.reconcile)
        every(SCAN_SECONDS, self.refresh.scan, jitter=SCAN_JITTER)
        self.tasks.once(self.heartbeats.run)

    async def renew(self) -> None:
        """Renew the session lease."""
        result = await self.session.renew(version=self.fleet.members.own.version)
        self.metrics.gauge("lease.renewed", int(result.is_ok()))
        if result.is_error():
            log.warning("lease_not_renewed", reason=result.error.message)

    async def read_list(self) -> None:
        """Read the instance list, and send heartbeats if a server started to leave."""
        if await self.refresh.read_list():
            log.info("servers_leaving", servers=sorted(self.fleet.servers.leaving))
            self.wake()
        if not self.fleet.members.peers():
            await self.find_listed_peers()

    async def find_listed_peers(self) -> None:
        """Ask a listed instance for the members while no peer is known."""
        for item in self.fleet.listed.values():
            unknown = item.id not in self.fleet.members.records
            if item.kind is ListedKind.INSTANCE and unknown and self.heartbeats:
                record = MemberRecord(
                    instance=item.id,
                    incarnation="",
                    failure_domain=item.failure_domain,
                    region=item.region,
                    peer_url=item.url,
                    version=0,
                    state=MemberState.LIVE,
                )
                if await self.heartbeats.exchange(record):
                    return

    async def find_member(self, instance: InstanceId) -> None:
        """Read the session of an instance that gossip has not announced."""
        match await read_session(self.table, instance):
            case Result(tag="ok", ok=SessionRow() as row):
                self.fleet.members.merge(member_of(row), instance)
            case _:
                pass

    def handle_member_change(self, record: MemberRecord) -> None:
        """Reconcile ownership after a membership change."""
        if self.heartbeats and self.tasks.tasks:
            self.wake()
            self.tasks.once(self.claims.reconcile)

    def wake(self) -> None:
        """Send heartbeats without waiting for the next interval."""
        if self.heartbeats:
            self.heartbeats.wake()

    async def refresh_after_pause(self) -> None:
        """Refresh the state that may have changed while this process was paused."""
        assert self.heartbeats is not None
        assert self.poll_configuration is not None
        await asyncio.gather(
            self.read_list(),
            self.heartbeats.send_round(),
            self.claims.verify(),
            self.poll_configuration(),
            self.renew(),
        )

    async def hand_over_engines(self) -> None:
        """Hand every owned engine over to the remaining instances."""
        self.fleet.members.publish(state=MemberState.LEAVING)
        self.wake()
        # Wait for a pass in progress: reconcile() returns at once while one runs.
        async with self.claims.reconcile_lock:
            pass
        await self.claims.reconcile()

    async def announce_departure(self) -> None:
        """Send the departure notice to all peers and release the session."""
        self.fleet.members.publish(state=MemberState.LEFT)
        assert self.heartbeats is not None
        try:
            async with asyncio.timeout(DEPARTURE_TIMEOUT.total_seconds()):
                await self.heartbeats.send_round()
                await self.session.release()
        except TimeoutError:
            log.warning("departure_notice_timed_out", instance=self.instance)

    async def send_handover(
        self, peer: InstanceId, handover: Handover
    ) -> Result[HandoverAnswer, Failure]:
        """Send a peer the handover of an engine."""
        url = f"{self.fleet.peer_url(peer)}/peer/handovers"
        return await self.peers.ask(url, handover, HandoverAnswer, self.limits)

    def peer_routes(self) -> list[PeerRoute[Any]]:
        """Return the routes of the peer listener."""
        return [
            PeerRoute("/peer/permits", PermitRequest, self.permit_calls.answer_permit),
            PeerRoute("/peer/recalls", PermitRecall, self.permit_calls.answer_recall),
            PeerRoute(
                "/peer/takeovers", TakeoverInquiry, self.permit_calls.answer_inquiry
            ),
            PeerRoute("/peer/handovers", Handover, self.claims.answer_handover),
            PeerRoute("/peer/heartbeat", Heartbeat, self.answer_heartbeat),
        ]

    async def answer_heartbeat(
        self, heartbeat: Heartbeat
    ) -> Result[HeartbeatAnswer, Failure]:
        """Answer a peer's heartbeat."""
        assert self.heartbeats is not None
        return await self.heartbeats.answer(heartbeat)


def own_record(settings: Settings) -> MemberRecord:
    """Return this instance's record, with a placeholder for its address."""
    return MemberRecord(
        instance=settings.instance_id,
        incarnation=new_incarnation(),
        failure_domain=settings.failure_domain,
        region=settings.region,
        peer_url=PLACEHOLDER_PEER_URL,
        version=0,
        state=MemberState.LIVE,
    )


def session_row(record: MemberRecord) -> SessionRow:
    """Return the session row of an instance before its first renewal."""
    return SessionRow(
        instance=record.instance,
        incarnation=record.incarnation,
        failure_domain=record.failure_domain,
        region=record.region,
        peer_url=record.peer_url,
        version=record.version,
        renewals=0,
    )
