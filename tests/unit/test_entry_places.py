import asyncio
from datetime import timedelta

from magnoliatrail.clock import SystemClock
from magnoliatrail.engines.load_turns import LoadTurns
from magnoliatrail.entry.places import EntryPlaces
from magnoliatrail.errors import ErrorKind
from magnoliatrail.generated.permits import RequestClass
from magnoliatrail.placement.load_rate_limiter import LoadLimits
from magnoliatrail.requests import RequestContext

CLOCK = SystemClock()


def context(name, *, caller="one", seconds=30.0):
    now = CLOCK.monotonic()
    return RequestContext(
        request_id=name,
        caller=caller,
        request_class=RequestClass.INTERACTIVE,
        started=now,
        deadline=now + timedelta(seconds=seconds),
        idempotency_key="",
    )


def new_places(limit=2):
    places = EntryPlaces(clock=CLOCK, queue_limit=lambda caller: limit)
    places.set_places("engine", 1)
    return places


async def settle():
    for _ in range(3):
        await asyncio.sleep(0)


def test_a_request_waits_for_the_place_of_another(run):
    async def play():
        places = new_places()
        first = context("first")
        assert (await places.acquire("engine", first)).is_ok()
        second = asyncio.create_task(places.acquire("engine", context("second")))
        await settle()
        assert not second.done()
        places.release("engine", first)
        assert (await second).is_ok()
        assert places.demand()["engine"].in_flight == 1

    run(play())


def test_a_full_queue_refuses_at_once_and_says_when_to_come_back(run):
    async def play():
        places = new_places(limit=0)
        await places.acquire("engine", context("first"))
        failure = (await places.acquire("engine", context("second"))).error
        assert failure.kind is ErrorKind.QUEUE_FULL
        assert failure.not_run
        assert failure.retry_after >= timedelta(seconds=1)

    run(play())


def test_a_queue_longer_than_the_time_left_refuses_at_once(run):
    async def play():
        places = new_places()
        places.service_seconds = 10.0
        await places.acquire("engine", context("first"))
        waiting = asyncio.create_task(places.acquire("engine", context("second")))
        await settle()
        late = await places.acquire("engine", context("third", seconds=5))
        assert late.error.kind is ErrorKind.DEADLINE_UNREACHABLE
        waiting.cancel()

    run(play())


def test_a_cancelled_wait_leaves_no_trace(run):
    async def play():
        places = new_places()
        first = context("first")
        await places.acquire("engine", first)
        waiting = asyncio.create_task(places.acquire("engine", context("second")))
        await settle()
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        places.release("engine", first)
        demand = places.demand()["engine"]
        assert (demand.in_flight, demand.waiting) == (0, 0)

    run(play())


def test_turns_to_load_go_to_the_best_value(run):
    async def play():
        turns = LoadTurns(CLOCK, lambda: LoadLimits(50.0, 1, 8))
        assert await turns.take(0.0)
        order = []

        async def take(value):
            assert await turns.take(value)
            order.append(value)

        await asyncio.gather(take(1.0), take(3.0), take(2.0))
        assert order == [3.0, 2.0, 1.0]

    run(play())
