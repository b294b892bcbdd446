"""Requests are not routed by table copies that are too old."""

import asyncio
from datetime import timedelta

import pytest
from expression import Error, Ok

from magnoliatrail.clock import ManualClock
from magnoliatrail.errors import ErrorKind, Failure
from magnoliatrail.membership.fleet_view import FleetView
from magnoliatrail.membership.store_reader import (
    STALE_READ_TIMEOUT,
    StoreReader,
)
from magnoliatrail.membership.table_bounds import TableBounds
from magnoliatrail.platform.protocol import OPERATOR_TABLE, SERVERS_TABLE
from magnoliatrail.platform.rows import RowsRead
from tests.platform.test_views import server_row

MAX_AGE = timedelta(seconds=2)
TABLE_BOUNDS = TableBounds(
    read_above=timedelta(seconds=1.7),
    max_ages={OPERATOR_TABLE: MAX_AGE, SERVERS_TABLE: MAX_AGE},
    extension=timedelta(seconds=5),
)


class FakeStoreClient:
    """A store client that returns changed rows, or fails while it is down."""

    def __init__(self):
        self.rows = {OPERATOR_TABLE: [], SERVERS_TABLE: []}
        self.calls = []
        self.down = False
        # Set to let reads wait until it is done.
        self.silent = None
        # When a newer version than any that reads give was learned.
        self.newer_learned_at = None

    def superseded_at(self, version):
        return self.newer_learned_at

    async def changes(self, table, after, wait):
        self.calls.append((table, wait))
        await asyncio.sleep(0)
        if self.silent:
            await self.silent
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
        await fixture.reader.ensure_fresh(TABLE_BOUNDS)
        assert not fixture.view.usable("models")
        assert fixture.view.age() == timedelta()

    run(scenario())


def test_tables_that_are_fresh_enough_cost_no_call(run):
    async def scenario():
        fixture = ReaderFixture()
        fixture.clock.advance(TABLE_BOUNDS.read_above)
        await fixture.reader.ensure_fresh(TABLE_BOUNDS)
        assert not fixture.store.calls

    run(scenario())


def test_requests_that_wait_together_share_one_read_of_a_table(run):
    async def scenario():
        fixture = ReaderFixture()
        fixture.clock.advance(timedelta(seconds=2))
        waits = [fixture.reader.ensure_fresh(TABLE_BOUNDS) for _ in range(20)]
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
        await fixture.reader.ensure_fresh(TABLE_BOUNDS)
        calls = len(fixture.store.calls)
        await fixture.reader.ensure_fresh(TABLE_BOUNDS)
        assert len(fixture.store.calls) == calls
        assert fixture.view.usable("models")

    run(scenario())


# Guards against requests that are handled by an older configuration (CONFIG): an
# instance whose reads hung waited for 0.3 s and went on by what it knew.
def test_a_request_is_refused_while_tables_are_too_old_and_a_read_hangs(run):
    async def scenario():
        fixture = ReaderFixture()
        fixture.store.silent = asyncio.get_running_loop().create_future()
        fixture.clock.advance(timedelta(seconds=2.1))
        waiting = asyncio.create_task(fixture.reader.ensure_fresh(TABLE_BOUNDS))
        await asyncio.sleep(0.01)
        assert not waiting.done()
        fixture.clock.advance(STALE_READ_TIMEOUT)
        assert await waiting is False
        fixture.store.silent.set_result(None)
        assert await fixture.reader.ensure_fresh(TABLE_BOUNDS) is True

    run(scenario())


async def fresh_after_a_wait(fixture, *, age):
    """Return whether a request is sent whose wait for hanging reads began at an age."""
    fixture.store.silent = asyncio.get_running_loop().create_future()
    fixture.clock.advance(age)
    waiting = asyncio.create_task(fixture.reader.ensure_fresh(TABLE_BOUNDS))
    await asyncio.sleep(0.01)
    fixture.clock.advance(STALE_READ_TIMEOUT)
    return await waiting


def test_a_request_that_came_before_the_configuration_was_too_old_is_served(run):
    async def scenario():
        fixture = ReaderFixture()
        read = RowsRead((), 1, whole=False)
        fixture.clock.advance(timedelta(seconds=1))
        now = fixture.clock.monotonic()
        fixture.view.apply(SERVERS_TABLE, read, now, "store")
        assert await fresh_after_a_wait(fixture, age=timedelta(seconds=0.9)) is True

    run(scenario())


