"""Large prompts among many small ones: none takes the budget that another waits for."""

import asyncio
import random
from dataclasses import replace
from datetime import timedelta

from magnoliatrail.generated.cells import SlotDecision
from tests.load.cell import SPEC, Cell, report_ended

# The further site: 6 engines of 64 requests, events of 5 tokens, pauses of 250 ms.
FURTHER = replace(
    SPEC, event_tokens=5, cache_tokens=167_112, adapter_slots=32, batch_slots=64
)
PAUSE_MS = 250
SMALL, LARGE = 826, 5400
RUN_MS = 600
# The small prompts alone exceed what an engine of the assumed speed prefills.
SMALL_EVERY_MS, LARGE_EVERY_MS = 40, 400


async def play(seconds):
    """Send both sizes to one engine; return the shares that got a slot."""
    cell = Cell(engines=1, spec=FURTHER, pause_ms=PAUSE_MS)
    cell.add_ready_adapter("e0", "a1")
    numbers = random.Random(1)
    answers = {"small": [], "large": []}
    ends = {}
    for step in range(seconds * 100):
        for kind, tokens, every in (
            ("small", SMALL, SMALL_EVERY_MS),
            ("large", LARGE, LARGE_EVERY_MS),
        ):
            if numbers.random() < 10 / every:
                request = f"{kind}{step}"
                asked = cell.request_slot(request, "a1", tokens=tokens, priority=0)
                answers[kind].append(asked)
        before = set(cell.granted())
        await cell.pass_time(10)
        for request in set(cell.granted()) - before:
            ends[request] = step + RUN_MS // 10
        for request in [name for name, end in ends.items() if end <= step]:
            del ends[request]
            report_ended(cell, request, "e0")
    await asyncio.sleep(0)
    shares = {}
    for kind, asked in answers.items():
        served = [
            item.done() and item.result().state is SlotDecision.GRANTED
            for item in asked
        ]
        shares[kind] = sum(served) / len(served)
    return shares


def test_large_prompts_are_served_at_least_half_as_often_as_small_ones(run):
    async def scenario():
        shares = await play(seconds=12)
        assert shares["small"] > 0.3
        assert shares["large"] >= shares["small"] / 2

    run(scenario())


def test_small_prompts_pass_a_large_one_only_if_they_do_not_delay_it(run):
    async def scenario():
        cell = Cell(engines=1, spec=FURTHER, pause_ms=PAUSE_MS)
        cell.add_ready_adapter("e0", "a1")
        engine = cell.owner.engines["e0", 1]
        within_pause = cell.owner.queue.new_pass(timedelta()).load_of(engine)
        most = int(within_pause.max_pause_tokens)
        for _ in range(5):
            # The rest of the budget is free, but not enough for the large prompt.
            engine.record_prompt(most // 6, cell.clock.monotonic())
            cell.request_slot("large", "a1", tokens=most - 300)
            await cell.pass_time(100)
        assert not cell.granted()
        cell.request_slot("delays", "a1", tokens=400, goal=900)
        cell.request_slot("fits", "a1", tokens=200, goal=900)
        await cell.pass_time(10)
        assert set(cell.granted()) == {"fits"}
        await cell.pass_time(200)
        assert "large" in cell.granted()

    run(scenario())


def test_only_one_engine_is_kept_for_requests_that_fit_on_none(run):
    async def scenario():
        cell = Cell(engines=4, spec=FURTHER, pause_ms=PAUSE_MS)
        for number in range(4):
            cell.add_ready_adapter(f"e{number}", "a1")
        for _ in range(5):
            for number in range(4):
                engine = cell.owner.engines[f"e{number}", 1]
                engine.record_prompt(700, cell.clock.monotonic())
                cell.request_slot(f"large{number}", "a1", tokens=4000 + number)
            await cell.pass_time(100)
        assert not cell.granted()
        small = [
            cell.request_slot(f"small{number}", "a1", tokens=500, goal=900)
            for number in range(3)
        ]
        await cell.pass_time(20)
        assert all(item.done() for item in small)
        assert len(set(cell.granted().values())) == 3

    run(scenario())
