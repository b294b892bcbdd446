"""Messages between instances about demand and about the load rate."""

import asyncio
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

from expression import Ok, Result

from magnoliatrail.clock import Clock
from magnoliatrail.engines.digest import apply_demand, digest_of
from magnoliatrail.engines.fleet_load_limiter import FleetLoadLimiter
from magnoliatrail.engines.owner import EngineOwner
from magnoliatrail.entry.batch_slots import EntryBatchSlots
from magnoliatrail.errors import Failure
from magnoliatrail.generated.permits import (
    DemandAnswer,
    DemandReport,
    LoadStartAnswer,
    LoadStartRequest,
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

COORDINATOR_KEY = "load-turns"
SCHEDULED_REPORT_DELAY = timedelta(milliseconds=20)


@dataclass(frozen=True)
class PeerDirectory:
    """List the live instances, and hold what is needed to call a peer."""

    instance: InstanceId
    live_instances: Callable[[], list[InstanceId]]
    url_of: Callable[[InstanceId], str]
    peers: PeerClient
    limits: CallLimits


class LoadRateCoordination:
    """Limit the fleet's load rate through one coordinator.

    Without an answer from it, this instance applies its own share of the limits.
    """

    def __init__(
        self,
        peer_directory: PeerDirectory,
        clock: Clock,
        limits: Callable[[], LoadLimits],
    ) -> None:
        self.peer_directory = peer_directory
        self.fleet_limiter = FleetLoadLimiter(clock, limits)
        self.local_limiter = FleetLoadLimiter(
            clock, lambda: limits().share(max(1, len(peer_directory.live_instances())))
        )

    def coordinator(self) -> InstanceId:
        """Return the live instance that is the load rate coordinator."""
        order = ranked(COORDINATOR_KEY, self.peer_directory.live_instances())
        return InstanceId(order[0]) if order else self.peer_directory.instance

    async def acquire(self, value: float) -> bool:
        """Wait until a load may start; on False, the caller should ask again."""
        coordinator = self.coordinator()
        if coordinator == self.peer_directory.instance:
            return await self.fleet_limiter.acquire(value)
        request = LoadStartRequest(instance=self.peer_directory.instance, value=value)
        url = f"{self.peer_directory.url_of(coordinator)}/peer/load-turns"
        peers, limits = self.peer_directory.peers, self.peer_directory.limits
        match await peers.ask(url, request, LoadStartAnswer, limits):
            case Result(tag="ok", ok=answer):
                return answer.granted
            case Result(error=failure):
                log.warning(
                    "load_coordinator_unavailable",
                    coordinator=coordinator,
                    reason=failure.message,
                )
                return await self.local_limiter.acquire(value)

    async def answer(
        self, request: LoadStartRequest
    ) -> Result[LoadStartAnswer, Failure]:
        """Answer a peer's request for permission to start a load."""
        return Ok(
            LoadStartAnswer(granted=await self.fleet_limiter.acquire(request.value))
        )


class DemandExchange:
    """Exchange demand reports and engine digests with the owners of engines."""

    def __init__(
        self,
        *,
        peer_directory: PeerDirectory,
        clock: Clock,
        fleet: Fleet,
        owners: Callable[[], Mapping[EngineId, EngineOwner]],
        state: RoutingState,
        batch_slots: EntryBatchSlots,
    ) -> None:
        self.peer_directory = peer_directory
        self.clock = clock
        self.fleet = fleet
        self.owners = owners
        self.state = state
        self.batch_slots = batch_slots
        self.reported_in_use: set[EngineId] = set()
        self.owner_rotation = 0
        self.scheduled_reports: set[InstanceId] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        batch_slots.on_queued = self.schedule_report

    async def report_due(self) -> None:
        """Report the demand on the engines in use, and fetch some other digests.

        An instance without requests reports nothing, so that its cost does not grow
        with the fleet.
        """
        in_use = self.in_use()
        # An engine that became idle is reported once more, to reset its demand.
        due = self.by_owner(in_use | self.reported_in_use)
        if in_use:
            due |= self.next_owner()
        self.reported_in_use = in_use
        reports = (self.report(owner, names) for owner, names in due.items())
        await asyncio.gather(*reports)
        now = self.clock.monotonic()
        self.state.popularity.remove_idle(now)
        self.batch_slots.remove_unused_engines(self.fleet.is_live)

    def in_use(self) -> set[EngineId]:
        """Return the engines that have requests, or had some since the last report."""
        demand = self.batch_slots.demand()
        busy = {name for name, item in demand.items() if item.in_flight + item.waiting}
        return busy | set(self.state.directory.uses)

    def by_owner(self, engines: Iterable[EngineId]) -> dict[InstanceId, list[EngineId]]:
        """Group engines by their live owners."""
        owned: dict[InstanceId, list[EngineId]] = {}
        for engine in engines:
            owner = self.fleet.owner_of(engine)
            if owner:
                owned.setdefault(owner, []).append(engine)
        return owned

    def next_owner(self) -> dict[InstanceId, list[EngineId]]:
        """Return one owner with all its engines, in rotation."""
        owned = self.by_owner(EngineId(item.id) for item in self.fleet.engines())
        if not owned:
            return {}
        self.owner_rotation += 1
        owner = sorted(owned)[self.owner_rotation % len(owned)]
        return {owner: owned[owner]}

    async def report(self, owner: InstanceId, engines: list[EngineId]) -> None:
        """Report the demand on some engines to their owner."""
        report = self.state.directory.report(
            self.peer_directory.instance, engines, self.batch_slots.demand()
        )
        if owner == self.peer_directory.instance:
            result = await self.answer(report)
        else:
            url = f"{self.peer_directory.url_of(owner)}/peer/demand"
            peers, limits = self.peer_directory.peers, self.peer_directory.limits
            result = await peers.ask(url, report, DemandAnswer, limits)
        match result:
            case Result(tag="ok", ok=answer):
                self.apply_answer(answer)
            case Result(error=failure):
                log.warning("demand_not_reported", owner=owner, reason=failure.message)

    def apply_answer(self, answer: DemandAnswer) -> None:
        """Apply the digests of an owner's engines."""
        for digest in answer.engines:
            self.state.directory.apply(digest)
            self.batch_slots.set_batch_slots(EngineId(digest.engine), digest.places)

    def schedule_report(self, engine: EngineId) -> None:
        """Schedule a report to the owner of an engine without free batch slots."""
        owner = self.fleet.owner_of(engine)
        if owner is None or owner in self.scheduled_reports:
            return
        self.scheduled_reports.add(owner)
        task = asyncio.create_task(self.report_after_delay(owner))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def report_after_delay(self, owner: InstanceId) -> None:
        """Report once for all requests that lack a slot within a short time."""
        await self.clock.sleep(SCHEDULED_REPORT_DELAY)
        self.scheduled_reports.discard(owner)
        engines = self.by_owner(self.in_use()).get(owner, [])
        await self.report(owner, engines)

    async def answer(self, report: DemandReport) -> Result[DemandAnswer, Failure]:
        """Apply a holder's report, and return digests of the engines that it names."""
        now = self.clock.monotonic()
        holder = InstanceId(report.holder)
        owners = self.owners()
        digests = []
        for demand in report.engines:
            owner = owners.get(EngineId(demand.engine))
            if owner:
                apply_demand(owner, holder, demand, now)
                digests.append(digest_of(owner, holder, now))
        return Ok(DemandAnswer(engines=digests))


def placement_routes(
    load_rate: LoadRateCoordination, demand: DemandExchange
) -> list[PeerRoute[Any]]:
    """Return the peer listener's routes for placement."""
    return [
        PeerRoute("/peer/load-turns", LoadStartRequest, load_rate.answer),
        PeerRoute("/peer/demand", DemandReport, demand.answer),
    ]
