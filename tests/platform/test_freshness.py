"""Requests are not decided on news of the store that is too old."""

import asyncio
from datetime import timedelta

from expression import Error, Ok

from magnoliatrail.clock import ManualClock
from magnoliatrail.errors import ErrorKind, Failure
from magnoliatrail.membership.fleet_view import FleetView
from magnoliatrail.membership.store_reader import StoreReader
from magnoliatrail.platform.protocol import OPERATOR_TABLE, SERVERS_TABLE
from magnoliatrail.platform.rows import RowsRead
from tests.platform.test_views import server_row

OLDEST = timedelta(seconds=1.7)


class Changes:
    """Answer reads of what changed, or fail."""

    def __init__(self):
        self.rows = {OPERATOR_TABLE: [], SERVERS_TABLE: []}
        self.calls = []
        self.down = False

    async def changes(self, table, after, wait):
        self.calls.append((table, wait))
        await asyncio.sleep(0)
        if self.down:
            return Error(Failure(ErrorKind.TABLE_UNAVAILABLE, "down"))
        rows = tuple(row for row in self.rows[table] if row.version > after)
        return Ok(RowsRead(rows, after + 1, whole=False))


class Known:
    """An instance's knowledge: one ready server, known a moment ago."""

    def __init__(self):
        self.clock = ManualClock()
        self.store = Changes()
        self.view = FleetView(self.clock)
        now = self.clock.monotonic()
        for table in (OPERATOR_TABLE, SERVERS_TABLE):
            rows = (server_row(1),) if table == SERVERS_TABLE else ()
            self.view.apply(table, RowsRead(rows, 1, whole=True), now, "store")
        self.reader = StoreReader(
            clock=self.clock,
            store=self.store,
            view=self.view,
            should_read=lambda age: False,
        )


def test_a_server_that_left_while_the_instance_was_held_up_is_not_used(run):
    async def scenario():
        known = Known()
        known.store.rows[SERVERS_TABLE].append(server_row(2, state="draining"))
        known.clock.advance(timedelta(seconds=2))
        assert known.view.usable("models")
        await known.reader.ensure_fresh(OLDEST)
        assert not known.view.usable("models")
        assert known.view.age() == timedelta()

    run(scenario())


def test_news_that_is_young_enough_costs_no_call(run):
    async def scenario():
        known = Known()
        known.clock.advance(OLDEST)
        await known.reader.ensure_fresh(OLDEST)
        assert not known.store.calls

    run(scenario())


def test_requests_that_wait_together_share_one_read_of_a_table(run):
    async def scenario():
        known = Known()
        known.clock.advance(timedelta(seconds=2))
        waits = [known.reader.ensure_fresh(OLDEST) for _ in range(20)]
        await asyncio.gather(*waits)
        tables = sorted(known.store.calls)
        nothing = timedelta()
        assert tables == [(OPERATOR_TABLE, nothing), (SERVERS_TABLE, nothing)]

    run(scenario())


def test_requests_go_on_with_what_is_known_while_the_store_is_away(run):
    async def scenario():
        known = Known()
        known.clock.advance(timedelta(seconds=2))
        known.store.down = True
        await known.reader.ensure_fresh(OLDEST)
        calls = len(known.store.calls)
        await known.reader.ensure_fresh(OLDEST)
        assert len(known.store.calls) == calls
        assert known.view.usable("models")

    run(scenario())
