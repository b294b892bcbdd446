"""Requests to engines: a place from the owner, then the stream as it comes."""

from tornado.httputil import HTTPHeaders

from magnoliatrail.forwarding.context import (
    ForwardingParts,
    RoutedRequest,
    log_attempt,
)
from magnoliatrail.forwarding.engine_places import (
    LEAST_TIME,
    RETRY_AFTER,
    EnginePlaces,
    EngineRequest,
    NoPlace,
    Place,
)
from magnoliatrail.forwarding.event_times import EventTimes
from magnoliatrail.forwarding.server_call import (
    Attempt,
    AttemptOutcome,
    Forwarded,
    attempt_at,
)
from magnoliatrail.generated.cells import (
    RunOutcome,
)
from magnoliatrail.logs import EventLog
from magnoliatrail.platform.request_headers import for_server

log = EventLog("forwarding")

# Sends of a request that no engine began to run.
MOST_TRIES = 5

RUN_OUTCOMES = {
    AttemptOutcome.ANSWERED: RunOutcome.SERVED,
    AttemptOutcome.NOT_RUN: RunOutcome.NOT_RUN,
    AttemptOutcome.BROKEN: RunOutcome.FAILED,
    AttemptOutcome.INVALID: RunOutcome.FAILED,
    AttemptOutcome.TIMED_OUT: RunOutcome.SILENT,
}


class EnginePath:
    """Send requests to engines under places of the cell's owner."""

    def __init__(self, parts: ForwardingParts, places: EnginePlaces) -> None:
        self.parts = parts
        self.places = places

    async def serve(self, routed: RoutedRequest) -> None:
        """Answer a request by an engine's stream, or say why there is none."""
        request = routed.request
        work = request.work
        if work is None:
            await request.answer_error(400, "the request names no model")
            return
        clock, budget = self.parts.clock, self.parts.budget(routed.service)
        budget.note_request(clock.monotonic())
        route = routed.route
        ends_at = routed.ends_at
        first_event_by = min(ends_at, request.received_at + route.first_event_timeout)
        asking = EngineRequest(routed, work, ends_at, first_event_by)
        for number in range(1, MOST_TRIES + 1):
            place = await self.places.find(asking)
            if isinstance(place, NoPlace):
                log.info(
                    "refused",
                    request=request.id,
                    reason=place.reason,
                    retry_after=place.retry_after,
                )
                await request.answer_error(503, place.reason, place.retry_after)
                return
            if asking.first_event_by - clock.monotonic() <= LEAST_TIME:
                self.places.end(asking, place, RunOutcome.CANCELLED)
                break
            if number > 1 and not budget.take(clock.monotonic()):
                self.places.end(asking, place, RunOutcome.CANCELLED)
                log.info("repeat_withheld", request=request.id, service=routed.service)
                break
            attempt = await self.attempt(asking, place)
            log_attempt(routed, attempt, number)
            asking.tries += 1
            if attempt.outcome is not AttemptOutcome.NOT_RUN:
                await self.answer(routed, attempt)
                return
            if not attempt.sent:
                asking.avoid.append(place.server.id)
        await request.answer_error(503, "no engine took the request", RETRY_AFTER)

    async def attempt(self, asking: EngineRequest, place: Place) -> Attempt:
        """Send a request to its engine and pass the stream on."""
        request, route = asking.routed.request, asking.routed.route
        clock = self.parts.clock
        sent_at = clock.monotonic()
        left = asking.ends_at - sent_at
        events = EventTimes(sent_at)

        async def head(status: int, headers: HTTPHeaders) -> None:
            await request.start(status, headers)

        async def body(chunk: bytes) -> None:
            if events.first is None and asking.link:
                asking.link.note_started(asking.key)
            events.note(clock.monotonic())
            await request.write(chunk)

        forwarded = Forwarded(
            id=request.id,
            method=request.method,
            target=request.target,
            headers=for_server(
                request.headers,
                place.server,
                left,
                adapter_version=place.adapter.version,
                priority=route.priority,
            ),
            body=request.body,
        )
        self.places.note_running(asking, place)
        outcome = RunOutcome.CANCELLED
        self.places.in_flight[place.server.id] += 1
        try:
            attempt = await attempt_at(
                self.parts.pool,
                place.server,
                forwarded,
                time_left=left,
                only_young=not route.idempotent,
                head=head,
                body=body,
            )
            outcome = RUN_OUTCOMES[attempt.outcome]
        finally:
            self.places.in_flight[place.server.id] -= 1
            self.places.end(asking, place, outcome, events)
        attempt.first_event, attempt.longest_pause = events.first, events.longest_pause
        if events.first is not None:
            self.parts.metrics.timing(
                "answer.first_event", sent_at + events.first - request.received_at
            )
        return attempt

    async def answer(self, routed: RoutedRequest, attempt: Attempt) -> None:
        """End the answer by what the attempt brought."""
        request = routed.request
        whole = attempt.outcome is AttemptOutcome.ANSWERED
        if request.answer_started:
            if whole:
                request.finish()
                return
            log.warning(
                "answer_broken_off",
                request=request.id,
                server=attempt.server.id,
                outcome=attempt.outcome,
                reason=attempt.reason,
            )
            request.abort()
            return
        if whole:
            await request.answer_whole(attempt.status, attempt.headers, attempt.body)
        elif attempt.outcome is AttemptOutcome.TIMED_OUT:
            await request.answer_error(504, attempt.reason)
        else:
            await request.answer_error(502, attempt.reason)
