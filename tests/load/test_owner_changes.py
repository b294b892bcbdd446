"""Lease takeover under load: running requests and adapter loads are kept."""

import asyncio
import random
from datetime import timedelta

import pytest

from magnoliatrail.backends import LoadedAdapter
from magnoliatrail.cells.engine_state import Holding, HoldingState
from magnoliatrail.cells.owner import CellOwner
from magnoliatrail.clock import ManualClock
from magnoliatrail.generated.cells import (
    InstanceReport,
    MeasuredSpeed,
    RunningRequest,
)
from magnoliatrail.membership.fleet_view import FleetView
from magnoliatrail.metrics import NoMetrics
from magnoliatrail.routing.engine_speed import ServiceSpeed
from tests.load.cell import (
    MODEL,
    Cell,
    run_pending_tasks,
)
from tests.platform.fake_store import FakeRows
from tests.platform.test_cell_lease import lease_of


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
            limits=[],
        )
        cell.owner.apply_report(report)
        engine.models.add(MODEL)
        cell.owner.queue.process()
        assert list(engine.grants) == ["r1"]
        assert "r1" not in cell.owner.queue.waiting

    run(scenario())


def test_the_next_owner_knows_the_speed_of_the_engines():
    """Otherwise it assumes slow engines, and refuses what they could take."""
    clock, store = ManualClock(), FakeRows()
    first, second = (lease_of(name, store, clock) for name in "ab")
    asyncio.run(first.read())
    measured = MeasuredSpeed(
        service="models",
        prefill_ms_per_token=0.026,
        step_ms=5.2,
        step_ms_per_request=0.03,
    )
    first.speeds = lambda: [measured]
    assert asyncio.run(first.claim())
    clock.advance(timedelta(seconds=3))
    asyncio.run(second.read())
    clock.advance(timedelta(seconds=3))
    assert asyncio.run(second.claim())
    assert second.row.speeds == [measured]
    cell = Cell(engines=1)
    before = ServiceSpeed().speed(1.0)
    owner = CellOwner(
        clock=clock,
        metrics=NoMetrics(),
        view=FleetView(clock),
        in_cell=lambda server: True,
        orders=cell.orders,
        may_order=lambda: True,
        expected=set(),
        generator=random.Random(1),
        tasks=cell.tasks,
        known_speeds=second.known_speeds(),
    )
    assert owner.measured_speeds() == [measured]
    after = owner.speeds["models"].speed(1.0)
    assert after.prefill_ms_per_token == pytest.approx(0.026, rel=0.05)
    assert before.prefill_ms_per_token > after.prefill_ms_per_token * 1.5
