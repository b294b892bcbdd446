"""Forget completed operations after the retention, without scanning claims.

Each instance notes what it completed in batches under a day and a shard. A sweep
reads only the batches of days that are over, and deletes the rows named there.
A claim of unknown fate is in no batch, so that no sweep can forget it.
"""

import hashlib
from collections.abc import Callable
from dataclasses import dataclass
from datetime import date, datetime, timedelta

import msgspec
from expression import Result

from magnoliatrail.clock import Clock
from magnoliatrail.generated.operations import SweepBatch, SweepEntry
from magnoliatrail.generated.platform import (
    Row,
    RowCondition,
    RowWrite,
    Transaction,
)
from magnoliatrail.ids import new_write_id
from magnoliatrail.logs import EventLog
from magnoliatrail.platform.objects import ObjectStore
from magnoliatrail.platform.table import TableService, revision_of
from magnoliatrail.wire import encode

log = EventLog("sweep")

BATCHES = "operations/batches/"
BATCH_ENTRIES = 50
SHARDS = 64
# Batches older than this are looked for again from the first day.
DAYS_LOOKED_BACK = 32
# Wall clocks of instances may differ by this much.
CLOCK_MARGIN = timedelta(hours=1)
# Writes that all instances together may spend on forgetting.
FLEET_WRITES_PER_SECOND = 50
SHORTEST_ROUND = timedelta(seconds=10)
DAY = timedelta(days=1)


@dataclass(frozen=True, slots=True)
class Place:
    """Name one day's shard of batches."""

    day: date
    shard: int

    @property
    def prefix(self) -> str:
        """Return the prefix of the keys of its batches."""
        return f"{BATCHES}{self.day.isoformat()}/{self.shard:02x}/"


def round_interval(instances: int) -> timedelta:
    """Return the time between rounds that keeps the fleet within its writes."""
    sweeping = min(max(1, instances), SHARDS)
    seconds = (BATCH_ENTRIES + 1) * sweeping / FLEET_WRITES_PER_SECOND
    return max(SHORTEST_ROUND, timedelta(seconds=seconds))


def shard_name(shard: int) -> str:
    """Return the name by which the shards are spread among instances."""
    return f"sweep-{shard:02x}"


def newest_due(now: datetime, retention: timedelta) -> date:
    """Return the last day whose batches may be due."""
    return (now - retention - CLOCK_MARGIN).date()


def place_at(visited: int, newest: date, shards: list[int]) -> Place:
    """Return the place to visit next: the oldest day first, shard by shard."""
    turn, position = divmod(visited, len(shards))
    back = DAYS_LOOKED_BACK - turn % (DAYS_LOOKED_BACK + 1)
    return Place(newest - back * DAY, shards[position])


def is_due(batch: SweepBatch, now: datetime, retention: timedelta) -> bool:
    """Return whether all operations of a batch are past the retention."""
    completed = datetime.fromisoformat(batch.completed_at)
    return now >= completed + retention + CLOCK_MARGIN


class Sweeper:
    """Note what this instance completed, and forget its share of what is old."""

    def __init__(
        self, *, table: TableService, objects: ObjectStore, clock: Clock
    ) -> None:
        self.table = table
        self.objects = objects
        self.clock = clock
        self.noted: list[SweepEntry] = []
        self.visited = 0

    def note(self, entry: SweepEntry) -> None:
        """Note a completed operation for the next batch."""
        self.noted.append(entry)

    async def flush(self) -> None:
        """Write what was noted as batches."""
        while self.noted:
            entries = self.noted[:BATCH_ENTRIES]
            if not await self.write_batch(entries):
                return
            del self.noted[: len(entries)]

    async def write_batch(self, entries: list[SweepEntry]) -> bool:
        """Write one batch; a batch that is written twice does no harm."""
        now = self.clock.now()
        batch = SweepBatch(completed_at=now.isoformat(), entries=entries)
        name = new_write_id()
        shard = int(hashlib.sha256(name.encode()).hexdigest(), 16) % SHARDS
        write = RowWrite(
            key=Place(now.date(), shard).prefix + name, value=encode(batch).decode()
        )
        result = await self.table.transact(Transaction(conditions=[], writes=[write]))
        return result.is_ok()

    async def sweep(self, retention: timedelta, is_mine: Callable[[str], bool]) -> int:
        """Forget at most one batch of this instance's share; return its size."""
        now = self.clock.now()
        shards = [shard for shard in range(SHARDS) if is_mine(shard_name(shard))]
        if not shards:
            return 0
        place = place_at(self.visited, newest_due(now, retention), shards)
        match await self.table.scan(place.prefix):
            case Result(tag="ok", ok=rows):
                pass
            case Result(error=failure):
                log.warning("sweep_missed", reason=failure.message)
                return 0
        due = [row for row in rows if is_due(batch_in(row), now, retention)]
        if len(due) <= 1:
            self.visited += 1
        return await self.forget(due[0]) if due else 0

    async def forget(self, row: Row) -> int:
        """Forget the operations of a batch that are still as they were completed."""
        batch = batch_in(row)
        entries = batch.entries
        for _ in range(2):
            result = await self.table.transact(forgetting(row, entries))
            match result:
                case Result(tag="ok", ok=answer) if answer.committed:
                    await self.delete_objects(entries)
                    log.info("forgotten", batch=row.key, operations=len(entries))
                    return len(entries)
                case Result(tag="ok", ok=answer):
                    current = {found.key: found for found in answer.rows}
                case Result(error=failure):
                    log.warning("sweep_missed", reason=failure.message)
                    return 0
            # Rows that are gone already, or hold something newer, stay as they are.
            entries = [
                entry
                for entry in entries
                if revision_of(current.get(entry.key)) == entry.revision
            ]
        return 0

    async def delete_objects(self, entries: list[SweepEntry]) -> None:
        """Delete the large answers of forgotten operations."""
        for entry in entries:
            if entry.answer_object:
                await self.objects.delete(entry.answer_object)


def batch_in(row: Row) -> SweepBatch:
    """Return the batch that a row holds."""
    return msgspec.json.decode(row.value, type=SweepBatch)


def forgetting(row: Row, entries: list[SweepEntry]) -> Transaction:
    """Return the transaction that forgets some operations and their batch."""
    conditions = [RowCondition(key=row.key, revision=row.revision)]
    conditions += [
        RowCondition(key=entry.key, revision=entry.revision) for entry in entries
    ]
    writes = [RowWrite(key=condition.key) for condition in conditions]
    return Transaction(conditions=conditions, writes=writes)
