"""Schedule of one instance's loads: shared waits, value order, early refusal."""

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

EXPECTED_LOAD_TIME = timedelta(seconds=0.25)
INITIAL_LOAD_BACKOFF = timedelta(seconds=1)
MAX_LOAD_BACKOFF = timedelta(seconds=30)

StartResult = Result[None, Failure]
WaitKey = tuple[LoadKey, RequestId]


@dataclass(frozen=True, slots=True)
class FailedLoad:
    """Consecutive failures of a load, and when it may be retried."""

    failures: int
    not_before: timedelta


@dataclass(frozen=True, slots=True)
class LoadRules:
    """Settings in force that the schedule depends on."""

    limits: LoadLimits
    weights: ClassWeights
    instances: int


class LoadScheduler:
    """Decide which pending load of one instance starts next."""

    def __init__(
        self,
        *,
        clock: Clock,
        metrics: Metrics,
        rules: Callable[[], LoadRules],
        acquire_rate_token: Callable[[float], Awaitable[bool]],
    ) -> None:
        self.clock = clock
        self.metrics = metrics
        self.rules = rules
        self.acquire_rate_token = acquire_rate_token
        self.queue = LoadQueue(self.value)
        self.starts: dict[WaitKey, list[asyncio.Future[StartResult]]] = {}
        self.active: set[LoadKey] = set()
        self.failed: dict[LoadKey, FailedLoad] = {}
        self.load_ended = asyncio.Event()
        self.running: asyncio.Task[None] | None = None

    def value(self, load: PendingLoad, now: timedelta) -> float:
        """Return the value of a load under the class weights in force."""
        return urgency(self.rules().weights)(load, now)

    async def wait_to_start(self, key: LoadKey, waiter: Waiter) -> StartResult:
        """Wait until an adapter's load may start; its requests share one start."""
        now = self.clock.monotonic()
        failed = self.failed.get(key)
        if failed and now < failed.not_before:
            message = f"{key.model} failed to load on {key.engine} just now"
            return Error(Failure(ErrorKind.LOAD_FAILED, message))
        start: asyncio.Future[StartResult] = asyncio.get_running_loop().create_future()
        # A holder sends its request again over a new connection if the first one is
        # silent, and both may arrive.
        waits = self.starts.setdefault((key, waiter.request_id), [])
        waits.append(start)
        self.queue.join(key, waiter)
        self.refuse_unreachable()
        if self.running is None or self.running.done():
            self.running = asyncio.create_task(self.run())
        try:
            return await start
        except asyncio.CancelledError:
            if start.done() and not start.cancelled():
                self.record_end(key)
            raise
        finally:
            waits.remove(start)
            if not waits:
                self.queue.leave(key, waiter.request_id)
                del self.starts[key, waiter.request_id]

    def refuse_unreachable(self) -> None:
        """Refuse requests whose adapter cannot be loaded before their deadline."""
        rules = self.rules()
        load_rate = rules.limits.loads_per_second / max(1, rules.instances)
        forecast = LoadForecast(load_rate, EXPECTED_LOAD_TIME)
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
            self.resolve(refusal.key, refusal.waiter.request_id, Error(failure))

    def waiting_for(self, engine: EngineId) -> int:
        """Return how many loads are pending on an engine."""
        return sum(key.engine == engine for key in self.queue.pending)

    def resolve(self, key: LoadKey, request_id: RequestId, result: StartResult) -> None:
        """Set the result of every wait of a request for a load."""
        for start in self.starts.get((key, request_id), ()):
            if not start.done():
                start.set_result(result)

    async def run(self) -> None:
        """Start loads while any are pending."""
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
            if await self.acquire_rate_token(best):
                self.start_best()

    def start_best(self) -> None:
        """Start the most valuable pending load."""
        load = self.queue.take(self.clock.monotonic(), lambda key: True)
        if load is None:
            return
        self.active.add(load.key)
        log.info(
            "load_scheduled",
            engine=load.key.engine,
            model=load.key.model,
            waiting=len(load.waiters),
            queued=len(self.queue.pending),
            reason="most_valuable",
        )
        for request_id in load.waiters:
            self.resolve(load.key, request_id, Ok(None))

    def record_end(self, key: LoadKey, *, failed: bool = False) -> None:
        """Record the end of a load, and back off if it failed."""
        self.active.discard(key)
        self.load_ended.set()
        if not failed:
            self.failed.pop(key, None)
            return
        failures = self.failed[key].failures + 1 if key in self.failed else 1
        backoff = min(
            INITIAL_LOAD_BACKOFF * 2 ** min(failures - 1, 10), MAX_LOAD_BACKOFF
        )
        self.failed[key] = FailedLoad(failures, self.clock.monotonic() + backoff)
