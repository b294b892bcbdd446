"""Many callers at once: prompts are paced, the late go last, the hopeless go back."""

from datetime import timedelta

from magnoliatrail.generated.cells import (
    PlaceState,
)
from magnoliatrail.routing.engine_scores import (
    max_pause_tokens,
)
from tests.load.cell import (
    BRIEF_TOKENS,
    CHUNK_TOKENS,
    EVENT_TOKENS,
    PAUSE_MS,
    PREFILL_PER_MS,
    STEP_MS,
    Cell,
)


def pause_of(tokens):
    """Return the pause between two events while an engine reads so many tokens."""
    read = min(tokens, CHUNK_TOKENS * EVENT_TOKENS)
    return STEP_MS * EVENT_TOKENS + read / PREFILL_PER_MS


def test_burst_of_prompts_leaves_no_stream_a_pause_over_its_goal(run):
    """Many prompts at once: an engine gets what it can read between two events."""

    async def scenario():
        cell = Cell(engines=1)
        cell.hold("e0", "a1")
        for number in range(30):
            cell.ask(f"r{number}", "a1")
        windows = []
        for _ in range(100):
            before = set(cell.granted())
            await cell.pass_time(10)
            windows.append(len(set(cell.granted()) - before) * BRIEF_TOKENS)
        # Two grants that lie a whole pause apart are not read in the same one.
        steps = PAUSE_MS // 10 - 1
        most = max(sum(windows[at : at + steps]) for at in range(len(windows)))
        assert pause_of(most) <= PAUSE_MS
        assert len(cell.granted()) >= 9

    run(scenario())


def test_without_pacing_the_same_burst_would_pause_longer():
    assert pause_of(30 * BRIEF_TOKENS) > PAUSE_MS
    assert pause_of(max_pause_tokens(timedelta(milliseconds=PAUSE_MS), 4)) <= PAUSE_MS


def test_what_can_still_be_on_time_goes_before_what_is_late(run):
    async def scenario():
        cell = Cell(engines=1)
        cell.hold("e0", "a1")
        engine = cell.owner.engines["e0", 1]
        engine.note_prompt(6000, cell.clock.monotonic())
        late = cell.ask("late", "a1", tokens=3000, goal=-500)
        timely = cell.ask("timely", "a1", tokens=3000, goal=700)
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
        asked = cell.ask("r1", "a1")
        await cell.pass_time(2300)
        # The question was held open, and is asked again as an instance would.
        asked = cell.ask("r1", "a1") if not asked.done() else asked
        answer = (await asked) if asked.done() else None
        assert "r1" not in cell.owner.queue.waiting
        assert answer is None or answer.state is PlaceState.REFUSED

    run(scenario())
