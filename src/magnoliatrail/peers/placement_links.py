"""Messages between instances about demand and about turns to load."""

import asyncio
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

from expression import Ok, Result

from magnoliatrail.clock import Clock
from magnoliatrail.engines.digest import digest_of, take_demand
from magnoliatrail.engines.load_turns import LoadTurns
from magnoliatrail.engines.owner import EngineOwner
from magnoliatrail.entry.places import EntryPlaces
from magnoliatrail.errors import Failure
from magnoliatrail.generated.permits import (
    DemandAnswer,
    DemandReport,
    LoadTurn,
    LoadTurnRequest,
)
from magnoliatrail.ids import EngineId, InstanceId
from magnoliatrail.logs import EventLog
from magnoliatrail.membership.fleet import Fleet
from magnoliatrail.peers.client import PeerClient
from magnoliatrail.peers.server import PeerRoute
from magnoliatrail.placement.load_rate_limiter import LoadLimits
from magnoliatrail.rendezvous import ranked
from magnoliatrail.routing.permit_search import RoutingState
from magnoliatrail.wire import CallLimits

log = EventLog("placement")

KEEPER_KEY = "load-turns"
SHORT_REPORT_DELAY = timedelta(milliseconds=20)


@dataclass(frozen=True)
class Neighbours:
    """Say who lives and how a peer is reached."""

    instance: InstanceId
    live: Callable[[], list[InstanceId]]
    url_of: Callable[[InstanceId], str]
    peers: PeerClient
    limits: CallLimits


class LoadTurnLinks:
    """Ask the instance that keeps the pace of loads, or keep an own share of it."""

    def __init__(
        self, neighbours: Neighbours, clock: Clock, limits: Callable[[], LoadLimits]
    ) -> None:
        self.neighbours = neighbours
        self.turns = LoadTurns(clock, limits)
        self.own_share = LoadTurns(
            clock, lambda: limits().share(max(1, len(neighbours.live())))
        )

    def keeper(self) -> InstanceId:
        """Return the live instance that keeps the pace of loads now."""
        order = ranked(KEEPER_KEY, self.neighbours.live())
        return InstanceId(order[0]) if order else self.neighbours.instance

    async def take(self, value: float) -> bool:
        """Wait for a turn to load; False means that the caller should ask again."""
        keeper = self.keeper()
        if keeper == self.neighbours.instance:
            return await self.turns.take(value)
        request = LoadTurnRequest(instance=self.neighbours.instance, value=value)
        url = f"{self.neighbours.url_of(keeper)}/peer/load-turns"
        peers, limits = self.neighbours.peers, self.neighbours.limits
        match await peers.ask(url, request, LoadTurn, limits):
            case Result(tag="ok", ok=answer):
                return answer.granted
            case Result(error=failure):
                log.warning("load_turn_alone", keeper=keeper, reason=failure.message)
                return await self.own_share.take(value)

    async def answer(self, request: LoadTurnRequest) -> Result[LoadTurn, Failure]:
        """Give a peer its turn."""
        return Ok(LoadTurn(granted=await self.turns.take(request.value)))


class DemandLinks:
    """Report demand to the owners of engines, and use what they answer."""

    def __init__(
        self,
        *,
        neighbours: Neighbours,
        clock: Clock,
        fleet: Fleet,
        owners: Callable[[], Mapping[EngineId, EngineOwner]],
        state: RoutingState,
        places: EntryPlaces,
    ) -> None:
        self.neighbours = neighbours
        self.clock = clock
        self.fleet = fleet
        self.owners = owners
        self.state = state
        self.places = places
        self.reported_in_use: set[EngineId] = set()
        self.next_turn = 0
        self.soon: set[InstanceId] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        places.on_short = self.report_soon

    async def report_due(self) -> None:
        """Report the demand on the engines in use, and hear of some others.

        An instance without requests reports nothing, so that what it costs does
        not grow with the fleet.
        """
        in_use = self.in_use()
        # An engine that fell idle is reported once more, so that its owner knows.
        due = self.by_owner(in_use | self.reported_in_use)
        if in_use:
            due |= self.owner_in_turn()
        self.reported_in_use = in_use
        reports = (self.report(owner, names) for owner, names in due.items())
        await asyncio.gather(*reports)
        now = self.clock.monotonic()
        self.state.popularity.remove_idle(now)
        self.places.forget(self.fleet.is_live)

    def in_use(self) -> set[EngineId]:
        """Return the engines that have requests, or had some since the last report."""
        demand = self.places.demand()
        busy = {name for name, item in demand.items() if item.in_flight + item.waiting}
        return busy | set(self.state.directory.uses)

    def by_owner(self, engines: Iterable[EngineId]) -> dict[InstanceId, list[EngineId]]:
        """Return the engines of each owner that is known to live."""
        owned: dict[InstanceId, list[EngineId]] = {}
        for engine in engines:
            owner = self.fleet.owner_of(engine)
            if owner:
                owned.setdefault(owner, []).append(engine)
        return owned

    def owner_in_turn(self) -> dict[InstanceId, list[EngineId]]:
        """Return one owner with all its engines, another one each time."""
        owned = self.by_owner(EngineId(item.id) for item in self.fleet.engines())
        if not owned:
            return {}
        self.next_turn += 1
        owner = sorted(owned)[self.next_turn % len(owned)]
        return {owner: owned[owner]}

    async def report(self, owner: InstanceId, engines: list[EngineId]) -> None:
        """Report the demand on some engines to their owner."""
        report = self.state.directory.report(
            self.neighbours.instance, engines, self.places.demand()
        )
        if owner == self.neighbours.instance:
            result = await self.answer(report)
        else:
            url = f"{self.neighbours.url_of(owner)}/peer/demand"
            peers, limits = self.neighbours.peers, self.neighbours.limits
            result = await peers.ask(url, report, DemandAnswer, limits)
        match result:
            case Result(tag="ok", ok=answer):
                self.take(answer)
            case Result(error=failure):
                log.warning("demand_not_reported", owner=owner, reason=failure.message)

    def take(self, answer: DemandAnswer) -> None:
        """Use what an owner says about its engines."""
        for digest in answer.engines:
            self.state.directory.take(digest)
            self.places.set_places(EngineId(digest.engine), digest.places)

    def report_soon(self, engine: EngineId) -> None:
        """Report to the owner of an engine whose places are used up."""
        owner = self.fleet.owner_of(engine)
        if owner is None or owner in self.soon:
            return
        self.soon.add(owner)
        task = asyncio.create_task(self.report_later(owner))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def report_later(self, owner: InstanceId) -> None:
        """Report once for all the requests that come up short together."""
        await self.clock.sleep(SHORT_REPORT_DELAY)
        self.soon.discard(owner)
        engines = self.by_owner(self.in_use()).get(owner, [])
        await self.report(owner, engines)

    async def answer(self, report: DemandReport) -> Result[DemandAnswer, Failure]:
        """Use a holder's report, and describe the engines that it names."""
        now = self.clock.monotonic()
        holder = InstanceId(report.holder)
        owners = self.owners()
        digests = []
        for demand in report.engines:
            owner = owners.get(EngineId(demand.engine))
            if owner:
                take_demand(owner, holder, demand, now)
                digests.append(digest_of(owner, holder, now))
        return Ok(DemandAnswer(engines=digests))


def placement_routes(turns: LoadTurnLinks, demand: DemandLinks) -> list[PeerRoute[Any]]:
    """Return what the peer listener serves about placement."""
    return [
        PeerRoute("/peer/load-turns", LoadTurnRequest, turns.answer),
        PeerRoute("/peer/demand", DemandReport, demand.answer),
    ]
