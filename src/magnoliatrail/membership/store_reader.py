"""Reads of the store that update an instance's view of the fleet."""

import asyncio
from collections.abc import Callable, Iterable, Mapping
from datetime import timedelta

from expression import Result

from magnoliatrail.clock import Clock
from magnoliatrail.logs import EventLog
from magnoliatrail.membership.fleet_view import FleetView
from magnoliatrail.membership.table_bounds import TableBounds
from magnoliatrail.platform.protocol import OPERATOR_TABLE, SERVERS_TABLE
from magnoliatrail.platform.rows import RowsRead, RowStore, StoredRow

log = EventLog("membership")

# The table with the keys of client accounts, as part of the configuration.
KEYS_TABLE = OPERATOR_TABLE

# Longest time that the store holds a read open for the operators' next write.
OPERATOR_LONG_POLL_TIMEOUT = timedelta(seconds=0.4)
# Interval between reads of the servers table, whose rows change constantly.
SERVERS_POLL_INTERVAL = timedelta(seconds=0.7)
READ_RETRY_DELAY = timedelta(seconds=0.3)
# Of rows from this size on, only the newest version is read if they change often.
COSTLY_ROW_BYTES = 64 * 1024
# Longest wait of a request for a read of tables that are nearly too old.
STALE_READ_TIMEOUT = timedelta(milliseconds=300)
# A read that fails or lags shows for this long that the store is disturbed; meanwhile,
# the next one has failed or lagged too.
DISTURBANCE_VALIDITY = timedelta(seconds=2)
# Bounds on the wait of an inactive reader before it checks its tables' age again.
MIN_IDLE_WAIT = timedelta(seconds=0.1)
MAX_IDLE_WAIT = timedelta(seconds=0.4)


