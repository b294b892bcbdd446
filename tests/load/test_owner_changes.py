"""Lease takeover under load: running requests and adapter loads are kept."""

from datetime import timedelta

from magnoliatrail.backends import LoadedAdapter
from magnoliatrail.cells.engine_state import Holding, HoldingState
from magnoliatrail.generated.cells import (
    InstanceReport,
    RunningRequest,
)
from tests.load.cell import (
    MODEL,
    Cell,
    run_pending_tasks,
)


def test_requests_for_an_adapter_that_the_last_owner_ordered_are_granted(run):
    """A new owner finds an adapter still loading that it did not order itself.

    Requests that wait for it must be granted once a report lists it as ready.
    """

    async def scenario():
        cell = Cell(engines=1)
        engine = cell.owner.engines["e0", 1]
        adapter = LoadedAdapter(MODEL, "a1", 1)
        engine.holdings[adapter] = Holding(
            adapter, HoldingState.LOADING, timedelta(), timedelta()
        )
        cell.request_slot("r1", "a1")
        await cell.pass_time(50)
        assert not cell.granted()
        engine.holdings[adapter].state = HoldingState.READY
        cell.owner.loads.resolve_waiters(engine)
        await run_pending_tasks()
        assert cell.granted() == {"r1": "e0"}

    run(scenario())


def test_running_request_is_not_granted_a_second_slot(run):
    """The first answer was lost, so the instance reports the request and repeats it.

    If the report did not remove the request from the queue, it would get two slots.
    """

    async def scenario():
        cell = Cell(engines=2)
        engine = cell.owner.engines["e0", 1]
        engine.models.clear()
        cell.owner.engines["e1", 1].models.clear()
        cell.request_slot("r1", "a1")
        await run_pending_tasks()
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
            instances_digest=0,
        )
        cell.owner.apply_report(report)
        engine.models.add(MODEL)
        cell.owner.queue.process()
        assert list(engine.grants) == ["r1"]
        assert "r1" not in cell.owner.queue.waiting

    run(scenario())
