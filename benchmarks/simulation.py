"""Discrete-event simulation of a fleet that calls the product's decision functions."""

import heapq
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

from benchmarks.sites import Site
from benchmarks.traces import (
    SLOW_STORE_FACTOR,
    SLOW_STORE_SECONDS,
    Arrival,
    Trace,
    TraceKind,
)
from magnoliatrail.generated.permits import RequestClass
from magnoliatrail.ids import AdapterVersion, CallerId, EngineId, InstanceId, RequestId
from magnoliatrail.placement.batch_slot_shares import HolderDemand, share_batch_slots
from magnoliatrail.placement.load_queue import LoadKey, LoadQueue, PendingLoad, Waiter
from magnoliatrail.placement.load_rate_limiter import LoadLimits, LoadRateLimiter
from magnoliatrail.routing.fair_queue import FairQueue
from magnoliatrail.standins.weights import FakeWeightStore

SLOT_REQUEST_DELAY_SECONDS = 0.05
SWEEP_INTERVAL_SECONDS = 0.25
LOAD_BACKOFF = timedelta(seconds=1)
UNLIMITED_LOADS = 1 << 30


class VirtualClock:
    """Clock that returns the time of the current event."""

    def __init__(self) -> None:
        self.seconds = 0.0

    def monotonic(self) -> timedelta:
        """Return the virtual time."""
        return timedelta(seconds=self.seconds)


@dataclass(slots=True, eq=False)
class Job:
    """State of one request."""

    arrival: Arrival
    entry: InstanceId
    since: float
    stall: float = 0.0
    ended: float | None = None
    refused: float | None = None
    excluded: EngineId | None = None
    routings: int = 0


@dataclass(slots=True)
class SimSlot:
    """State of one adapter slot."""

    model: AdapterVersion
    loaded_at: float
    last_used: float
    loading: bool = True
    users: int = 0
    waiting: list[Job] = field(default_factory=list)


class SimEngine:
    """Adapter slots, running batch and queues of one engine."""

    def __init__(self, name: str, site: Site, slots: int) -> None:
        self.id = EngineId(name)
        self.limits = site.limits
        self.slot_limit = slots
        self.entries = [InstanceId(f"entry-{n}") for n in range(site.entries)]
        self.restart()

    def restart(self) -> None:
        """Clear all state, with no adapter loaded."""
        self.slots: dict[AdapterVersion, SimSlot] = {}
        self.running: set[Job] = set()
        self.engine_queue: list[tuple[int, int, Job]] = []
        self.queues = {entry: FairQueue[Job]() for entry in self.entries}
        self.in_flight = Counter[InstanceId]()
        self.share_pending = False
        self.divide_batch_slots()

    @property
    def queued(self) -> int:
        """Return the number of requests that wait for a batch slot."""
        return len(self.engine_queue) + sum(
            len(queue) for queue in self.queues.values()
        )

    def divide_batch_slots(self) -> None:
        """Divide the batch slots among the entries by their demand."""
        demands = {
            entry: HolderDemand(self.in_flight[entry], len(self.queues[entry]))
            for entry in self.entries
        }
        self.slot_shares = share_batch_slots(demands, self.limits.batch_slots)


@dataclass(frozen=True)
class Strategy:
    """Decision functions and options of one policy."""

    name: str
    choose: Callable[["Simulation", Job], SimEngine]
    victim: Callable[["Simulation", SimEngine], AdapterVersion | None]
    queue: Callable[[], LoadQueue]
    record_use: Callable[["Simulation", AdapterVersion], None]
    sweep: Callable[["Simulation"], None] | None = None
    share_batch_slots: bool = True
    load_rate_limited: bool = True


