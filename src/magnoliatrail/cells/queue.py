"""The queue of a cell: who gets the next place, and on which engine."""

import asyncio
import random
from collections import defaultdict
from collections.abc import Callable, Collection
from datetime import timedelta

from magnoliatrail.backends import LoadedAdapter
from magnoliatrail.cells.engine_state import EngineState
from magnoliatrail.cells.loading import AdapterLoads
from magnoliatrail.cells.placement_round import (
    MISSING,
    PlacementRound,
    residency_of,
)
from magnoliatrail.cells.waiting import (
    QueuePace,
    WaitingRequest,
    refusal,
    urgency,
)
from magnoliatrail.clock import Clock
from magnoliatrail.generated.cells import PlaceAnswer
from magnoliatrail.ids import ServerId
from magnoliatrail.logs import EventLog
from magnoliatrail.metrics import Metrics
from magnoliatrail.routing.engine_scores import (
    EngineNeed,
    Residency,
    best_engine,
)

log = EventLog("cells")

# Changes within this time are looked at together.
PUMP_DELAY_SECONDS = 0.008
FORECAST_UNKNOWN = timedelta(seconds=1)

# Reserves a place for a request on an engine; the last is where the adapter was.
Grantor = Callable[[WaitingRequest, EngineState, Residency], None]


class CellQueue:
    """Hold the requests that wait, and give them places in order of urgency."""

    def __init__(
        self,
        *,
        clock: Clock,
        metrics: Metrics,
        loads: AdapterLoads,
        engines: Callable[[], Collection[EngineState]],
        may_order: Callable[[], bool],
        grant: Grantor,
        required: Callable[[LoadedAdapter], LoadedAdapter],
        pause_goal: Callable[[], timedelta],
        generator: random.Random,
    ) -> None:
        self.clock = clock
        self.metrics = metrics
        self.loads = loads
        self.engines = engines
        self.may_order = may_order
        self.grant = grant
        self.required = required
        self.pause_goal = pause_goal
        self.generator = generator
        self.waiting: dict[str, WaitingRequest] = {}
        self.pace = QueuePace()
        self.scheduled: asyncio.TimerHandle | None = None

    def add(self, request: WaitingRequest) -> None:
        """Let a request wait, unless the queue is too long for it."""
        now = self.clock.monotonic()
        key = urgency(request, now)
        ahead = sum(1 for other in self.waiting.values() if urgency(other, now) < key)
        self.waiting[request.message.request] = request
        forecast = self.pace.forecast(ahead, now)
        if forecast is not None and forecast > request.longest_wait:
            self.refuse(request, forecast, f"{ahead} requests wait before it")
        elif ahead:
            self.schedule()
        else:
            self.try_to_place(request, self.new_round(now))

    def remove(self, request: str) -> None:
        """Forget a request that waits no more."""
        self.waiting.pop(request, None)

    def answer_all(self, answer: PlaceAnswer) -> None:
        """Give all that wait the same answer."""
        for request in self.waiting.values():
            if not request.answer.done():
                request.answer.set_result(answer)
        self.waiting.clear()

    def refuse(self, request: WaitingRequest, wait: timedelta, reason: str) -> None:
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

    def schedule(self) -> None:
        """Look at the queue soon, together with what else changes until then."""
        if self.scheduled is None and self.waiting:
            loop = asyncio.get_running_loop()
            self.scheduled = loop.call_later(PUMP_DELAY_SECONDS, self.pump)

    def pump(self) -> None:
        """Give places to those who wait, the most urgent first."""
        self.scheduled = None
        if not self.waiting:
            return
        now = self.clock.monotonic()
        waiting = sorted(self.waiting.values(), key=lambda item: urgency(item, now))
        round_ = self.new_round(now)
        for request in waiting:
            if now >= request.deadline:
                self.waiting.pop(request.message.request, None)
            elif now - request.asked_at > request.longest_wait:
                wait = self.pace.forecast(len(self.waiting), now) or FORECAST_UNKNOWN
                self.refuse(request, wait, self.why_not(request, round_))
            else:
                self.try_to_place(request, round_)

    def new_round(self, now: timedelta) -> PlacementRound:
        """Begin a look at the queue."""
        return PlacementRound(
            now=now,
            engines=self.engines(),
            waiting=self.waiting.values(),
            loads=self.loads,
            ordering=self.may_order(),
            pause=self.pause_goal(),
        )

    def try_to_place(self, request: WaitingRequest, round_: PlacementRound) -> bool:
        """Give a request a place on the best engine, if one has room."""
        if not round_.open:
            return False
        adapter = request.adapter = self.required(request.adapter)
        message = request.message
        need = need_of(request)
        if round_.is_hopeless(message.service, adapter, need):
            return False
        candidates = {
            engine.server.id: engine
            for engine in round_.candidates(adapter)
            if may_serve(engine, request)
        }
        options = round_.options(candidates.values(), adapter)
        best = best_engine(options, need, round_.store_load)
        if best is None:
            if not message.avoid:
                round_.note_hopeless(message.service, adapter, need)
            return False
        if best.residency is Residency.ABSENT and self.awaits_copy(request, round_):
            return False
        engine = candidates[ServerId(best.engine)]
        if best.residency in MISSING:
            if not self.loads.start(engine, adapter, round_.now, round_.awaited):
                return False
            round_.note_fetch(engine, adapter)
        self.pace.note_grant(round_.now)
        self.grant(request, engine, best.residency)
        round_.note_granted(engine)
        return True

    def awaits_copy(self, request: WaitingRequest, round_: PlacementRound) -> bool:
        """Return whether to wait for an engine that has the adapter, or had it."""
        use_rate = self.loads.use_rate(request.adapter, round_.now)
        return request.awaits_copy(round_.now, use_rate) and round_.is_held(
            request.adapter, lambda engine: may_serve(engine, request)
        )

    def why_not(self, request: WaitingRequest, round_: PlacementRound) -> str:
        """Say what keeps the engines from a request that waited too long."""
        reasons: dict[str, int] = defaultdict(int)
        need = need_of(request)
        for engine in round_.engines:
            residency, _ = residency_of(engine, request.adapter, round_.now)
            if not may_serve(engine, request):
                reasons["unfit"] += 1
            elif len(engine.grants) >= engine.spec.batch_slots:
                reasons["no_place"] += 1
            elif not round_.load_of(engine).takes(need):
                reasons["prompts"] += 1
            elif residency in MISSING and not round_.room(engine):
                reasons["no_room"] += 1
            elif residency is Residency.ABSENT and not round_.may_fetch_from_store:
                reasons["store_busy"] += 1
            else:
                reasons["more_urgent"] += 1
        told = ",".join(f"{name}:{count}" for name, count in sorted(reasons.items()))
        return f"no place within the longest wait ({told or 'no engine'})"


def need_of(request: WaitingRequest) -> EngineNeed:
    """Return what a request takes of an engine."""
    message = request.message
    return EngineNeed(message.prompt_tokens, message.output_tokens)


def may_serve(engine: EngineState, request: WaitingRequest) -> bool:
    """Return whether an engine may be given a request at all."""
    message = request.message
    return (
        engine.server.service == message.service
        and message.model in engine.models
        and engine.server.id not in message.avoid
    )
