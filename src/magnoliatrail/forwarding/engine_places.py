"""Places on engines: from the owner of a cell, or chosen without one."""

from collections import Counter
from dataclasses import dataclass, field
from datetime import timedelta

from magnoliatrail.backends import BackendServer, LoadedAdapter, ServerState
from magnoliatrail.cells.fleet_cells import FleetCells
from magnoliatrail.cells.lease import Identity
from magnoliatrail.cells.link import OwnerLink
from magnoliatrail.forwarding.context import (
    ENDING,
    RETRY_STOPPING,
    ForwardingParts,
    RoutedRequest,
)
from magnoliatrail.forwarding.event_times import EventTimes
from magnoliatrail.generated.cells import (
    EndedRun,
    RunningRequest,
    RunOutcome,
    SlotAnswer,
    SlotDecision,
    SlotRequest,
)
from magnoliatrail.ids import ServerId
from magnoliatrail.logs import EventLog
from magnoliatrail.platform.request_headers import ModelWork

log = EventLog("forwarding")

LEAST_TIME = timedelta(milliseconds=50)
RETRY_AFTER = timedelta(milliseconds=500)
# Without an owner, a request waits this share of its goal for one to answer.
OWNER_PATIENCE = 0.8
ASK_AGAIN = timedelta(milliseconds=60)


@dataclass
class EngineRequest:
    """A request to an engine on its way through places and attempts."""

    routed: RoutedRequest
    work: ModelWork
    ends_at: timedelta
    # The caller leaves if no event came by then.
    first_event_by: timedelta
    avoid: list[str] = field(default_factory=list)
    tries: int = 0
    # The cell that was asked last.
    link: OwnerLink | None = None

    @property
    def key(self) -> str:
        """Return the id under which the owner knows this try."""
        return f"{self.routed.request.id}.{self.tries}"


@dataclass(frozen=True, slots=True)
class Place:
    """An engine that may get a request, and how it was found."""

    server: BackendServer
    adapter: LoadedAdapter
    by_owner: bool


@dataclass(frozen=True, slots=True)
class NoPlace:
    """Why there is no place, and when to come back."""

    reason: str
    retry_after: timedelta


