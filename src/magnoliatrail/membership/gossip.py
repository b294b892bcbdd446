"""Gossip about members and owners, in the order in which it was received."""

from dataclasses import dataclass
from typing import TypeAlias

from magnoliatrail.generated.membership import MemberRecord, OwnerRow
from magnoliatrail.ids import InstanceId

GossipRecord: TypeAlias = MemberRecord | OwnerRow

MAX_RECORDS_PER_MESSAGE = 64


@dataclass(frozen=True, slots=True)
class GossipEntry:
    """A record, its sequence number in the log, and the instance that sent it."""

    sequence: int
    record: GossipRecord
    source: InstanceId


@dataclass(frozen=True, slots=True)
class GossipBatch:
    """The records that a peer lacks, and the sequence number that they reach."""

    members: list[MemberRecord]
    owners: list[OwnerRow]
    through: int
    complete: bool


class GossipLog:
    """The latest record of each member and engine, newest last."""

    def __init__(self) -> None:
        self.items: dict[tuple[type, str], GossipEntry] = {}
        self.sequence = 0

    def put(self, record: GossipRecord, source: InstanceId) -> None:
        """Append a record and remove the one that it supersedes."""
        subject = record.engine if isinstance(record, OwnerRow) else record.instance
        key = (type(record), subject)
        self.items.pop(key, None)
        self.sequence += 1
        self.items[key] = GossipEntry(self.sequence, record, source)

    def after(self, sequence: int, reader: InstanceId) -> GossipBatch:
        """Return the oldest records that a reader has not received yet."""
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
