"""Loads of the users' sites, without network: who gets a place, where, and when."""

from datetime import timedelta

import pytest

from magnoliatrail.backends import LoadedAdapter
from magnoliatrail.cells.engine_state import Holding, HoldingState
from magnoliatrail.generated.cells import (
    InstanceReport,
    PlaceState,
    RunningRequest,
)
from magnoliatrail.routing.engine_scores import (
    EngineLoad,
    EngineNeed,
    EngineOption,
    Residency,
    best_engine,
    most_pause_tokens,
)
from tests.load.cell import (
    BRIEF_TOKENS,
    CHUNK_TOKENS,
    EVENT_TOKENS,
    MODEL,
    PAUSE_MS,
    PREFILL_PER_MS,
    SPEC,
    STEP_MS,
    Cell,
    end,
    settle,
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
    assert pause_of(most_pause_tokens(timedelta(milliseconds=PAUSE_MS), 4)) <= PAUSE_MS


def test_rare_adapter_waits_for_the_engine_that_has_it(run):
    """A copy from the weight store costs others; the busy engine is free soon."""

    async def scenario():
        cell = Cell(engines=3)
        cell.hold("e0", "rare")
        engine = cell.owner.engines["e0", 1]
        engine.note_prompt(5000, cell.clock.monotonic())
        cell.ask("r1", "rare")
        await cell.pass_time(100)
        assert not cell.granted()
        await cell.pass_time(300)
        assert cell.granted() == {"r1": "e0"}

    run(scenario())


def test_busy_adapter_gets_a_second_engine(run):
    """One adapter's demand over what one engine reads: a copy serves sooner."""

    async def scenario():
        cell = Cell(engines=3)
        cell.hold("e0", "hot")
        for number in range(60):
            cell.owner.loads.note_use(LoadedAdapter(MODEL, "hot", 1), timedelta())
            if number % 3 == 0:
                cell.ask(f"r{number}", "hot")
        await cell.pass_time(1000)
        assert len(set(cell.granted().values())) > 1

    run(scenario())


def test_many_rare_adapters_at_once_never_pass_an_engines_places(run):
    """Rare models are asked for at once: all places taken, none passed."""

    async def scenario():
        cell = Cell(engines=2)
        for number in range(80):
            cell.ask(f"r{number}", f"a{number}", tokens=100, goal=2000)
        for _ in range(30):
            await cell.pass_time(100)
            for request, engine in list(cell.granted().items()):
                end(cell, request, engine)
        for engine in cell.owner.engines.values():
            assert len(engine.holdings) <= SPEC.adapter_places
        assert cell.owner.queue.pace.granted_at

    run(scenario())


def test_adapter_in_use_is_never_the_one_that_makes_room(run):
    async def scenario():
        cell = Cell(engines=1)
        for number in range(SPEC.adapter_places):
            cell.hold("e0", f"a{number}")
            cell.ask(f"r{number}", f"a{number}", tokens=100)
        await cell.pass_time(20)
        assert len(cell.granted()) == SPEC.adapter_places
        cell.ask("new", "another", tokens=100)
        await cell.pass_time(300)
        assert "new" not in cell.granted()
        held = cell.orders.loaded["e0"]
        assert LoadedAdapter(MODEL, "a0", 1) in held
        end(cell, "r0", "e0")
        await cell.pass_time(500)
        assert cell.granted()["new"] == "e0"

    run(scenario())


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


def test_adapter_that_came_by_an_order_of_the_last_owner_is_delivered(run):
    """A new owner finds an adapter on its way: those who wait for it are served."""

    async def scenario():
        cell = Cell(engines=1)
        engine = cell.owner.engines["e0", 1]
        adapter = LoadedAdapter(MODEL, "a1", 1)
        engine.holdings[adapter] = Holding(
            adapter, HoldingState.ARRIVING, timedelta(), timedelta()
        )
        cell.ask("r1", "a1")
        await cell.pass_time(50)
        assert not cell.granted()
        engine.holdings[adapter].state = HoldingState.READY
        cell.owner.loads.settle(engine)
        await settle()
        assert cell.granted() == {"r1": "e0"}

    run(scenario())


def test_request_that_runs_already_is_not_placed_a_second_time(run):
    """Its first answer was lost: the instance reports it and asks again."""

    async def scenario():
        cell = Cell(engines=2)
        engine = cell.owner.engines["e0", 1]
        engine.models.clear()
        cell.owner.engines["e1", 1].models.clear()
        cell.ask("r1", "a1")
        await settle()
        running = RunningRequest(
            request="r1",
            server="e0",
            model=MODEL,
            adapter="a1",
            version=1,
            prompt_tokens=10,
            output_tokens=10,
            started=True,
        )
        report = InstanceReport(
            cell="0",
            instance="i",
            incarnation="i-1",
            address="10.0.0.2:1",
            started=[],
            ended=[],
            running=[running],
            full=True,
            store_answers=True,
            leaving=False,
            versions={},
        )
        cell.owner.take_report(report)
        engine.models.add(MODEL)
        cell.owner.queue.pump()
        assert list(engine.grants) == ["r1"]
        assert "r1" not in cell.owner.queue.waiting

    run(scenario())


def option(engine, residency, **more):
    """Return an idle engine as an option."""
    load = {
        "backlog_tokens": 0,
        "pause_tokens": 0,
        "most_pause_tokens": 5000.0,
        "running": 0,
        "places": 64,
        "cache_tokens_free": 100_000.0,
    }
    has_room = more.pop("has_room", True)
    return EngineOption(
        engine=engine,
        load=EngineLoad(**{**load, **more}),
        residency=residency,
        ready_in=timedelta(),
        has_room=has_room,
        home_rank=0,
    )


NEED = EngineNeed(prompt_tokens=BRIEF_TOKENS, output_tokens=172)


@pytest.mark.parametrize(
    ("options", "best"),
    [
        ([option("e0", Residency.ABSENT), option("e1", Residency.READY)], "e1"),
        ([option("e0", Residency.ABSENT), option("e1", Residency.NEAR)], "e1"),
        (
            [
                option("e0", Residency.READY, backlog_tokens=8000),
                option("e1", Residency.READY, backlog_tokens=500),
            ],
            "e1",
        ),
        ([option("e0", Residency.READY, pause_tokens=4900)], None),
        ([option("e0", Residency.READY, running=64)], None),
        ([option("e0", Residency.ABSENT, has_room=False)], None),
        ([option("e0", Residency.READY, running=3, cache_tokens_free=900)], None),
        # One that is larger than the cache goes to an engine that is empty.
        ([option("e0", Residency.READY, cache_tokens_free=900)], "e0"),
    ],
)
def test_which_engine_serves(options, best):
    found = best_engine(options, NEED)
    assert (found.engine if found else None) == best