class EnginePlaces:
    """Find places for requests, and tell the owners how they are used."""

    def __init__(
        self, parts: ForwardingParts, cells: FleetCells, identity: Identity
    ) -> None:
        self.parts = parts
        self.cells = cells
        self.identity = identity
        self.in_flight: Counter[ServerId] = Counter()

    async def find(self, asking: EngineRequest) -> Place | NoPlace:
        """Ask the owner for a place, or choose an engine without it."""
        clock = self.parts.clock
        goal = asking.routed.request.received_at + asking.routed.route.goal
        patience_until = clock.monotonic() + asking.routed.route.goal * OWNER_PATIENCE
        while asking.first_event_by - clock.monotonic() > LEAST_TIME:
            if self.parts.refuses_streams:
                return NoPlace(ENDING, RETRY_STOPPING)
            asking.link = self.best_link(asking)
            answer = await self.ask_owner(asking, goal) if asking.link else None
            await self.parts.ensure_fresh()
            if asking.first_event_by - clock.monotonic() <= LEAST_TIME:
                break
            if answer is not None:
                found = self.place_of(asking, answer)
                if found is not None:
                    return found
                continue
            if asking.link is None or not asking.link.is_alive:
                place = self.choose_alone(asking)
                if place:
                    return place
                if clock.monotonic() > patience_until:
                    return NoPlace("no owner of the engines answers", RETRY_AFTER * 2)
            await clock.sleep(ASK_AGAIN)
        return NoPlace("no place in the time that was left", RETRY_AFTER)

    def best_link(self, asking: EngineRequest) -> OwnerLink | None:
        """Return the first cell for the adapter whose owner answers, else the first."""
        if asking.link and asking.link.is_alive:
            return asking.link
        named = asking.work.adapter
        links = self.cells.links_for(f"{named.model}/{named.adapter}")
        alive = (link for link in links if link.is_alive)
        return next(alive, links[0] if links else None)

    async def ask_owner(
        self, asking: EngineRequest, goal: timedelta
    ) -> SlotAnswer | None:
        """Ask the owner once."""
        assert asking.link is not None, "a cell is chosen first"
        now = self.parts.clock.monotonic()
        adapter = self.required(asking)
        message = SlotRequest(
            cell=asking.link.cell,
            instance=self.identity.instance,
            incarnation=self.identity.incarnation,
            request=asking.key,
            service=asking.routed.service,
            model=adapter.model,
            adapter=adapter.adapter,
            version=adapter.version,
            prompt_tokens=asking.work.prompt_tokens,
            output_tokens=asking.work.output_tokens,
            priority=asking.routed.route.priority,
            goal_left_ms=(goal - now).total_seconds() * 1000,
            time_left_ms=(asking.first_event_by - now).total_seconds() * 1000,
            deadline_left_ms=(asking.ends_at - now).total_seconds() * 1000,
            avoid=asking.avoid,
        )
        try:
            return await asking.link.place(message)
        except BaseException:
            # The caller left while its request waited.
            self.end_key(asking, "", RunOutcome.CANCELLED)
            raise

    def required(self, asking: EngineRequest) -> LoadedAdapter:
        """Return the adapter of a request in the version that is required now."""
        named = asking.work.adapter
        version = self.parts.view.required_version(named) if named.adapter else 0
        return LoadedAdapter(named.model, named.adapter, version)

    def place_of(
        self, asking: EngineRequest, answer: SlotAnswer
    ) -> Place | NoPlace | None:
        """Return what an answer of the owner means; None to ask again."""
        if answer.state is SlotDecision.REFUSED:
            after = timedelta(milliseconds=answer.retry_after_ms)
            return NoPlace(answer.reason, after)
        if answer.state is not SlotDecision.GRANTED:
            return None
        server = self.parts.view.servers.get(ServerId(answer.server))
        named = asking.work.adapter
        adapter = LoadedAdapter(named.model, named.adapter, answer.version)
        if (
            server is None
            or server.born != answer.born
            or server.state is not ServerState.READY
        ):
            # This instance does not know the engine yet, or knows that it leaves: an
            # owner that is cut off from the store may not.
            log.info(
                "place_unknown",
                request=asking.key,
                engine=answer.server,
                state=server.state if server else "",
            )
            self.end_key(asking, answer.server, RunOutcome.CANCELLED)
            asking.avoid.append(answer.server)
            asking.tries += 1
            return None
        if answer.version < self.required(asking).version:
            self.end_key(asking, answer.server, RunOutcome.CANCELLED)
            asking.tries += 1
            return None
        return Place(server, adapter, by_owner=True)

    def choose_alone(self, asking: EngineRequest) -> Place | None:
        """Choose an engine that has the adapter, as far as this instance knows."""
        adapter = self.required(asking)
        known = {
            engine.server: engine
            for member in self.cells.members.values()
            for engine in member.link.engines
        }
        candidates = []
        for server in self.parts.view.usable(asking.routed.service):
            held = {str(item) for model in server.models for item in model.adapters}
            summary = known.get(server.id)
            if summary and summary.born == server.born:
                held |= set(summary.adapters)
            models = {model.name for model in server.models}
            has_it = (
                str(adapter) in held if adapter.adapter else adapter.model in models
            )
            if has_it and server.id not in asking.avoid:
                candidates.append(server)
        if not candidates:
            return None
        server = min(candidates, key=lambda item: self.in_flight[item.id])
        log.info("place_chosen_alone", request=asking.key, engine=server.id)
        return Place(server, adapter, by_owner=False)

    def note_running(self, asking: EngineRequest, place: Place) -> None:
        """Tell the owner that a request holds its place."""
        if asking.link is None:
            return
        asking.link.note_running(
            RunningRequest(
                request=asking.key,
                server=place.server.id,
                model=place.adapter.model,
                adapter=place.adapter.adapter,
                version=place.adapter.version,
                prompt_tokens=asking.work.prompt_tokens,
                output_tokens=asking.work.output_tokens,
                started=False,
            )
        )

    def end(
        self,
        asking: EngineRequest,
        place: Place,
        outcome: RunOutcome,
        events: EventTimes | None = None,
    ) -> None:
        """Tell the owner that a place is free again."""
        self.end_key(asking, place.server.id, outcome, events)

    def end_key(
        self,
        asking: EngineRequest,
        server: str,
        outcome: RunOutcome,
        events: EventTimes | None = None,
    ) -> None:
        """Tell the owner that the place of one try is free again."""
        if asking.link is None:
            return
        first = events.first if events and events.first else timedelta()
        pause = events.longest_pause if events else timedelta()
        asking.link.record_ended(
            EndedRun(
                request=asking.key,
                server=server,
                outcome=outcome,
                first_event_ms=first.total_seconds() * 1000,
                longest_pause_ms=pause.total_seconds() * 1000,
            )
        )
