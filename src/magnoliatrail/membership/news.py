"""News of the fleet in the order in which they were learned here."""

from dataclasses import dataclass
from typing import TypeAlias

from magnoliatrail.generated.membership import MemberRecord, OwnerRow
from magnoliatrail.ids import InstanceId

NewsRecord: TypeAlias = MemberRecord | OwnerRow

NEWS_PER_MESSAGE = 64


@dataclass(frozen=True, slots=True)
class NewsItem:
    """Hold one record, its place in the log, and who told it."""

    sequence: int
    record: NewsRecord
    source: InstanceId


@dataclass(frozen=True, slots=True)
class NewsBatch:
    """Hold the records that a peer lacks, and how far they go."""

    members: list[MemberRecord]
    owners: list[OwnerRow]
    through: int
    complete: bool


class NewsLog:
    """Keep the latest record of each member and engine, newest last."""

    def __init__(self) -> None:
        self.items: dict[tuple[type, str], NewsItem] = {}
        self.sequence = 0

    def put(self, record: NewsRecord, source: InstanceId) -> None:
        """Add a record, in place of the one it supersedes."""
        subject = record.engine if isinstance(record, OwnerRow) else record.instance
        key = (type(record), subject)
        self.items.pop(key, None)
        self.sequence += 1
        self.items[key] = NewsItem(self.sequence, record, source)

    def after(self, sequence: int, reader: InstanceId) -> NewsBatch:
        """Return the oldest records that a reader has not taken yet."""
        newer = []
        for item in reversed(self.items.values()):
            if item.sequence <= sequence:
                break
            newer.append(item)
        newer.reverse()
        chosen = newer[:NEWS_PER_MESSAGE]
        complete = len(chosen) == len(newer)
        records = [item.record for item in chosen if item.source != reader]
        return NewsBatch(
            members=[item for item in records if isinstance(item, MemberRecord)],
            owners=[item for item in records if isinstance(item, OwnerRow)],
            through=self.sequence if complete else chosen[-1].sequence,
            complete=complete,
        )
