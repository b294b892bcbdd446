"""The loads of one instance's engines: joined waits, value order, early refusal."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from datetime import timedelta

from expression import Error, Ok, Result

from magnoliatrail.clock import Clock
from magnoliatrail.errors import ErrorKind, Failure
from magnoliatrail.ids import EngineId, RequestId
from magnoliatrail.logs import EventLog
from magnoliatrail.metrics import Metrics
from magnoliatrail.placement.load_queue import (
    ClassWeights,
    LoadKey,
    LoadQueue,
    PendingLoad,
    Waiter,
    urgency,
)
from magnoliatrail.placement.load_rate_limiter import LoadLimits
from magnoliatrail.routing.admission import LoadForecast, shed

log = EventLog("loads")

LOAD_TIME = timedelta(seconds=0.25)
FIRST_BACKOFF = timedelta(seconds=1)
LONGEST_BACKOFF = timedelta(seconds=30)

Turn = Result[None, Failure]


@dataclass(frozen=True, slots=True)
class FailedLoad:
    """Say how often a load failed in a row, and when to try it again."""

    times: int
    not_before: timedelta


@dataclass(frozen=True, slots=True)
class LoadRules:
    """Hold the settings in force that the schedule depends on."""

    limits: LoadLimits
    weights: ClassWeights
    instances: int


class LoadScheduler:
    """Decide which of the waiting loads of one instance starts next."""

    def __init__(
        self,
        *,
        clock: Clock,
        metrics: Metrics,
        rules: Callable[[], LoadRules],
        take_turn: Callable[[float], Awaitable[bool]],
    ) -> None:
        self.clock = clock
        self.metrics = metrics
        self.rules = rules
        self.take_turn = take_turn
        self.queue = LoadQueue(self.value)
        self.turns: dict[RequestId, asyncio.Future[Turn]] = {}
        self.active: set[LoadKey] = set()
        self.failed: dict[LoadKey, FailedLoad] = {}
        self.load_ended = asyncio.Event()
        self.running: asyncio.Task[None] | None = None

    def value(self, load: PendingLoad, now: timedelta) -> float:
        """Return the value of a load by the weights in force."""
        return urgency(self.rules().weights)(load, now)

    async def turn(self, key: LoadKey, waiter: Waiter) -> Turn:
        """Wait until an adapter's load may start, together with others."""
        now = self.clock.monotonic()
        failed = self.failed.get(key)
        if failed and now < failed.not_before:
            message = f"{key.model} failed to load on {key.engine} just now"
            return Error(Failure(ErrorKind.LOAD_FAILED, message))
        turn: asyncio.Future[Turn] = asyncio.get_running_loop().create_future()
        self.turns[waiter.request_id] = turn
        self.queue.join(key, waiter)
        self.refuse_early()
        if self.running is None or self.running.done():
            self.running = asyncio.create_task(self.run())
        try:
            return await turn
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled():
                self.ended(key)
            raise
        finally:
            self.queue.leave(key, waiter.request_id)
            self.turns.pop(waiter.request_id, None)

    def refuse_early(self) -> None:
        """Refuse at once what cannot have its adapter in time."""
        rules = self.rules()
        pace = rules.limits.loads_per_second / max(1, rules.instances)
        forecast = LoadForecast(pace, LOAD_TIME)
        for refusal in shed(self.queue, self.clock.monotonic(), forecast):
            self.metrics.count("loads_shed")
            log.info(
                "load_refused",
                request=refusal.waiter.request_id,
                engine=refusal.key.engine,
                model=refusal.key.model,
                reason="deadline_unreachable",
            )
            message = f"{refusal.key.model} cannot be loaded in time"
            failure = Failure(
                ErrorKind.DEADLINE_UNREACHABLE, message, refusal.retry_after
            )
            self.settle(refusal.waiter.request_id, Error(failure))

    def waiting_for(self, engine: EngineId) -> int:
        """Return how many loads wait for their turn on an engine."""
        return sum(key.engine == engine for key in self.queue.pending)

    def settle(self, request_id: RequestId, result: Turn) -> None:
        """Tell a waiting request what came of its wait."""
        turn = self.turns.get(request_id)
        if turn and not turn.done():
            turn.set_result(result)

    async def run(self) -> None:
        """Give turns while any load waits."""
        while self.queue.pending:
            rules = self.rules()
            if (
                len(self.active)
                >= rules.limits.share(max(1, rules.instances)).in_flight
            ):
                self.load_ended.clear()
                await self.load_ended.wait()
                continue
            best = self.queue.best_value(self.clock.monotonic())
            if await self.take_turn(best):
                self.start_best()

    def start_best(self) -> None:
        """Start the load that is most valuable now."""
        load = self.queue.take(self.clock.monotonic(), lambda key: True)
        if load is None:
            return
        self.active.add(load.key)
        log.info(
            "load_turn",
            engine=load.key.engine,
            model=load.key.model,
            waiting=len(load.waiters),
            queued=len(self.queue.pending),
            reason="most_valuable",
        )
        for request_id in load.waiters:
            self.settle(request_id, Ok(None))

    def ended(self, key: LoadKey, *, failed: bool = False) -> None:
        """Count a load that ended, and back off from one that failed."""
        self.active.discard(key)
        self.load_ended.set()
        if not failed:
            self.failed.pop(key, None)
            return
        times = self.failed[key].times + 1 if key in self.failed else 1
        backoff = min(FIRST_BACKOFF * 2 ** min(times - 1, 10), LONGEST_BACKOFF)
        self.failed[key] = FailedLoad(times, self.clock.monotonic() + backoff)
