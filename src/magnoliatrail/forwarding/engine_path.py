"""Requests to engines: get a batch slot from the owner, then relay the stream."""

import asyncio
from collections.abc import Collection

from tornado.httputil import HTTPHeaders

from magnoliatrail.accounts.accounts import ClientAccount
from magnoliatrail.forwarding.attempt import Attempt, AttemptOutcome
from magnoliatrail.forwarding.context import (
    NO_ROOM,
    ForwardingContext,
    RoutedRequest,
    break_off,
    log_attempt,
)
from magnoliatrail.forwarding.engine_slots import (
    MIN_TIME_LEFT,
    RETRY_AFTER,
    BatchSlot,
    EngineRequest,
    EngineSlots,
    NoBatchSlot,
)
from magnoliatrail.forwarding.event_times import EventTimes
from magnoliatrail.forwarding.head_check import SHUTDOWN_RETRY_AFTER, SHUTTING_DOWN
from magnoliatrail.forwarding.held_answers import (
    AnswerNotHeld,
    attempt_without_room,
    hold_answer,
)
from magnoliatrail.forwarding.request import CallerRequest
from magnoliatrail.forwarding.send_check import server_check
from magnoliatrail.forwarding.server_call import ForwardedRequest, send_attempt
from magnoliatrail.generated.cells import (
    RunOutcome,
)
from magnoliatrail.ids import PartId
from magnoliatrail.logs import EventLog
from magnoliatrail.memory_budget import HeldKind, Holding
from magnoliatrail.platform.request_headers import headers_for_server
from magnoliatrail.routing import quarantine as quarantine_rules
from magnoliatrail.routing.account_shares import engine_priority
from magnoliatrail.routing.crash_evidence import MAX_CRASH_DELAY

log = EventLog("forwarding")

# Limit on the attempts of a request that no engine started to run.
MAX_ATTEMPTS = 5

RUN_OUTCOMES = {
    AttemptOutcome.ANSWERED: RunOutcome.SERVED,
    AttemptOutcome.NOT_RUN: RunOutcome.NOT_RUN,
    AttemptOutcome.BROKEN: RunOutcome.FAILED,
    AttemptOutcome.INVALID: RunOutcome.FAILED,
    AttemptOutcome.TIMED_OUT: RunOutcome.SILENT,
}


