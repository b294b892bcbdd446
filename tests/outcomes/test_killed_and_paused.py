"""Instances killed, or paused and resumed, at each stage of an operation."""

import asyncio
import signal
from contextlib import asynccontextmanager
from datetime import timedelta

import pytest

from magnoliatrail.clock import ManualClock, SystemClock
from magnoliatrail.demo import mark_bookings_non_idempotent
from magnoliatrail.operations.operators import OperatorLedger, Resolution
from tests.processes.fleet import running_fleet

from .harness import SIZE, OutcomeCounts, OutcomeHarness, check_outcomes

pytestmark = pytest.mark.processes

STAGES = ["claimed", "dispatched", "answered"]
# Seconds of the pause, and the deadline of the request in seconds.
PAUSES = {"short": (0.5, 20.0), "past the deadline": (2.5, 1.0)}
WAIT_LIMIT_SECONDS = 60.0
ATTEMPT_EXPIRY_MARGIN = timedelta(minutes=20)


def at_stage(harness, stage, act):
    """Call `act` once, when an operation reaches a stage.

    `claimed` is just before the claim commits, `dispatched` just after the service
    executed the operation, and `answered` just before the answer is recorded.
    """
    acted = []

    def once():
        if not acted:
            acted.append(True)
            act()

    match stage:
        case "claimed":
            harness.on_claim_write(1, once)
        case "dispatched":
            harness.on_execution(once)
        case "answered":
            harness.on_claim_write(2, once)


@asynccontextmanager
async def running_processes():
    """Run two instances as processes, configured to execute bookings at most once."""
    async with running_fleet(["one", "two"], SIZE) as fleet:
        harness = OutcomeHarness(fleet.environment)
        await mark_bookings_non_idempotent(fleet.environment)
        async with asyncio.timeout(WAIT_LIMIT_SECONDS):
            for name in ("one", "two"):
                while (await fleet.status(name)).configuration_revision < 1:
                    await asyncio.sleep(0.05)
        harness.urls = [fleet.processes[name].caller_url for name in ("one", "two")]
        yield fleet, harness


def later_operator_ledger(harness):
    """Return the operators' ledger at a time when all attempts have expired."""
    now = SystemClock().now()
    return OperatorLedger(
        harness.environment.table, ManualClock(now + ATTEMPT_EXPIRY_MARGIN)
    )


async def resolve_all(harness, *, ran):
    """Resolve every claim whose outcome is unknown, and return them."""
    operators = later_operator_ledger(harness)
    listed = [item.ok async for item in operators.unknown_claims()]
    for item in listed:
        resolution = Resolution(ran=ran, reason="asked the desk", author="Awa")
        assert (await operators.resolve(item.claim_id, resolution)).is_ok()
    return listed


@pytest.mark.parametrize("stage", STAGES)
def test_an_instance_killed_leaves_at_most_one_execution(run, stage):
    async def scenario():
        counts = OutcomeCounts()
        async with running_processes() as (fleet, harness):
            process = fleet.processes["one"]
            at_stage(harness, stage, lambda: process.signal(signal.SIGKILL))
            first = await harness.confirm_booking(0, "key")
            repeat = await harness.confirm_booking(1, "key")
            expected = 0 if stage == "claimed" else 1
            assert harness.executions("key") == expected
            assert first.status == 0
            answered = stage == "answered"
            assert repeat.kind == ("200" if answered else "operation_running")
            listed = await resolve_all(harness, ran=bool(expected))
            assert len(listed) == (0 if answered else 1)
            last = await harness.confirm_booking(1, "key")
            assert last.kind == (
                "operation_resolved" if stage == "dispatched" else "200"
            )
            check_outcomes(
                counts, f"killed at {stage}", "key", harness, [first, repeat, last]
            )
        assert not counts.wrong, counts.wrong
        print(f"killed at {stage}: {counts}")

    run(scenario())


@pytest.mark.parametrize("length", PAUSES)
def test_an_instance_paused_and_resumed_executes_at_most_once(run, length):
    seconds, deadline = PAUSES[length]

    async def scenario():
        counts = OutcomeCounts()
        async with running_processes() as (fleet, harness):
            process = fleet.processes["one"]
            for stage in STAGES:
                at_stage(harness, stage, lambda: process.signal(signal.SIGSTOP))
                asked = asyncio.create_task(
                    harness.confirm_booking(0, stage, deadline=deadline)
                )
                repeats = []
                await asyncio.sleep(seconds / 2)
                repeats.append(await harness.confirm_booking(1, stage))
                await asyncio.sleep(seconds / 2)
                process.signal(signal.SIGCONT)
                first = await asked
                repeats.append(await harness.confirm_booking(1, stage))
                answers = [first, *repeats]
                check_outcomes(counts, f"paused at {stage}", stage, harness, answers)
                print(stage, [got.kind for got in answers])
                harness.remove_hooks()
        assert not counts.wrong, counts.wrong
        print(f"paused {length}: {counts}")

    run(scenario())


def test_a_paused_claim_that_was_resolved_is_not_dispatched(run):
    async def scenario():
        counts = OutcomeCounts()
        async with running_processes() as (fleet, harness):
            process = fleet.processes["one"]
            at_stage(harness, "claimed", lambda: process.signal(signal.SIGSTOP))
            asked = asyncio.create_task(harness.confirm_booking(0, "key", deadline=1.0))
            await asyncio.sleep(1.5)
            assert len(await resolve_all(harness, ran=False)) == 1
            second = await harness.confirm_booking(1, "key")
            assert second.status == 200
            process.signal(signal.SIGCONT)
            first = await asked
            assert first.not_run
            third = await harness.confirm_booking(1, "key")
            assert third.body == second.body
            check_outcomes(counts, "resolved", "key", harness, [first, second, third])
        assert not counts.wrong, counts.wrong
        assert counts.executions == 1

    run(scenario())
