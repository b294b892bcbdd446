"""The queue of a cell: which request gets the next slot, and on which engine."""

import asyncio
import random
from collections import defaultdict
from collections.abc import Callable, Collection
from datetime import timedelta

from magnoliatrail.backends import BackendServer, LoadedAdapter
from magnoliatrail.cells.engine_state import EngineState
from magnoliatrail.cells.forecast import Demand, RunTimes, capacity_of, forecast_wait
from magnoliatrail.cells.loading import AdapterLoads
from magnoliatrail.cells.scheduling_pass import (
    REQUIRES_LOAD,
    SchedulingPass,
    residency_of,
)
from magnoliatrail.cells.waiting import (
    WaitingRequest,
    account_fields,
    refusal,
    update_lags,
    urgency,
)
from magnoliatrail.clock import Clock
from magnoliatrail.generated.cells import SlotAnswer
from magnoliatrail.ids import ServerId
from magnoliatrail.logs import EventLog
from magnoliatrail.metrics import Metrics
from magnoliatrail.routing.account_shares import AccountShares
from magnoliatrail.routing.engine_scores import (
    RequestSize,
    Residency,
    best_engine,
)

log = EventLog("cells")

# Changes within this time are handled in one scheduling pass.
QUEUE_BATCHING_SECONDS = 0.008
# Interval between forecasts for a request that is late.
FORECAST_INTERVAL = timedelta(milliseconds=500)
# Interval between updates of the lags of all waiting requests, which take as long as a
# pass if thousands wait.
LAG_INTERVAL = timedelta(milliseconds=25)
DEFAULT_WAIT_FORECAST = timedelta(seconds=1)

# Reserves a slot for a request on an engine, given the adapter's residency there.
GrantSlot = Callable[[WaitingRequest, EngineState, Residency], None]


