"""Rare adapters asked for at once: places and copies are worth waiting for."""

from magnoliatrail.backends import LoadedAdapter
from tests.load.cell import (
    MODEL,
    SPEC,
    Cell,
    end,
)


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
            assert len(engine.holdings) <= SPEC.adapter_slots
        assert cell.owner.queue.pace.granted_at

    run(scenario())


def test_adapter_in_use_is_never_the_one_that_makes_room(run):
    async def scenario():
        cell = Cell(engines=1)
        for number in range(SPEC.adapter_slots):
            cell.hold("e0", f"a{number}")
            cell.ask(f"r{number}", f"a{number}", tokens=100)
        await cell.pass_time(20)
        assert len(cell.granted()) == SPEC.adapter_slots
        cell.ask("new", "another", tokens=100)
        await cell.pass_time(300)
        assert "new" not in cell.granted()
        held = cell.orders.loaded["e0"]
        assert LoadedAdapter(MODEL, "a0", 1) in held
        end(cell, "r0", "e0")
        await cell.pass_time(500)
        assert cell.granted()["new"] == "e0"

    run(scenario())
