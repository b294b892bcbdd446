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

BATCH_PREFIX = "operations/batches/"
MAX_BATCH_ENTRIES = 50
SHARD_COUNT = 64
# Batches older than this are looked for again from the first day.
MAX_LOOKBACK_DAYS = 32
# Wall clocks of instances may differ by this much.
MAX_CLOCK_SKEW = timedelta(hours=1)
# Writes that all instances together may spend on forgetting.
FLEET_WRITES_PER_SECOND = 50
MIN_SWEEP_INTERVAL = timedelta(seconds=10)
DAY = timedelta(days=1)


@dataclass(frozen=True, slots=True)
class BatchShard:
    """Name one day's shard of batches."""

    day: date
    shard: int

    @property
    def prefix(self) -> str:
        """Return the prefix of the keys of its batches."""
        return f"{BATCH_PREFIX}{self.day.isoformat()}/{self.shard:02x}/"


def sweep_interval(instances: int) -> timedelta:
    """Return the time between rounds that keeps the fleet within its writes."""
    sweeping = min(max(1, instances), SHARD_COUNT)
    seconds = (MAX_BATCH_ENTRIES + 1) * sweeping / FLEET_WRITES_PER_SECOND
    return max(MIN_SWEEP_INTERVAL, timedelta(seconds=seconds))


def shard_name(shard: int) -> str:
    """Return the name by which the shards are spread among instances."""
    return f"sweep-{shard:02x}"


def newest_due_day(now: datetime, retention: timedelta) -> date:
    """Return the last day whose batches may be due."""
    return (now - retention - MAX_CLOCK_SKEW).date()


def shard_to_visit(shards_visited: int, newest: date, shards: list[int]) -> BatchShard:
    """Return the place to visit next: the oldest day first, shard by shard."""
    turn, position = divmod(shards_visited, len(shards))
    back = MAX_LOOKBACK_DAYS - turn % (MAX_LOOKBACK_DAYS + 1)
    return BatchShard(newest - back * DAY, shards[position])


def is_due(batch: SweepBatch, now: datetime, retention: timedelta) -> bool:
    """Return whether all operations of a batch are past the retention."""
    completed = datetime.fromisoformat(batch.completed_at)
    return now >= completed + retention + MAX_CLOCK_SKEW


class Sweeper:
    """Note what this instance completed, and forget its share of what is old."""

    def __init__(
        self, *, table: TableService, objects: ObjectStore, clock: Clock
    ) -> None:
        self.table = table
        self.objects = objects
        self.clock = clock
        self.unflushed_entries: list[SweepEntry] = []
        self.shards_visited = 0

    def add_completed(self, entry: SweepEntry) -> None:
        """Note a completed operation for the next batch."""
        self.unflushed_entries.append(entry)

    async def flush(self) -> None:
        """Write what was noted as batches."""
        while self.unflushed_entries:
            entries = self.unflushed_entries[:MAX_BATCH_ENTRIES]
            if not await self.write_batch(entries):
                return
            del self.unflushed_entries[: len(entries)]

    async def write_batch(self, entries: list[SweepEntry]) -> bool:
        """Write one batch; a batch that is written twice does no harm."""
        now = self.clock.now()
        batch = SweepBatch(completed_at=now.isoformat(), entries=entries)
        name = new_write_id()
        shard = int(hashlib.sha256(name.encode()).hexdigest(), 16) % SHARD_COUNT
        write = RowWrite(
            key=BatchShard(now.date(), shard).prefix + name, value=encode(batch).decode()
        )
        result = await self.table.transact(Transaction(conditions=[], writes=[write]))
        return result.is_ok()

    async def sweep(self, retention: timedelta, is_mine: Callable[[str], bool]) -> int:
        """Forget at most one batch of this instance's share; return its size."""
        now = self.clock.now()
        shards = [shard for shard in range(SHARD_COUNT) if is_mine(shard_name(shard))]
        if not shards:
            return 0
        place = shard_to_visit(self.shards_visited, newest_due_day(now, retention), shards)
        match await self.table.scan(place.prefix):
            case Result(tag="ok", ok=rows):
                pass
            case Result(error=failure):
                log.warning("sweep_missed", reason=failure.message)
                return 0
        due = [row for row in rows if is_due(decode_batch(row), now, retention)]
        if len(due) <= 1:
            self.shards_visited += 1
        return await self.delete_batch(due[0]) if due else 0

    async def delete_batch(self, row: Row) -> int:
        """Forget the operations of a batch that are still as they were completed."""
        batch = decode_batch(row)
        entries = batch.entries
        for _ in range(2):
            result = await self.table.transact(deletion_transaction(row, entries))
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


def decode_batch(row: Row) -> SweepBatch:
    """Return the batch that a row holds."""
    return msgspec.json.decode(row.value, type=SweepBatch)


def deletion_transaction(row: Row, entries: list[SweepEntry]) -> Transaction:
    """Return the transaction that forgets some operations and their batch."""
    conditions = [RowCondition(key=row.key, revision=row.revision)]
    conditions += [
        RowCondition(key=entry.key, revision=entry.revision) for entry in entries
    ]
    writes = [RowWrite(key=condition.key) for condition in conditions]
    return Transaction(conditions=conditions, writes=writes)
