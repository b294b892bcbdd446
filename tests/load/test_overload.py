"""More requests than the engines can take: refused at once, by a forecast."""

import asyncio
from dataclasses import replace

from magnoliatrail.generated.cells import SlotDecision
from tests.load.cell import PROMPT_TOKENS, SPEC, Cell


def test_nothing_is_refused_while_the_engines_have_free_slots(run):
    """Ten waiting requests after a quiet time say nothing about what engines can do."""

    async def scenario():
        cell = Cell(engines=6)
        for number in range(6):
            cell.add_ready_adapter(f"e{number}", "a1")
        asked = []
        for number in range(8):
            asked.append(cell.request_slot(f"quiet{number}", "a1", tokens=300))
            await cell.pass_time(250)
        for number in range(25):
            asked.append(cell.request_slot(f"burst{number}", "a1"))
            await asyncio.sleep(0)
        await cell.pass_time(600)
        assert all(item.result().state is SlotDecision.GRANTED for item in asked)

    run(scenario())


def test_a_request_that_would_wait_too_long_is_refused_on_arrival(run):
    async def scenario():
        cell = Cell(engines=1)
        cell.add_ready_adapter("e0", "a1")
        asked = [cell.request_slot(f"r{number}", "a1") for number in range(300)]
        await asyncio.sleep(0)
        await cell.pass_time(10)
        refused = [
            item.result()
            for item in asked
            if item.done() and item.result().state is SlotDecision.REFUSED
        ]
        assert len(refused) > 100
        assert all(answer.retry_after_ms >= 300 for answer in refused)
        # What stays can be served before its caller leaves.
        waiting = len(cell.owner.queue.waiting)
        assert waiting * PROMPT_TOKENS / (16_000 * 3.2) < 1

    run(scenario())


def test_requests_wait_for_slots_no_longer_than_runs_end(run):
    async def scenario():
        spec = replace(SPEC, batch_slots=2)
        cell = Cell(engines=1, spec=spec)
        cell.add_ready_adapter("e0", "a1")
        asked = [
            cell.request_slot(f"r{number}", "a1", tokens=100) for number in range(40)
        ]
        await asyncio.sleep(0)
        await cell.pass_time(10)
        refused = [item for item in asked if item.done() and is_refused(item.result())]
        assert len(cell.granted()) == 2
        assert len(refused) > 30

    run(scenario())


def test_a_request_past_its_goal_is_refused_if_others_leave_no_capacity(run):
    async def scenario():
        cell = Cell(engines=1)
        cell.add_ready_adapter("e0", "a1")
        asked = []
        for number in range(300):
            # Twice of what one engine prefills, all on time when they arrive.
            asked.append(cell.request_slot(f"r{number}", "a1", time_left=8000))
            await cell.pass_time(40)
        refused = [item for item in asked if item.done() and is_refused(item.result())]
        waits = list(cell.owner.queue.waiting.values())
        now = cell.clock.monotonic()
        oldest = max(now - request.enqueued_at for request in waits)
        assert refused
        # None waits for seven tenths of its time, only to be refused then.
        assert oldest.total_seconds() < 8 * 0.7

    run(scenario())


def is_refused(answer):
    """Return whether an answer refuses a slot."""
    return answer.state is SlotDecision.REFUSED
