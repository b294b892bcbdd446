"""An instance with nothing to do sets no timers for work that it doesn't have."""

import asyncio
from datetime import timedelta

from magnoliatrail.cells.fleet_cells import FIRST_TABLES_GRACE, FleetCells
from magnoliatrail.cells.lease import Identity
from magnoliatrail.cells.link import OwnerLink
from magnoliatrail.clock import ManualClock
from magnoliatrail.generated.cells import ReportAnswer
from magnoliatrail.ids import CellId
from magnoliatrail.membership.fleet_view import FleetView
from magnoliatrail.membership.store_reader import MAX_IDLE_WAIT, StoreReader
from magnoliatrail.platform.protocol import SERVERS_TABLE
from tests.platform.fake_store import FakeRows

SHORTEST = timedelta(milliseconds=50)


class CountingClock(ManualClock):
    """A manual clock that keeps the durations of the sleeps."""

    def __init__(self):
        super().__init__()
        self.slept = []

    async def sleep(self, duration):
        self.slept.append(duration)
        await super().sleep(duration)


def link_with_owner(clock):
    """Return a link whose owner just answered."""
    identity = Identity("b", "b-1", "b:1")
    link = OwnerLink(clock=clock, peers=None, identity=identity, cell=CellId("0"))
    link.use_owner("a", "a:1")
    link.apply_answer(answer(owner=True))
    return link


def answer(*, owner):
    return ReportAnswer(
        owner=owner,
        row_version=1,
        news=[],
        engines=[],
        instances=[],
        instances_digest=0,
        spread=[],
    )


async def settle():
    for _ in range(5):
        await asyncio.sleep(0)


def test_nothing_wakes_while_the_owner_answers(run):
    async def scenario():
        clock = CountingClock()
        link = link_with_owner(clock)
        waiting = asyncio.create_task(link.wait_while_trusted(SHORTEST))
        await settle()
        assert not clock.slept
        assert not waiting.done()
        waiting.cancel()

    run(scenario())


def test_an_owner_that_lost_its_lease_wakes_those_who_wait(run):
    async def scenario():
        link = link_with_owner(CountingClock())
        waiting = asyncio.create_task(link.wait_while_trusted(SHORTEST))
        await settle()
        link.apply_answer(answer(owner=False))
        await settle()
        assert waiting.done()

    run(scenario())


def test_without_an_owner_the_check_is_repeated_soon(run):
    async def scenario():
        clock = CountingClock()
        link = link_with_owner(clock)
        link.answered_at = None
        waiting = asyncio.create_task(link.wait_while_trusted(SHORTEST))
        await settle()
        assert clock.slept == [SHORTEST]
        waiting.cancel()

    run(scenario())


def test_a_reader_sleeps_until_its_tables_are_due(run):
    async def scenario():
        clock = CountingClock()
        due_in = timedelta(seconds=0.3)
        reader = StoreReader(
            clock=clock,
            store=FakeRows(),
            view=FleetView(clock),
            read_due_in=lambda age: due_in,
        )
        following = asyncio.create_task(
            reader.follow(SERVERS_TABLE, timedelta(), timedelta())
        )
        await settle()
        assert clock.slept == [due_in]
        due_in = timedelta(days=1)
        clock.advance(timedelta(seconds=0.3))
        await settle()
        assert clock.slept[-1] == MAX_IDLE_WAIT
        following.cancel()

    run(scenario())


def test_tables_that_were_never_read_are_due_at_once():
    clock = ManualClock()
    cells = FleetCells(
        clock=clock,
        store=FakeRows(),
        view=FleetView(clock),
        generator=None,
        new_member=None,
        max_update_age=timedelta(seconds=2),
        identity=None,
    )
    clock.advance(FIRST_TABLES_GRACE)
    assert cells.read_due_in(timedelta.max) == timedelta()
    assert cells.read_due_in(timedelta()) > timedelta()