# Guards against requests that reach a server later after its departure than the bound
# (DRAIN): the age of the list was judged before the wait for a read of it.
@pytest.mark.parametrize(
    ("age", "fresh"), [(timedelta(seconds=1.9), False), (timedelta(seconds=1.7), True)]
)
def test_the_list_of_servers_must_be_fresh_after_the_wait_for_a_read(run, age, fresh):
    async def scenario():
        fixture = ReaderFixture()
        assert await fresh_after_a_wait(fixture, age=age) is fresh
        assert fixture.reader.is_list_fresh(TABLE_BOUNDS) is fresh

    run(scenario())


# Guards against a table that is dated by a read from a copy of the store that lags.
def test_a_read_that_lags_behind_what_the_store_said_does_not_refresh_a_table(run):
    async def scenario():
        fixture = ReaderFixture()
        learned_at = fixture.clock.monotonic() + timedelta(seconds=0.5)
        fixture.store.newer_learned_at = learned_at
        fixture.clock.advance(timedelta(seconds=2))
        await fixture.reader.read_once(OPERATOR_TABLE, timedelta())
        assert fixture.view.tables[OPERATOR_TABLE].fresh_at == learned_at

    run(scenario())


# Guards against a store taken for lagging, as two of its reads overlapped.
def test_a_version_that_was_learned_after_a_read_was_asked_for_does_not_date_it(run):
    async def scenario():
        fixture = ReaderFixture()
        fixture.clock.advance(timedelta(seconds=1))
        asked_at = fixture.clock.monotonic()
        other_asked_at = asked_at - timedelta(seconds=0.5)
        newer = RowsRead((), 9, whole=False)
        fixture.clock.advance(timedelta(seconds=0.2))
        fixture.view.apply(SERVERS_TABLE, newer, other_asked_at, "store")
        read = RowsRead((), 8, whole=False)
        dated = fixture.reader.completion_of(
            OPERATOR_TABLE, read, asked_at, timedelta()
        )
        assert dated == asked_at
        assert not fixture.reader.outdated_at

    run(scenario())


def test_lagging_reads_widen_the_bound_by_the_extension_only(run):
    async def scenario():
        fixture = ReaderFixture()
        fixture.store.newer_learned_at = fixture.clock.monotonic()
        fixture.clock.advance(timedelta(seconds=3))
        assert await fixture.reader.ensure_fresh(TABLE_BOUNDS) is True
        fixture.clock.advance(timedelta(seconds=4.5))
        assert await fixture.reader.ensure_fresh(TABLE_BOUNDS) is False

    run(scenario())


# Guards against requests that are sent by a list that is too old (DRAIN): one read that
# lagged widened the bound by seconds, also once the lag was over.
def test_the_bound_is_no_wider_after_a_read_that_does_not_lag(run):
    async def scenario():
        fixture = ReaderFixture()
        fixture.store.newer_learned_at = fixture.clock.monotonic()
        fixture.clock.advance(timedelta(seconds=1))
        await fixture.reader.read_once(SERVERS_TABLE, timedelta())
        assert fixture.reader.outdated_at
        fixture.store.newer_learned_at = None
        for table in (OPERATOR_TABLE, SERVERS_TABLE):
            await fixture.reader.read_once(table, timedelta())
        fixture.store.silent = asyncio.get_running_loop().create_future()
        fixture.clock.advance(MAX_AGE + timedelta(seconds=0.1))
        assert not fixture.reader.is_list_fresh(TABLE_BOUNDS)

    run(scenario())


def test_a_table_that_is_behind_is_read_without_a_long_poll(run):
    async def scenario():
        fixture = ReaderFixture()
        fixture.reader.read_due_in = lambda age: timedelta()
        wait = timedelta(seconds=0.4)
        following = asyncio.create_task(
            fixture.reader.follow(OPERATOR_TABLE, wait, timedelta(seconds=1))
        )
        fixture.clock.advance(timedelta(seconds=1.2))
        await asyncio.sleep(0.01)
        fixture.clock.advance(timedelta(seconds=1))
        await asyncio.sleep(0.01)
        following.cancel()
        assert [waited for _, waited in fixture.store.calls] == [timedelta()] * 2

    run(scenario())


def test_idle_waits_do_not_change_the_long_poll(run):
    async def scenario():
        fixture = ReaderFixture()
        due = [timedelta(seconds=0.1), timedelta()]
        fixture.reader.read_due_in = lambda age: due.pop(0) if due else timedelta()
        wait = timedelta(seconds=0.4)
        following = asyncio.create_task(
            fixture.reader.follow(OPERATOR_TABLE, wait, timedelta(seconds=1))
        )
        await asyncio.sleep(0.01)
        fixture.clock.advance(timedelta(seconds=0.1))
        await asyncio.sleep(0.01)
        following.cancel()
        assert [waited for _, waited in fixture.store.calls] == [wait]

    run(scenario())
