"""Engines deny adapters that they were ordered to load: their places stay counted."""

from datetime import timedelta

from magnoliatrail.backends import LoadedAdapter
from magnoliatrail.cells.engine_state import HoldingState
from tests.load.cell import MODEL, SPEC, Cell, settle


async def deny_for_long(cell, engine, adapter):
    """Let an engine deny an adapter, with no report taken for three seconds."""
    cell.owner.loads.note_refused(engine, adapter)
    for _ in range(60):
        await settle()
        cell.clock.advance(timedelta(milliseconds=50))
    await settle()


def full_engine(cell):
    """Return an engine whose places for adapters are all taken."""
    for number in range(SPEC.adapter_slots):
        cell.hold("e0", f"a{number}")
    return cell.owner.engines["e0", 1]


def test_an_adapter_that_no_report_spoke_of_still_takes_its_place(run):
    """A busy engine's reports are all older than its last order: nobody knows."""

    async def scenario():
        cell = Cell(engines=1)
        engine = full_engine(cell)
        denied = LoadedAdapter(MODEL, "a3", 1)
        await deny_for_long(cell, engine, denied)
        assert len(engine.holdings) == SPEC.adapter_slots
        assert engine.holdings[denied].state is HoldingState.READY
        cell.ask("r1", "another", goal=5000)
        await cell.pass_time(400)
        assert len(cell.orders.loaded["e0"]) <= SPEC.adapter_slots
        assert "r1" in cell.granted()

    run(scenario())


def test_an_adapter_that_a_report_no_longer_lists_gives_its_place_back(run):
    async def scenario():
        cell = Cell(engines=1)
        engine = full_engine(cell)
        denied = LoadedAdapter(MODEL, "a3", 1)

        async def refresh(engine):
            engine.drop(denied)
            return True

        cell.orders.refresh = refresh
        await deny_for_long(cell, engine, denied)
        assert len(engine.holdings) == SPEC.adapter_slots - 1

    run(scenario())
