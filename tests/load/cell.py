"""A cell owner on a virtual clock, with engines of the users' specification."""

import asyncio
import random
from datetime import timedelta

from magnoliatrail.backends import BackendServer, LoadedAdapter, ServerState
from magnoliatrail.cells.engine_state import EngineState, Holding, HoldingState
from magnoliatrail.cells.owner import CellOwner
from magnoliatrail.clock import ManualClock
from magnoliatrail.generated.cells import (
    EndedRun,
    InstanceReport,
    RunOutcome,
    SlotRequest,
)
from magnoliatrail.membership.fleet_view import FleetView
from magnoliatrail.metrics import NoMetrics
from magnoliatrail.periodic import PeriodicTasks
from magnoliatrail.platform.engine_calls import Operation, OrderOutcome
from magnoliatrail.routes import EngineSpec, ModelSpec
from magnoliatrail.routing.engine_speed import (
    EngineSpeed,
    EngineSpeedEstimate,
    ServiceSpeed,
)

# Nassar's engines, as specified: batch step, prefill, tokens per event, pause goal.
STEP_MS, PREFILL_PER_MS, EVENT_TOKENS, PAUSE_MS = 6.8, 22.1, 4, 300
CHUNK_TOKENS = 2048
PROMPT_TOKENS = 1460
MODEL = "base"
# First events include decode steps, so a token adds more than its prefill.
SPEED = EngineSpeed(1 / PREFILL_PER_MS / 0.85, STEP_MS, 0.034)
SPEC = EngineSpec(
    batch_slots=64,
    cache_tokens=129_004,
    adapter_slots=16,
    weights_mb=66_600,
    loads_per_second=3,
    event_tokens=EVENT_TOKENS,
    models={MODEL: ModelSpec(MODEL, 65_100, timedelta(seconds=1.9), 12)},
)


class FakeEngineOrders:
    """Carry out every order at once, and fail if one exceeds the adapter slots."""

    def __init__(self):
        self.loaded = {}

    async def send(self, engine, operation, target):
        held = self.loaded.setdefault(engine.server.id, set())
        if operation is Operation.UNLOAD:
            held.discard(target)
            return OrderOutcome.DONE
        assert len(held) < SPEC.adapter_slots, (
            "an order exceeded the engine's adapter slots"
        )
        held.add(target)
        return OrderOutcome.STARTED

    async def refresh(self, engine):
        return False


class Cell:
    """A cell owner on a virtual clock, with engines that hold one base model."""

    def __init__(self, engines, spec=SPEC, pause_ms=PAUSE_MS):
        self.spec = spec
        self.clock = ManualClock()
        self.orders = FakeEngineOrders()
        self.tasks = PeriodicTasks(self.clock)
        self.owner = CellOwner(
            clock=self.clock,
            metrics=NoMetrics(),
            view=FleetView(self.clock),
            in_cell=lambda server: True,
            orders=self.orders,
            may_order=lambda: True,
            expected=set(),
            generator=random.Random(1),
            tasks=self.tasks,
        )
        self.owner.speeds["models"] = ServiceSpeed(SPEED)
        self.owner.queue.pause_goal = lambda: timedelta(milliseconds=pause_ms)
        self.owner.slots_in_use.pause_goal = self.owner.queue.pause_goal
        for number in range(engines):
            self.add_engine(f"e{number}")

    def add_engine(self, name, software_version=""):
        server = BackendServer(
            id=name,
            born=1,
            service="models",
            address="10.0.0.1:1",
            failure_domain="z",
            batch_slots=64,
            state=ServerState.READY,
            models=(),
            orders_accepted=0,
            software_version=software_version,
        )
        estimate = EngineSpeedEstimate(self.owner.speeds["models"])
        engine = EngineState(server, self.spec, models={MODEL}, reported=True)
        engine.speed_estimate = estimate
        self.owner.engines[server.key] = engine
        return engine

    def add_ready_adapter(self, name, adapter):
        """Make an adapter ready on an engine."""
        engine = self.owner.engines[name, 1]
        loaded = LoadedAdapter(MODEL, adapter, 1)
        engine.holdings[loaded] = Holding(
            loaded, HoldingState.READY, timedelta(), timedelta()
        )
        self.orders.loaded.setdefault(name, set()).add(loaded)

    def request_slot(self, request, adapter, **fields):
        message = self.slot_request(request, adapter, **fields)
        return asyncio.ensure_future(self.owner.request_slot(message))

    def slot_request(
        self,
        request,
        adapter,
        tokens=PROMPT_TOKENS,
        priority=1,
        goal=800,
        time_left=3200.0,
        software_version="",
        output_tokens=172,
        **account,
    ):
        return SlotRequest(
            cell="0",
            instance="i",
            incarnation="i-1",
            request=request,
            service="models",
            model=MODEL,
            adapter=adapter,
            version=1,
            prompt_tokens=tokens,
            output_tokens=output_tokens,
            priority=priority,
            goal_left_ms=goal,
            time_left_ms=time_left,
            deadline_left_ms=12000.0,
            avoid=[],
            software_version=software_version,
            **account,
        )

    async def pass_time(self, milliseconds):
        """Advance the clock, with a scheduling pass every 10 ms."""
        for _ in range(milliseconds // 10):
            await run_pending_tasks()
            self.clock.advance(timedelta(milliseconds=10))
            self.owner.queue.process()
        await run_pending_tasks()

    def granted(self):
        """Return the engine of each request that was granted a slot."""
        granted = self.owner.slots_in_use.granted.items()
        return {request: engine.server.id for request, (engine, _) in granted}


async def run_pending_tasks():
    """Yield to the event loop until the ready tasks have run."""
    for _ in range(20):
        await asyncio.sleep(0)


def report_ended(
    cell,
    request,
    server,
    outcome=RunOutcome.SERVED,
    pause_ms=0,
    first_event_ms=0,
    usual_pause_ms=0,
    started=(),
):
    """Report that a request ended, and that others sent their first event."""
    cell.owner.apply_report(
        InstanceReport(
            cell="0",
            instance="i",
            incarnation="i-1",
            address="10.0.0.2:1",
            started=list(started),
            ended=[
                EndedRun(
                    request=request,
                    server=server,
                    outcome=outcome,
                    first_event_ms=first_event_ms,
                    longest_pause_ms=pause_ms,
                    usual_pause_ms=usual_pause_ms,
                )
            ],
            running=[],
            full=False,
            store_answers=True,
            leaving=False,
            versions={},
            instances_digest=0,
            limits=[],
        )
    )
