"""Loads of base weights and adapters on the engines of a cell."""

import math
from collections import defaultdict, deque
from collections.abc import Callable, Collection
from datetime import timedelta

from magnoliatrail.backends import LoadedAdapter
from magnoliatrail.cells.engine_state import EngineState, Holding, HoldingState
from magnoliatrail.cells.orders import EngineOrders
from magnoliatrail.cells.waiting import WaitingRequest
from magnoliatrail.clock import Clock
from magnoliatrail.ids import ServerId
from magnoliatrail.logs import EventLog
from magnoliatrail.metrics import Metrics
from magnoliatrail.periodic import PeriodicTasks
from magnoliatrail.placement.popularity import Popularity, PopularitySettings
from magnoliatrail.platform.engine_calls import Operation, OrderOutcome
from magnoliatrail.routing.engine_scores import (
    HOST_CACHE_LOAD_TIME,
    STORE_LOAD_TIME,
    VictimOption,
    victim,
)

log = EventLog("cells")

# Concurrent loads that one engine accepts, per the platform's documentation.
MAX_LOADS_PER_ENGINE = 4
# The weight store serves this many loads at full speed, or one per engine if more.
MIN_STORE_LOADS = 8
# Interval between reads of an engine's report: usual, and while it is loading.
ENGINE_POLL_INTERVAL = timedelta(seconds=1)
LOADING_POLL_INTERVAL = timedelta(milliseconds=250)
# An adapter that the engine denied is checked again at this interval.
DENIED_RECHECK_INTERVAL = timedelta(milliseconds=60)
# Requests stop waiting for a denied adapter that no report confirms within this time.
DENIED_RECHECK_TIMEOUT = timedelta(seconds=2)
# Share of the weight store's rate that this owner uses for base weights.
BASE_LOAD_RATE_SHARE = 0.8
BASE_LOAD_WINDOW = timedelta(seconds=5)
# Added to the estimated load time when an adapter was denied just after it was due.
STORE_LOAD_ESTIMATE_STEP = timedelta(milliseconds=8)
MAX_STORE_LOAD_ESTIMATE = timedelta(seconds=1)
SPREAD_INTERVAL = timedelta(seconds=1)
POPULARITY = PopularitySettings(memory=timedelta(seconds=20))

WaiterKey = tuple[ServerId, int, LoadedAdapter]


