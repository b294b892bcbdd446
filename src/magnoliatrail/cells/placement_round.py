"""One look at the queue of a cell: what is found out about its engines, once."""

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
    CACHE_SHARE,
    EngineLoad,
    EngineNeed,
    EngineOption,
    Residency,
    most_pause_tokens,
)

MISSING = (Residency.NEAR, Residency.ABSENT)


class PlacementRound:
    """Describe engines to requests, with all that requests share kept.

    Within a round engines only fill up, so that what none can take for one request
    needs no second look for another like it.
    """

    def __init__(
        self,
        *,
        now: timedelta,
        engines: Iterable[EngineState],
        waiting: Collection[WaitingRequest],
        loads: AdapterLoads,
        ordering: bool,
        pause: timedelta,
    ) -> None:
        self.now = now
        self.loads = loads
        self.ordering = ordering
        self.pause = pause
        self.engines = [item for item in engines if now >= item.shunned_until]
        self.holders: dict[tuple[str, str], list[EngineState]] = defaultdict(list)
        for engine in self.engines:
            for adapter in engine.holdings:
                self.holders[adapter.model, adapter.adapter].append(engine)
        self.awaited = {request.adapter for request in waiting}
        self.least = EngineNeed(
            min((item.message.prompt_tokens for item in waiting), default=0),
            min((item.message.output_tokens for item in waiting), default=0),
        )
        self.known_loads: dict[ServerId, EngineLoad] = {}
        self.rooms: dict[ServerId, bool] = {}
        self.open = [item for item in self.engines if self.is_open(item)]
        self.look_at_store()
        # Adapters that an engine has, or had lately; None before anyone asked.
        self.held: set[LoadedAdapter] | None = None
        # What no engine can take for an adapter, with the service that it runs on.
        self.hopeless: dict[LoadedAdapter, set[tuple[str, EngineNeed]]] = {}

    def is_open(self, engine: EngineState) -> bool:
        """Return whether an engine could take the smallest request that waits."""
        return self.load_of(engine).takes(self.least)

    def load_of(self, engine: EngineState) -> EngineLoad:
        """Return what an engine has to do."""
        found = self.known_loads.get(engine.server.id)
        if found is None:
            spec = engine.spec
            cache_free = spec.cache_tokens * CACHE_SHARE - engine.cache_tokens
            found = self.known_loads[engine.server.id] = EngineLoad(
                backlog_tokens=engine.backlog_tokens,
                pause_tokens=engine.pause_tokens(self.now, self.pause),
                most_pause_tokens=most_pause_tokens(self.pause, spec.event_tokens)
                * engine.pace.share,
                running=len(engine.grants),
                batch_slots=spec.batch_slots,
                cache_tokens_free=cache_free,
            )
        return found

    def note_granted(self, engine: EngineState) -> None:
        """Look at an engine afresh that got a request."""
        self.known_loads.pop(engine.server.id, None)
        if not self.is_open(engine):
            self.open.remove(engine)

    def note_fetch(self, engine: EngineState, adapter: LoadedAdapter) -> None:
        """Look afresh at what an adapter on its way to an engine changes."""
        self.rooms.pop(engine.server.id, None)
        self.holders[adapter.model, adapter.adapter].append(engine)
        self.hopeless.pop(adapter, None)
        self.held = None
        self.look_at_store()

    def look_at_store(self) -> None:
        """Find out how long a load from the store takes, and whether one may begin."""
        under_way = self.loads.store_loads()
        self.store_load = self.loads.store_load(under_way)
        self.may_fetch_from_store = under_way < self.loads.most_store_loads()

    def note_hopeless(
        self, service: str, adapter: LoadedAdapter, need: EngineNeed
    ) -> None:
        """Note that no engine can take a request in this round."""
        self.hopeless.setdefault(adapter, set()).add((service, need))

    def is_hopeless(
        self, service: str, adapter: LoadedAdapter, need: EngineNeed
    ) -> bool:
        """Return whether no engine can take a request in this round."""
        return (service, need) in self.hopeless.get(adapter, ())

    def room(self, engine: EngineState) -> bool:
        """Return whether an engine could take one more adapter."""
        key = engine.server.id
        if key not in self.rooms:
            self.rooms[key] = self.loads.has_room(engine, self.awaited)
        return self.rooms[key]

    def candidates(self, adapter: LoadedAdapter) -> list[EngineState]:
        """Return the engines that can take requests and have an adapter, or room."""
        if not adapter.adapter:
            return self.open
        holders = self.holders.get((adapter.model, adapter.adapter), ())
        return [
            engine
            for engine in self.open
            if engine in holders or self.may_bring(engine, adapter)
        ]

    def options(
        self, engines: Collection[EngineState], adapter: LoadedAdapter
    ) -> list[EngineOption]:
        """Describe the engines as options for a request for an adapter."""
        found = []
        ranks: dict[ServerId, int] = {}
        for engine in engines:
            residency, ready_in = residency_of(engine, adapter, self.now)
            if residency is Residency.ABSENT and not ranks:
                ranks = home_ranks(engines, adapter)
            found.append(
                EngineOption(
                    engine=engine.server.id,
                    load=self.load_of(engine),
                    residency=residency,
                    ready_in=ready_in,
                    has_room=residency in MISSING and self.may_bring(engine, adapter),
                    home_rank=ranks.get(engine.server.id, 0),
                )
            )
        return found

    def may_bring(self, engine: EngineState, adapter: LoadedAdapter) -> bool:
        """Return whether an adapter may set out for an engine now."""
        if not (self.ordering and self.room(engine)):
            return False
        if adapter in engine.holdings:
            # Its place is being freed; it can come back only after that.
            return False
        return adapter in engine.near or self.may_fetch_from_store

    def is_held(
        self, adapter: LoadedAdapter, fits: Callable[[EngineState], bool]
    ) -> bool:
        """Return whether an engine has an adapter, or had it lately, busy or not."""
        if self.held is None:
            self.held = {
                held
                for engine in self.engines
                for held in chain(engine.holdings, engine.near)
            }
        return adapter in self.held and any(
            residency_of(engine, adapter, self.now)[0] is not Residency.ABSENT
            for engine in self.engines
            if fits(engine)
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
