"""Engines deny adapters that they were ordered to load: their slots stay occupied."""

from datetime import timedelta

from magnoliatrail.backends import LoadedAdapter
from magnoliatrail.cells.engine_state import HoldingState
from tests.load.cell import MODEL, SPEC, Cell, run_pending_tasks


async def deny_until_timeout(cell, engine, adapter):
    """Let an engine deny an adapter, with no report applied for three seconds."""
    cell.owner.loads.handle_denied(engine, adapter)
    for _ in range(60):
        await run_pending_tasks()
        cell.clock.advance(timedelta(milliseconds=50))
    await run_pending_tasks()


def full_engine(cell):
    """Return an engine whose adapter slots are all occupied."""
    for number in range(SPEC.adapter_slots):
        cell.add_ready_adapter("e0", f"a{number}")
    return cell.owner.engines["e0", 1]


def test_an_adapter_that_no_report_confirms_still_occupies_its_slot(run):
    """The reports of a busy engine are all older than its last order.

    If its slot counted as free without a report, a load would exceed the slots.
    """

    async def scenario():
        cell = Cell(engines=1)
        engine = full_engine(cell)
        denied = LoadedAdapter(MODEL, "a3", 1)
        await deny_until_timeout(cell, engine, denied)
        assert len(engine.holdings) == SPEC.adapter_slots
        assert engine.holdings[denied].state is HoldingState.READY
        cell.request_slot("r1", "another", goal=5000)
        await cell.pass_time(400)
        assert len(cell.orders.loaded["e0"]) <= SPEC.adapter_slots
        assert "r1" in cell.granted()

    run(scenario())


def test_an_adapter_that_a_report_no_longer_lists_frees_its_slot(run):
    async def scenario():
        cell = Cell(engines=1)
        engine = full_engine(cell)
        denied = LoadedAdapter(MODEL, "a3", 1)

        async def refresh(engine):
            engine.drop(denied)
            return True

        cell.orders.refresh = refresh
        await deny_until_timeout(cell, engine, denied)
        assert len(engine.holdings) == SPEC.adapter_slots - 1

    run(scenario())
