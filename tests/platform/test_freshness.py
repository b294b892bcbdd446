"""Requests are not routed by table copies that are too old."""

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

MAX_TABLE_AGE = timedelta(seconds=1.7)


class FakeStoreClient:
    """A store client that returns changed rows, or fails while it is down."""

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


class ReaderFixture:
    """The view of an instance with one ready server, read just now."""

    def __init__(self):
        self.clock = ManualClock()
        self.store = FakeStoreClient()
        self.view = FleetView(self.clock)
        now = self.clock.monotonic()
        for table in (OPERATOR_TABLE, SERVERS_TABLE):
            rows = (server_row(1),) if table == SERVERS_TABLE else ()
            self.view.apply(table, RowsRead(rows, 1, whole=True), now, "store")
        self.reader = StoreReader(
            clock=self.clock,
            store=self.store,
            view=self.view,
            read_due_in=lambda age: timedelta(days=1),
        )


def test_a_server_that_left_while_the_instance_was_held_up_is_not_used(run):
    async def scenario():
        fixture = ReaderFixture()
        fixture.store.rows[SERVERS_TABLE].append(server_row(2, state="draining"))
        fixture.clock.advance(timedelta(seconds=2))
        assert fixture.view.usable("models")
        await fixture.reader.ensure_fresh(MAX_TABLE_AGE)
        assert not fixture.view.usable("models")
        assert fixture.view.age() == timedelta()

    run(scenario())


def test_tables_that_are_fresh_enough_cost_no_call(run):
    async def scenario():
        fixture = ReaderFixture()
        fixture.clock.advance(MAX_TABLE_AGE)
        await fixture.reader.ensure_fresh(MAX_TABLE_AGE)
        assert not fixture.store.calls

    run(scenario())


def test_requests_that_wait_together_share_one_read_of_a_table(run):
    async def scenario():
        fixture = ReaderFixture()
        fixture.clock.advance(timedelta(seconds=2))
        waits = [fixture.reader.ensure_fresh(MAX_TABLE_AGE) for _ in range(20)]
        await asyncio.gather(*waits)
        tables = sorted(fixture.store.calls)
        nothing = timedelta()
        assert tables == [(OPERATOR_TABLE, nothing), (SERVERS_TABLE, nothing)]

    run(scenario())


def test_requests_use_the_known_tables_while_the_store_is_down(run):
    async def scenario():
        fixture = ReaderFixture()
        fixture.clock.advance(timedelta(seconds=2))
        fixture.store.down = True
        await fixture.reader.ensure_fresh(MAX_TABLE_AGE)
        calls = len(fixture.store.calls)
        await fixture.reader.ensure_fresh(MAX_TABLE_AGE)
        assert len(fixture.store.calls) == calls
        assert fixture.view.usable("models")

    run(scenario())
