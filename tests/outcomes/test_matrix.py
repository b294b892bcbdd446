"""Each failure at each moment, alone and two together, in one process."""

import asyncio
from collections.abc import Callable
from itertools import combinations

import pytest

from .bench import Bench, Tally, judge, running_bench, settled_answer

AT_ONCE = 5

LARGE_PADDING = "x" * 40_000

Fault = Callable[[Bench], None]


def set_fault(stand_in: str, name: str, value: object) -> Fault:
    """Set a fault at once."""

    def act(bench: Bench) -> None:
        for item in stand_ins(bench, stand_in):
            setattr(item.faults, name, value)

    return act


def stand_ins(bench: Bench, name: str) -> list:
    if name == "service":
        return bench.environment.services
    return [getattr(bench.environment, name)]


def at_completion(fault: Fault) -> Fault:
    """Set a fault once the service has executed the operation."""
    return lambda bench: bench.on_execution(lambda: fault(bench))


def at_claim(number: int, fault: Fault) -> Fault:
    """Set a fault just before the nth transaction on a claim commits."""
    return lambda bench: bench.on_claim_write(number, lambda: fault(bench))


def silence_services(bench: Bench) -> None:
    """Let the connections that are open now go silent, while new ones work."""
    for service in bench.environment.services:
        service.faults.silence_open += 1


def unreachable(bench: Bench) -> None:
    """Let every replica refuse new connections."""
    for name, listener in bench.environment.listeners.items():
        if name.startswith("bookings"):
            listener.server.stop()
            bench.reserve(listener.port)


def large(bench: Bench) -> None:
    """Let the service's answers be too large for a row."""
    for service in bench.environment.services:
        service.padding = LARGE_PADDING


def both(*faults: Fault) -> Fault:
    return lambda bench: [fault(bench) for fault in faults] and None


TABLE_FAULTS: dict[str, Fault] = {
    "table answer lost at claim": set_fault("table", "lose_answers", 1),
    "table answer lost at completion": at_completion(
        set_fault("table", "lose_answers", 1)
    ),
    "table answers lost at claim, read back fails": at_claim(
        1,
        both(
            set_fault("table", "lose_answers", 1),
            set_fault("table", "down", True),
        ),
    ),
    "table request lost at claim": set_fault("table", "lose_requests", 1),
    "table request lost twice at claim": set_fault("table", "lose_requests", 2),
    "table request lost at completion": at_completion(
        set_fault("table", "lose_requests", 1)
    ),
    "table answer cut at claim": set_fault("table", "cut_answers", 1),
    "table down before": set_fault("table", "down", True),
    "table down between": at_completion(set_fault("table", "down", True)),
    "table down after": at_claim(2, set_fault("table", "down", True)),
    "table silent at claim, not done": set_fault("table", "silent_requests", 1),
    "table silent at claim, done": set_fault("table", "silent_answers", 1),
    "table silent at completion, done": at_completion(
        set_fault("table", "silent_answers", 1)
    ),
    "objects down at completion": both(large, set_fault("objects", "down", True)),
    "objects answer lost": both(large, set_fault("objects", "lose_answers", 1)),
    "objects silent": both(large, set_fault("objects", "silent_answers", 1)),
}

SERVICE_FAULTS: dict[str, Fault] = {
    "service answer lost": set_fault("service", "lose_answers", 1),
    "service answer cut": set_fault("service", "cut_answers", 1),
    "service answers all cut, large": both(
        large, set_fault("service", "cut_answers", 9)
    ),
    "service silent, not executed": set_fault("service", "silent_requests", 1),
    "service silent, executed": set_fault("service", "silent_answers", 1),
    "service connection silent while open": at_completion(silence_services),
    "service slow": set_fault("service", "delay_seconds", 0.4),
    "service unreachable": unreachable,
}

ALL = {**TABLE_FAULTS, **SERVICE_FAULTS}
ALONE = [(name,) for name in ALL]
TOGETHER = list(combinations(ALL, 2))


async def run_case(tally: Tally, names: tuple[str, ...]) -> None:
    """Run one operation under faults, and repeat it while they last and after."""
    async with running_bench() as bench:
        for name in names:
            ALL[name](bench)
        first = await bench.ask(0, "key")
        case = " + ".join(names)
        during = await asyncio.gather(*(bench.ask(turn, "key") for turn in range(2)))
        bench.clear_faults()
        after = [await settled_answer(bench, "key") for _ in range(2)]
        judge(tally, case, "key", bench, [first, *during, *after])
        if first.status == 200 and any(got.body != first.body for got in after):
            tally.wrong.append(f"{case}: a repeat got {[got.kind for got in after]}")


async def run_cases(cases: list[tuple[str, ...]]) -> Tally:
    """Run cases, a bounded number at a time."""
    tally = Tally()
    places = asyncio.Semaphore(AT_ONCE)

    async def run_one(names: tuple[str, ...]) -> None:
        async with places:
            await run_case(tally, names)

    async with asyncio.TaskGroup() as group:
        for names in cases:
            group.create_task(run_one(names))
    return tally


@pytest.mark.parametrize("cases", [ALONE, TOGETHER], ids=["alone", "two together"])
def test_each_failure_at_each_moment(run, cases):
    tally = run(run_cases(cases))
    print(f"matrix: {tally}")
    assert tally.cases == len(cases)
    assert not tally.wrong, "\n".join(tally.wrong)
    assert tally.repeats == tally.false_not_run == tally.truncated == 0
