from datetime import timedelta

from magnoliatrail.clock import ManualClock
from magnoliatrail.standins.engine import EngineLimits, FakeEngine

from .entry_rig import HANDLE, running_rig


def test_a_restart_leaves_the_batch_of_the_engine_empty(run):
    async def scenario():
        async with running_rig() as rig:
            _, writer = await rig.open_stream(1_000_000)
            engine = rig.engines[0]
            await rig.until(lambda: engine.running)
            old = list(engine.answers.values())
            engine.restart()
            await rig.until(lambda: not engine.tasks)
            assert engine.running == 0
            assert HANDLE not in engine.loaded
            assert all(answer.cancelled and not answer.finished for answer in old)
            writer.close()
            await rig.until(lambda: rig.idle)

    run(scenario())


def test_cache_events_are_reported_late_and_with_gaps():
    clock = ManualClock()
    lag = timedelta(seconds=2)
    limits = EngineLimits(cache_event_gap=2, cache_event_lag=lag)
    engine = FakeEngine(clock, limits, fetch=None)
    for number in range(4):
        engine.record_cache_event(f"prefix-{number}")
    assert engine.events_after(0).events == []
    clock.advance(lag)
    reported = [event.sequence for event in engine.events_after(0).events]
    assert reported == [1, 3]
