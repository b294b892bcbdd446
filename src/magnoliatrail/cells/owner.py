"""The owner of a cell: it gives the places on its engines and loads adapters."""

import asyncio
import random
from collections.abc import Callable, Iterable
from datetime import timedelta

from magnoliatrail.backends import BackendServer, LoadedAdapter
from magnoliatrail.cells.engine_state import (
    EngineState,
    Grant,
    Holding,
    HoldingState,
)
from magnoliatrail.cells.loading import AdapterLoads
from magnoliatrail.cells.orders import EngineOrders
from magnoliatrail.cells.waiting import (
    QueuePace,
    WaitingRequest,
    refusal,
    urgency,
    waiting_request,
)
from magnoliatrail.clock import Clock
from magnoliatrail.generated.cells import (
    EndedRun,
    EngineSummary,
    InstanceReport,
    PlaceAnswer,
    PlaceRequest,
    PlaceState,
    RunningRequest,
    RunOutcome,
)
from magnoliatrail.ids import ServerId
from magnoliatrail.logs import EventLog
from magnoliatrail.membership.fleet_view import FleetView
from magnoliatrail.metrics import Metrics
from magnoliatrail.rendezvous import weight
from magnoliatrail.routing.engine_scores import (
    CACHE_SHARE,
    EngineNeed,
    EngineOption,
    Residency,
    best_engine,
)

log = EventLog("cells")

# The owner holds a question for a place open for this long, then it is asked again.
HOLD_QUESTION = timedelta(milliseconds=700)
# A grant that its instance no longer lists is given up after this time.
UNCONFIRMED_AFTER = timedelta(seconds=2.5)
# An instance that does not report for this long has ended.
INSTANCE_GONE = timedelta(seconds=4)
# Failures in a row after which an engine gets no requests for a while.
MOST_FAILURES = 3
SHUN = timedelta(seconds=1.5)
SHUN_SILENT = timedelta(seconds=0.8)
FORECAST_UNKNOWN = timedelta(seconds=1)


