"""Bursts of requests: prefill budget, late requests last, refusal in time."""

from datetime import timedelta

from magnoliatrail.generated.cells import (
    SlotDecision,
)
from magnoliatrail.routing.engine_scores import (
    max_pause_tokens,
)
from tests.load.cell import (
    CHUNK_TOKENS,
    EVENT_TOKENS,
    PAUSE_MS,
    PREFILL_PER_MS,
    PROMPT_TOKENS,
    SPEED,
    STEP_MS,
    Cell,
)


def pause_of(tokens):
    """Return the time between two events while an engine prefills these tokens."""
    prefilled = min(tokens, CHUNK_TOKENS * EVENT_TOKENS)
    return STEP_MS * EVENT_TOKENS + prefilled / PREFILL_PER_MS


def test_burst_of_prompts_leaves_no_stream_a_pause_over_its_goal(run):
    """Many prompts at once would delay the next event of each running stream."""

    async def scenario():
        cell = Cell(engines=1)
        cell.add_ready_adapter("e0", "a1")
        for number in range(30):
            cell.request_slot(f"r{number}", "a1")
        windows = []
        for _ in range(100):
            before = set(cell.granted())
            await cell.pass_time(10)
            windows.append(len(set(cell.granted()) - before) * PROMPT_TOKENS)
        # Grants that are a whole pause goal apart are not prefilled in the same pause.
        steps = PAUSE_MS // 10 - 1
        max_tokens = max(sum(windows[at : at + steps]) for at in range(len(windows)))
        assert pause_of(max_tokens) <= PAUSE_MS
        assert len(cell.granted()) >= 9

    run(scenario())


def test_the_burst_exceeds_the_pause_goal_without_a_prefill_budget():
    assert pause_of(30 * PROMPT_TOKENS) > PAUSE_MS
    goal = timedelta(milliseconds=PAUSE_MS)
    within_pause = max_pause_tokens(goal, EVENT_TOKENS, SPEED, 0)
    assert pause_of(within_pause) <= PAUSE_MS


def test_requests_still_on_time_go_before_late_ones(run):
    async def scenario():
        cell = Cell(engines=1)
        cell.add_ready_adapter("e0", "a1")
        engine = cell.owner.engines["e0", 1]
        engine.record_prompt(6000, cell.clock.monotonic())
        late = cell.request_slot("late", "a1", tokens=3000, goal=-500)
        timely = cell.request_slot("timely", "a1", tokens=3000, goal=700)
        await cell.pass_time(300)
        assert list(cell.granted()) == ["timely"]
        assert timely.done()
        assert not late.done()

    run(scenario())


def test_request_that_cannot_be_served_is_refused_before_its_caller_leaves(run):
    async def scenario():
        cell = Cell(engines=1)
        engine = cell.owner.engines["e0", 1]
        engine.models.clear()
        asked = cell.request_slot("r1", "a1")
        await cell.pass_time(2300)
        # A slot request that was held open without a decision is sent again.
        asked = cell.request_slot("r1", "a1") if not asked.done() else asked
        answer = (await asked) if asked.done() else None
        assert "r1" not in cell.owner.queue.waiting
        assert answer is None or answer.state is SlotDecision.REFUSED

    run(scenario())
