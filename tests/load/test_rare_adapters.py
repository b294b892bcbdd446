"""Requests for many rare adapters: waiting for existing copies and adapter slots."""

from magnoliatrail.backends import LoadedAdapter
from tests.load.cell import (
    MODEL,
    SPEC,
    Cell,
    report_ended,
)


def test_rare_adapter_waits_for_the_engine_that_has_it(run):
    """A second copy would use weight store bandwidth; the busy engine is free soon."""

    async def scenario():
        cell = Cell(engines=3)
        cell.add_ready_adapter("e0", "rare")
        engine = cell.owner.engines["e0", 1]
        engine.record_prompt(5000, cell.clock.monotonic())
        cell.request_slot("r1", "rare")
        await cell.pass_time(100)
        assert not cell.granted()
        await cell.pass_time(300)
        assert cell.granted() == {"r1": "e0"}

    run(scenario())


def test_many_rare_adapters_at_once_never_exceed_the_adapter_slots(run):
    """Requests for more adapters than there are slots must not exceed them."""

    async def scenario():
        cell = Cell(engines=2)
        for number in range(80):
            cell.request_slot(f"r{number}", f"a{number}", tokens=100, goal=2000)
        for _ in range(30):
            await cell.pass_time(100)
            for request, engine in list(cell.granted().items()):
                report_ended(cell, request, engine)
        for engine in cell.owner.engines.values():
            assert len(engine.holdings) <= SPEC.adapter_slots
        assert len(cell.orders.loaded["e0"]) == SPEC.adapter_slots

    run(scenario())


def test_adapter_in_use_is_never_evicted(run):
    async def scenario():
        cell = Cell(engines=1)
        for number in range(SPEC.adapter_slots):
            cell.add_ready_adapter("e0", f"a{number}")
            cell.request_slot(f"r{number}", f"a{number}", tokens=100)
        await cell.pass_time(20)
        assert len(cell.granted()) == SPEC.adapter_slots
        cell.request_slot("new", "another", tokens=100)
        await cell.pass_time(300)
        assert "new" not in cell.granted()
        held = cell.orders.loaded["e0"]
        assert LoadedAdapter(MODEL, "a0", 1) in held
        report_ended(cell, "r0", "e0")
        await cell.pass_time(500)
        assert cell.granted()["new"] == "e0"

    run(scenario())