class CellOwner:
    """Hold the queue of a cell and the state of its engines."""

    def __init__(
        self,
        *,
        clock: Clock,
        metrics: Metrics,
        view: FleetView,
        orders: EngineOrders,
        may_order: Callable[[], bool],
        generator: random.Random,
    ) -> None:
        self.clock = clock
        self.metrics = metrics
        self.view = view
        self.orders = orders
        self.may_order = may_order
        self.generator = generator
        self.engines: dict[tuple[ServerId, int], EngineState] = {}
        self.waiting: dict[str, WaitingRequest] = {}
        self.placed: dict[str, tuple[EngineState, PlaceAnswer]] = {}
        self.instances: dict[str, timedelta] = {}
        self.pace = QueuePace()
        self.loads = AdapterLoads(
            clock=clock,
            metrics=metrics,
            orders=orders,
            on_ready=self.adapter_ready,
            on_failed=self.adapter_failed,
            engines=lambda: self.engines.values(),
            awaited=self.awaited_adapters,
        )
        self.closed = False

    # Engines

    def sync_engines(self) -> None:
        """Take over what the view says of the engines."""
        listed: dict[tuple[ServerId, int], BackendServer] = {}
        for service in self.view.engine_services():
            for server in self.view.usable(service):
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
        self.pump()

    def add_engine(self, server: BackendServer) -> None:
        """Begin to look after an engine, with what its own row says it holds."""
        routes = self.view.routes
        assert routes is not None, "engines are known only with a configuration"
        spec = routes.services[server.service].engine
        assert spec is not None, "only services with engines have a cell"
        now = self.clock.monotonic()
        engine = EngineState(server, spec, orders_accepted=server.orders_accepted)
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
        asyncio.create_task(self.loads.attend(engine, self.is_current))

    def is_current(self, engine: EngineState) -> bool:
        """Return whether this owner still looks after an engine."""
        return not self.closed and self.engines.get(engine.server.key) is engine

    def close(self) -> None:
        """Give the cell up: all that wait are sent to the next owner."""
        self.closed = True
        answer = not_owner()
        for request in self.waiting.values():
            if not request.answer.done():
                request.answer.set_result(answer)
        self.waiting.clear()

    # Questions for a place

    async def place(self, message: PlaceRequest) -> PlaceAnswer:
        """Answer a question for a place, the same however often it is asked."""
        if self.closed:
            return not_owner()
        placed = self.placed.get(message.request)
        if placed:
            return placed[1]
        request = self.waiting.get(message.request)
        if request is None:
            request = waiting_request(message, self.clock.monotonic())
            self.waiting[message.request] = request
            self.refuse_hopeless(request)
            self.pump()
        done, _ = await asyncio.wait(
            {request.answer}, timeout=HOLD_QUESTION.total_seconds()
        )
        return request.answer.result() if done else waiting()

    def withdraw(self, request: str) -> None:
        """Forget a request whose caller has left."""
        self.waiting.pop(request, None)

    def refuse_hopeless(self, request: WaitingRequest) -> None:
        """Refuse a request at once if the queue is too long for it."""
        now = self.clock.monotonic()
        key = urgency(request, now)
        ahead = sum(1 for other in self.waiting.values() if urgency(other, now) < key)
        forecast = self.pace.forecast(ahead, now)
        if forecast is not None and forecast > request.longest_wait:
            self.refuse(request, forecast, f"{ahead} requests wait before it")

    def refuse(
        self, request: WaitingRequest, wait: timedelta, reason: str
    ) -> None:
        """Refuse a request, with a time to come back."""
        now = self.clock.monotonic()
        answer = refusal(request, now, wait, reason, self.generator.random())
        self.waiting.pop(request.message.request, None)
        self.metrics.count("places.refused")
        log.info(
            "place_refused",
            request=request.message.request,
            adapter=request.adapter,
            waited=now - request.asked_at,
            retry_after_ms=round(answer.retry_after_ms),
            queue=len(self.waiting),
            reason=reason,
        )
        if not request.answer.done():
            request.answer.set_result(answer)

    # The queue

    def pump(self) -> None:
        """Give places to those who wait, the most urgent first."""
        now = self.clock.monotonic()
        waiting = sorted(self.waiting.values(), key=lambda item: urgency(item, now))
        for request in waiting:
            if now >= request.deadline:
                self.waiting.pop(request.message.request, None)
            elif now - request.asked_at > request.longest_wait:
                wait = self.pace.forecast(len(self.waiting), now) or FORECAST_UNKNOWN
                self.refuse(request, wait, "no place within the longest wait")
            else:
                self.try_to_place(request, now)

    def try_to_place(self, request: WaitingRequest, now: timedelta) -> None:
        """Give a request a place on the best engine, if one has room."""
        message = request.message
        need = EngineNeed(message.prompt_tokens, message.output_tokens)
        candidates = {
            engine.server.id: engine
            for engine in self.engines.values()
            if self.may_serve(engine, request, now)
        }
        options = list(self.options(candidates.values(), request.adapter, now))
        best = best_engine(options, need, self.loads.store_load())
        if best is None:
            return
        engine = candidates[ServerId(best.engine)]
        if best.residency in (Residency.NEAR, Residency.ABSENT) and not (
            self.loads.start(engine, request.adapter, now)
        ):
            return
        self.grant(request, engine, best, now)

    def may_serve(
        self, engine: EngineState, request: WaitingRequest, now: timedelta
    ) -> bool:
        """Return whether an engine may be given a request at all."""
        message = request.message
        if engine.server.service != message.service:
            return False
        if message.model not in engine.models:
            return False
        return engine.server.id not in message.avoid and now >= engine.shunned_until

    def options(
        self, engines: Iterable[EngineState], adapter: LoadedAdapter, now: timedelta
    ) -> Iterable[EngineOption]:
        """Describe the engines as options for a request for an adapter."""
        ordering = self.may_order()
        listed = list(engines)
        key = f"{adapter.model}/{adapter.adapter}"
        homes = {
            engine.server.id: rank
            for rank, engine in enumerate(
                sorted(
                    listed,
                    key=lambda engine: weight(engine.server.id, key),
                    reverse=True,
                )
            )
        }
        for engine in listed:
            residency, ready_in = self.residency(engine, adapter, now)
            missing = residency in (Residency.NEAR, Residency.ABSENT)
            yield EngineOption(
                engine=engine.server.id,
                residency=residency,
                ready_in=ready_in,
                backlog_tokens=engine.backlog_tokens,
                running=len(engine.grants),
                places=engine.spec.places,
                cache_tokens_free=engine.spec.cache_tokens * CACHE_SHARE
                - engine.cache_tokens,
                has_room=missing and ordering and self.loads.has_room(engine, adapter),
                home_rank=homes[engine.server.id],
            )

    def residency(
        self, engine: EngineState, adapter: LoadedAdapter, now: timedelta
    ) -> tuple[Residency, timedelta]:
        """Return where an adapter is, seen from an engine."""
        if not adapter.adapter:
            return Residency.READY, timedelta()
        holding = self.held(engine, adapter)
        if holding and holding.state is HoldingState.READY:
            return Residency.READY, timedelta()
        if holding and holding.state is HoldingState.ARRIVING:
            return Residency.ARRIVING, max(timedelta(), holding.ready_at - now)
        if adapter in engine.near:
            return Residency.NEAR, timedelta()
        return Residency.ABSENT, timedelta()

    def held(self, engine: EngineState, adapter: LoadedAdapter) -> Holding | None:
        """Return an engine's holding of an adapter in the version that is required."""
        if adapter.version:
            return engine.holdings.get(adapter)
        # Without a named version, any that is held will do.
        for holding in engine.holdings.values():
            held = holding.adapter
            if (held.model, held.adapter) == (adapter.model, adapter.adapter):
                return holding
        return None

    def grant(
        self,
        request: WaitingRequest,
        engine: EngineState,
        option: EngineOption,
        now: timedelta,
    ) -> None:
        """Reserve a place; the answer goes out once the adapter can be used."""
        message = request.message
        holding = self.held(engine, request.adapter)
        if holding:
            holding.last_used = now
        self.loads.note_use(request.adapter, now)
        grant = Grant(
            request=message.request,
            instance=message.instance,
            adapter=holding.adapter if holding else request.adapter,
            prompt_tokens=message.prompt_tokens,
            output_tokens=message.output_tokens,
            granted_at=now,
            confirmed_at=now,
        )
        engine.grants[message.request] = grant
        request.reserved = True
        self.pace.note_grant(now)
        if option.residency is Residency.READY:
            self.deliver(engine, grant, option.residency.value)
        else:
            self.loads.await_adapter(engine, grant.adapter, message.request)
            self.reserve(engine, request)

    def reserve(self, engine: EngineState, request: WaitingRequest) -> None:
        """Take a request out of the queue while its adapter is on its way."""
        self.waiting.pop(request.message.request, None)
        self.reserved[request.message.request] = request
        del engine

    @property
    def reserved(self) -> dict[str, WaitingRequest]:
        """Return the requests that have a place and wait for their adapter."""
        return self.loads.reserved

    def deliver(self, engine: EngineState, grant: Grant, reason: str) -> None:
        """Tell an instance that its request has a place."""
        request = self.waiting.pop(grant.request, None) or self.reserved.pop(
            grant.request, None
        )
        if request is None:
            engine.grants.pop(grant.request, None)
            return
        now = self.clock.monotonic()
        grant.confirmed_at = now
        answer = PlaceAnswer(
            state=PlaceState.GRANTED,
            server=engine.server.id,
            born=engine.server.born,
            version=request.adapter.version,
            retry_after_ms=0,
            reason=reason,
        )
        self.placed[grant.request] = (engine, answer)
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
            queue=len(self.waiting),
        )
        if not request.answer.done():
            request.answer.set_result(answer)

    def adapter_ready(self, engine: EngineState, requests: list[str]) -> None:
        """Deliver the places that waited for an adapter."""
        for request in requests:
            grant = engine.grants.get(request)
            if grant:
                self.deliver(engine, grant, "loaded")
        self.pump()

    def adapter_failed(self, engine: EngineState, requests: list[str]) -> None:
        """Put requests back into the queue whose adapter does not come."""
        grants = [engine.grants[name] for name in requests if name in engine.grants]
        self.return_reserved(engine, grants)

    def return_reserved(self, engine: EngineState, grants: list[Grant]) -> None:
        """Put the requests of reserved places back into the queue."""
        for grant in grants:
            engine.grants.pop(grant.request, None)
            request = self.reserved.pop(grant.request, None)
            if request:
                request.reserved = False
                self.waiting[grant.request] = request

    def awaited_adapters(self) -> set[LoadedAdapter]:
        """Return the adapters that waiting requests name."""
        return {request.adapter for request in self.waiting.values()}

    # Reports of instances

    def take_report(self, report: InstanceReport) -> None:
        """Take in what an instance says of its requests."""
        now = self.clock.monotonic()
        self.instances[report.instance] = now
        for request in report.started:
            self.note_started(request)
        for ended in report.ended:
            self.note_ended(ended)
        if report.full:
            self.take_running(report, now)
        self.forget_instances(now)
        self.pump()

    def note_started(self, request: str) -> None:
        """Note that a request's first event came."""
        placed = self.placed.get(request)
        grant = placed[0].grants.get(request) if placed else None
        if placed and grant:
            grant.started = True
            placed[0].failures = 0

    def note_ended(self, ended: EndedRun) -> None:
        """Free the place of a request, and learn from how it ended."""
        placed = self.placed.pop(ended.request, None)
        self.withdraw(ended.request)
        if placed is None:
            return
        engine, _ = placed
        grant = engine.grants.pop(ended.request, None)
        now = self.clock.monotonic()
        match ended.outcome:
            case RunOutcome.SERVED:
                engine.failures = 0
            case RunOutcome.NOT_RUN if grant:
                self.loads.note_refused(engine, grant.adapter)
            case RunOutcome.SILENT | RunOutcome.FAILED:
                self.note_failure(engine, ended, now)

    def note_failure(
        self, engine: EngineState, ended: EndedRun, now: timedelta
    ) -> None:
        """Shun an engine that fails request after request."""
        engine.failures += 1
        silent = ended.outcome is RunOutcome.SILENT
        if silent or engine.failures >= MOST_FAILURES:
            engine.shunned_until = now + (SHUN_SILENT if silent else SHUN)
            log.warning(
                "engine_shunned",
                engine=engine.server.id,
                failures=engine.failures,
                outcome=ended.outcome,
                request=ended.request,
            )

    def take_running(self, report: InstanceReport, now: timedelta) -> None:
        """Make the grants of an instance what it says they are."""
        by_id = {engine.server.id: engine for engine in self.engines.values()}
        listed = set()
        for running in report.running:
            listed.add(running.request)
            engine = by_id.get(ServerId(running.server))
            if engine:
                self.confirm(engine, running, report.instance, now)
        for engine in self.engines.values():
            for grant in list(engine.grants.values()):
                if grant.instance == report.instance and grant.request not in listed:
                    self.drop_unconfirmed(engine, grant, now)

    def confirm(
        self, engine: EngineState, running: RunningRequest, instance: str, now: timedelta
    ) -> None:
        """Note that a request runs, also one that an owner before had placed."""
        grant = engine.grants.get(running.request)
        if grant is None:
            adapter = LoadedAdapter(running.model, running.adapter, running.version)
            grant = Grant(
                request=running.request,
                instance=instance,
                adapter=adapter,
                prompt_tokens=running.prompt_tokens,
                output_tokens=running.output_tokens,
                granted_at=now,
            )
            engine.grants[running.request] = grant
            answer = PlaceAnswer(
                state=PlaceState.GRANTED,
                server=engine.server.id,
                born=engine.server.born,
                version=running.version,
                retry_after_ms=0,
                reason="runs already",
            )
            self.placed[running.request] = (engine, answer)
        grant.started = grant.started or running.started
        grant.confirmed_at = now

    def drop_unconfirmed(
        self, engine: EngineState, grant: Grant, now: timedelta
    ) -> None:
        """Give up a place that its instance does not use."""
        if grant.request in self.reserved:
            return
        if now - grant.confirmed_at > UNCONFIRMED_AFTER:
            engine.grants.pop(grant.request, None)
            self.placed.pop(grant.request, None)
            log.info(
                "place_unused",
                request=grant.request,
                instance=grant.instance,
                engine=engine.server.id,
            )

    def forget_instances(self, now: timedelta) -> None:
        """Free the places of instances that have ended."""
        gone = [
            name for name, seen in self.instances.items() if now - seen > INSTANCE_GONE
        ]
        for name in gone:
            del self.instances[name]
            log.info("instance_silent", instance=name)
        for engine in self.engines.values():
            for grant in list(engine.grants.values()):
                if grant.instance not in self.instances:
                    self.drop_unconfirmed(engine, grant, now)

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


def waiting() -> PlaceAnswer:
    """Return that a request still waits."""
    return PlaceAnswer(
        state=PlaceState.WAITING,
        server="",
        born=0,
        version=0,
        retry_after_ms=0,
        reason="",
    )


def not_owner() -> PlaceAnswer:
    """Return that another instance owns the cell."""
    return PlaceAnswer(
        state=PlaceState.NOT_OWNER,
        server="",
        born=0,
        version=0,
        retry_after_ms=0,
        reason="",
    )