class EnginePath:
    """Send requests to engines in batch slots granted by the cell's owner."""

    def __init__(self, context: ForwardingContext, slots: EngineSlots) -> None:
        self.context = context
        self.slots = slots

    async def serve(self, routed: RoutedRequest) -> None:
        """Relay an engine's stream to the caller, or answer with an error."""
        request = routed.request
        work = request.work
        if work is None:
            await request.answer_error(400, "the request names no model")
            return
        if await self.context.served_elsewhere(routed):
            return
        clock, budget = self.context.clock, self.context.budget(routed.service)
        budget.record_request(clock.monotonic())
        route = routed.route
        ends_at = routed.ends_at
        first_event_by = min(ends_at, request.received_at + route.first_event_timeout)
        engine_request = EngineRequest(routed, work, ends_at, first_event_by)
        repeats = False
        for number in range(1, MAX_ATTEMPTS + 1):
            slot = await self.find_slot(engine_request)
            if isinstance(slot, NoBatchSlot):
                await self.refuse(request, slot)
                return
            if engine_request.first_event_by - clock.monotonic() <= MIN_TIME_LEFT:
                self.slots.release(engine_request, slot, RunOutcome.CANCELLED)
                break
            if not self.context.in_flight.has_room(slot.server.id, len(request.body)):
                self.slots.release(engine_request, slot, RunOutcome.CANCELLED)
                await self.refuse(request, NoBatchSlot(NO_ROOM, RETRY_AFTER))
                return
            if repeats and not budget.try_acquire(clock.monotonic()):
                self.slots.release(engine_request, slot, RunOutcome.CANCELLED)
                log.info(
                    "retry_budget_exhausted", request=request.id, service=routed.service
                )
                break
            with Holding(self.context.memory, HeldKind.ANSWERS) as holding:
                attempt = await self.attempt(engine_request, slot, holding)
                log_attempt(routed, attempt, number)
                engine_request.attempts += 1
                if attempt.withheld is not None:
                    await attempt.withheld.send(request)
                    return
                if attempt.outcome is not AttemptOutcome.NOT_RUN:
                    await self.answer(routed, attempt)
                    return
            repeats = not attempt.choice_outdated
            if not attempt.sent and not attempt.choice_outdated:
                engine_request.avoid.append(slot.server.id)
                if await self.context.served_elsewhere(routed):
                    return
        await request.answer_error(503, "no engine took the request", RETRY_AFTER)

    async def find_slot(self, engine_request: EngineRequest) -> BatchSlot | NoBatchSlot:
        """Find a batch slot, unless the request's prompt is or gets quarantined."""
        quarantine = self.context.quarantine
        routed = engine_request.routed
        parts = routed.request.suspects
        if quarantine.refuses(parts):
            return self.quarantined(parts)
        try:
            async with (
                asyncio.timeout(None) as ending,
                asyncio.timeout(None) as timeout,
            ):
                with (
                    self.context.waiting.track(
                        ending,
                        lambda: self.context.answered_in_time(
                            routed.request, routed.route
                        ),
                    ),
                    quarantine.rules.waiting_request(timeout, parts),
                ):
                    slot = await self.slots.find(engine_request)
        except TimeoutError:
            if ending.expired():
                return NoBatchSlot(SHUTTING_DOWN, SHUTDOWN_RETRY_AFTER)
            if not timeout.expired():
                raise
            return self.quarantined(parts)
        if isinstance(slot, BatchSlot) and quarantine.refuses(parts, sending=True):
            self.slots.release(engine_request, slot, RunOutcome.CANCELLED)
            return self.quarantined(parts)
        return slot

    def quarantined(self, parts: Collection[PartId]) -> NoBatchSlot:
        """Return the refusal of a request that crashes servers, or may do so."""
        retry_after = self.context.quarantine.rules.retry_after(parts)
        return NoBatchSlot(quarantine_rules.REASON, retry_after)

    async def refuse(self, request: CallerRequest, slot: NoBatchSlot) -> None:
        """Answer that a request was not run."""
        log.info(
            "refused",
            request=request.id,
            resumes=request.resumes or "",
            reason=slot.reason,
            retry_after=slot.retry_after,
        )
        await request.answer_error(503, slot.reason, slot.retry_after)

    async def attempt(
        self, engine_request: EngineRequest, slot: BatchSlot, holding: Holding
    ) -> Attempt:
        """Send a request to its engine and relay the stream; hold an error's body."""
        request, route = engine_request.routed.request, engine_request.routed.route
        clock = self.context.clock
        sent_at = clock.monotonic()
        left = engine_request.ends_at - sent_at
        events = EventTimes(sent_at)
        # Whether the stream went on for too long to be the cause of a crash.
        known_sound = False

        async def head(status: int, headers: HTTPHeaders) -> None:
            request.name_server(slot.server)
            await request.start(status, headers)

        async def body(chunk: bytes) -> None:
            nonlocal known_sound
            if events.first is None:
                self.record_started(engine_request, slot)
            events.record(clock.monotonic())
            self.context.reach.signals.record_contact()
            if not known_sound and events.duration > MAX_CRASH_DELAY:
                known_sound = True
                self.context.quarantine.record_sound(request.suspects)
            await request.write(chunk)

        async def hold(size: int) -> None:
            await hold_answer(clock, holding, size)

        forwarded = ForwardedRequest(
            id=request.id,
            method=request.method,
            target=request.target,
            headers=headers_for_server(
                request.headers,
                slot.server,
                left,
                adapter_version=slot.adapter.version,
                priority=priority_at_engines(request.account, route.priority),
            ),
            body=request.body,
        )
        self.slots.record_running(engine_request, slot)
        outcome = RunOutcome.CANCELLED
        self.slots.in_flight[slot.server.id] += 1
        try:
            with (
                self.context.reach.awaiting_answer(),
                self.context.in_flight.hold(slot.server.id, len(request.body)),
            ):
                attempt = await send_attempt(
                    self.context.pool,
                    slot.server,
                    forwarded,
                    time_left=left,
                    only_recently_used=not route.idempotent,
                    head=head,
                    body=body,
                    hold=hold,
                    notice=self.context.apply_notice,
                    max_relayed_bytes=None,
                    check=server_check(self.context, engine_request.routed),
                    progress=engine_request.routed.event_progress(self.context.clock),
                )
            if not attempt.held_back:
                outcome = RUN_OUTCOMES[attempt.outcome]
            self.context.record_attempt(
                engine_request.routed, attempt, sent_at, known_sound=known_sound
            )
        except AnswerNotHeld:
            return attempt_without_room(slot.server)
        finally:
            self.slots.in_flight[slot.server.id] -= 1
            self.slots.release(engine_request, slot, outcome, events)
        attempt.first_event, attempt.longest_pause = events.first, events.longest_pause
        if events.first is not None:
            self.context.metrics.timing(
                "answer.first_event", sent_at + events.first - request.received_at
            )
        return attempt

    def record_started(self, engine_request: EngineRequest, slot: BatchSlot) -> None:
        """Record that a stream sent its first event."""
        if engine_request.link:
            engine_request.link.record_started(engine_request.key)
        if engine_request.routed.route.resumable:
            self.context.stream_versions.record(
                engine_request.routed.request.id,
                slot.server.software_version,
                service=engine_request.routed.service,
            )

    async def answer(self, routed: RoutedRequest, attempt: Attempt) -> None:
        """Finish the caller's answer according to the outcome of the attempt."""
        request = routed.request
        request.name_server(attempt.server)
        complete = attempt.outcome is AttemptOutcome.ANSWERED
        if request.answer_started:
            if complete:
                request.finish()
                return
            break_off(request, attempt)
            return
        if complete:
            await request.answer_complete(attempt.status, attempt.headers, attempt.body)
        elif attempt.outcome is AttemptOutcome.TIMED_OUT:
            await request.answer_error(504, attempt.reason)
        else:
            await request.answer_error(502, attempt.reason)


def priority_at_engines(account: ClientAccount | None, route_priority: int) -> int:
    """Return the priority that an engine gets, that of the route without an account."""
    if account is None:
        return route_priority
    return engine_priority(account.priority, route_priority)
