"""The owner of a cell: grants batch slots on its engines and loads adapters."""

import asyncio
import random
from collections import defaultdict
from collections.abc import Callable, Iterable
from datetime import timedelta
from statistics import median

from magnoliatrail.backends import BackendServer, LoadedAdapter
from magnoliatrail.cells.answers import slot_answer
from magnoliatrail.cells.engine_state import (
    EngineState,
    Grant,
    Holding,
    HoldingState,
)
from magnoliatrail.cells.loading import AdapterLoads
from magnoliatrail.cells.orders import EngineOrders
from magnoliatrail.cells.queue import CellQueue
from magnoliatrail.cells.reported_limits import apply_reported_limits
from magnoliatrail.cells.slots_in_use import SlotsInUse
from magnoliatrail.cells.waiting import (
    WaitingRequest,
    account_fields,
    waiting_request,
)
from magnoliatrail.clock import Clock
from magnoliatrail.generated.cells import (
    AdapterSpread,
    EngineSummary,
    InstanceReport,
    MeasuredSpeed,
    SlotAnswer,
    SlotDecision,
    SlotRequest,
)
from magnoliatrail.ids import ServerId
from magnoliatrail.logs import EventLog
from magnoliatrail.membership.fleet_view import FleetView
from magnoliatrail.metrics import Metrics
from magnoliatrail.periodic import PeriodicTasks
from magnoliatrail.routing.engine_scores import Residency
from magnoliatrail.routing.engine_speed import (
    EngineSpeed,
    EngineSpeedEstimate,
    ServiceSpeed,
)
from magnoliatrail.routing.prefill_budget import PrefillBudget

log = EventLog("cells")

# Long poll: a slot request is held open for this long, then the instance repeats it.
SLOT_REQUEST_HOLD = timedelta(milliseconds=700)

# An adapter with more than this share of a cell's requests gets more cells.
BUSY_ADAPTER_SHARE = 0.35
# A new owner gives no orders until the instances reported their running requests, or
# this long.
FULL_REPORT_TIMEOUT = timedelta(milliseconds=800)


