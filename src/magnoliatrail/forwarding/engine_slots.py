"""Batch slots on engines, granted by a cell's owner or chosen without one."""

from collections import Counter
from dataclasses import dataclass, field
from datetime import timedelta

import msgspec

from magnoliatrail.accounts.accounts import ClientAccount, Quota, QuotaUnit
from magnoliatrail.backends import BackendServer, LoadedAdapter, ServerState
from magnoliatrail.cells.fleet_cells import FleetCells
from magnoliatrail.cells.lease import Identity
from magnoliatrail.cells.link import OwnerLink
from magnoliatrail.forwarding.context import ForwardingContext, RoutedRequest
from magnoliatrail.forwarding.event_times import EventTimes
from magnoliatrail.forwarding.head_check import (
    OUTDATED,
    OUTDATED_RETRY_AFTER,
    SHUTDOWN_RETRY_AFTER,
    SHUTTING_DOWN,
)
from magnoliatrail.generated.cells import (
    EndedRun,
    RunningRequest,
    RunOutcome,
    SlotAnswer,
    SlotDecision,
    SlotRequest,
)
from magnoliatrail.ids import CellId, ServerId
from magnoliatrail.logs import EventLog
from magnoliatrail.platform.request_headers import ModelWork

log = EventLog("forwarding")

MIN_TIME_LEFT = timedelta(milliseconds=50)
RETRY_AFTER = timedelta(milliseconds=500)
# An engine of the version that began a stream may be started again.
VERSION_RETRY_AFTER = timedelta(seconds=1)
# Fraction of its latency goal for which a request waits for some owner to answer.
OWNER_WAIT_FRACTION = 0.8
OWNER_RETRY_DELAY = timedelta(milliseconds=60)


@dataclass
class EngineRequest:
    """A request to an engine, with the state of its attempts."""

    routed: RoutedRequest
    work: ModelWork
    ends_at: timedelta
    # The caller disconnects if it has no event by then.
    first_event_by: timedelta
    avoid: list[str] = field(default_factory=list)
    attempts: int = 0
    # Link to the owner that received the last slot request.
    link: OwnerLink | None = None

    @property
    def key(self) -> str:
        """Return the id of the current attempt in messages to the owner."""
        return f"{self.routed.request.id}.{self.attempts}"


@dataclass(frozen=True, slots=True)
class BatchSlot:
    """An engine and adapter version for one request, and who chose them."""

    server: BackendServer
    adapter: LoadedAdapter
    granted_by_owner: bool


@dataclass(frozen=True, slots=True)
class NoBatchSlot:
    """Why no batch slot was found, and when the caller may retry."""

    reason: str
    retry_after: timedelta


