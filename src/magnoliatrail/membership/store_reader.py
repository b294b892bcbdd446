"""Reads of the store that keep an instance's view up to date."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

from expression import Result

from magnoliatrail.clock import Clock
from magnoliatrail.logs import EventLog
from magnoliatrail.membership.fleet_view import FleetView
from magnoliatrail.platform.protocol import OPERATOR_TABLE, SERVERS_TABLE
from magnoliatrail.platform.rows import RowsRead, RowStore

log = EventLog("membership")

# Longest time that the store holds a read open for the operators' next write.
OPERATOR_WAIT = timedelta(seconds=0.8)
# Pause between two reads of the servers, whose rows change all the time.
SERVERS_PAUSE = timedelta(seconds=0.7)
# Pause after a read that failed.
FAILED_PAUSE = timedelta(seconds=0.3)
# Longest wait for news before a request is decided on what is known.
NEWS_PATIENCE = timedelta(milliseconds=300)
# Pause before a reader without duty looks again whether its news is late.
IDLE_PAUSE = timedelta(seconds=0.1)


class StoreReader:
    """Follow the tables of the store while it is this instance's task."""

    def __init__(
        self,
        *,
        clock: Clock,
        store: RowStore,
        view: FleetView,
        on_duty: Callable[[timedelta], bool],
    ) -> None:
        self.clock = clock
        self.store = store
        self.view = view
        # Whether to read now, given the age of what is known of a table.
        self.on_duty = on_duty
        self.failing: set[str] = set()
        # Reads under way that requests wait for.
        self.hurried: dict[str, asyncio.Task[bool]] = {}

    async def run(self) -> None:
        """Follow both tables for ever."""
        await asyncio.gather(
            self.follow(OPERATOR_TABLE, OPERATOR_WAIT, timedelta()),
            self.follow(SERVERS_TABLE, timedelta(), SERVERS_PAUSE),
        )

    async def follow(self, table: str, wait: timedelta, pause: timedelta) -> None:
        """Follow one table."""
        view = self.view.tables[table]
        while True:
            if not self.on_duty(view.age(self.clock.monotonic())):
                await self.clock.sleep(IDLE_PAUSE)
            elif await self.read_once(table, wait):
                await self.clock.sleep(pause)
            else:
                await self.clock.sleep(FAILED_PAUSE)

    async def read_once(self, table: str, wait: timedelta) -> bool:
        """Read what changed, or the whole table if that cannot be told."""
        view = self.view.tables[table]
        asked_at = self.clock.monotonic()
        if view.fresh_at is None:
            read = await self.store.read(table)
        else:
            changes = await self.store.changes(table, view.version, wait)
            if changes.is_ok() and changes.ok is None:
                log.warning("history_gone", table=table, after=view.version)
                asked_at = self.clock.monotonic()
                read = await self.store.read(table)
            else:
                read = changes.map(known_rows)
        match read:
            case Result(tag="ok", ok=rows):
                self.note_success(table)
                # Without news, the store answered only when the wait was over.
                waited = wait if not (rows.rows or rows.whole) else timedelta()
                self.view.take(table, rows, asked_at + waited, "store")
                return True
            case Result(error=failure):
                self.note_failure(table, failure.message)
        return False

    async def ensure_fresh(self, oldest: timedelta) -> None:
        """Read the tables that are older, unless the store is known not to answer.

        News is passed on in time; only an instance that was held up, or the one that
        passes the news on, finds it too old when it is about to use it.
        """
        now = self.clock.monotonic()
        late = [
            name
            for name, table in self.view.tables.items()
            if table.age(now) > oldest and name not in self.failing
        ]
        if not late:
            return
        reads = [self.hurry(name) for name in late]
        _, pending = await asyncio.wait(reads, timeout=NEWS_PATIENCE.total_seconds())
        log.info(
            "news_hurried",
            tables=sorted(late),
            age=max(self.view.tables[name].age(now) for name in late),
            waited=self.clock.monotonic() - now,
            in_time=not pending,
        )

    def hurry(self, table: str) -> asyncio.Task[bool]:
        """Return the read of a table that is under way, or begin one."""
        task = self.hurried.get(table)
        if task is None or task.done():
            task = asyncio.create_task(self.read_once(table, timedelta()))
            self.hurried[table] = task
        return task

    def note_success(self, table: str) -> None:
        """Log that the store can be read again."""
        if table in self.failing:
            self.failing.discard(table)
            log.info("store_regained", table=table)

    def note_failure(self, table: str, reason: str) -> None:
        """Note, and log once, that the store cannot be read."""
        now = self.clock.monotonic()
        self.view.tables[table].failed_at = now
        if table not in self.failing:
            self.failing.add(table)
            age = self.view.tables[table].age(now)
            log.warning("store_lost", table=table, reason=reason, age=age)


def known_rows(read: RowsRead | None) -> RowsRead:
    """Return the rows of a read whose history was not gone."""
    assert read is not None, "a history that is gone is read as a whole table"
    return read
