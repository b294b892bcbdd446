"""Suspicion of instances: missed heartbeats, confirmed by other evidence."""

from dataclasses import dataclass
from datetime import timedelta

from expression import Result

from magnoliatrail.generated.membership import MemberRecord, SessionRow
from magnoliatrail.generated.platform import ListedState
from magnoliatrail.generated.settings import Settings
from magnoliatrail.ids import Incarnation, InstanceId
from magnoliatrail.logs import EventLog
from magnoliatrail.membership.fleet import Fleet
from magnoliatrail.membership.members import Run, member_of
from magnoliatrail.membership.session import read_session
from magnoliatrail.platform.table import TableService

log = EventLog("suspicion")

MIN_MISSED_HEARTBEATS = 2
RENEWAL_SLACK = timedelta(seconds=1)


@dataclass
class Watch:
    """Renewals and missed heartbeats of one run of a peer."""

    run: Run
    renewals: int
    renewed_at: timedelta
    misses: int = 0


class Suspicion:
    """Monitor the peers that this instance exchanges heartbeats with.

    A lease is timed by this instance's own monotonic clock: it is overdue when the
    row has not changed for longer than the renewal interval and some slack.
    """

    def __init__(
        self, *, fleet: Fleet, table: TableService, settings: Settings
    ) -> None:
        self.fleet = fleet
        self.table = table
        self.overdue = timedelta(seconds=settings.renewal_seconds) + RENEWAL_SLACK
        self.watches: dict[InstanceId, Watch] = {}

    def record_heartbeat(
        self, instance: InstanceId, incarnation: str, renewals: int
    ) -> None:
        """Record a heartbeat or its answer."""
        self.fleet.last_contact = self.fleet.clock.monotonic()
        watch = self.record_renewal((instance, Incarnation(incarnation)), renewals)
        watch.misses = 0

    def record_renewal(self, run: Run, renewals: int) -> Watch:
        """Record the number of renewals of a session."""
        watch = self.watches.get(run[0])
        now = self.fleet.clock.monotonic()
        if watch is None or watch.run != run:
            watch = Watch(run, renewals, now)
            self.watches[run[0]] = watch
        if renewals > watch.renewals:
            watch.renewals = renewals
            watch.renewed_at = now
        return watch

    def record_miss(self, record: MemberRecord) -> None:
        """Record a heartbeat without an answer."""
        run = InstanceId(record.instance), Incarnation(record.incarnation)
        watch = self.watches.get(run[0])
        if watch is None or watch.run != run:
            watch = self.record_renewal(run, 0)
        watch.misses += 1

    async def check(self) -> None:
        """Look for other evidence on each peer that misses heartbeats."""
        for watch in list(self.watches.values()):
            record = self.fleet.members.get(watch.run[0])
            if record is None or record.incarnation != watch.run[1]:
                del self.watches[watch.run[0]]
            elif watch.misses >= MIN_MISSED_HEARTBEATS:
                await self.declare_if_confirmed(watch, record)

    async def declare_if_confirmed(self, watch: Watch, record: MemberRecord) -> None:
        """Declare a silent peer gone if the list or its lease confirms that."""
        evidence = self.list_evidence(record.instance) or await self.lease_evidence(
            watch, record
        )
        if evidence and watch.misses >= MIN_MISSED_HEARTBEATS:
            log.warning("declared_gone", instance=record.instance, evidence=evidence)
            self.fleet.members.declare_gone(record)

    def list_evidence(self, instance: str) -> str | None:
        """Return evidence from the instance list that an instance is gone."""
        if self.fleet.servers.is_delisted(instance):
            return "off_list"
        listed = self.fleet.listed.get(instance)
        if listed and listed.state is ListedState.LEAVING:
            return "list_leaving"
        return None

    async def lease_evidence(self, watch: Watch, record: MemberRecord) -> str | None:
        """Return evidence from the session lease that an instance is gone."""
        match await read_session(self.table, watch.run[0]):
            case Result(tag="ok", ok=SessionRow() as row):
                return self.row_evidence(watch, record, row)
            case Result(tag="ok"):
                return "lease_released"
            case _:
                return None

    def row_evidence(
        self, watch: Watch, record: MemberRecord, row: SessionRow
    ) -> str | None:
        """Return evidence from a session row that an instance is gone."""
        if row.incarnation != record.incarnation:
            self.fleet.members.merge(member_of(row), InstanceId(row.instance))
            return None
        self.record_renewal(watch.run, row.renewals)
        silent = self.fleet.clock.monotonic() - watch.renewed_at
        return "lease_overdue" if silent > self.overdue else None
