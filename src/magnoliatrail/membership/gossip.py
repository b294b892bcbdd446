"""News of the fleet in the order in which they were learned here."""

from dataclasses import dataclass
from typing import TypeAlias

from magnoliatrail.generated.membership import MemberRecord, OwnerRow
from magnoliatrail.ids import InstanceId

GossipRecord: TypeAlias = MemberRecord | OwnerRow

MAX_RECORDS_PER_MESSAGE = 64


@dataclass(frozen=True, slots=True)
class GossipEntry:
    """Hold one record, its place in the log, and who told it."""

    sequence: int
    record: GossipRecord
    source: InstanceId


@dataclass(frozen=True, slots=True)
class GossipBatch:
    """Hold the records that a peer lacks, and how far they go."""

    members: list[MemberRecord]
    owners: list[OwnerRow]
    through: int
    complete: bool


class GossipLog:
    """Keep the latest record of each member and engine, newest last."""

    def __init__(self) -> None:
        self.items: dict[tuple[type, str], GossipEntry] = {}
        self.sequence = 0

    def put(self, record: GossipRecord, source: InstanceId) -> None:
        """Add a record, in place of the one it supersedes."""
        subject = record.engine if isinstance(record, OwnerRow) else record.instance
        key = (type(record), subject)
        self.items.pop(key, None)
        self.sequence += 1
        self.items[key] = GossipEntry(self.sequence, record, source)

    def after(self, sequence: int, reader: InstanceId) -> GossipBatch:
        """Return the oldest records that a reader has not taken yet."""
        newer = []
        for item in reversed(self.items.values()):
            if item.sequence <= sequence:
                break
            newer.append(item)
        newer.reverse()
        chosen = newer[:MAX_RECORDS_PER_MESSAGE]
        complete = len(chosen) == len(newer)
        records = [item.record for item in chosen if item.source != reader]
        return GossipBatch(
            members=[item for item in records if isinstance(item, MemberRecord)],
            owners=[item for item in records if isinstance(item, OwnerRow)],
            through=self.sequence if complete else chosen[-1].sequence,
            complete=complete,
        )
