import asyncio
from datetime import timedelta

from magnoliatrail.clock import ManualClock
from magnoliatrail.engines.load_scheduler import LoadRules, LoadScheduler
from magnoliatrail.errors import ErrorKind
from magnoliatrail.generated.permits import RequestClass
from magnoliatrail.ids import AdapterVersion
from magnoliatrail.metrics import NoMetrics
from magnoliatrail.placement.load_queue import ClassWeights, LoadKey, Waiter
from magnoliatrail.placement.load_rate_limiter import LoadLimits

KEY = LoadKey("engine", AdapterVersion("adapter", "1"))
RULES = LoadRules(LoadLimits(1.0, 1, 1), ClassWeights(), 1)


async def at_once(value):
    return True


def new_scheduler(clock=None):
    return LoadScheduler(
        clock=clock or ManualClock(),
        metrics=NoMetrics(),
        rules=lambda: RULES,
        take_turn=at_once,
    )


def waiter(name, *, seconds=30):
    return Waiter(
        name, "one", RequestClass.INTERACTIVE, timedelta(), timedelta(seconds=seconds)
    )


def test_requests_that_wait_together_get_one_turn(run):
    async def play():
        scheduler = new_scheduler()
        turns = [scheduler.turn(KEY, waiter(name)) for name in ("a", "b")]
        results = await asyncio.gather(*turns)
        assert all(result.is_ok() for result in results)
        assert scheduler.active == {KEY}

    run(play())


def test_a_failed_load_backs_off(run):
    async def play():
        clock = ManualClock()
        scheduler = new_scheduler(clock)
        await scheduler.turn(KEY, waiter("a"))
        scheduler.ended(KEY, failed=True)
        refused = await scheduler.turn(KEY, waiter("b"))
        assert refused.error.kind is ErrorKind.LOAD_FAILED
        clock.advance(timedelta(seconds=1))
        assert (await scheduler.turn(KEY, waiter("c"))).is_ok()

    run(play())


def test_a_request_that_cannot_be_served_in_time_is_refused_at_once(run):
    async def play():
        refused = await new_scheduler().turn(KEY, waiter("a", seconds=0.5))
        assert refused.error.kind is ErrorKind.DEADLINE_UNREACHABLE
        assert refused.error.not_run
        assert refused.error.retry_after >= timedelta(seconds=1)

    run(play())


def test_a_turn_whose_request_is_cancelled_is_given_back(run):
    async def play():
        scheduler = new_scheduler()
        task = asyncio.create_task(scheduler.turn(KEY, waiter("a")))
        while not scheduler.active:
            await asyncio.sleep(0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        assert not scheduler.active

    run(play())
