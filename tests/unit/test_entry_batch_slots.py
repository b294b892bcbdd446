import asyncio
from datetime import timedelta

from magnoliatrail.clock import SystemClock
from magnoliatrail.engines.fleet_load_limiter import FleetLoadLimiter
from magnoliatrail.entry.batch_slots import EntryBatchSlots
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


def new_slots(limit=2):
    slots = EntryBatchSlots(clock=CLOCK, queue_limit=lambda caller: limit)
    slots.set_batch_slots("engine", 1)
    return slots


async def settle():
    for _ in range(3):
        await asyncio.sleep(0)


def test_a_request_waits_until_another_releases_its_batch_slot(run):
    async def scenario():
        slots = new_slots()
        first = context("first")
        assert (await slots.acquire("engine", first)).is_ok()
        second = asyncio.create_task(slots.acquire("engine", context("second")))
        await settle()
        assert not second.done()
        slots.release("engine", first)
        assert (await second).is_ok()
        assert slots.demand()["engine"].in_flight == 1

    run(scenario())


def test_a_full_queue_refuses_at_once_with_a_retry_delay(run):
    async def scenario():
        slots = new_slots(limit=0)
        await slots.acquire("engine", context("first"))
        failure = (await slots.acquire("engine", context("second"))).error
        assert failure.kind is ErrorKind.QUEUE_FULL
        assert failure.not_run
        assert failure.retry_after >= timedelta(seconds=1)

    run(scenario())


def test_a_queue_longer_than_the_time_left_refuses_at_once(run):
    async def scenario():
        slots = new_slots()
        slots.mean_service_seconds = 10.0
        await slots.acquire("engine", context("first"))
        waiting = asyncio.create_task(slots.acquire("engine", context("second")))
        await settle()
        late = await slots.acquire("engine", context("third", seconds=5))
        assert late.error.kind is ErrorKind.DEADLINE_UNREACHABLE
        waiting.cancel()

    run(scenario())


def test_a_cancelled_wait_holds_neither_slot_nor_queue_entry(run):
    async def scenario():
        slots = new_slots()
        first = context("first")
        await slots.acquire("engine", first)
        waiting = asyncio.create_task(slots.acquire("engine", context("second")))
        await settle()
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        slots.release("engine", first)
        demand = slots.demand()["engine"]
        assert (demand.in_flight, demand.waiting) == (0, 0)

    run(scenario())


def test_waiting_loads_start_in_order_of_value(run):
    async def scenario():
        limiter = FleetLoadLimiter(CLOCK, lambda: LoadLimits(50.0, 1, 8))
        assert await limiter.acquire(0.0)
        order = []

        async def acquire(value):
            assert await limiter.acquire(value)
            order.append(value)

        await asyncio.gather(acquire(1.0), acquire(3.0), acquire(2.0))
        assert order == [3.0, 2.0, 1.0]

    run(scenario())