class AdapterLoads:
    """Load adapters on engines and evict others to make room."""

    def __init__(
        self,
        *,
        clock: Clock,
        metrics: Metrics,
        orders: EngineOrders,
        tasks: PeriodicTasks,
        on_ready: Callable[[EngineState, list[str]], None],
        on_failed: Callable[[EngineState, list[str]], None],
        engines: Callable[[], Collection[EngineState]],
    ) -> None:
        self.clock = clock
        self.metrics = metrics
        self.orders = orders
        self.tasks = tasks
        self.on_ready = on_ready
        self.on_failed = on_failed
        self.engines = engines
        # Requests that hold a batch slot and wait for their adapter.
        self.reserved: dict[str, WaitingRequest] = {}
        self.waiters: dict[WaiterKey, list[str]] = defaultdict(list)
        self.popularity: Popularity[str] = Popularity(POPULARITY)
        # Number of cells for the requests of each busy adapter.
        self.spread: dict[str, int] = {}
        self.spread_at = timedelta()
        # Load time at full speed, raised when a loaded adapter was still denied.
        self.estimated_store_load = STORE_LOAD_TIME
        self.base_loads: deque[timedelta] = deque()

    # Capacity

    def store_loads(self) -> int:
        """Return the number of loads from the weight store in progress."""
        return sum(
            holding.from_store and holding.state is HoldingState.LOADING
            for engine in self.engines()
            for holding in engine.holdings.values()
        )

    def max_store_loads(self) -> int:
        """Return the number of concurrent loads that the store serves at full speed."""
        return max(MIN_STORE_LOADS, len(self.engines()))

    def store_load_time(self, in_progress: int) -> timedelta:
        """Estimate the duration of one more load from the weight store."""
        utilization = (in_progress + 1) / self.max_store_loads()
        return self.estimated_store_load * max(1.0, utilization)

    def has_room(self, engine: EngineState, awaited: set[LoadedAdapter]) -> bool:
        """Return whether an engine can start one more adapter load now."""
        if not engine.reported or engine.busy:
            return False
        loading = sum(
            holding.state is HoldingState.LOADING
            for holding in engine.holdings.values()
        )
        if loading >= MAX_LOADS_PER_ENGINE:
            return False
        if engine.free_adapter_slots > 0:
            return True
        return self.victim(engine, awaited) is not None

    def victim(
        self, engine: EngineState, awaited: set[LoadedAdapter]
    ) -> LoadedAdapter | None:
        """Return the adapter to evict on an engine, None if all must stay."""
        used = engine.used_adapters()
        now = self.clock.monotonic()
        by_name = {
            str(holding.adapter): holding.adapter
            for holding in engine.holdings.values()
            if holding.state is HoldingState.READY
        }
        options = [
            VictimOption(
                adapter=name,
                in_use=adapter in used,
                awaited=adapter in awaited,
                last_used=engine.holdings[adapter].last_used,
            )
            for name, adapter in by_name.items()
        ]
        chosen = victim(options, lambda name: self.popularity.rate(name, now))
        return by_name[chosen.adapter] if chosen else None

    def record_use(self, adapter: LoadedAdapter, now: timedelta) -> None:
        """Record a use of an adapter for its popularity."""
        self.popularity.record(str(adapter), now)

    def busy_adapters(self, cells: int, share: float) -> dict[str, int]:
        """Return the adapters over a share of all uses, with the cells that they need.

        The uses seen here are multiplied by the cells that the adapter already has.
        """
        now = self.clock.monotonic()
        if now - self.spread_at < SPREAD_INTERVAL:
            return self.spread
        self.spread_at = now
        rates = {
            name: self.popularity.rate(name, now) for name in self.popularity.counts
        }
        total = sum(rates.values())
        found: dict[str, int] = {}
        for name, rate in rates.items():
            key = name.partition("@")[0]
            all_uses = rate * self.spread.get(key, 1)
            needed = math.ceil(all_uses / (share * total)) if total else 1
            if needed > 1:
                found[key] = min(cells, needed)
        self.spread = found
        return found

    def use_rate(self, adapter: LoadedAdapter, now: timedelta) -> float:
        """Return the uses of an adapter per second."""
        return self.popularity.rate(str(adapter), now)

    # Adapters

    def start_load(
        self,
        engine: EngineState,
        adapter: LoadedAdapter,
        now: timedelta,
        awaited: set[LoadedAdapter],
    ) -> bool:
        """Start to load an adapter; False if the engine has no room."""
        if not self.has_room(engine, awaited):
            return False
        evict = None
        if engine.free_adapter_slots <= 0:
            evict = self.victim(engine, awaited)
            assert evict is not None, "has_room found a victim"
            engine.holdings[evict].state = HoldingState.UNLOADING
        host_cached = adapter in engine.host_cached
        duration = (
            HOST_CACHE_LOAD_TIME
            if host_cached
            else self.store_load_time(self.store_loads())
        )
        engine.holdings[adapter] = Holding(
            adapter,
            HoldingState.LOADING,
            ready_at=now + duration,
            last_used=now,
            from_store=not host_cached,
        )
        self.tasks.once(lambda: self.load_adapter(engine, adapter, evict, duration))
        return True

    async def load_adapter(
        self,
        engine: EngineState,
        adapter: LoadedAdapter,
        evict: LoadedAdapter | None,
        duration: timedelta,
    ) -> None:
        """Evict an adapter if needed, load another and resume its waiting requests."""
        async with engine.order_lock:
            ordered = await self.make_room(engine, evict) and await self.order_load(
                engine, adapter
            )
        if not ordered:
            self.record_load_failure(engine, adapter)
            return
        holding = engine.holdings.get(adapter)
        if holding is None:
            self.record_load_failure(engine, adapter)
            return
        self.metrics.count("loads.store" if holding.from_store else "loads.near")
        holding.ready_at = self.clock.monotonic() + duration
        await self.clock.sleep(duration)
        engine.host_cached.pop(adapter, None)
        if holding.state is HoldingState.LOADING:
            holding.state = HoldingState.READY
        self.on_ready(engine, self.waiters.pop(waiter_key(engine, adapter), []))

    async def make_room(self, engine: EngineState, evict: LoadedAdapter | None) -> bool:
        """Unload an adapter, and return whether its slot is free."""
        if evict is None:
            return True
        outcome = await self.orders.send(engine, Operation.UNLOAD, evict)
        if outcome is OrderOutcome.DONE:
            engine.drop(evict)
            self.metrics.count("loads.evictions")
            return True
        holding = engine.holdings.get(evict)
        if holding and outcome is not OrderOutcome.STARTED:
            holding.state = HoldingState.READY
        return False

    async def order_load(self, engine: EngineState, adapter: LoadedAdapter) -> bool:
        """Order a load, unless it would exceed the engine's adapter slots."""
        if len(engine.holdings) > engine.spec.adapter_slots or not engine.reported:
            log.warning(
                "load_withheld",
                engine=engine.server.id,
                adapter=adapter,
                held=len(engine.holdings),
                reported=engine.reported,
            )
            return False
        outcome = await self.orders.send(engine, Operation.LOAD, adapter)
        return outcome in (OrderOutcome.STARTED, OrderOutcome.DONE)

    def record_load_failure(self, engine: EngineState, adapter: LoadedAdapter) -> None:
        """Remove an adapter whose load failed, and requeue its waiting requests."""
        engine.holdings.pop(adapter, None)
        self.fail_waiters(engine, adapter)

    def fail_waiters(self, engine: EngineState, adapter: LoadedAdapter) -> None:
        """Requeue the requests that wait for an adapter on an engine."""
        waiters = self.waiters.pop(waiter_key(engine, adapter), [])
        self.on_failed(engine, waiters)

    def add_waiter(
        self, engine: EngineState, adapter: LoadedAdapter, request: str
    ) -> None:
        """Register a request that waits for an adapter to load."""
        self.waiters[waiter_key(engine, adapter)].append(request)

    def handle_denied(self, engine: EngineState, adapter: LoadedAdapter) -> None:
        """Mark an adapter as loading again after the engine denied having it."""
        holding = engine.holdings.get(adapter)
        if holding is None or holding.state is not HoldingState.READY:
            return
        holding.state = HoldingState.LOADING
        now = self.clock.monotonic()
        late = now - holding.ready_at
        if holding.from_store and late < DENIED_RECHECK_INTERVAL:
            longer = self.estimated_store_load + STORE_LOAD_ESTIMATE_STEP
            self.estimated_store_load = min(MAX_STORE_LOAD_ESTIMATE, longer)
        holding.ready_at = now + DENIED_RECHECK_INTERVAL
        log.info("adapter_denied", engine=engine.server.id, adapter=adapter, after=late)
        self.tasks.once(lambda: self.recheck(engine, adapter))

    async def recheck(self, engine: EngineState, adapter: LoadedAdapter) -> None:
        """Poll an engine until its report lists an adapter as ready or not at all."""
        until = self.clock.monotonic() + DENIED_RECHECK_TIMEOUT
        while self.clock.monotonic() < until:
            await self.clock.sleep(DENIED_RECHECK_INTERVAL)
            async with engine.order_lock:
                await self.orders.refresh(engine)
            holding = engine.holdings.get(adapter)
            if holding is None:
                break
            if holding.state is HoldingState.READY:
                key = waiter_key(engine, adapter)
                self.on_ready(engine, self.waiters.pop(key, []))
                return
        holding = engine.holdings.get(adapter)
        if holding is not None and holding.state is HoldingState.LOADING:
            # It keeps its slot until a newer report arrives, and may be evicted.
            holding.state = HoldingState.READY
            log.warning("adapter_unconfirmed", engine=engine.server.id, adapter=adapter)
        self.fail_waiters(engine, adapter)

    def resolve_waiters(self, engine: EngineState) -> None:
        """Resume or requeue the waiting requests according to the engine's report."""
        for key in [key for key in self.waiters if key[:2] == engine.server.key]:
            holding = engine.holdings.get(key[2])
            if holding is None:
                self.on_failed(engine, self.waiters.pop(key))
            elif holding.state is HoldingState.READY:
                self.on_ready(engine, self.waiters.pop(key))

    def has_waiters(self, engine: EngineState) -> bool:
        """Return whether requests wait for adapters on an engine."""
        return any(key[:2] == engine.server.key for key in self.waiters)

    # Engines

    async def monitor_engine(
        self, engine: EngineState, is_current: Callable[[EngineState], bool]
    ) -> None:
        """Refresh an engine's state and load its base weights, while it is listed."""
        while is_current(engine):
            if not engine.order_lock.locked():
                await self.refresh_engine(engine)
            loading = engine.busy or not engine.models or not engine.reported
            urgent = loading or self.has_waiters(engine)
            await self.clock.sleep(
                LOADING_POLL_INTERVAL if urgent else ENGINE_POLL_INTERVAL
            )

    async def refresh_engine(self, engine: EngineState) -> None:
        """Apply an engine's report, and load base weights if it has none."""
        had = set(engine.models)
        async with engine.order_lock:
            if not await self.orders.refresh(engine):
                return
            self.resolve_waiters(engine)
            if not engine.models and not engine.busy:
                await self.load_base(engine)
        if engine.models != had:
            log.info(
                "engine_models", engine=engine.server.id, models=sorted(engine.models)
            )
            self.on_ready(engine, [])

    async def load_base(self, engine: EngineState) -> None:
        """Load base weights on an engine without any, within the load rate limit."""
        model = self.missing_model(engine)
        if model is None or not self.try_start_base_load(engine):
            return
        outcome = await self.orders.send(
            engine, Operation.LOAD, LoadedAdapter(model, "")
        )
        if outcome is OrderOutcome.STARTED:
            engine.busy = True

    def missing_model(self, engine: EngineState) -> str | None:
        """Return the fitting base model that the fewest engines of the service hold."""
        others = [
            other
            for other in self.engines()
            if other.server.service == engine.server.service
        ]
        fitting = [
            model
            for model in engine.spec.models.values()
            if model.size_mb <= engine.spec.weights_mb
        ]
        if not fitting:
            return None
        holders = {
            model.name: sum(model.name in other.models for other in others)
            for model in fitting
        }
        return min(holders, key=lambda name: (holders[name], name))

    def try_start_base_load(self, engine: EngineState) -> bool:
        """Acquire a base weight load from the rate limiter, if one is left."""
        now = self.clock.monotonic()
        while self.base_loads and self.base_loads[0] < now - BASE_LOAD_WINDOW:
            self.base_loads.popleft()
        rate = engine.spec.loads_per_second * BASE_LOAD_RATE_SHARE
        if len(self.base_loads) >= max(1.0, rate * BASE_LOAD_WINDOW.total_seconds()):
            return False
        self.base_loads.append(now)
        return True


def waiter_key(engine: EngineState, adapter: LoadedAdapter) -> WaiterKey:
    """Return the key of the requests that wait for an adapter on an engine."""
    return (*engine.server.key, adapter)
