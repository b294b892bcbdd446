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


async def grant_immediately(value):
    return True


def new_scheduler(clock=None):
    return LoadScheduler(
        clock=clock or ManualClock(),
        metrics=NoMetrics(),
        rules=lambda: RULES,
        acquire_rate_token=grant_immediately,
    )


def waiter(name, *, seconds=30):
    return Waiter(
        name, "one", RequestClass.INTERACTIVE, timedelta(), timedelta(seconds=seconds)
    )


def test_requests_for_one_adapter_share_one_start(run):
    async def scenario():
        scheduler = new_scheduler()
        waits = [scheduler.wait_to_start(KEY, waiter(name)) for name in ("a", "b")]
        results = await asyncio.gather(*waits)
        assert all(result.is_ok() for result in results)
        assert scheduler.active == {KEY}

    run(scenario())


def test_a_failed_load_backs_off(run):
    async def scenario():
        clock = ManualClock()
        scheduler = new_scheduler(clock)
        await scheduler.wait_to_start(KEY, waiter("a"))
        scheduler.record_end(KEY, failed=True)
        refused = await scheduler.wait_to_start(KEY, waiter("b"))
        assert refused.error.kind is ErrorKind.LOAD_FAILED
        clock.advance(timedelta(seconds=1))
        assert (await scheduler.wait_to_start(KEY, waiter("c"))).is_ok()

    run(scenario())


def test_a_request_that_cannot_be_served_in_time_is_refused_at_once(run):
    async def scenario():
        refused = await new_scheduler().wait_to_start(KEY, waiter("a", seconds=0.5))
        assert refused.error.kind is ErrorKind.DEADLINE_UNREACHABLE
        assert refused.error.not_run
        assert refused.error.retry_after >= timedelta(seconds=1)

    run(scenario())


def test_the_start_of_a_cancelled_request_is_released(run):
    async def scenario():
        scheduler = new_scheduler()
        task = asyncio.create_task(scheduler.wait_to_start(KEY, waiter("a")))
        while not scheduler.active:
            await asyncio.sleep(0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        assert not scheduler.active

    run(scenario())
