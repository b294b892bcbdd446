"""What an instance refuses at each time of its planned stop."""

import asyncio
from datetime import timedelta

import pytest

from magnoliatrail.forwarding.planned_stop import stop_step
from magnoliatrail.forwarding.waiting_requests import WaitingRequests

GRACE = timedelta(seconds=8)


def step(seconds, *, leaving=False, requests=0, connections=0):
    return stop_step(
        timedelta(seconds=seconds),
        GRACE,
        leaving=leaving,
        requests=requests,
        connections=connections,
    )


def test_everything_is_accepted_until_the_balancer_has_removed_the_instance():
    found = step(2.3)
    assert (found.refuses_streams, found.refuses_all, found.ends) == (False,) * 3


def test_an_instance_without_connections_ends_once_it_is_removed():
    assert step(2.7).ends


# Guards against requests on kept connections that are cut off.
@pytest.mark.parametrize("kind", ["leaving", "requests", "connections"])
def test_open_work_delays_the_end_until_no_time_is_left(kind):
    assert not step(2.7, **{kind: 1}).ends
    assert not step(7.2, **{kind: 1}).ends
    assert step(7.3, **{kind: 1}).ends


def test_what_would_be_answered_too_late_is_refused_once_the_instance_is_removed():
    assert not step(2.5).refuses_late
    assert step(2.7).refuses_late


def test_streams_are_refused_before_other_requests():
    assert (step(2.5).refuses_streams, step(2.5).refuses_all) == (True, False)
    assert (step(6.1).refuses_streams, step(6.1).refuses_all) == (True, True)


def test_a_short_grace_period_refuses_and_ends_at_once():
    found = stop_step(
        timedelta(),
        timedelta(milliseconds=500),
        leaving=True,
        requests=1,
        connections=1,
    )
    assert found.refuses_all
    assert found.ends


# Guards against requests that wait for a batch slot until it is too late for them.
def test_only_the_waits_of_late_requests_end_before_the_end(run):
    async def scenario():
        waiting = WaitingRequests()
        late = set()

        async def wait(name):
            async with asyncio.timeout(None) as timeout:
                with waiting.track(timeout, lambda: name not in late):
                    await asyncio.sleep(60)

        tasks = {name: asyncio.create_task(wait(name)) for name in ("early", "late")}
        await asyncio.sleep(0)
        waiting.end_late()
        late.add("late")
        waiting.end_late()
        waiting.end_late()
        await asyncio.wait([tasks["late"]])
        assert type(tasks["late"].exception()) is TimeoutError
        assert not tasks["early"].done()
        waiting.end_all()
        await asyncio.wait([tasks["early"]])
        assert type(tasks["early"].exception()) is TimeoutError

    run(scenario())


def test_the_waits_of_all_requests_end_at_once(run):
    async def scenario():
        waiting = WaitingRequests()

        async def wait():
            async with asyncio.timeout(None) as timeout:
                with waiting.track(timeout, lambda: True):
                    await asyncio.sleep(60)

        tasks = [asyncio.create_task(wait()) for _ in range(3)]
        await asyncio.sleep(0)
        waiting.end_all()
        found = await asyncio.gather(*tasks, return_exceptions=True)
        assert [type(item) for item in found] == [TimeoutError] * 3
        assert waiting.timeouts == {}

    run(scenario())