class StoreReader:
    """Follow the tables of the store while this instance should read them."""

    def __init__(
        self,
        *,
        clock: Clock,
        store: RowStore,
        view: FleetView,
        read_due_in: Callable[[timedelta], timedelta],
    ) -> None:
        self.clock = clock
        self.store = store
        self.view = view
        # Time until a table is due for a read, given the age of its last state.
        self.read_due_in = read_due_in
        self.failing: set[str] = set()
        # When a table was last read, if that lagged behind what the store had said.
        self.outdated_at: dict[str, timedelta] = {}
        # Tables that are read whole next, not by their changes.
        self.reads_whole: set[str] = set()
        # Reads in progress that requests wait for, by table.
        self.urgent_reads: dict[str, asyncio.Task[bool]] = {}

    async def run(self) -> None:
        """Follow both tables until cancelled."""
        async with asyncio.TaskGroup() as followers:
            followers.create_task(
                self.follow(OPERATOR_TABLE, OPERATOR_LONG_POLL_TIMEOUT, timedelta())
            )
            followers.create_task(
                self.follow(SERVERS_TABLE, timedelta(), SERVERS_POLL_INTERVAL)
            )

    async def follow(self, table: str, wait: timedelta, pause: timedelta) -> None:
        """Follow one table."""
        view = self.view.tables[table]
        while True:
            age = view.age(self.clock.monotonic())
            due_in = self.read_due_in(age)
            if due_in > timedelta():
                idle = min(MAX_IDLE_WAIT, max(MIN_IDLE_WAIT, due_in))
                await self.clock.sleep(idle)
                continue
            began_at = self.clock.monotonic()
            # A table that is behind is read at once, not at the next change.
            if not await self.read_shared(table, wait if age <= wait else timedelta()):
                await self.clock.sleep(READ_RETRY_DELAY)
            elif table in self.reads_whole:
                # Leaves half of a slow link to other messages.
                took = self.clock.monotonic() - began_at
                await self.clock.sleep(max(pause, took))
            else:
                await self.clock.sleep(pause)

    async def read_shared(self, table: str, wait: timedelta) -> bool:
        """Read a table, or wait for the read that requests wait for."""
        reading = self.urgent_reads.get(table)
        if reading is None or reading.done():
            if wait:
                return await self.read_once(table, wait)
            reading = self.start_read(table)
        await asyncio.wait({reading})
        return reading.result()

    async def read_once(self, table: str, wait: timedelta) -> bool:
        """Read the changes, or the whole table if the change history is missing."""
        view = self.view.tables[table]
        asked_at = self.clock.monotonic()
        if view.fresh_at is None or table in self.reads_whole:
            read = await self.store.read(table)
        else:
            changes = await self.store.changes(table, view.version, wait)
            if changes.is_ok() and changes.ok is None:
                log.warning("change_history_missing", table=table, after=view.version)
                asked_at = self.clock.monotonic()
                read = await self.store.read(table)
            else:
                read = changes.map(require_rows)
        match read:
            case Result(tag="ok", ok=rows):
                self.record_success(table)
                self.choose_next_read(table, rows)
                if table == OPERATOR_TABLE and rows.rows:
                    log.info(
                        "operator_rows_read",
                        version=rows.version,
                        rows=len(rows.rows),
                        bytes=size_of(rows),
                        whole=rows.whole,
                        took=self.clock.monotonic() - asked_at,
                    )
                # Without changes, the store answered only when the wait was over.
                waited = wait if not (rows.rows or rows.whole) else timedelta()
                complete_at = self.completion_of(table, rows, asked_at, waited)
                self.view.apply(table, rows, complete_at, "store")
                return True
            case Result(error=failure):
                self.record_failure(table, failure.message)
                if has_costly_row(view.rows[key] for key in view.large_rows):
                    self.reads_whole.add(table)
        return False

    def choose_next_read(self, table: str, read: RowsRead) -> None:
        """Choose to read a table whole next if its large rows change.

        The changes hold each version of a large row, a whole read only the newest.
        """
        if has_costly_row(self.view.tables[table].updates_in(read)):
            self.reads_whole.add(table)
        else:
            self.reads_whole.discard(table)

    def completion_of(
        self, table: str, read: RowsRead, asked_at: timedelta, waited: timedelta
    ) -> timedelta:
        """Return the last time at which a read is known to have been complete.

        The store may answer from a copy that lags behind what it has said before.
        """
        learned = [
            item.learned_at
            for item in self.view.tables.values()
            if item.version > read.version
        ]
        from_store = self.store.superseded_at(read.version)
        superseded_at = min(
            [*learned, *([] if from_store is None else [from_store])], default=None
        )
        if superseded_at is None or superseded_at >= asked_at:
            self.outdated_at.pop(table, None)
            complete_at = asked_at + waited
            return (
                complete_at
                if superseded_at is None
                else min(complete_at, superseded_at)
            )
        self.outdated_at[table] = self.clock.monotonic()
        log.warning(
            "outdated_read",
            table=table,
            version=read.version,
            age=asked_at - superseded_at,
        )
        return superseded_at

    async def ensure_fresh(self, bounds: TableBounds) -> bool:
        """Return whether the tables are fresh enough to route a request by them.

        Tables that are nearly too old are read first. Updates normally arrive in time;
        only an instance that was paused, whose updates are late, or that sends them
        finds its tables too old when it is about to use them. While the store cannot be
        read, what is known is used whatever its age.

        The configuration is that of when the request came. The list of servers must be
        fresh when the request is sent, so the wait for the read counts.
        """
        received_at = self.clock.monotonic()
        await self.read_tables_older_than(bounds.read_above)
        now = self.clock.monotonic()
        used_at = {OPERATOR_TABLE: received_at, SERVERS_TABLE: now}
        return self.are_fresh(bounds, used_at)

    async def ensure_list_fresh(self, bounds: TableBounds) -> bool:
        """Return whether the list of servers is fresh enough to send a request by it.

        Tables that are nearly too old are read first, as in `ensure_fresh`.
        """
        await self.read_tables_older_than(bounds.read_above)
        return self.are_fresh(bounds, {SERVERS_TABLE: self.clock.monotonic()})

    def are_fresh(self, bounds: TableBounds, used_at: Mapping[str, timedelta]) -> bool:
        """Return whether tables are fresh at given times, and log if they are not."""
        outdated = self.outdated_tables(bounds, used_at)
        if outdated:
            ages = [self.view.tables[name].age(used_at[name]) for name in outdated]
            log.warning("tables_outdated", tables=sorted(outdated), age=max(ages))
        return not outdated

    def is_fresh(self, bounds: TableBounds) -> bool:
        """Return the same as `ensure_fresh`, without a read."""
        now = self.clock.monotonic()
        return not self.outdated_tables(bounds, dict.fromkeys(self.view.tables, now))

    def is_list_fresh(self, bounds: TableBounds) -> bool:
        """Return the same as `ensure_list_fresh`, without a read."""
        return not self.outdated_tables(bounds, {SERVERS_TABLE: self.clock.monotonic()})

    def outdated_tables(
        self, bounds: TableBounds, used_at: Mapping[str, timedelta]
    ) -> list[str]:
        """Return the tables that are too old, unless the store can't be read now."""
        return [
            name
            for name, at in used_at.items()
            if not self.is_unreadable(name)
            and self.view.tables[name].age(at) > self.max_age(name, bounds)
        ]

    def is_unreadable(self, table: str) -> bool:
        """Return whether the last read of a table failed, a short time ago."""
        failed_at = self.view.tables[table].failed_at
        return (
            table in self.failing
            and failed_at is not None
            and self.clock.monotonic() - failed_at < DISTURBANCE_VALIDITY
        )

    def max_age(self, table: str, bounds: TableBounds) -> timedelta:
        """Return the age from which a table is not used.

        The bound is wider while the store gives reads that lag behind, and for
        configurations a while longer, as the platform allows.
        """
        seen_at = self.outdated_at.get(table)
        if seen_at is None:
            return bounds.max_ages[table]
        wider_for = (
            bounds.extension if table == OPERATOR_TABLE else DISTURBANCE_VALIDITY
        )
        lags = self.clock.monotonic() - seen_at < wider_for
        return bounds.max_ages[table] + (bounds.extension if lags else timedelta())

    async def read_tables_older_than(self, oldest: timedelta) -> None:
        """Read the tables above an age, except those whose last read failed."""
        now = self.clock.monotonic()
        stale = [
            name
            for name, table in self.view.tables.items()
            if table.age(now) > oldest and not self.is_unreadable(name)
        ]
        if not stale:
            return
        reads = [self.start_read(name) for name in stale]
        timeout = asyncio.ensure_future(self.clock.sleep(STALE_READ_TIMEOUT))
        pending = set(reads)
        while pending and not timeout.done():
            await asyncio.wait({*pending, timeout}, return_when="FIRST_COMPLETED")
            pending = {read for read in pending if not read.done()}
        timeout.cancel()
        log.info(
            "stale_tables_awaited",
            tables=sorted(stale),
            age=max(self.view.tables[name].age(now) for name in stale),
            waited=self.clock.monotonic() - now,
            in_time=not pending,
        )

    def start_read(self, table: str) -> asyncio.Task[bool]:
        """Return the read of a table that is in progress, or start one."""
        task = self.urgent_reads.get(table)
        if task is None or task.done():
            task = asyncio.create_task(self.read_once(table, timedelta()))
            self.urgent_reads[table] = task
        return task

    def record_success(self, table: str) -> None:
        """Record, and log after a failure, that the store can be read."""
        if table in self.failing:
            self.failing.discard(table)
            log.info("store_readable", table=table)

    def record_failure(self, table: str, reason: str) -> None:
        """Record, and log once, that the store cannot be read."""
        now = self.clock.monotonic()
        self.view.tables[table].failed_at = now
        if table not in self.failing:
            self.failing.add(table)
            age = self.view.tables[table].age(now)
            log.warning("store_unreadable", table=table, reason=reason, age=age)


def has_costly_row(rows: Iterable[StoredRow]) -> bool:
    """Return whether reading several versions of one of the rows takes long."""
    return any(row.value and len(row.value) >= COSTLY_ROW_BYTES for row in rows)


def size_of(read: RowsRead) -> int:
    """Return the size of all values of a read in bytes."""
    return sum(len(row.value or b"") for row in read.rows)


def require_rows(read: RowsRead | None) -> RowsRead:
    """Return the rows of a read that had its change history."""
    assert read is not None, "without its change history, a table is read as a whole"
    return read
