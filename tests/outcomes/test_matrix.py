"""Faults of the table, object store and service at each stage of an operation.

Each fault is tested alone and in each pair.
"""

import asyncio
from collections.abc import Callable
from itertools import combinations

import pytest

from .harness import (
    OutcomeCounts,
    OutcomeHarness,
    check_outcomes,
    final_answer,
    running_harness,
)

MAX_CONCURRENT_CASES = 5

LARGE_PADDING = "x" * 40_000

Fault = Callable[[OutcomeHarness], None]


def set_fault(stand_in: str, name: str, value: object) -> Fault:
    """Return an action that sets a fault of a stand-in."""

    def act(harness: OutcomeHarness) -> None:
        for item in stand_ins(harness, stand_in):
            setattr(item.faults, name, value)

    return act


def stand_ins(harness: OutcomeHarness, name: str) -> list:
    if name == "service":
        return harness.environment.services
    return [getattr(harness.environment, name)]


def after_execution(fault: Fault) -> Fault:
    """Delay a fault until the service has executed the operation."""
    return lambda harness: harness.on_execution(lambda: fault(harness))


def before_claim_write(number: int, fault: Fault) -> Fault:
    """Delay a fault until just before the nth transaction on a claim commits."""
    return lambda harness: harness.on_claim_write(number, lambda: fault(harness))


def silence_open_connections(harness: OutcomeHarness) -> None:
    """Silence the connections that are open now; new ones work."""
    for service in harness.environment.services:
        service.faults.silence_open += 1


def refuse_connections(harness: OutcomeHarness) -> None:
    """Stop the listener of every replica."""
    for name, listener in harness.environment.listeners.items():
        if name.startswith("bookings"):
            listener.server.stop()
            harness.reserve(listener.port)


def use_large_answers(harness: OutcomeHarness) -> None:
    """Make the service's answers too large for a row of the table."""
    for service in harness.environment.services:
        service.padding = LARGE_PADDING


def combine(*faults: Fault) -> Fault:
    return lambda harness: [fault(harness) for fault in faults] and None


TABLE_FAULTS: dict[str, Fault] = {
    "table answer lost at claim": set_fault("table", "lose_answers", 1),
    "table answer lost at completion": after_execution(
        set_fault("table", "lose_answers", 1)
    ),
    "table answers lost at claim, read back fails": before_claim_write(
        1,
        combine(
            set_fault("table", "lose_answers", 1),
            set_fault("table", "down", True),
        ),
    ),
    "table request lost at claim": set_fault("table", "lose_requests", 1),
    "table request lost twice at claim": set_fault("table", "lose_requests", 2),
    "table request lost at completion": after_execution(
        set_fault("table", "lose_requests", 1)
    ),
    "table answer cut at claim": set_fault("table", "cut_answers", 1),
    "table down before": set_fault("table", "down", True),
    "table down between": after_execution(set_fault("table", "down", True)),
    "table down after": before_claim_write(2, set_fault("table", "down", True)),
    "table silent at claim, not done": set_fault("table", "silent_requests", 1),
    "table silent at claim, done": set_fault("table", "silent_answers", 1),
    "table silent at completion, done": after_execution(
        set_fault("table", "silent_answers", 1)
    ),
    "objects down at completion": combine(
        use_large_answers, set_fault("objects", "down", True)
    ),
    "objects answer lost": combine(
        use_large_answers, set_fault("objects", "lose_answers", 1)
    ),
    "objects silent": combine(
        use_large_answers, set_fault("objects", "silent_answers", 1)
    ),
}

SERVICE_FAULTS: dict[str, Fault] = {
    "service answer lost": set_fault("service", "lose_answers", 1),
    "service answer cut": set_fault("service", "cut_answers", 1),
    "service answers all cut, large": combine(
        use_large_answers, set_fault("service", "cut_answers", 9)
    ),
    "service silent, not executed": set_fault("service", "silent_requests", 1),
    "service silent, executed": set_fault("service", "silent_answers", 1),
    "service connection silent while open": after_execution(silence_open_connections),
    "service slow": set_fault("service", "delay_seconds", 0.4),
    "service unreachable": refuse_connections,
}

FAULTS = {**TABLE_FAULTS, **SERVICE_FAULTS}
SINGLE_FAULTS = [(name,) for name in FAULTS]
FAULT_PAIRS = list(combinations(FAULTS, 2))


async def run_case(counts: OutcomeCounts, names: tuple[str, ...]) -> None:
    """Run one operation under faults, and repeat it during and after them."""
    async with running_harness() as harness:
        for name in names:
            FAULTS[name](harness)
        first = await harness.confirm_booking(0, "key")
        case = " + ".join(names)
        during = await asyncio.gather(
            *(harness.confirm_booking(instance, "key") for instance in range(2))
        )
        harness.clear_faults()
        after = [await final_answer(harness, "key") for _ in range(2)]
        check_outcomes(counts, case, "key", harness, [first, *during, *after])
        if first.status == 200 and any(got.body != first.body for got in after):
            counts.wrong.append(f"{case}: a repeat got {[got.reason for got in after]}")


async def run_cases(cases: list[tuple[str, ...]]) -> OutcomeCounts:
    """Run cases with bounded concurrency."""
    counts = OutcomeCounts()
    semaphore = asyncio.Semaphore(MAX_CONCURRENT_CASES)

    async def run_one(names: tuple[str, ...]) -> None:
        async with semaphore:
            await run_case(counts, names)

    async with asyncio.TaskGroup() as group:
        for names in cases:
            group.create_task(run_one(names))
    return counts


@pytest.mark.parametrize(
    "cases", [SINGLE_FAULTS, FAULT_PAIRS], ids=["alone", "two together"]
)
def test_each_fault_and_each_pair_of_faults(run, cases):
    counts = run(run_cases(cases))
    print(f"matrix: {counts}")
    assert counts.cases == len(cases)
    assert not counts.wrong, "\n".join(counts.wrong)
    assert counts.repeats == counts.false_not_run == counts.truncated == 0
