"""The queue of a cell: who gets the next place, and on which engine."""

import asyncio
import random
from collections import defaultdict
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass
from datetime import timedelta

from magnoliatrail.backends import LoadedAdapter
from magnoliatrail.cells.engine_state import EngineState, Holding, HoldingState
from magnoliatrail.cells.loading import AdapterLoads
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
from magnoliatrail.rendezvous import weight
from magnoliatrail.routing.engine_scores import (
    CACHE_SHARE,
    EngineNeed,
    EngineOption,
    Residency,
    best_engine,
    most_pause_tokens,
)

log = EventLog("cells")

# Changes within this time are looked at together.
PUMP_DELAY_SECONDS = 0.008
FORECAST_UNKNOWN = timedelta(seconds=1)
MISSING = (Residency.NEAR, Residency.ABSENT)

# Reserves a place for a request on an engine; the last is where the adapter was.
Grantor = Callable[[WaitingRequest, EngineState, Residency], None]


@dataclass
class Round:
    """What one look at the queue has found out about the engines."""

    now: timedelta
    engines: list[EngineState]
    ordering: bool
    holders: dict[tuple[str, str], list[EngineState]]
    room: dict[ServerId, bool]
    awaited: set[LoadedAdapter]
    # Engines that could take one more adapter, None before anyone looked.
    any_room: bool | None = None


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

    def new_round(self, now: timedelta) -> Round:
        """Begin a look at the queue."""
        usable = [item for item in self.engines() if now >= item.shunned_until]
        holders: dict[tuple[str, str], list[EngineState]] = defaultdict(list)
        for engine in usable:
            for adapter in engine.holdings:
                holders[adapter.model, adapter.adapter].append(engine)
        return Round(
            now=now,
            engines=usable,
            ordering=self.may_order(),
            holders=holders,
            room={},
            awaited={request.adapter for request in self.waiting.values()},
        )

    def try_to_place(self, request: WaitingRequest, round_: Round) -> bool:
        """Give a request a place on the best engine, if one has room."""
        request.adapter = self.required(request.adapter)
        message = request.message
        need = EngineNeed(message.prompt_tokens, message.output_tokens)
        candidates = {
            engine.server.id: engine
            for engine in self.candidates(request, round_)
            if may_serve(engine, request)
        }
        options = self.options(candidates.values(), request.adapter, round_)
        best = best_engine(options, need, self.loads.store_load())
        if best is None:
            return False
        if best.residency is Residency.ABSENT and self.awaits_copy(
            request, options, round_.now
        ):
            return False
        engine = candidates[ServerId(best.engine)]
        if best.residency in MISSING:
            round_.room.pop(engine.server.id, None)
            round_.any_room = None
            if not self.loads.start(
                engine, request.adapter, round_.now, round_.awaited
            ):
                return False
            key = (request.adapter.model, request.adapter.adapter)
            round_.holders[key].append(engine)
        self.pace.note_grant(round_.now)
        self.grant(request, engine, best.residency)
        return True

    def awaits_copy(
        self, request: WaitingRequest, options: list[EngineOption], now: timedelta
    ) -> bool:
        """Return whether to wait for an engine that has the adapter, or had it."""
        if all(option.residency is Residency.ABSENT for option in options):
            return False
        return request.awaits_copy(now, self.loads.use_rate(request.adapter, now))

    def candidates(
        self, request: WaitingRequest, round_: Round
    ) -> Iterable[EngineState]:
        """Return the engines worth a look: without room, those with the adapter."""
        adapter = request.adapter
        if not adapter.adapter or self.has_any_room(round_):
            return round_.engines
        return round_.holders.get((adapter.model, adapter.adapter), ())

    def has_any_room(self, round_: Round) -> bool:
        """Return whether any engine could take one more adapter."""
        if round_.any_room is None:
            round_.any_room = round_.ordering and any(
                self.room(engine, round_) for engine in round_.engines
            )
        return round_.any_room

    def room(self, engine: EngineState, round_: Round) -> bool:
        """Return whether an engine could take one more adapter."""
        key = engine.server.id
        if key not in round_.room:
            round_.room[key] = self.loads.has_room(engine, round_.awaited)
        return round_.room[key]

    def options(
        self, engines: Collection[EngineState], adapter: LoadedAdapter, round_: Round
    ) -> list[EngineOption]:
        """Describe the engines as options for a request for an adapter."""
        found = []
        ranks: dict[ServerId, int] = {}
        pause = self.pause_goal()
        for engine in engines:
            residency, ready_in = residency_of(engine, adapter, round_.now)
            if residency is Residency.ABSENT and not ranks:
                ranks = home_ranks(engines, adapter)
            missing = residency in MISSING
            found.append(
                EngineOption(
                    engine=engine.server.id,
                    residency=residency,
                    ready_in=ready_in,
                    backlog_tokens=engine.backlog_tokens,
                    pause_tokens=engine.pause_tokens(round_.now, pause),
                    most_pause_tokens=most_pause_tokens(
                        pause, engine.spec.event_tokens
                    ),
                    running=len(engine.grants),
                    places=engine.spec.places,
                    cache_tokens_free=engine.spec.cache_tokens * CACHE_SHARE
                    - engine.cache_tokens,
                    has_room=missing
                    and round_.ordering
                    and self.room(engine, round_)
                    and self.loads.may_fetch(engine, adapter),
                    home_rank=ranks.get(engine.server.id, 0),
                )
            )
        return found

    def why_not(self, request: WaitingRequest, round_: Round) -> str:
        """Say what keeps the engines from a request that waited too long."""
        reasons: dict[str, int] = defaultdict(int)
        for engine in round_.engines:
            residency, _ = residency_of(engine, request.adapter, round_.now)
            if not may_serve(engine, request):
                reasons["unfit"] += 1
            elif len(engine.grants) >= engine.spec.places:
                reasons["no_place"] += 1
            elif residency in MISSING and not self.room(engine, round_):
                reasons["no_room"] += 1
            elif residency in MISSING:
                reasons["no_fetch"] += 1
            else:
                reasons["prompts"] += 1
        told = ",".join(f"{name}:{count}" for name, count in sorted(reasons.items()))
        return f"no place within the longest wait ({told or 'no engine'})"


def may_serve(engine: EngineState, request: WaitingRequest) -> bool:
    """Return whether an engine may be given a request at all."""
    message = request.message
    return (
        engine.server.service == message.service
        and message.model in engine.models
        and engine.server.id not in message.avoid
    )


def home_ranks(
    engines: Iterable[EngineState], adapter: LoadedAdapter
) -> dict[ServerId, int]:
    """Return the order in which engines are an adapter's home."""
    key = f"{adapter.model}/{adapter.adapter}"
    ids = [engine.server.id for engine in engines]
    ids.sort(key=lambda id_: weight(id_, key), reverse=True)
    return {id_: rank for rank, id_ in enumerate(ids)}


def residency_of(
    engine: EngineState, adapter: LoadedAdapter, now: timedelta
) -> tuple[Residency, timedelta]:
    """Return where an adapter is, seen from an engine, and when it can be used."""
    if not adapter.adapter:
        return Residency.READY, timedelta()
    holding: Holding | None = engine.holdings.get(adapter)
    if holding and holding.state is HoldingState.READY:
        return Residency.READY, timedelta()
    if holding and holding.state is HoldingState.ARRIVING:
        return Residency.ARRIVING, max(timedelta(), holding.ready_at - now)
    if adapter in engine.near:
        return Residency.NEAR, timedelta()
    return Residency.ABSENT, timedelta()
