"""The driver: one heap of events that calls the real decision functions."""

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
from magnoliatrail.placement.load_pace import LoadLimits, LoadPacer
from magnoliatrail.placement.load_queue import LoadKey, LoadQueue, PendingLoad, Waiter
from magnoliatrail.placement.places import HolderDemand, share_places
from magnoliatrail.routing.fair_queue import FairQueue
from magnoliatrail.standins.weights import FakeWeightStore

ASK_FOR_PLACES_SECONDS = 0.05
SWEEP_SECONDS = 0.25
LOAD_BACKOFF = timedelta(seconds=1)
UNBOUNDED = 1 << 30


class VirtualClock:
    """Tell the time of the event that is being handled."""

    def __init__(self) -> None:
        self.seconds = 0.0

    def monotonic(self) -> timedelta:
        """Return the virtual time."""
        return timedelta(seconds=self.seconds)


@dataclass(slots=True, eq=False)
class Job:
    """Follow one request through the simulation."""

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
    """Hold one adapter slot."""

    model: AdapterVersion
    loaded_at: float
    last_used: float
    loading: bool = True
    users: int = 0
    waiting: list[Job] = field(default_factory=list)


class SimEngine:
    """Hold the slots, the batch and the queues of one engine."""

    def __init__(self, name: str, site: Site, slots: int) -> None:
        self.id = EngineId(name)
        self.limits = site.limits
        self.slot_limit = slots
        self.entries = [InstanceId(f"entry-{n}") for n in range(site.entries)]
        self.restart()

    def restart(self) -> None:
        """Start cold."""
        self.slots: dict[AdapterVersion, SimSlot] = {}
        self.running: set[Job] = set()
        self.internal: list[tuple[int, int, Job]] = []
        self.queues = {entry: FairQueue[Job]() for entry in self.entries}
        self.in_flight = Counter[InstanceId]()
        self.asked = False
        self.share()

    @property
    def queued(self) -> int:
        """Return the requests that wait for a batch place."""
        return len(self.internal) + sum(len(queue) for queue in self.queues.values())

    def share(self) -> None:
        """Divide the batch places by the entries' demand."""
        demands = {
            entry: HolderDemand(self.in_flight[entry], len(self.queues[entry]))
            for entry in self.entries
        }
        self.places = share_places(demands, self.limits.batch_slots)


