"""Delete completed operations after their retention, without scanning claims.

Each instance writes the operations that it completed in batches, keyed by day and
shard. A sweep reads only the batches whose retention may have ended, and deletes the
rows that they name. A claim of unknown outcome is in no batch, so it is never deleted.
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
# Each cycle of sweeps starts this many days before the newest due day.
MAX_LOOKBACK_DAYS = 32
# Bound on the difference between the wall clocks of instances.
MAX_CLOCK_SKEW = timedelta(hours=1)
# Bound on the deletions of all instances together.
FLEET_WRITES_PER_SECOND = 50
MIN_SWEEP_INTERVAL = timedelta(seconds=10)
DAY = timedelta(days=1)


@dataclass(frozen=True, slots=True)
class BatchShard:
    """Identify one shard of the batches of one day."""

    day: date
    shard: int

    @property
    def prefix(self) -> str:
        """Return the key prefix of the shard's batches."""
        return f"{BATCH_PREFIX}{self.day.isoformat()}/{self.shard:02x}/"


def sweep_interval(instances: int) -> timedelta:
    """Return the time between sweeps that keeps the fleet within its write limit."""
    sweeping = min(max(1, instances), SHARD_COUNT)
    seconds = (MAX_BATCH_ENTRIES + 1) * sweeping / FLEET_WRITES_PER_SECOND
    return max(MIN_SWEEP_INTERVAL, timedelta(seconds=seconds))


def shard_name(shard: int) -> str:
    """Return the rendezvous key that assigns a shard to an instance."""
    return f"sweep-{shard:02x}"


def newest_due_day(now: datetime, retention: timedelta) -> date:
    """Return the newest day whose batches may be due."""
    return (now - retention - MAX_CLOCK_SKEW).date()


def shard_to_visit(shards_visited: int, newest: date, shards: list[int]) -> BatchShard:
    """Return the next shard to sweep: oldest day first, shard by shard."""
    cycle, position = divmod(shards_visited, len(shards))
    days_back = MAX_LOOKBACK_DAYS - cycle % (MAX_LOOKBACK_DAYS + 1)
    return BatchShard(newest - days_back * DAY, shards[position])


def is_due(batch: SweepBatch, now: datetime, retention: timedelta) -> bool:
    """Return whether the retention of all operations of a batch has ended."""
    completed = datetime.fromisoformat(batch.completed_at)
    return now >= completed + retention + MAX_CLOCK_SKEW


class Sweeper:
    """Write batches of completed operations, and delete the due ones."""

    def __init__(
        self, *, table: TableService, objects: ObjectStore, clock: Clock
    ) -> None:
        self.table = table
        self.objects = objects
        self.clock = clock
        self.unflushed_entries: list[SweepEntry] = []
        self.shards_visited = 0

    def add_completed(self, entry: SweepEntry) -> None:
        """Add a completed operation to the next batch."""
        self.unflushed_entries.append(entry)

    async def flush(self) -> None:
        """Write the unflushed entries in batches."""
        while self.unflushed_entries:
            entries = self.unflushed_entries[:MAX_BATCH_ENTRIES]
            if not await self.write_batch(entries):
                return
            del self.unflushed_entries[: len(entries)]

    async def write_batch(self, entries: list[SweepEntry]) -> bool:
        """Write one batch; writing entries twice is harmless."""
        now = self.clock.now()
        batch = SweepBatch(completed_at=now.isoformat(), entries=entries)
        name = new_write_id()
        shard = int(hashlib.sha256(name.encode()).hexdigest(), 16) % SHARD_COUNT
        write = RowWrite(
            key=BatchShard(now.date(), shard).prefix + name,
            value=encode(batch).decode(),
        )
        result = await self.table.transact(Transaction(conditions=[], writes=[write]))
        return result.is_ok()

    async def sweep(
        self, retention: timedelta, is_own_shard: Callable[[str], bool]
    ) -> int:
        """Delete at most one due batch of this instance's shards; return its size."""
        now = self.clock.now()
        shards = [
            shard for shard in range(SHARD_COUNT) if is_own_shard(shard_name(shard))
        ]
        if not shards:
            return 0
        batch_shard = shard_to_visit(
            self.shards_visited, newest_due_day(now, retention), shards
        )
        match await self.table.scan(batch_shard.prefix):
            case Result(tag="ok", ok=rows):
                pass
            case Result(error=failure):
                log.warning("sweep_failed", reason=failure.message)
                return 0
        due = [row for row in rows if is_due(decode_batch(row), now, retention)]
        if len(due) <= 1:
            self.shards_visited += 1
        return await self.delete_batch(due[0]) if due else 0

    async def delete_batch(self, row: Row) -> int:
        """Delete a batch and those of its operations that are unchanged."""
        batch = decode_batch(row)
        entries = batch.entries
        for _ in range(2):
            result = await self.table.transact(deletion_transaction(row, entries))
            match result:
                case Result(tag="ok", ok=answer) if answer.committed:
                    await self.delete_objects(entries)
                    log.info("batch_deleted", batch=row.key, operations=len(entries))
                    return len(entries)
                case Result(tag="ok", ok=answer):
                    current = {found.key: found for found in answer.rows}
                case Result(error=failure):
                    log.warning("sweep_failed", reason=failure.message)
                    return 0
            # Skip rows that were deleted or changed since they were completed.
            entries = [
                entry
                for entry in entries
                if revision_of(current.get(entry.key)) == entry.revision
            ]
        return 0

    async def delete_objects(self, entries: list[SweepEntry]) -> None:
        """Delete the objects that hold large answers."""
        for entry in entries:
            if entry.answer_object:
                await self.objects.delete(entry.answer_object)


def decode_batch(row: Row) -> SweepBatch:
    """Decode the batch in a row."""
    return msgspec.json.decode(row.value, type=SweepBatch)


def deletion_transaction(row: Row, entries: list[SweepEntry]) -> Transaction:
    """Build the transaction that deletes some operations and their batch."""
    conditions = [RowCondition(key=row.key, revision=row.revision)]
    conditions += [
        RowCondition(key=entry.key, revision=entry.revision) for entry in entries
    ]
    writes = [RowWrite(key=condition.key) for condition in conditions]
    return Transaction(conditions=conditions, writes=writes)