class Simulation:
    """Run one trace under one strategy."""

    def __init__(
        self, site: Site, slots: int, trace: Trace, strategy: Strategy
    ) -> None:
        self.site = site
        self.trace = trace
        self.strategy = strategy
        self.clock = VirtualClock()
        self.store = FakeWeightStore(self.clock, site.store, [])  # type: ignore[arg-type]
        self.engines = {
            f"engine-{n}": SimEngine(f"engine-{n}", site, slots)
            for n in range(site.engines)
        }
        self.load_rate_limiter = LoadRateLimiter(load_limits_of(site, strategy))
        self.load_queue = strategy.queue()
        self.jobs: dict[RequestId, Job] = {}
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.event_count = 0
        self.loads = 0
        self.load_starts: list[float] = []
        self.next_load_at: float | None = None
        self.weighted_fill_seconds = 0.0
        self.queued_seconds = 0.0
        self.load_fails: Callable[[LoadKey], bool] = lambda key: False

    def now(self) -> timedelta:
        """Return the virtual time."""
        return self.clock.monotonic()

    def at(self, seconds: float, event: Callable[[], None]) -> None:
        """Schedule an event at a virtual time."""
        self.event_count += 1
        heapq.heappush(self.events, (seconds, self.event_count, event))

    def after(self, seconds: float, event: Callable[[], None]) -> None:
        """Schedule an event after a delay."""
        self.at(self.clock.seconds + seconds, event)

    def run(self) -> None:
        """Schedule all arrivals, and handle events until none is left."""
        for number, arrival in enumerate(self.trace.arrivals):
            entry = InstanceId(f"entry-{number % self.site.entries}")
            job = Job(arrival, entry, arrival.at)
            self.jobs[arrival.request_id] = job
            self.at(arrival.at, lambda job=job: self.route(job))  # type: ignore[misc]
        if self.trace.kind is TraceKind.RESTART:
            self.at(self.trace.event_at, self.restart_engine)
        if self.strategy.sweep:
            self.at(0.0, self.sweep)
        while self.events:
            seconds, _, event = heapq.heappop(self.events)
            self.measure_fill(seconds - self.clock.seconds)
            self.clock.seconds = seconds
            event()

    def measure_fill(self, elapsed: float) -> None:
        """Accumulate the batch fill of the engines that have requests waiting."""
        for engine in self.engines.values():
            if engine.queued:
                self.queued_seconds += elapsed
                fill = len(engine.running) / engine.limits.batch_slots
                self.weighted_fill_seconds += elapsed * fill

    def sweep(self) -> None:
        """Shed requests that cannot meet their deadline, while events are left."""
        assert self.strategy.sweep
        self.strategy.sweep(self)
        if any(event for _, _, event in self.events):
            self.after(SWEEP_INTERVAL_SECONDS, self.sweep)

    def route(self, job: Job) -> None:
        """Route a request to an engine, and queue a load if the adapter is absent."""
        model = job.arrival.model
        if not job.routings:
            self.strategy.record_use(self, model)
        job.routings += 1
        engine = self.strategy.choose(self, job)
        slot = engine.slots.get(model)
        if slot and not slot.loading:
            self.adapter_ready(job, engine, slot)
        elif slot:
            slot.waiting.append(job)
        else:
            self.load_queue.join(LoadKey(engine.id, model), waiter_of(job))
            self.schedule_next_load()

    def refuse(self, key: LoadKey, request_id: RequestId) -> None:
        """Refuse a request that waits for a load."""
        self.load_queue.leave(key, request_id)
        self.jobs[request_id].refused = self.clock.seconds

    def schedule_next_load(self) -> None:
        """Schedule the next load for when the rate limiter allows it."""
        wait = self.load_rate_limiter.wait(self.now())
        if wait is None:
            return
        at = self.clock.seconds + wait.total_seconds()
        if self.next_load_at is None or at < self.next_load_at:
            self.next_load_at = at
            self.at(at, self.start_next_load)

    def start_next_load(self) -> None:
        """Start the first load in queue order whose engine has or can free a slot."""
        if self.next_load_at is None or self.clock.seconds < self.next_load_at:
            return
        self.next_load_at = None
        if self.load_rate_limiter.wait(self.now()) != timedelta():
            self.schedule_next_load()
            return
        load = self.load_queue.take(self.now(), self.can_start)
        if load is None:
            return
        self.load_rate_limiter.start(self.now())
        self.start_load(load)
        self.schedule_next_load()

    def can_start(self, key: LoadKey) -> bool:
        """Return whether an engine has a free or evictable adapter slot."""
        engine = self.engines[key.engine]
        if len(engine.slots) < engine.slot_limit:
            return True
        return self.strategy.victim(self, engine) is not None

    def start_load(self, load: PendingLoad) -> None:
        """Load an adapter, after an eviction if no slot is free."""
        engine = self.engines[load.key.engine]
        if len(engine.slots) >= engine.slot_limit:
            victim = self.strategy.victim(self, engine)
            assert victim is not None
            evicted = engine.slots.pop(victim)
            assert not (evicted.users or evicted.waiting or evicted.loading)
        now = self.clock.seconds
        slot = SimSlot(load.key.model, now, now)
        slot.waiting = [self.jobs[request_id] for request_id in load.waiters]
        engine.slots[load.key.model] = slot
        assert len(engine.slots) <= engine.slot_limit
        self.loads += 1
        self.load_starts.append(now)
        wait = self.store.reserve_start().total_seconds()
        self.after(wait, lambda: self.fetch(engine, slot))

    def fetch(self, engine: SimEngine, slot: SimSlot) -> None:
        """Fetch an adapter, more slowly when many fetches are in flight."""
        self.store.in_flight += 1
        slowdown = max(1.0, self.store.in_flight / self.site.store.slowdown_threshold)
        since = self.clock.seconds - self.trace.event_at
        if self.trace.kind is TraceKind.SLOW_STORE and 0 <= since < SLOW_STORE_SECONDS:
            slowdown *= SLOW_STORE_FACTOR
        seconds = self.site.store.load_time.total_seconds() * slowdown
        self.after(seconds, lambda: self.loaded(engine, slot))

    def loaded(self, engine: SimEngine, slot: SimSlot) -> None:
        """Complete a load, and queue or reroute the requests that waited for it."""
        self.store.in_flight -= 1
        self.load_rate_limiter.end()
        waiting, slot.waiting = slot.waiting, []
        if engine.slots.get(slot.model) is not slot:
            return
        key = LoadKey(engine.id, slot.model)
        if self.load_fails(key):
            del engine.slots[slot.model]
            for job in waiting:
                job.excluded = engine.id
                self.after(
                    LOAD_BACKOFF.total_seconds(), lambda job=job: self.route(job)
                )  # type: ignore[misc]
        else:
            slot.loading = False
            for job in waiting:
                self.adapter_ready(job, engine, slot)
        self.schedule_next_load()

    def adapter_ready(self, job: Job, engine: SimEngine, slot: SimSlot) -> None:
        """Queue a request whose adapter is loaded for a batch slot."""
        job.stall = self.clock.seconds - job.since
        slot.users += 1
        slot.last_used = self.clock.seconds
        arrival = job.arrival
        engine.queues[job.entry].push(
            job,
            request_id=arrival.request_id,
            caller=arrival.caller,
            request_class=arrival.request_class,
            deadline=timedelta(seconds=arrival.deadline),
        )
        self.dispatch(engine, job.entry)

    def dispatch(self, engine: SimEngine, entry: InstanceId) -> None:
        """Send queued requests to the engine while the entry has batch slots."""
        queue = engine.queues[entry]
        while len(queue) and (
            not self.strategy.share_batch_slots
            or engine.in_flight[entry] < engine.slot_shares[entry]
        ):
            job = queue.pop()
            assert job
            engine.in_flight[entry] += 1
            priority = int(job.arrival.request_class is RequestClass.BATCH)
            self.event_count += 1
            heapq.heappush(engine.engine_queue, (priority, self.event_count, job))
        self.fill_batch(engine)
        if len(queue) and not engine.share_pending:
            engine.share_pending = True
            self.after(
                SLOT_REQUEST_DELAY_SECONDS, lambda: self.divide_batch_slots(engine)
            )

    def divide_batch_slots(self, engine: SimEngine) -> None:
        """Recompute the division of an engine's batch slots, as its owner does."""
        engine.share_pending = False
        engine.divide_batch_slots()
        for entry in engine.entries:
            self.dispatch(engine, entry)

    def fill_batch(self, engine: SimEngine) -> None:
        """Start queued requests while the batch has free slots."""
        while engine.engine_queue and len(engine.running) < engine.limits.batch_slots:
            _, _, job = heapq.heappop(engine.engine_queue)
            engine.running.add(job)
            seconds = job.arrival.tokens * engine.limits.token_time.total_seconds()
            self.after(seconds, lambda job=job: self.end(engine, job))  # type: ignore[misc]

    def end(self, engine: SimEngine, job: Job) -> None:
        """Complete a request and give its batch slot to the next one."""
        if job not in engine.running:
            return
        engine.running.remove(job)
        job.ended = self.clock.seconds
        slot = engine.slots[job.arrival.model]
        slot.users -= 1
        slot.last_used = self.clock.seconds
        engine.in_flight[job.entry] -= 1
        self.fill_batch(engine)
        self.dispatch(engine, job.entry)
        if not slot.users:
            self.schedule_next_load()

    def restart_engine(self) -> None:
        """Restart one engine with no adapter loaded, and reroute its requests."""
        engine = self.engines["engine-0"]
        lost = list(engine.running)
        lost.extend(job for _, _, job in engine.engine_queue)
        for queue in engine.queues.values():
            while job := queue.pop():
                lost.append(job)
        for slot in engine.slots.values():
            lost.extend(slot.waiting)
        engine.restart()
        for job in lost:
            job.since = self.clock.seconds
            self.route(job)


def load_limits_of(site: Site, strategy: Strategy) -> LoadLimits:
    """Return the load limits of a strategy."""
    if not strategy.load_rate_limited:
        return LoadLimits(UNLIMITED_LOADS, UNLIMITED_LOADS, UNLIMITED_LOADS)
    store = site.store
    return LoadLimits(store.loads_per_second, store.burst, store.slowdown_threshold)


def waiter_of(job: Job) -> Waiter:
    """Return the load queue's record of a waiting request."""
    arrival = job.arrival
    return Waiter(
        request_id=arrival.request_id,
        caller=CallerId(arrival.caller),
        request_class=arrival.request_class,
        since=timedelta(seconds=arrival.at),
        deadline=timedelta(seconds=arrival.deadline),
    )
