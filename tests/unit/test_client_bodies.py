"""Which bodies get memory, and which give way, if it is short."""

import asyncio
from datetime import timedelta

import pytest

from magnoliatrail.clock import ManualClock
from magnoliatrail.inbound import bodies
from magnoliatrail.inbound.bodies import (
    SMALL_BODY_BYTES,
    BodyAdmission,
    body_to_refuse,
)
from magnoliatrail.memory_budget import HeldKind, MemoryBudget

SECOND = timedelta(seconds=1)
SIZE = 1_000_000
# Of unfinished bodies, and what large ones leave to the others.
ROOM = 400_000
SPARE = 100_000


@pytest.fixture(autouse=True)
def short_wait(monkeypatch):
    monkeypatch.setattr(bodies, "MAX_WAIT", timedelta(milliseconds=20))


class Bodies:
    """An admission whose clock is moved by hand, and the bodies that it refused."""

    def __init__(self):
        self.clock = ManualClock()
        self.budget = MemoryBudget(SIZE)
        self.admission = BodyAdmission(
            clock=self.clock, budget=self.budget, kind=HeldKind.BODIES
        )
        self.refused = []

    def open(self, name, size=0, *, length=None):
        """Open a body that holds bytes."""

        def refuse():
            self.refused.append(name)
            self.admission.close(body)
            body.holding.close()

        body = self.admission.open(refuse, length)
        assert body.holding.try_grow(size)
        return body


def test_a_small_body_has_room_beside_large_ones():
    all_bodies = Bodies()
    all_bodies.open("large", ROOM - SPARE)
    small = all_bodies.open("small")
    other = all_bodies.open("other large", length=200_000)
    assert all_bodies.admission.try_take(small, SMALL_BODY_BYTES)
    assert not all_bodies.admission.try_take(other, 1)


# Guards against a body within the limits that is refused while nothing else is held.
def test_a_body_alone_may_use_the_whole_room():
    all_bodies = Bodies()
    body = all_bodies.open("alone")
    assert all_bodies.admission.try_take(body, ROOM)
    assert not all_bodies.admission.try_take(body, 1)


def test_a_body_goes_on_when_another_one_ends(run):
    async def scenario():
        all_bodies = Bodies()
        first, second = (
            all_bodies.open("first", ROOM - SPARE),
            all_bodies.open("second", length=200_000),
        )
        taking = asyncio.create_task(all_bodies.admission.take(second, 50_000))
        await asyncio.sleep(0)
        assert not taking.done()
        all_bodies.admission.close(first)
        first.holding.close()
        assert await taking
        assert not all_bodies.refused
        assert second.holding.size == 50_000

    run(scenario())


# Guards against connections that stop just short of the end and keep others out.
def test_silent_bodies_give_way_to_one_that_waits(run):
    async def scenario():
        all_bodies = Bodies()
        all_bodies.open("silent", 150_000)
        all_bodies.open("silent too", 150_000)
        all_bodies.clock.advance(2 * SECOND)
        newest = all_bodies.open("newest", length=200_000)
        assert await all_bodies.admission.take(newest, 64_000)
        assert len(all_bodies.refused) == 1

    run(scenario())


def test_the_newest_body_is_refused_if_the_others_are_faster(run):
    async def scenario():
        all_bodies = Bodies()
        fast = all_bodies.open("fast", ROOM - SPARE)
        all_bodies.clock.advance(2 * SECOND)
        fast.last_at = all_bodies.clock.monotonic()
        newest = all_bodies.open("newest", length=200_000)
        assert not await all_bodies.admission.take(newest, 64_000)
        assert not all_bodies.refused
        assert not newest.holding.size

    run(scenario())


def test_the_slowest_of_the_bodies_that_arrive_gives_way():
    all_bodies = Bodies()
    slow, fast = all_bodies.open("slow", 10_000), all_bodies.open("fast", 200_000)
    all_bodies.clock.advance(2 * SECOND)
    slow.last_at = fast.last_at = all_bodies.clock.monotonic()
    waiting = all_bodies.open("waiting", 90_000)
    now = all_bodies.clock.monotonic()
    assert body_to_refuse(all_bodies.admission.bodies, waiting, now) is slow


# Guards against bodies that all get a part of the memory, so that none is complete.
def test_of_bodies_that_wait_the_one_that_misses_most_gives_way():
    all_bodies = Bodies()
    large = all_bodies.open("large", 200_000, length=4_000_000)
    small = all_bodies.open("small", 100_000, length=1_000_000)
    all_bodies.clock.advance(2 * SECOND)
    now = all_bodies.clock.monotonic()
    small.waiting_since = large.waiting_since = now
    bodies_open = all_bodies.admission.bodies
    assert body_to_refuse(bodies_open, small, now) is large
    assert body_to_refuse(bodies_open, large, now) is None


def test_memory_goes_to_the_body_that_misses_least(run):
    async def scenario():
        all_bodies = Bodies()
        first = all_bodies.open("first", ROOM - SPARE)
        large = all_bodies.open("large", length=4_000_000)
        small = all_bodies.open("small", length=200_000)
        taking = [
            asyncio.create_task(all_bodies.admission.take(body, 200_000))
            for body in (large, small)
        ]
        await asyncio.sleep(0)
        all_bodies.admission.close(first)
        first.holding.close()
        assert await taking[1]
        assert not taking[0].done()
        assert not await taking[0]

    run(scenario())


# Guards against silent bodies that keep others waiting for the whole second.
def test_bodies_that_become_silent_give_way_at_once(run, monkeypatch):
    async def scenario():
        monkeypatch.setattr(bodies, "MAX_WAIT", SECOND * 60)
        monkeypatch.setattr(bodies, "SILENCE_CHECK_SECONDS", 0.001)
        all_bodies = Bodies()
        all_bodies.open("silent", ROOM - SPARE)
        newest = all_bodies.open("newest", length=200_000)
        taking = asyncio.create_task(all_bodies.admission.take(newest, 64_000))
        await asyncio.sleep(0.01)
        assert not taking.done()
        all_bodies.clock.advance(2 * SECOND)
        assert await asyncio.wait_for(taking, 5)
        assert all_bodies.refused == ["silent"]

    run(scenario())


def test_a_young_body_does_not_give_way():
    all_bodies = Bodies()
    all_bodies.open("young", 100)
    waiting = all_bodies.open("waiting", 90_000)
    assert body_to_refuse(all_bodies.admission.bodies, waiting, SECOND / 2) is None


# Guards against a body that counts as silent because its listener does not read it.
def test_a_body_that_waits_for_memory_is_not_silent():
    all_bodies = Bodies()
    body = all_bodies.open("waits", 10_000)
    body.waiting_since = all_bodies.clock.monotonic()
    all_bodies.clock.advance(5 * SECOND)
    assert body.rate(all_bodies.clock.monotonic()) == 10_000


def test_a_body_that_is_closed_while_it_waits_gets_nothing(run):
    async def scenario():
        all_bodies = Bodies()
        first, second = (
            all_bodies.open("first", ROOM - SPARE),
            all_bodies.open("second", length=200_000),
        )
        taking = asyncio.create_task(all_bodies.admission.take(second, 50_000))
        await asyncio.sleep(0)
        all_bodies.admission.close(second)
        second.holding.close()
        assert not await taking
        assert all_bodies.budget.held[HeldKind.BODIES] == first.holding.size
        assert not all_bodies.admission.waiting

    run(scenario())
