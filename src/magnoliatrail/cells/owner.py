"""The owner of a cell: it gives the places on its engines and loads adapters."""

import asyncio
import random
from collections.abc import Callable
from datetime import timedelta
from statistics import median

from magnoliatrail.backends import BackendServer, LoadedAdapter
from magnoliatrail.cells.answers import place_answer
from magnoliatrail.cells.engine_state import (
    EngineState,
    Grant,
    Holding,
    HoldingState,
)
from magnoliatrail.cells.loading import AdapterLoads
from magnoliatrail.cells.orders import EngineOrders
from magnoliatrail.cells.places_in_use import PlacesInUse
from magnoliatrail.cells.queue import CellQueue
from magnoliatrail.cells.waiting import WaitingRequest, waiting_request
from magnoliatrail.clock import Clock
from magnoliatrail.generated.cells import (
    EngineSummary,
    InstanceReport,
    PlaceAnswer,
    PlaceRequest,
    PlaceState,
)
from magnoliatrail.ids import ServerId
from magnoliatrail.logs import EventLog
from magnoliatrail.membership.fleet_view import FleetView
from magnoliatrail.metrics import Metrics
from magnoliatrail.periodic import PeriodicTasks
from magnoliatrail.routing.engine_scores import Residency
from magnoliatrail.routing.prefill_budget import PrefillBudget

log = EventLog("cells")

# The owner holds a question for a place open for this long, then it is asked again.
HOLD_QUESTION = timedelta(milliseconds=700)

# A new owner orders nothing until the instances told what they run, or this long.
TELL_WITHIN = timedelta(milliseconds=800)