class CellQueue:
    """Grant slots to waiting requests in order of urgency."""

    def __init__(
        self,
        *,
        clock: Clock,
        metrics: Metrics,
        loads: AdapterLoads,
        engines: Callable[[], Collection[EngineState]],
        may_order: Callable[[], bool],
        grant: GrantSlot,
        with_required_version: Callable[[LoadedAdapter], LoadedAdapter],
        pause_goal: Callable[[], timedelta],
        request_limit: Callable[[BackendServer], float | None],
        generator: random.Random,
    ) -> None:
        self.clock = clock
        self.metrics = metrics
        self.loads = loads
        self.engines = engines
        self.may_order = may_order
        self.grant = grant
        self.with_required_version = with_required_version
        self.pause_goal = pause_goal
        # The requests a second that a server takes from all instances, None if any.
        self.request_limit = request_limit
        self.generator = generator
        self.waiting: dict[str, WaitingRequest] = {}
        self.shares = AccountShares()
        self.lags_due_at = timedelta()
        self.demand: dict[str, Demand] = defaultdict(Demand)
        self.run_times = RunTimes()
        self.scheduled: asyncio.TimerHandle | None = None

    def add(self, request: WaitingRequest) -> None:
        """Queue a request, and refuse it if its forecast wait is too long."""
        now = self.clock.monotonic()
        message = request.message
        self.apply_standing(request, now)
        if not request.lag or now <= request.late_at:
            # Requests that are late by their lag go after late ones of others, so they
            # leave them their capacity.
            self.demand[message.service].record(message.prompt_tokens, now)
        key = urgency(request, now)
        ahead = sum(1 for other in self.waiting.values() if urgency(other, now) < key)
        self.put(request)
        if self.lacks_software_version(request):
            reason = f"no engine has the software version {message.software_version}"
            self.refuse(request, DEFAULT_WAIT_FORECAST, reason)
            return
        if not ahead:
            self.try_grant(request, self.new_pass(now))
        if message.request in self.waiting:
            self.refuse_if_forecast_too_long(request, now)
        self.schedule()

    def lacks_software_version(self, request: WaitingRequest) -> bool:
        """Return whether a resumed stream has no engine that may go on with it."""
        return request.is_resumed and not any(
            may_serve(engine, request) for engine in self.engines()
        )

    def refuse_if_forecast_too_long(
        self, request: WaitingRequest, now: timedelta
    ) -> bool:
        """Refuse a request that would wait too long; return whether it was refused."""
        request.forecast_at = now
        wait = self.forecast(request, now)
        if now + wait <= request.enqueued_at + request.max_wait:
            return False
        ahead = len(self.waiting) - 1
        self.refuse(request, wait, f"the forecast wait behind {ahead} is too long")
        return True

    def forecast(self, request: WaitingRequest, now: timedelta) -> timedelta:
        """Forecast the wait of a request from what the engines can take."""
        service = request.message.service
        engines = [
            engine
            for engine in self.engines()
            if may_serve(engine, request) and now >= engine.backoff_until
        ]
        if not engines:
            return timedelta()
        waiting = [
            other
            for other in self.waiting.values()
            if other.message.service == service and other.competes_with(request)
        ]
        capacity = capacity_of(
            engines, typical=mean_size(waiting), pause=self.pause_goal(), now=now
        )
        return forecast_wait(
            request,
            waiting,
            capacity=capacity,
            demand=self.demand[service].tokens_per_second(now),
            run_time=self.run_times.usual,
            now=now,
        )

    def apply_standing(self, request: WaitingRequest, now: timedelta) -> None:
        """Set when a new request is due, behind all that its account has waiting."""
        if request.account:
            standing = self.shares.standing(request.account, request.account_rate, now)
            request.apply_standing(standing, self.shares.waiting[request.account])

    def put(self, request: WaitingRequest) -> None:
        """Put a request into the queue, instead of one of the same name."""
        self.remove(request.message.request)
        self.waiting[request.message.request] = request
        self.record_waiting(request, request.work)

    def remove(self, name: str) -> None:
        """Remove a request from the queue."""
        request = self.waiting.pop(name, None)
        if request:
            self.record_waiting(request, -request.work)

    def record_waiting(self, request: WaitingRequest, tokens: int) -> None:
        """Record a change of the waiting work of a request's account."""
        if request.account:
            self.shares.record_waiting(request.account, tokens)
            self.metrics.gauge_add(f"waiting_work.{request.account}", tokens)

    def record_granted(self, request: WaitingRequest, tokens: int) -> None:
        """Charge a request's account with work, or take a charge back."""
        if request.account:
            self.shares.record(request.account, tokens, self.clock.monotonic())

    def answer_all(self, answer: SlotAnswer) -> None:
        """Send all waiting requests the same answer, and clear the queue."""
        for request in list(self.waiting.values()):
            self.remove(request.message.request)
            if not request.answer.done():
                request.answer.set_result(answer)

    def refuse(self, request: WaitingRequest, wait: timedelta, reason: str) -> None:
        """Refuse a request, with a time after which to retry."""
        now = self.clock.monotonic()
        answer = refusal(request, now, wait, reason, self.generator.random())
        self.remove(request.message.request)
        self.metrics.count("places.refused")
        log.info(
            "place_refused",
            request=request.message.request,
            adapter=request.adapter,
            prompt_tokens=request.message.prompt_tokens,
            waited=now - request.enqueued_at,
            retry_after_ms=round(answer.retry_after_ms),
            queue=len(self.waiting),
            reason=reason,
            **account_fields(request),
        )
        if not request.answer.done():
            request.answer.set_result(answer)

    def schedule(self) -> None:
        """Schedule a pass over the queue, unless one is scheduled already."""
        if self.scheduled is None and self.waiting:
            loop = asyncio.get_running_loop()
            self.scheduled = loop.call_later(QUEUE_BATCHING_SECONDS, self.process)

    def process(self) -> None:
        """Run one scheduling pass over the queue, the most urgent request first."""
        self.scheduled = None
        if not self.waiting:
            return
        now = self.clock.monotonic()
        if now >= self.lags_due_at:
            self.lags_due_at = now + LAG_INTERVAL
            update_lags(self.waiting.values(), self.shares, now)
        waiting = sorted(self.waiting.values(), key=lambda item: urgency(item, now))
        scheduling_pass = self.new_pass(now)
        for request in waiting:
            if now >= request.deadline:
                self.remove(request.message.request)
            elif now - request.enqueued_at > request.max_wait:
                wait = max(self.forecast(request, now), DEFAULT_WAIT_FORECAST)
                self.refuse(request, wait, self.wait_reason(request, scheduling_pass))
            elif not self.try_grant(request, scheduling_pass):
                self.review_late(request, now)

    def review_late(self, request: WaitingRequest, now: timedelta) -> None:
        """Forecast the wait anew, now and then, after the latency goal has passed."""
        due_at = max(request.goal_at, request.forecast_at + FORECAST_INTERVAL)
        if now >= due_at:
            self.refuse_if_forecast_too_long(request, now)

    def new_pass(self, now: timedelta) -> SchedulingPass:
        """Start a scheduling pass."""
        self.update_request_limits(now)
        return SchedulingPass(
            now=now,
            engines=self.engines(),
            waiting=self.waiting.values(),
            loads=self.loads,
            may_order=self.may_order(),
            pause=self.pause_goal(),
        )

    def update_request_limits(self, now: timedelta) -> None:
        """Apply the request limits that the engines name now."""
        for engine in self.engines():
            engine.set_request_limit(self.request_limit(engine.server), now)

    def try_grant(
        self, request: WaitingRequest, scheduling_pass: SchedulingPass
    ) -> bool:
        """Grant a request a slot on the best engine; return whether one can take it."""
        if not scheduling_pass.available:
            return False
        adapter = request.adapter = self.with_required_version(request.adapter)
        message = request.message
        size = size_of(request)
        if scheduling_pass.is_unplaceable(message.service, adapter, size):
            return False
        candidates = {
            engine.server.id: engine
            for engine in scheduling_pass.candidates(adapter)
            if may_serve(engine, request)
            and not scheduling_pass.delays_reservation(engine, size)
        }
        options = scheduling_pass.options(candidates.values(), adapter)
        best = best_engine(options, size, scheduling_pass.store_load_time)
        if best is None:
            if request.was_passed_over(scheduling_pass.now):
                scheduling_pass.reserve(
                    lambda engine: may_serve(engine, request), adapter, size
                )
            if not (message.avoid or message.software_version):
                scheduling_pass.record_unplaceable(message.service, adapter, size)
            return False
        if best.residency is Residency.ABSENT and self.should_wait_for_copy(
            request, scheduling_pass
        ):
            return False
        engine = candidates[ServerId(best.engine)]
        if best.residency in REQUIRES_LOAD:
            if not self.loads.start_load(
                engine, adapter, scheduling_pass.now, scheduling_pass.awaited
            ):
                return False
            scheduling_pass.record_load_start(engine, adapter)
        self.grant(request, engine, best.residency)
        scheduling_pass.record_grant(engine, size)
        return True

    def should_wait_for_copy(
        self, request: WaitingRequest, scheduling_pass: SchedulingPass
    ) -> bool:
        """Return whether to wait for an existing copy instead of loading another."""
        use_rate = self.loads.use_rate(request.adapter, scheduling_pass.now)
        return request.should_wait_for_copy(
            scheduling_pass.now, use_rate
        ) and scheduling_pass.is_held(
            request.adapter,
            lambda engine: may_serve(engine, request) and engine.request_limit is None,
        )

    def wait_reason(
        self, request: WaitingRequest, scheduling_pass: SchedulingPass
    ) -> str:
        """Describe why no engine took a request that waited too long."""
        reasons: dict[str, int] = defaultdict(int)
        size = size_of(request)
        for engine in scheduling_pass.engines:
            residency, _ = residency_of(engine, request.adapter, scheduling_pass.now)
            if not may_serve(engine, request):
                reasons["unfit"] += 1
            elif len(engine.grants) >= engine.spec.batch_slots:
                reasons["no_place"] += 1
            elif not engine.may_be_sent(scheduling_pass.now):
                reasons["request_limit"] += 1
            elif not scheduling_pass.load_of(engine).can_admit(size):
                reasons["prompts"] += 1
            elif residency in REQUIRES_LOAD and not scheduling_pass.room(engine):
                reasons["no_room"] += 1
            elif (
                residency is Residency.ABSENT
                and not scheduling_pass.may_load_from_store
            ):
                reasons["store_busy"] += 1
            else:
                reasons["more_urgent"] += 1
        counts = ",".join(f"{name}:{count}" for name, count in sorted(reasons.items()))
        return f"no place within the longest wait ({counts or 'no engine'})"


def mean_size(waiting: Collection[WaitingRequest]) -> RequestSize:
    """Return the mean size of waiting requests."""
    count = max(1, len(waiting))
    sizes = [size_of(request) for request in waiting]
    return RequestSize(
        sum(size.prompt_tokens for size in sizes) // count,
        sum(size.output_tokens for size in sizes) // count,
    )


def size_of(request: WaitingRequest) -> RequestSize:
    """Return the prompt and output tokens of a request."""
    message = request.message
    return RequestSize(message.prompt_tokens, message.output_tokens)


def may_serve(engine: EngineState, request: WaitingRequest) -> bool:
    """Return whether an engine has what the request needs and is not to be avoided."""
    message = request.message
    return (
        engine.server.service == message.service
        and message.model in engine.models
        and engine.server.id not in message.avoid
        and engine.server.has_software_version(message.software_version)
    )
