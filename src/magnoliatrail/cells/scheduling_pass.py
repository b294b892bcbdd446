"""One scheduling pass over a cell's queue, with engine state computed once."""

import math
from collections import defaultdict
from collections.abc import Callable, Collection, Iterable
from datetime import timedelta
from itertools import chain

from magnoliatrail.backends import LoadedAdapter
from magnoliatrail.cells.engine_state import EngineState, Holding, HoldingState
from magnoliatrail.cells.loading import AdapterLoads
from magnoliatrail.cells.waiting import WaitingRequest
from magnoliatrail.ids import ServerId
from magnoliatrail.rendezvous import weight
from magnoliatrail.routing.engine_scores import (
    USABLE_KV_CACHE_FRACTION,
    EngineLoad,
    EngineOption,
    RequestSize,
    Residency,
    max_pause_tokens,
)

REQUIRES_LOAD = (Residency.HOST_CACHED, Residency.ABSENT)
# Number of engines that are reserved for requests that fit on none, at most. Part of a
# reserved engine's prefill budget stays unused.
MAX_RESERVED_ENGINES = 1
# A prompt is large if it needs this share of an engine's budget between two events.
LARGE_PROMPT_SHARE = 0.4


class SchedulingPass:
    """Cache engine state that the requests of one scheduling pass share.

    Within a pass engines only fill up. So a request that no engine can take means that
    none can take another of the same size for the same adapter.
    """

    def __init__(
        self,
        *,
        now: timedelta,
        engines: Iterable[EngineState],
        waiting: Collection[WaitingRequest],
        loads: AdapterLoads,
        may_order: bool,
        pause: timedelta,
    ) -> None:
        self.now = now
        self.loads = loads
        self.may_order = may_order
        self.pause = pause
        self.engines = [item for item in engines if now >= item.backoff_until]
        self.holders: dict[tuple[str, str], list[EngineState]] = defaultdict(list)
        for engine in self.engines:
            for adapter in engine.holdings:
                self.holders[adapter.model, adapter.adapter].append(engine)
        self.awaited = {request.adapter for request in waiting}
        self.smallest_size = RequestSize(
            min((item.message.prompt_tokens for item in waiting), default=0),
            min((item.message.output_tokens for item in waiting), default=0),
        )
        self.load_by_engine: dict[ServerId, EngineLoad] = {}
        self.room_by_engine: dict[ServerId, bool] = {}
        self.available = [item for item in self.engines if self.is_available(item)]
        self.update_store_load()
        # Adapters that an engine holds or recently held; None until computed.
        self.held: set[LoadedAdapter] | None = None
        # Service and request size that no engine can take, by adapter.
        self.unplaceable: dict[LoadedAdapter, set[tuple[str, RequestSize]]] = {}
        # Prompt tokens that less urgent requests may still send to engines that are
        # reserved for a more urgent one.
        self.reserved: dict[ServerId, float] = {}

    def is_available(self, engine: EngineState) -> bool:
        """Return whether an engine could take the smallest waiting request."""
        return engine.may_be_sent(self.now) and self.load_of(engine).can_admit(
            self.smallest_size
        )

    def load_of(self, engine: EngineState) -> EngineLoad:
        """Return an engine's load, computed once until the engine changes."""
        found = self.load_by_engine.get(engine.server.id)
        if found is None:
            spec = engine.spec
            cache_free = (
                spec.cache_tokens * USABLE_KV_CACHE_FRACTION - engine.cache_tokens
            )
            speed, running = engine.speed_estimate.speed(self.now), len(engine.grants)
            within_pause = max_pause_tokens(
                self.pause, spec.event_tokens, speed, running
            )
            found = self.load_by_engine[engine.server.id] = EngineLoad(
                backlog_tokens=engine.backlog_tokens,
                pause_tokens=engine.pause_tokens(self.now, self.pause),
                max_pause_tokens=within_pause * engine.prefill_budget.share,
                running=running,
                batch_slots=spec.batch_slots,
                cache_tokens_free=cache_free,
                speed=speed,
            )
        return found

    def record_grant(self, engine: EngineState, size: RequestSize) -> None:
        """Discard the cached load of an engine that was granted a request."""
        if engine.server.id in self.reserved:
            self.reserved[engine.server.id] -= size.prompt_tokens
        self.load_by_engine.pop(engine.server.id, None)
        engine.record_sent(self.now)
        if not self.is_available(engine):
            self.available.remove(engine)

    def record_load_start(self, engine: EngineState, adapter: LoadedAdapter) -> None:
        """Discard the cached state that a started adapter load changes."""
        self.room_by_engine.pop(engine.server.id, None)
        self.holders[adapter.model, adapter.adapter].append(engine)
        self.unplaceable.pop(adapter, None)
        self.held = None
        self.update_store_load()

    def reserve(
        self,
        may_serve: Callable[[EngineState], bool],
        adapter: LoadedAdapter,
        size: RequestSize,
    ) -> None:
        """Reserve the engine on which a large request fits first.

        Without this, smaller requests would take every part of an engine's prefill
        budget before it fits.
        """
        if len(self.reserved) >= MAX_RESERVED_ENGINES:
            return
        budgets = (self.load_of(engine).max_pause_tokens for engine in self.engines)
        if size.prompt_tokens < max(budgets, default=0.0) * LARGE_PROMPT_SHARE:
            return
        found: tuple[timedelta, str, ServerId, float] | None = None
        for engine in self.engines:
            if engine.server.id in self.reserved or not (
                may_serve(engine) and self.may_wait_for(engine, adapter, size)
            ):
                continue
            most = self.load_of(engine).max_pause_tokens - size.prompt_tokens
            fits_in, left = engine.time_until_pause_tokens(most, self.now, self.pause)
            id_ = engine.server.id
            option = (fits_in, str(id_), id_, max(0.0, most - left))
            found = min(found, option) if found else option
        if found:
            self.reserved[found[2]] = found[3]

    def may_wait_for(
        self, engine: EngineState, adapter: LoadedAdapter, size: RequestSize
    ) -> bool:
        """Return whether a request lacks only prefill budget on an engine."""
        if not self.load_of(engine).has_slot(size):
            return False
        residency, _ = residency_of(engine, adapter, self.now)
        return residency not in REQUIRES_LOAD or self.may_load(engine, adapter)

    def delays_reservation(self, engine: EngineState, size: RequestSize) -> bool:
        """Return whether a request would delay the one that an engine is kept for."""
        return size.prompt_tokens > self.reserved.get(engine.server.id, math.inf)

    def update_store_load(self) -> None:
        """Update the estimated time of a store load, and whether one may start."""
        in_progress = self.loads.store_loads()
        self.store_load_time = self.loads.store_load_time(in_progress)
        self.may_load_from_store = in_progress < self.loads.max_store_loads()

    def record_unplaceable(
        self, service: str, adapter: LoadedAdapter, size: RequestSize
    ) -> None:
        """Record that no engine can take such a request in this pass."""
        self.unplaceable.setdefault(adapter, set()).add((service, size))

    def is_unplaceable(
        self, service: str, adapter: LoadedAdapter, size: RequestSize
    ) -> bool:
        """Return whether no engine can take such a request in this pass."""
        return (service, size) in self.unplaceable.get(adapter, ())

    def room(self, engine: EngineState) -> bool:
        """Return whether an engine has room to load one more adapter."""
        key = engine.server.id
        if key not in self.room_by_engine:
            self.room_by_engine[key] = self.loads.has_room(engine, self.awaited)
        return self.room_by_engine[key]

    def candidates(self, adapter: LoadedAdapter) -> list[EngineState]:
        """Return the available engines that hold an adapter or can load it."""
        if not adapter.adapter:
            return self.available
        holders = self.holders.get((adapter.model, adapter.adapter), ())
        return [
            engine
            for engine in self.available
            if engine in holders or self.may_load(engine, adapter)
        ]

    def options(
        self, engines: Collection[EngineState], adapter: LoadedAdapter
    ) -> list[EngineOption]:
        """Build the options for a request for an adapter."""
        found = []
        ranks: dict[ServerId, int] = {}
        for engine in engines:
            residency, ready_in = residency_of(engine, adapter, self.now)
            if residency is Residency.ABSENT and not ranks:
                ranks = rendezvous_ranks(engines, adapter)
            found.append(
                EngineOption(
                    engine=engine.server.id,
                    load=self.load_of(engine),
                    residency=residency,
                    ready_in=ready_in,
                    has_room=residency in REQUIRES_LOAD
                    and self.may_load(engine, adapter),
                    rendezvous_rank=ranks.get(engine.server.id, 0),
                )
            )
        return found

    def may_load(self, engine: EngineState, adapter: LoadedAdapter) -> bool:
        """Return whether a load of an adapter on an engine may start now."""
        if not (self.may_order and self.room(engine)):
            return False
        if adapter in engine.holdings:
            # It is being unloaded; it can be loaded again only after that.
            return False
        return adapter in engine.host_cached or self.may_load_from_store

    def is_held(
        self, adapter: LoadedAdapter, fits: Callable[[EngineState], bool]
    ) -> bool:
        """Return whether a fitting engine, busy or not, holds or recently held it."""
        if self.held is None:
            self.held = {
                held
                for engine in self.engines
                for held in chain(engine.holdings, engine.host_cached)
            }
        return adapter in self.held and any(
            residency_of(engine, adapter, self.now)[0] is not Residency.ABSENT
            for engine in self.engines
            if fits(engine)
        )


def rendezvous_ranks(
    engines: Iterable[EngineState], adapter: LoadedAdapter
) -> dict[ServerId, int]:
    """Return the rendezvous rank of each engine for an adapter."""
    key = f"{adapter.model}/{adapter.adapter}"
    ids = [engine.server.id for engine in engines]
    ids.sort(key=lambda id_: weight(id_, key), reverse=True)
    return {id_: rank for rank, id_ in enumerate(ids)}


def residency_of(
    engine: EngineState, adapter: LoadedAdapter, now: timedelta
) -> tuple[Residency, timedelta]:
    """Return an adapter's residency on an engine, and the time until it is ready."""
    if not adapter.adapter:
        return Residency.READY, timedelta()
    holding: Holding | None = engine.holdings.get(adapter)
    if holding and holding.state is HoldingState.READY:
        return Residency.READY, timedelta()
    if holding and holding.state is HoldingState.LOADING:
        return Residency.LOADING, max(timedelta(), holding.ready_at - now)
    if adapter in engine.host_cached:
        return Residency.HOST_CACHED, timedelta()
    return Residency.ABSENT, timedelta()