class CellOwner:
    """Hold the queue of a cell and the state of its engines."""

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
            on_ready=self.adapter_ready,
            on_failed=self.adapter_failed,
            engines=self.engines.values,
        )
        self.queue = CellQueue(
            clock=clock,
            metrics=metrics,
            loads=self.loads,
            engines=self.engines.values,
            may_order=lambda: may_order() and self.knows_what_runs(),
            grant=self.grant,
            required=self.required,
            pause_goal=self.pause_goal,
            generator=generator,
        )
        self.in_use = PlacesInUse(
            clock=clock,
            loads=self.loads,
            engines=self.engines.values,
            forget=self.queue.remove,
            pause_goal=self.pause_goal,
        )
        self.closed = False
        self.began_at = clock.monotonic()
        # Instances that are to tell what they run before anything is evicted.
        self.expected = expected

    # Engines

    def sync_engines(self) -> None:
        """Take over what the view says of the engines."""
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
            self.return_reserved(engine, list(engine.grants.values()))
        self.queue.schedule()

    def add_engine(self, server: BackendServer) -> None:
        """Begin to look after an engine, with what its own row says it holds."""
        routes = self.view.routes
        assert routes is not None, "engines are known only with a configuration"
        spec = routes.services[server.service].engine
        assert spec is not None, "only services with engines have a cell"
        now = self.clock.monotonic()
        engine = EngineState(server, spec, orders_accepted=server.orders_accepted)
        engine.pace = PrefillBudget(self.usual_pace(server.service))
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
        self.tasks.once(lambda: self.loads.attend(engine, self.is_current))

    def usual_pace(self, service: str) -> float:
        """Return the pace of the service's engines so far, for one that is new."""
        shares = [
            engine.pace.share
            for engine in self.engines.values()
            if engine.server.service == service
        ]
        return median(shares) if shares else 1.0

    def knows_what_runs(self) -> bool:
        """Return whether the instances had time to tell what they run."""
        if self.expected <= self.in_use.told_all:
            return True
        return self.clock.monotonic() - self.began_at > TELL_WITHIN

    def is_current(self, engine: EngineState) -> bool:
        """Return whether this owner still looks after an engine."""
        return not self.closed and self.engines.get(engine.server.key) is engine

    def close(self) -> None:
        """Give the cell up: all that wait are sent to the next owner."""
        self.closed = True
        answer = place_answer(PlaceState.NOT_OWNER)
        self.queue.answer_all(answer)
        for request in self.loads.reserved.values():
            if not request.answer.done():
                request.answer.set_result(answer)

    # Questions for a place

    async def place(self, message: PlaceRequest) -> PlaceAnswer:
        """Answer a question for a place, the same however often it is asked."""
        if self.closed:
            return place_answer(PlaceState.NOT_OWNER)
        placed = self.in_use.placed.get(message.request)
        if placed:
            return placed[1]
        name = message.request
        request = self.queue.waiting.get(name) or self.loads.reserved.get(name)
        if request is None:
            request = waiting_request(message, self.clock.monotonic())
            self.queue.add(request)
        done, _ = await asyncio.wait(
            {request.answer}, timeout=HOLD_QUESTION.total_seconds()
        )
        return request.answer.result() if done else place_answer(PlaceState.WAITING)

    def pause_goal(self) -> timedelta:
        """Return the shortest pause that streams of the engines may make, 0 for any."""
        routes = self.view.routes
        if routes is None:
            return timedelta()
        goals = [routes.pause_goal(name) for name in self.view.engine_services()]
        return min((goal for goal in goals if goal), default=timedelta())

    def required(self, adapter: LoadedAdapter) -> LoadedAdapter:
        """Return an adapter in the newest version that is named for it."""
        if not adapter.adapter:
            return adapter
        version = max(adapter.version, self.view.required_version(adapter))
        return LoadedAdapter(adapter.model, adapter.adapter, version)

    # Places

    def grant(
        self, request: WaitingRequest, engine: EngineState, residency: Residency
    ) -> None:
        """Reserve a place; the answer goes out once the adapter can be used."""
        message = request.message
        now = self.clock.monotonic()
        holding = engine.holdings.get(request.adapter)
        if holding:
            holding.last_used = now
        self.loads.note_use(request.adapter, now)
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
        self.loads.reserved[message.request] = request
        engine.reserved_tokens += message.prompt_tokens
        if residency is Residency.READY:
            self.deliver(engine, grant, residency.value)
        else:
            self.loads.await_adapter(engine, grant.adapter, message.request)

    def deliver(self, engine: EngineState, grant: Grant, reason: str) -> None:
        """Tell an instance that its request has a place."""
        request = self.loads.reserved.pop(grant.request, None)
        engine.reserved_tokens -= grant.prompt_tokens
        if request is None:
            engine.remove_grant(grant.request)
            return
        now = self.clock.monotonic()
        engine.note_prompt(grant.prompt_tokens, now)
        grant.confirmed_at = now
        answer = place_answer(PlaceState.GRANTED, engine, grant.adapter.version, reason)
        self.in_use.placed[grant.request] = (engine, answer)
        self.metrics.timing("places.wait", now - request.asked_at)
        log.info(
            "place_granted",
            request=grant.request,
            instance=grant.instance,
            engine=engine.server.id,
            adapter=grant.adapter,
            reason=reason,
            waited=now - request.asked_at,
            running=len(engine.grants),
            backlog_tokens=engine.backlog_tokens,
            queue=len(self.queue.waiting),
            pace=round(engine.pace.share, 2),
        )
        if not request.answer.done():
            request.answer.set_result(answer)

    def adapter_ready(self, engine: EngineState, requests: list[str]) -> None:
        """Deliver the places that waited for an adapter."""
        for request in requests:
            grant = engine.grants.get(request)
            if grant:
                self.deliver(engine, grant, "loaded")
        self.queue.schedule()

    def adapter_failed(self, engine: EngineState, requests: list[str]) -> None:
        """Put requests back into the queue whose adapter does not come."""
        grants = [engine.grants[name] for name in requests if name in engine.grants]
        self.return_reserved(engine, grants)

    def return_reserved(self, engine: EngineState, grants: list[Grant]) -> None:
        """Put the requests of reserved places back into the queue."""
        for grant in grants:
            engine.remove_grant(grant.request)
            request = self.loads.reserved.pop(grant.request, None)
            if request:
                engine.reserved_tokens -= grant.prompt_tokens
                self.queue.waiting[grant.request] = request
        self.queue.schedule()

    def take_report(self, report: InstanceReport) -> None:
        """Take in what an instance says of its requests."""
        self.in_use.take_report(report)
        self.queue.schedule()

    def summary(self) -> list[EngineSummary]:
        """Describe the engines for instances that must choose by themselves."""
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