class EngineSlots:
    """Find batch slots for requests, and report their use to the owners."""

    def __init__(
        self, context: ForwardingContext, cells: FleetCells, identity: Identity
    ) -> None:
        self.context = context
        self.cells = cells
        self.identity = identity
        self.in_flight: Counter[ServerId] = Counter()

    async def find(self, engine_request: EngineRequest) -> BatchSlot | NoBatchSlot:
        """Request a batch slot from the owner, or choose an engine if none answers."""
        clock = self.context.clock
        goal = (
            engine_request.routed.request.received_at + engine_request.routed.route.goal
        )
        owner_wait_until = (
            clock.monotonic() + engine_request.routed.route.goal * OWNER_WAIT_FRACTION
        )
        while engine_request.first_event_by - clock.monotonic() > MIN_TIME_LEFT:
            if self.context.refuses_streams:
                return NoBatchSlot(SHUTTING_DOWN, SHUTDOWN_RETRY_AFTER)
            if self.lacks_software_version(engine_request):
                return NoBatchSlot(
                    "no engine has the software version that began the stream",
                    VERSION_RETRY_AFTER,
                )
            accepts_in = self.context.view.accepts_in(engine_request.routed.service)
            if accepts_in:
                return NoBatchSlot("all engines refuse requests", accepts_in)
            engine_request.link = self.best_link(engine_request)
            answer = (
                await self.ask_owner(engine_request, goal)
                if engine_request.link
                else None
            )
            list_fresh = await self.context.ensure_list_fresh()
            if engine_request.first_event_by - clock.monotonic() <= MIN_TIME_LEFT:
                break
            if not list_fresh:
                if answer is not None and answer.state is SlotDecision.GRANTED:
                    self.release_attempt(
                        engine_request, answer.server, RunOutcome.CANCELLED
                    )
                return NoBatchSlot(OUTDATED, OUTDATED_RETRY_AFTER)
            if answer is not None:
                found = self.slot_from_answer(engine_request, answer)
                if found is not None:
                    return found
                continue
            if engine_request.link is None or not engine_request.link.is_alive:
                slot = self.choose_without_owner(engine_request)
                if slot:
                    return slot
                if clock.monotonic() > owner_wait_until:
                    return NoBatchSlot(
                        "no owner of the engines answers", RETRY_AFTER * 2
                    )
            await clock.sleep(OWNER_RETRY_DELAY)
        return NoBatchSlot("no place in the time that was left", RETRY_AFTER)

    def best_link(self, engine_request: EngineRequest) -> OwnerLink | None:
        """Return the link to the first cell with a live owner, else to the first."""
        if engine_request.link and engine_request.link.is_alive:
            return engine_request.link
        named = engine_request.work.adapter
        links = self.cells.links_for(f"{named.model}/{named.adapter}")
        if engine_request.routed.software_version:
            cells = self.version_cells(engine_request)
            links = [link for link in links if link.cell in cells]
        alive = (link for link in links if link.is_alive)
        return next(alive, links[0] if links else None)

    def lacks_software_version(self, engine_request: EngineRequest) -> bool:
        """Return whether no usable engine has the software version of a request."""
        required = engine_request.routed.software_version
        if not required or not self.context.view.lists_servers:
            return False
        usable = self.context.view.usable(engine_request.routed.service)
        return not any(server.has_software_version(required) for server in usable)

    def version_cells(self, engine_request: EngineRequest) -> set[CellId]:
        """Return the cells with an engine of the request's software version."""
        return self.cells.cells_with_version(
            engine_request.routed.service, engine_request.routed.software_version
        )

    def refusing_engines(self, engine_request: EngineRequest) -> list[str]:
        """Return the usable engines that want no requests from this instance now."""
        view = self.context.view
        return [
            server.id
            for server in view.usable(engine_request.routed.service)
            if view.refusals.refuses(server)
        ]

    async def ask_owner(
        self, engine_request: EngineRequest, goal: timedelta
    ) -> SlotAnswer | None:
        """Send one slot request to the owner."""
        assert engine_request.link is not None, "slot request before a cell was chosen"
        now = self.context.clock.monotonic()
        adapter = self.required(engine_request)
        message = SlotRequest(
            cell=engine_request.link.cell,
            instance=self.identity.instance,
            incarnation=self.identity.incarnation,
            request=engine_request.key,
            service=engine_request.routed.service,
            model=adapter.model,
            adapter=adapter.adapter,
            version=adapter.version,
            prompt_tokens=engine_request.work.prompt_tokens,
            output_tokens=engine_request.work.output_tokens,
            priority=engine_request.routed.route.priority,
            goal_left_ms=(goal - now).total_seconds() * 1000,
            time_left_ms=(engine_request.first_event_by - now).total_seconds() * 1000,
            deadline_left_ms=(engine_request.ends_at - now).total_seconds() * 1000,
            avoid=[*engine_request.avoid, *self.refusing_engines(engine_request)],
            software_version=engine_request.routed.software_version,
        )
        account = engine_request.routed.request.account
        if account is not None:
            message = with_account(message, account)
        try:
            return await engine_request.link.request_slot(message)
        except BaseException:
            # The caller disconnected while its request waited.
            self.release_attempt(engine_request, "", RunOutcome.CANCELLED)
            raise

    def required(self, engine_request: EngineRequest) -> LoadedAdapter:
        """Return the adapter of a request, at the currently required version."""
        named = engine_request.work.adapter
        version = self.context.view.required_version(named) if named.adapter else 0
        return LoadedAdapter(named.model, named.adapter, version)

    def slot_from_answer(
        self, engine_request: EngineRequest, answer: SlotAnswer
    ) -> BatchSlot | NoBatchSlot | None:
        """Convert the owner's answer; None means: send a new slot request."""
        if answer.state is SlotDecision.REFUSED:
            after = timedelta(milliseconds=answer.retry_after_ms)
            return NoBatchSlot(answer.reason, after)
        if answer.state is not SlotDecision.GRANTED:
            return None
        server = self.context.view.servers.get(ServerId(answer.server))
        named = engine_request.work.adapter
        adapter = LoadedAdapter(named.model, named.adapter, answer.version)
        if (
            server is None
            or server.born != answer.born
            or server.state is not ServerState.READY
            or not server.has_software_version(engine_request.routed.software_version)
            or self.context.view.refusals.refuses(server)
        ):
            # The engine is not in this instance's view yet, it is leaving (an owner
            # that is cut off from the store still grants slots on it), or it has
            # refused another request since.
            log.info(
                "slot_on_unusable_engine",
                request=engine_request.key,
                engine=answer.server,
                state=server.state if server else "",
            )
            self.release_attempt(engine_request, answer.server, RunOutcome.CANCELLED)
            engine_request.avoid.append(answer.server)
            engine_request.attempts += 1
            return None
        if answer.version < self.required(engine_request).version:
            self.release_attempt(engine_request, answer.server, RunOutcome.CANCELLED)
            engine_request.attempts += 1
            return None
        return BatchSlot(server, adapter, granted_by_owner=True)

    def choose_without_owner(self, engine_request: EngineRequest) -> BatchSlot | None:
        """Choose the least busy engine that has the adapter, without an owner.

        Uses this instance's view of the servers and the engine summaries of cell
        members.
        """
        adapter = self.required(engine_request)
        known = {
            engine.server: engine
            for member in self.cells.members.values()
            for engine in member.link.engines
        }
        candidates = []
        for server in self.context.view.accepting(engine_request.routed.service):
            held = {str(item) for model in server.models for item in model.adapters}
            summary = known.get(server.id)
            if summary and summary.born == server.born:
                held |= set(summary.adapters)
            models = {model.name for model in server.models}
            has_adapter = (
                str(adapter) in held if adapter.adapter else adapter.model in models
            )
            if (
                has_adapter
                and self.context.paces.may_send(server)
                and server.id not in engine_request.avoid
                and server.has_software_version(engine_request.routed.software_version)
            ):
                candidates.append(server)
        if not candidates:
            return None
        server = min(candidates, key=lambda item: self.in_flight[item.id])
        self.context.paces.record_sent(server)
        log.info(
            "engine_chosen_without_owner", request=engine_request.key, engine=server.id
        )
        return BatchSlot(server, adapter, granted_by_owner=False)

    def record_running(self, engine_request: EngineRequest, slot: BatchSlot) -> None:
        """Report to the owner that a request occupies its slot."""
        if engine_request.link is None:
            return
        engine_request.link.record_running(
            RunningRequest(
                request=engine_request.key,
                server=slot.server.id,
                model=slot.adapter.model,
                adapter=slot.adapter.adapter,
                version=slot.adapter.version,
                prompt_tokens=engine_request.work.prompt_tokens,
                output_tokens=engine_request.work.output_tokens,
                started=False,
            )
        )

    def release(
        self,
        engine_request: EngineRequest,
        slot: BatchSlot,
        outcome: RunOutcome,
        events: EventTimes | None = None,
    ) -> None:
        """Report to the owner that a slot is free again."""
        self.release_attempt(engine_request, slot.server.id, outcome, events)

    def release_attempt(
        self,
        engine_request: EngineRequest,
        server: str,
        outcome: RunOutcome,
        events: EventTimes | None = None,
    ) -> None:
        """Report to the owner that the slot of one attempt is free again."""
        if engine_request.link is None:
            return
        first = events.first if events and events.first else timedelta()
        pause = events.longest_pause if events else timedelta()
        usual = events.usual_pause if events else timedelta()
        engine_request.link.record_ended(
            EndedRun(
                request=engine_request.key,
                server=server,
                outcome=outcome,
                first_event_ms=first.total_seconds() * 1000,
                longest_pause_ms=pause.total_seconds() * 1000,
                usual_pause_ms=usual.total_seconds() * 1000,
            )
        )


def with_account(message: SlotRequest, account: ClientAccount) -> SlotRequest:
    """Return a slot request that names the account of the caller's request."""
    return msgspec.structs.replace(
        message,
        account=account.name,
        account_priority=account.priority,
        account_rate=tokens_per_second(account.quota),
    )


def tokens_per_second(quota: Quota | None) -> float:
    """Return the rate of a quota in tokens, 0 without a limit."""
    if quota is None:
        return 0.0
    if quota.unit is QuotaUnit.REQUESTS:
        # The rates of accounts are compared, so they need one unit.
        return quota.per_second * quota.plain_tokens
    return quota.per_second