@dataclass(frozen=True)
class Strategy:
    """Hold the decisions of one policy."""

    name: str
    choose: Callable[["Simulation", Job], SimEngine]
    victim: Callable[["Simulation", SimEngine], AdapterVersion | None]
    queue: Callable[[], LoadQueue]
    used: Callable[["Simulation", AdapterVersion], None]
    sweep: Callable[["Simulation"], None] | None = None
    share_places: bool = True
    paced: bool = True


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
        self.pacer = LoadPacer(pace_of(site, strategy))
        self.load_queue = strategy.queue()
        self.jobs: dict[RequestId, Job] = {}
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.numbered = 0
        self.loads = 0
        self.load_starts: list[float] = []
        self.turn_at: float | None = None
        self.fill_time = 0.0
        self.wait_time = 0.0
        self.load_fails: Callable[[LoadKey], bool] = lambda key: False

    def now(self) -> timedelta:
        """Return the virtual time."""
        return self.clock.monotonic()

    def at(self, seconds: float, event: Callable[[], None]) -> None:
        """Schedule an event."""
        self.numbered += 1
        heapq.heappush(self.events, (seconds, self.numbered, event))

    def after(self, seconds: float, event: Callable[[], None]) -> None:
        """Schedule an event from now on."""
        self.at(self.clock.seconds + seconds, event)

    def run(self) -> None:
        """Handle every event until nothing is left to do."""
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
        """Add up how full the batches are while work waits for them."""
        for engine in self.engines.values():
            if engine.queued:
                self.wait_time += elapsed
                fill = len(engine.running) / engine.limits.batch_slots
                self.fill_time += elapsed * fill

    def sweep(self) -> None:
        """Refuse what cannot be served in time, and go on while work is left."""
        assert self.strategy.sweep
        self.strategy.sweep(self)
        if any(event for _, _, event in self.events):
            self.after(SWEEP_SECONDS, self.sweep)

    def route(self, job: Job) -> None:
        """Send a request to an engine, or let it wait for its adapter there."""
        model = job.arrival.model
        if not job.routings:
            self.strategy.used(self, model)
        job.routings += 1
        engine = self.strategy.choose(self, job)
        slot = engine.slots.get(model)
        if slot and not slot.loading:
            self.adapter_ready(job, engine, slot)
        elif slot:
            slot.waiting.append(job)
        else:
            self.load_queue.join(LoadKey(engine.id, model), waiter_of(job))
            self.offer_turn()

    def refuse(self, key: LoadKey, request_id: RequestId) -> None:
        """Refuse a request that waits for a load, at once."""
        self.load_queue.leave(key, request_id)
        self.jobs[request_id].refused = self.clock.seconds

    def offer_turn(self) -> None:
        """Start loads as soon as the store allows it."""
        wait = self.pacer.wait(self.now())
        if wait is None:
            return
        at = self.clock.seconds + wait.total_seconds()
        if self.turn_at is None or at < self.turn_at:
            self.turn_at = at
            self.at(at, self.take_turn)

    def take_turn(self) -> None:
        """Start the best load whose engine can make room."""
        if self.turn_at is None or self.clock.seconds < self.turn_at:
            return
        self.turn_at = None
        if self.pacer.wait(self.now()) != timedelta():
            self.offer_turn()
            return
        load = self.load_queue.take(self.now(), self.can_start)
        if load is None:
            return
        self.pacer.start(self.now())
        self.start_load(load)
        self.offer_turn()

    def can_start(self, key: LoadKey) -> bool:
        """Return whether an engine has a slot to give."""
        engine = self.engines[key.engine]
        if len(engine.slots) < engine.slot_limit:
            return True
        return self.strategy.victim(self, engine) is not None

    def start_load(self, load: PendingLoad) -> None:
        """Evict if need be, and load an adapter."""
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
        """Fetch an adapter, slower when many are in flight."""
        self.store.in_flight += 1
        slowdown = max(1.0, self.store.in_flight / self.site.store.slowdown_threshold)
        since = self.clock.seconds - self.trace.event_at
        if self.trace.kind is TraceKind.SLOW_STORE and 0 <= since < SLOW_STORE_SECONDS:
            slowdown *= SLOW_STORE_FACTOR
        seconds = self.site.store.load_time.total_seconds() * slowdown
        self.after(seconds, lambda: self.loaded(engine, slot))

    def loaded(self, engine: SimEngine, slot: SimSlot) -> None:
        """Wake the requests that waited for an adapter."""
        self.store.in_flight -= 1
        self.pacer.end()
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
        self.offer_turn()

    def adapter_ready(self, job: Job, engine: SimEngine, slot: SimSlot) -> None:
        """Queue a request for a batch place."""
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
        """Send requests on while the entry has places."""
        queue = engine.queues[entry]
        while len(queue) and (
            not self.strategy.share_places
            or engine.in_flight[entry] < engine.places[entry]
        ):
            job = queue.pop()
            assert job
            engine.in_flight[entry] += 1
            priority = int(job.arrival.request_class is RequestClass.BATCH)
            self.numbered += 1
            heapq.heappush(engine.internal, (priority, self.numbered, job))
        self.fill_batch(engine)
        if len(queue) and not engine.asked:
            engine.asked = True
            self.after(ASK_FOR_PLACES_SECONDS, lambda: self.share(engine))

    def share(self, engine: SimEngine) -> None:
        """Divide an engine's places again, as its owner does when asked."""
        engine.asked = False
        engine.share()
        for entry in engine.entries:
            self.dispatch(engine, entry)

    def fill_batch(self, engine: SimEngine) -> None:
        """Run what the batch has room for."""
        while engine.internal and len(engine.running) < engine.limits.batch_slots:
            _, _, job = heapq.heappop(engine.internal)
            engine.running.add(job)
            seconds = job.arrival.tokens * engine.limits.token_time.total_seconds()
            self.after(seconds, lambda job=job: self.end(engine, job))  # type: ignore[misc]

    def end(self, engine: SimEngine, job: Job) -> None:
        """End a request and give its place to the next."""
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
            self.offer_turn()

    def restart_engine(self) -> None:
        """Restart one engine cold, and send its requests elsewhere."""
        engine = self.engines["engine-0"]
        lost = list(engine.running)
        lost.extend(job for _, _, job in engine.internal)
        for queue in engine.queues.values():
            while job := queue.pop():
                lost.append(job)
        for slot in engine.slots.values():
            lost.extend(slot.waiting)
        engine.restart()
        for job in lost:
            job.since = self.clock.seconds
            self.route(job)


def pace_of(site: Site, strategy: Strategy) -> LoadLimits:
    """Return the pace at which a strategy orders loads."""
    if not strategy.paced:
        return LoadLimits(UNBOUNDED, UNBOUNDED, UNBOUNDED)
    store = site.store
    return LoadLimits(store.loads_per_second, store.burst, store.slowdown_threshold)


def waiter_of(job: Job) -> Waiter:
    """Describe a job that waits for a load."""
    arrival = job.arrival
    return Waiter(
        request_id=arrival.request_id,
        caller=CallerId(arrival.caller),
        request_class=arrival.request_class,
        since=timedelta(seconds=arrival.at),
        deadline=timedelta(seconds=arrival.deadline),
    )
