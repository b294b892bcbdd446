"""Demand shifts to one adapter: it is loaded on more engines."""

from datetime import timedelta

from magnoliatrail.backends import LoadedAdapter
from tests.load.cell import (
    MODEL,
    Cell,
)


def test_busy_adapter_gets_a_second_engine(run):
    """One engine cannot prefill all requests of a busy adapter in time."""

    async def scenario():
        cell = Cell(engines=3)
        cell.add_ready_adapter("e0", "hot")
        for number in range(60):
            cell.owner.loads.record_use(LoadedAdapter(MODEL, "hot", 1), timedelta())
            if number % 3 == 0:
                cell.request_slot(f"r{number}", "hot")
        await cell.pass_time(1000)
        assert len(set(cell.granted().values())) > 1

    run(scenario())
