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
    NEAR_LOAD,
    STORE_LOAD,
    VictimOption,
    victim,
)

log = EventLog("cells")

# Loads under way to one engine at the same time, from the platform's pages.
MOST_LOADS_PER_ENGINE = 4
# Loads from the weight store at full speed: at least these, or one an engine.
LEAST_STORE_LOADS = 8
# Pause between two reports of an engine, and while its base weights load.
REPORT_PAUSE = timedelta(seconds=1)
LOADING_PAUSE = timedelta(milliseconds=250)
# A load that the engine still denies is looked at again after this time.
DENIED_PAUSE = timedelta(milliseconds=60)
# An adapter of which no report told for this long is waited for no more.
DENIED_FOR = timedelta(seconds=2)
# Part of the weight store's rate that this owner uses.
WEIGHT_RATE_SHARE = 0.8
WEIGHT_WINDOW = timedelta(seconds=5)
# A load that was denied right when it should have been there makes the next ones
# count as this much longer.
STORE_LOAD_STEP = timedelta(milliseconds=8)
LONGEST_STORE_LOAD = timedelta(seconds=1)
SPREAD_EVERY = timedelta(seconds=1)
POPULARITY = PopularitySettings(memory=timedelta(seconds=20))

AwaitKey = tuple[ServerId, int, LoadedAdapter]


