"""Instances killed, or paused and resumed, at each moment of an operation."""

import asyncio
import signal
from contextlib import asynccontextmanager
from datetime import timedelta

import pytest

from magnoliatrail.clock import ManualClock, SystemClock
from magnoliatrail.demo import mark_bookings_non_idempotent
from magnoliatrail.operations.operators import OperatorLedger, Resolution
from tests.processes.fleet import running_fleet

from .bench import SIZE, Bench, Tally, judge

pytestmark = pytest.mark.processes

MOMENTS = ["claimed", "dispatched", "answered"]
PAUSES = {"short": (0.5, 20.0), "past the deadline": (2.5, 1.0)}
GENEROUS_SECONDS = 60.0
LATER = timedelta(minutes=20)


def on_moment(bench, moment, act):
    """Act once at a moment: the claim or the answer is just being written."""
    acted = []

    def once():
        if not acted:
            acted.append(True)
            act()

    match moment:
        case "claimed":
            bench.on_claim_write(1, once)
        case "dispatched":
            bench.on_execution(once)
        case "answered":
            bench.on_claim_write(2, once)


@asynccontextmanager
async def running_processes():
    """Run two instances as processes that know that bookings run once."""
    async with running_fleet(["one", "two"], SIZE) as fleet:
        bench = Bench(fleet.environment)
        await mark_bookings_non_idempotent(fleet.environment)
        async with asyncio.timeout(GENEROUS_SECONDS):
            for name in ("one", "two"):
                while (await fleet.status(name)).configuration_revision < 1:
                    await asyncio.sleep(0.05)
        bench.urls = [fleet.processes[name].caller_url for name in ("one", "two")]
        yield fleet, bench


def operators_in_a_while(bench):
    """Return the ledger as operators see it after every attempt has ended."""
    now = SystemClock().now()
    return OperatorLedger(bench.environment.table, ManualClock(now + LATER))


async def resolve_all(bench, *, ran):
    """Resolve every claim of unknown fate."""
    operators = operators_in_a_while(bench)
    listed = [item.ok async for item in operators.unknown()]
    for item in listed:
        resolution = Resolution(ran=ran, reason="asked the desk", author="Awa")
        assert (await operators.resolve(item.claim_id, resolution)).is_ok()
    return listed


@pytest.mark.parametrize("moment", MOMENTS)
def test_an_instance_killed_leaves_at_most_one_execution(run, moment):
    async def scenario():
        tally = Tally()
        async with running_processes() as (fleet, bench):
            process = fleet.processes["one"]
            on_moment(bench, moment, lambda: process.signal(signal.SIGKILL))
            first = await bench.ask(0, "key")
            repeat = await bench.ask(1, "key")
            expected = 0 if moment == "claimed" else 1
            assert bench.executions("key") == expected
            assert first.status == 0
            answered = moment == "answered"
            assert repeat.kind == ("200" if answered else "operation_running")
            listed = await resolve_all(bench, ran=bool(expected))
            assert len(listed) == (0 if answered else 1)
            last = await bench.ask(1, "key")
            assert last.kind == (
                "operation_resolved" if moment == "dispatched" else "200"
            )
            judge(tally, f"killed at {moment}", "key", bench, [first, repeat, last])
        assert not tally.wrong, tally.wrong
        print(f"killed at {moment}: {tally}")

    run(scenario())


@pytest.mark.parametrize("length", PAUSES)
def test_an_instance_paused_and_resumed_executes_at_most_once(run, length):
    seconds, deadline = PAUSES[length]

    async def scenario():
        tally = Tally()
        async with running_processes() as (fleet, bench):
            process = fleet.processes["one"]
            for moment in MOMENTS:
                on_moment(bench, moment, lambda: process.signal(signal.SIGSTOP))
                asked = asyncio.create_task(bench.ask(0, moment, deadline=deadline))
                repeats = []
                await asyncio.sleep(seconds / 2)
                repeats.append(await bench.ask(1, moment))
                await asyncio.sleep(seconds / 2)
                process.signal(signal.SIGCONT)
                first = await asked
                repeats.append(await bench.ask(1, moment))
                answers = [first, *repeats]
                judge(tally, f"paused at {moment}", moment, bench, answers)
                print(moment, [got.kind for got in answers])
                bench.unhook()
        assert not tally.wrong, tally.wrong
        print(f"paused {length}: {tally}")

    run(scenario())


def test_a_paused_claim_that_was_resolved_is_not_dispatched(run):
    async def scenario():
        tally = Tally()
        async with running_processes() as (fleet, bench):
            process = fleet.processes["one"]
            on_moment(bench, "claimed", lambda: process.signal(signal.SIGSTOP))
            asked = asyncio.create_task(bench.ask(0, "key", deadline=1.0))
            await asyncio.sleep(1.5)
            assert len(await resolve_all(bench, ran=False)) == 1
            second = await bench.ask(1, "key")
            assert second.status == 200
            process.signal(signal.SIGCONT)
            first = await asked
            assert first.not_run
            third = await bench.ask(1, "key")
            assert third.body == second.body
            judge(tally, "resolved", "key", bench, [first, second, third])
        assert not tally.wrong, tally.wrong
        assert tally.executions == 1

    run(scenario())