class CellOwner:
    """Schedule the requests of a cell on its engines."""

    def __init__(
        self,
        *,
        clock: Clock,
        metrics: Metrics,
        view: FleetView,
        in_cell: Callable[[ServerId], bool],
        orders: EngineOrders,
        may_order: Callable[[], bool],
        expected: set[str],
        generator: random.Random,
        tasks: PeriodicTasks,
        known_speeds: Iterable[MeasuredSpeed] = (),
    ) -> None:
        self.clock = clock
        self.metrics = metrics
        self.view = view
        self.in_cell = in_cell
        self.orders = orders
        self.tasks = tasks
        self.engines: dict[tuple[ServerId, int], EngineState] = {}
        self.loads = AdapterLoads(
            clock=clock,
            metrics=metrics,
            orders=orders,
            tasks=tasks,
            on_ready=self.handle_adapter_ready,
            on_failed=self.handle_adapter_failure,
            engines=self.engines.values,
        )
        self.queue = CellQueue(
            clock=clock,
            metrics=metrics,
            loads=self.loads,
            engines=self.engines.values,
            may_order=lambda: may_order() and self.running_requests_known(),
            grant=self.grant,
            with_required_version=self.with_required_version,
            pause_goal=self.pause_goal,
            request_limit=lambda server: view.request_limits.find(server.key),
            generator=generator,
        )
        self.slots_in_use = SlotsInUse(
            clock=clock,
            loads=self.loads,
            engines=self.engines.values,
            remove_from_queue=self.queue.remove,
            record_run_time=self.queue.run_times.record,
            pause_goal=self.pause_goal,
        )
        # What the engines of each service have in common.
        self.speeds: dict[str, ServiceSpeed] = defaultdict(ServiceSpeed)
        for known in known_speeds:
            self.speeds[known.service] = ServiceSpeed(
                EngineSpeed(
                    known.prefill_ms_per_token, known.step_ms, known.step_ms_per_request
                )
            )
        self.closed = False
        self.began_at = clock.monotonic()
        # Instances whose running requests must be known before anything is evicted.
        self.expected = expected

    # Engines

    def sync_engines(self) -> None:
        """Add, update and remove engines to match the view."""
        listed: dict[tuple[ServerId, int], BackendServer] = {}
        for server in self.view.engines():
            if self.in_cell(server.id):
                listed[server.key] = server
        for key, server in listed.items():
            known = self.engines.get(key)
            if known is None:
                self.add_engine(server)
            else:
                known.server = server
        for key in [key for key in self.engines if key not in listed]:
            engine = self.engines.pop(key)
            log.info("engine_left", engine=engine.server.id, grants=len(engine.grants))
            self.requeue_reserved(engine, list(engine.grants.values()))
        self.queue.schedule()

    def add_engine(self, server: BackendServer) -> None:
        """Add an engine, with the models and adapters that its row lists."""
        routes = self.view.routes
        assert routes is not None, (
            "an engine was listed before a configuration was known"
        )
        spec = routes.services[server.service].engine
        assert spec is not None, "the engine's service has no engine settings"
        now = self.clock.monotonic()
        engine = EngineState(server, spec, orders_accepted=server.orders_accepted)
        engine.prefill_budget = PrefillBudget(self.median_prefill_share(server.service))
        engine.speed_estimate = EngineSpeedEstimate(self.speeds[server.service])
        for model in server.models:
            engine.models.add(model.name)
            for adapter in model.adapters:
                engine.holdings[adapter] = Holding(
                    adapter, HoldingState.READY, now, timedelta()
                )
        self.engines[server.key] = engine
        log.info(
            "engine_added",
            engine=server.id,
            born=server.born,
            models=len(engine.models),
            adapters=len(engine.holdings),
        )
        self.tasks.once(lambda: self.loads.monitor_engine(engine, self.is_current))

    def median_prefill_share(self, service: str) -> float:
        """Return the median prefill budget of a service, to start a new engine with."""
        shares = [
            engine.prefill_budget.share
            for engine in self.engines.values()
            if engine.server.service == service
        ]
        return median(shares) if shares else 1.0

    def running_requests_known(self) -> bool:
        """Return whether all instances sent a full report, or the timeout passed."""
        if self.expected <= self.slots_in_use.fully_reported:
            return True
        return self.clock.monotonic() - self.began_at > FULL_REPORT_TIMEOUT

    def is_current(self, engine: EngineState) -> bool:
        """Return whether this owner still manages this run of an engine."""
        return not self.closed and self.engines.get(engine.server.key) is engine

    def close(self) -> None:
        """Close the owner, and redirect all waiting requests to the next owner."""
        self.closed = True
        answer = slot_answer(SlotDecision.NOT_OWNER)
        self.queue.answer_all(answer)
        for request in self.loads.reserved.values():
            if not request.answer.done():
                request.answer.set_result(answer)

    def measured_speeds(self) -> list[MeasuredSpeed]:
        """Return the speeds of the services' engines, for the next owner."""
        return [
            MeasuredSpeed(
                service=service,
                prefill_ms_per_token=round(speed.prefill_ms_per_token, 5),
                step_ms=round(speed.step_ms, 3),
                step_ms_per_request=round(speed.step_ms_per_request, 5),
            )
            for service, estimate in self.speeds.items()
            if (speed := estimate.measured)
        ]

    # Slot requests

    async def request_slot(self, message: SlotRequest) -> SlotAnswer:
        """Answer a slot request; a repeated one gets the same answer."""
        if self.closed:
            return slot_answer(SlotDecision.NOT_OWNER)
        granted = self.slots_in_use.granted.get(message.request)
        if granted:
            return granted[1]
        name = message.request
        request = self.queue.waiting.get(name) or self.loads.reserved.get(name)
        if request is None:
            request = waiting_request(message, self.clock.monotonic())
            self.queue.add(request)
        done, _ = await asyncio.wait(
            {request.answer}, timeout=SLOT_REQUEST_HOLD.total_seconds()
        )
        return request.answer.result() if done else slot_answer(SlotDecision.WAITING)

    def pause_goal(self) -> timedelta:
        """Return the shortest pause goal of the engines' services, 0 without one."""
        routes = self.view.routes
        if routes is None:
            return timedelta()
        goals = [routes.pause_goal(name) for name in self.view.engine_services()]
        return min((goal for goal in goals if goal), default=timedelta())

    def with_required_version(self, adapter: LoadedAdapter) -> LoadedAdapter:
        """Return an adapter in the newest version that the request or view requires."""
        if not adapter.adapter:
            return adapter
        version = max(adapter.version, self.view.required_version(adapter))
        return LoadedAdapter(adapter.model, adapter.adapter, version)

    # Batch slots

    def grant(
        self, request: WaitingRequest, engine: EngineState, residency: Residency
    ) -> None:
        """Reserve a slot, and answer the request once its adapter is ready."""
        message = request.message
        now = self.clock.monotonic()
        holding = engine.holdings.get(request.adapter)
        if holding:
            holding.last_used = now
        self.loads.record_use(request.adapter, now)
        grant = Grant(
            request=message.request,
            instance=message.instance,
            adapter=request.adapter,
            prompt_tokens=message.prompt_tokens,
            output_tokens=message.output_tokens,
            granted_at=now,
            confirmed_at=now,
        )
        engine.add_grant(grant)
        self.queue.remove(message.request)
        self.queue.record_granted(request, request.work)
        self.loads.reserved[message.request] = request
        engine.reserved_tokens += message.prompt_tokens
        if residency is Residency.READY:
            self.deliver(engine, grant, residency.value)
        else:
            self.loads.add_waiter(engine, grant.adapter, message.request)

    def deliver(self, engine: EngineState, grant: Grant, reason: str) -> None:
        """Answer a slot request with its granted slot."""
        request = self.loads.reserved.pop(grant.request, None)
        engine.reserved_tokens -= grant.prompt_tokens
        if request is None:
            engine.remove_grant(grant.request)
            return
        now = self.clock.monotonic()
        engine.record_delivery(grant, now)
        grant.confirmed_at = now
        answer = slot_answer(
            SlotDecision.GRANTED, engine, grant.adapter.version, reason
        )
        self.slots_in_use.granted[grant.request] = (engine, answer)
        self.metrics.timing("places.wait", now - request.enqueued_at)
        if request.account:
            self.metrics.count(f"granted_work.{request.account}", request.work)
        log.info(
            "place_granted",
            request=grant.request,
            instance=grant.instance,
            engine=engine.server.id,
            adapter=grant.adapter,
            prompt_tokens=grant.prompt_tokens,
            reason=reason,
            waited=now - request.enqueued_at,
            running=len(engine.grants),
            backlog_tokens=engine.backlog_tokens,
            queue=len(self.queue.waiting),
            prefill_budget=round(engine.prefill_budget.share, 2),
            prefill_ms=round(
                engine.speed_estimate.speed(now).prefill_ms_per_token * 1000, 1
            ),
            step=engine.speed_estimate.speed(now).step_time(len(engine.grants)),
            **account_fields(request),
        )
        if not request.answer.done():
            request.answer.set_result(answer)

    def handle_adapter_ready(self, engine: EngineState, requests: list[str]) -> None:
        """Deliver the slots of requests that waited for an adapter."""
        for request in requests:
            grant = engine.grants.get(request)
            if grant:
                self.deliver(engine, grant, "loaded")
        self.queue.schedule()

    def handle_adapter_failure(self, engine: EngineState, requests: list[str]) -> None:
        """Requeue the requests whose adapter failed to load."""
        grants = [engine.grants[name] for name in requests if name in engine.grants]
        self.requeue_reserved(engine, grants)

    def requeue_reserved(self, engine: EngineState, grants: list[Grant]) -> None:
        """Free the slots, and requeue the requests that were not answered yet."""
        for grant in grants:
            engine.remove_grant(grant.request)
            request = self.loads.reserved.pop(grant.request, None)
            if request:
                engine.reserved_tokens -= grant.prompt_tokens
                self.queue.record_granted(request, -request.work)
                self.queue.put(request)
        self.queue.schedule()

    def apply_report(self, report: InstanceReport) -> None:
        """Apply an instance's report and schedule a pass over the queue."""
        apply_reported_limits(self.view.request_limits, report.limits)
        self.slots_in_use.apply_report(report)
        self.queue.schedule()

    def busy_adapters(self, cells: int) -> list[AdapterSpread]:
        """Return the adapters that need more than one of the cells."""
        if cells <= 1:
            return []
        found = self.loads.busy_adapters(cells, BUSY_ADAPTER_SHARE)
        return [
            AdapterSpread(adapter=adapter, cells=count)
            for adapter, count in sorted(found.items())
        ]

    def summary(self) -> list[EngineSummary]:
        """Summarize the engines, for instances that choose one without the owner."""
        return [
            EngineSummary(
                server=engine.server.id,
                born=engine.server.born,
                running=len(engine.grants),
                adapters=[
                    str(holding.adapter)
                    for holding in engine.holdings.values()
                    if holding.state is HoldingState.READY
                ],
            )
            for engine in self.engines.values()
        ]