class AdapterLoads:
    """Bring adapters to engines and make room for them."""

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
        # Requests that have a place and wait for their adapter.
        self.reserved: dict[str, WaitingRequest] = {}
        self.waiters: dict[AwaitKey, list[str]] = defaultdict(list)
        self.popularity: Popularity[str] = Popularity(POPULARITY)
        # Cells over which the requests for busy adapters are spread.
        self.spread: dict[str, int] = {}
        self.spread_at = timedelta()
        # Time of a load at full speed, learned from loads that were denied at first.
        self.usual_store_load = STORE_LOAD
        self.weight_loads: deque[timedelta] = deque()

    # Room

    def store_loads(self) -> int:
        """Return how many adapters are on their way from the weight store."""
        return sum(
            holding.from_store and holding.state is HoldingState.ARRIVING
            for engine in self.engines()
            for holding in engine.holdings.values()
        )

    def most_store_loads(self) -> int:
        """Return how many adapters come at full speed."""
        return max(LEAST_STORE_LOADS, len(self.engines()))

    def store_load(self, under_way: int) -> timedelta:
        """Return how long one more load from the weight store takes beside others."""
        crowd = (under_way + 1) / self.most_store_loads()
        return self.usual_store_load * max(1.0, crowd)

    def has_room(self, engine: EngineState, awaited: set[LoadedAdapter]) -> bool:
        """Return whether one more adapter can be ordered to an engine now."""
        if not engine.reported or engine.busy:
            return False
        arriving = sum(
            holding.state is HoldingState.ARRIVING
            for holding in engine.holdings.values()
        )
        if arriving >= MOST_LOADS_PER_ENGINE:
            return False
        if engine.free_adapter_places > 0:
            return True
        return self.victim(engine, awaited) is not None

    def victim(
        self, engine: EngineState, awaited: set[LoadedAdapter]
    ) -> LoadedAdapter | None:
        """Return the adapter that makes room on an engine."""
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

    def note_use(self, adapter: LoadedAdapter, now: timedelta) -> None:
        """Count a use of an adapter."""
        self.popularity.record(str(adapter), now)

    def busy_adapters(self, cells: int, share: float) -> dict[str, int]:
        """Return the adapters with more than a share of all uses, and their cells.

        An adapter whose requests go to some cells already counts that many times.
        """
        now = self.clock.monotonic()
        if now - self.spread_at < SPREAD_EVERY:
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
        """Return the uses a second of an adapter."""
        return self.popularity.rate(str(adapter), now)

    # Adapters

    def start(
        self,
        engine: EngineState,
        adapter: LoadedAdapter,
        now: timedelta,
        awaited: set[LoadedAdapter],
    ) -> bool:
        """Begin to bring an adapter; False if there is no room after all."""
        if not self.has_room(engine, awaited):
            return False
        out = None
        if engine.free_adapter_places <= 0:
            out = self.victim(engine, awaited)
            assert out is not None, "has_room found a victim"
            engine.holdings[out].state = HoldingState.LEAVING
        near = adapter in engine.near
        duration = NEAR_LOAD if near else self.store_load(self.store_loads())
        engine.holdings[adapter] = Holding(
            adapter,
            HoldingState.ARRIVING,
            ready_at=now + duration,
            last_used=now,
            from_store=not near,
        )
        self.tasks.once(lambda: self.bring(engine, adapter, out, duration))
        return True

    async def bring(
        self,
        engine: EngineState,
        adapter: LoadedAdapter,
        out: LoadedAdapter | None,
        duration: timedelta,
    ) -> None:
        """Order an adapter, after another one made room."""
        async with engine.order_turn:
            ordered = await self.make_room(engine, out) and await self.order_load(
                engine, adapter
            )
        if not ordered:
            self.give_up(engine, adapter)
            return
        holding = engine.holdings.get(adapter)
        if holding is None:
            self.give_up(engine, adapter)
            return
        self.metrics.count("loads.store" if holding.from_store else "loads.near")
        holding.ready_at = self.clock.monotonic() + duration
        await self.clock.sleep(duration)
        engine.near.pop(adapter, None)
        if holding.state is HoldingState.ARRIVING:
            holding.state = HoldingState.READY
        self.on_ready(engine, self.waiters.pop(await_key(engine, adapter), []))

    async def make_room(self, engine: EngineState, out: LoadedAdapter | None) -> bool:
        """Order an adapter away, and return whether its place is free."""
        if out is None:
            return True
        outcome = await self.orders.give(engine, Operation.UNLOAD, out)
        if outcome is OrderOutcome.DONE:
            engine.drop(out)
            self.metrics.count("loads.evictions")
            return True
        holding = engine.holdings.get(out)
        if holding and outcome is not OrderOutcome.STARTED:
            holding.state = HoldingState.READY
        return False

    async def order_load(self, engine: EngineState, adapter: LoadedAdapter) -> bool:
        """Order an adapter, unless it would pass the engine's places."""
        if len(engine.holdings) > engine.spec.adapter_slots or not engine.reported:
            log.warning(
                "load_withheld",
                engine=engine.server.id,
                adapter=adapter,
                held=len(engine.holdings),
                reported=engine.reported,
            )
            return False
        outcome = await self.orders.give(engine, Operation.LOAD, adapter)
        return outcome in (OrderOutcome.STARTED, OrderOutcome.DONE)

    def give_up(self, engine: EngineState, adapter: LoadedAdapter) -> None:
        """Note that an adapter does not come."""
        engine.holdings.pop(adapter, None)
        self.disappoint(engine, adapter)

    def disappoint(self, engine: EngineState, adapter: LoadedAdapter) -> None:
        """Give up the requests that wait for an adapter on an engine."""
        waiters = self.waiters.pop(await_key(engine, adapter), [])
        self.on_failed(engine, waiters)

    def await_adapter(
        self, engine: EngineState, adapter: LoadedAdapter, request: str
    ) -> None:
        """Let a request wait for an adapter that is on its way."""
        self.waiters[await_key(engine, adapter)].append(request)

    def note_refused(self, engine: EngineState, adapter: LoadedAdapter) -> None:
        """Look again at an adapter that the engine did not have for a request."""
        holding = engine.holdings.get(adapter)
        if holding is None or holding.state is not HoldingState.READY:
            return
        holding.state = HoldingState.ARRIVING
        now = self.clock.monotonic()
        late = now - holding.ready_at
        if holding.from_store and late < DENIED_PAUSE:
            longer = self.usual_store_load + STORE_LOAD_STEP
            self.usual_store_load = min(LONGEST_STORE_LOAD, longer)
        holding.ready_at = now + DENIED_PAUSE
        log.info("adapter_denied", engine=engine.server.id, adapter=adapter, after=late)
        self.tasks.once(lambda: self.look_again(engine, adapter))

    async def look_again(self, engine: EngineState, adapter: LoadedAdapter) -> None:
        """Ask an engine until it has an adapter or surely has not."""
        until = self.clock.monotonic() + DENIED_FOR
        while self.clock.monotonic() < until:
            await self.clock.sleep(DENIED_PAUSE)
            async with engine.order_turn:
                await self.orders.refresh(engine)
            holding = engine.holdings.get(adapter)
            if holding is None:
                break
            if holding.state is HoldingState.READY:
                key = await_key(engine, adapter)
                self.on_ready(engine, self.waiters.pop(key, []))
                return
        holding = engine.holdings.get(adapter)
        if holding is not None and holding.state is HoldingState.ARRIVING:
            # It takes its place until a report says otherwise; it may make room.
            holding.state = HoldingState.READY
            log.warning("adapter_doubtful", engine=engine.server.id, adapter=adapter)
        self.disappoint(engine, adapter)

    def settle(self, engine: EngineState) -> None:
        """Deliver or give up what waits for adapters that the engine has or has not."""
        for key in [key for key in self.waiters if key[:2] == engine.server.key]:
            holding = engine.holdings.get(key[2])
            if holding is None:
                self.on_failed(engine, self.waiters.pop(key))
            elif holding.state is HoldingState.READY:
                self.on_ready(engine, self.waiters.pop(key))

    def is_awaited(self, engine: EngineState) -> bool:
        """Return whether requests wait for adapters on an engine."""
        return any(key[:2] == engine.server.key for key in self.waiters)

    # Engines

    async def attend(
        self, engine: EngineState, is_current: Callable[[EngineState], bool]
    ) -> None:
        """Keep an engine's state true and its base weights loaded."""
        while is_current(engine):
            if not engine.order_turn.locked():
                await self.look_at(engine)
            loading = engine.busy or not engine.models or not engine.reported
            hurried = loading or self.is_awaited(engine)
            await self.clock.sleep(LOADING_PAUSE if hurried else REPORT_PAUSE)

    async def look_at(self, engine: EngineState) -> None:
        """Read an engine's report and load what it must have."""
        had = set(engine.models)
        async with engine.order_turn:
            if not await self.orders.refresh(engine):
                return
            self.settle(engine)
            if not engine.models and not engine.busy:
                await self.load_base(engine)
        if engine.models != had:
            log.info(
                "engine_models", engine=engine.server.id, models=sorted(engine.models)
            )
            self.on_ready(engine, [])

    async def load_base(self, engine: EngineState) -> None:
        """Load base weights on an engine that has none, within the store's rate."""
        model = self.missing_model(engine)
        if model is None or not self.take_weight_turn(engine):
            return
        outcome = await self.orders.give(
            engine, Operation.LOAD, LoadedAdapter(model, "")
        )
        if outcome is OrderOutcome.STARTED:
            engine.busy = True

    def missing_model(self, engine: EngineState) -> str | None:
        """Return the base weights that the fewest engines of the service have."""
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

    def take_weight_turn(self, engine: EngineState) -> bool:
        """Return whether a load of base weights may begin now."""
        now = self.clock.monotonic()
        while self.weight_loads and self.weight_loads[0] < now - WEIGHT_WINDOW:
            self.weight_loads.popleft()
        rate = engine.spec.loads_per_second * WEIGHT_RATE_SHARE
        if len(self.weight_loads) >= max(1.0, rate * WEIGHT_WINDOW.total_seconds()):
            return False
        self.weight_loads.append(now)
        return True


def await_key(engine: EngineState, adapter: LoadedAdapter) -> AwaitKey:
    """Return the key under which requests wait for an adapter on an engine."""
    return (*engine.server.key, adapter)
