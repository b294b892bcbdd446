"""Member records of all instances, as one instance sees them."""

from collections.abc import Callable
from datetime import timedelta

from msgspec.structs import replace

from magnoliatrail.clock import Clock
from magnoliatrail.generated.membership import MemberRecord, MemberState, SessionRow
from magnoliatrail.ids import FailureDomain, Incarnation, InstanceId
from magnoliatrail.logs import EventLog
from magnoliatrail.membership.gossip import GossipLog

log = EventLog("membership")

STATE_RANK = {
    MemberState.LIVE: 0,
    MemberState.LEAVING: 1,
    MemberState.GONE: 2,
    MemberState.LEFT: 3,
}
REACHABLE = {MemberState.LIVE, MemberState.LEAVING}

# A process of an instance; a restart gets another incarnation.
Run = tuple[InstanceId, Incarnation]


def supersedes(record: MemberRecord, known: MemberRecord | None) -> bool:
    """Return whether a record is newer than the known one."""
    if known is None:
        return True
    rank, known_rank = STATE_RANK[record.state], STATE_RANK[known.state]
    return (record.version, rank) > (known.version, known_rank)


def member_of(row: SessionRow) -> MemberRecord:
    """Return the member record for a session row."""
    return MemberRecord(
        instance=row.instance,
        incarnation=row.incarnation,
        failure_domain=row.failure_domain,
        region=row.region,
        peer_url=row.peer_url,
        version=row.version,
        state=MemberState.LIVE,
    )


class Members:
    """The newest record of every instance; each instance writes only its own."""

    def __init__(self, clock: Clock, gossip: GossipLog, own: MemberRecord) -> None:
        self.clock = clock
        self.gossip = gossip
        self.own = own
        self.records: dict[InstanceId, MemberRecord] = {}
        self.ended: dict[Run, timedelta] = {}
        self.on_change: list[Callable[[MemberRecord], None]] = []

    @property
    def instance(self) -> InstanceId:
        """Return the id of this instance."""
        return InstanceId(self.own.instance)

    def publish(self, *, version: int = 0, state: MemberState | None = None) -> None:
        """Publish a new record of this instance."""
        self.own = replace(
            self.own,
            version=max(version, self.own.version + 1),
            state=state or self.own.state,
        )
        self.set_record(self.own, self.instance)

    def merge(self, record: MemberRecord, source: InstanceId) -> bool:
        """Merge a newer record; refute records of this instance that others made."""
        if record.instance == self.own.instance:
            if record != self.own and not supersedes(self.own, record):
                log.warning(
                    "refuted_member_record", state=record.state, version=record.version
                )
                self.publish(version=record.version + 1)
            return False
        if not supersedes(record, self.records.get(InstanceId(record.instance))):
            return False
        self.set_record(record, source)
        return True

    def set_record(self, record: MemberRecord, source: InstanceId) -> None:
        """Replace a record and notify the listeners."""
        name = InstanceId(record.instance)
        self.record_run_end(self.records.get(name), record)
        self.records[name] = record
        self.gossip.put(record, source)
        log.info(
            "member",
            instance=name,
            state=record.state,
            version=record.version,
            source=source,
        )
        for listener in self.on_change:
            listener(record)

    def record_run_end(self, known: MemberRecord | None, record: MemberRecord) -> None:
        """Record the end of a run that sent no departure notice."""
        run = InstanceId(record.instance), Incarnation(record.incarnation)
        now = self.clock.monotonic()
        if known and known.incarnation != record.incarnation:
            former = InstanceId(known.instance), Incarnation(known.incarnation)
            if known.state is not MemberState.LEFT:
                self.ended.setdefault(former, now)
        if record.state is MemberState.GONE:
            self.ended.setdefault(run, now)
        else:
            self.ended.pop(run, None)

    def declare_gone(self, record: MemberRecord) -> None:
        """Mark an instance as gone until it refutes that itself."""
        self.merge(replace(record, state=MemberState.GONE), self.instance)

    def reachable(self) -> dict[InstanceId, MemberRecord]:
        """Return the instances that should answer, including this one."""
        return {
            name: record
            for name, record in self.records.items()
            if record.state in REACHABLE
        }

    def peers(self) -> list[InstanceId]:
        """Return the other instances that should answer."""
        return [name for name in self.reachable() if name != self.instance]

    def get(self, instance: InstanceId) -> MemberRecord | None:
        """Return the record of an instance that should answer."""
        record = self.records.get(instance)
        return record if record and record.state in REACHABLE else None

    def is_running(self, instance: str, incarnation: str) -> bool:
        """Return whether one run of an instance should answer."""
        record = self.get(InstanceId(instance))
        return record is not None and record.incarnation == incarnation

    def candidates(self, domain: FailureDomain, region: str) -> list[InstanceId]:
        """Return the nearest live instances, which may own the engines of a domain."""
        live = [r for r in self.records.values() if r.state is MemberState.LIVE]
        nearest = (
            [r for r in live if r.failure_domain == domain]
            or [r for r in live if r.region == region]
            or live
        )
        return [InstanceId(record.instance) for record in nearest]
