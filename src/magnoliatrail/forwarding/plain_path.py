"""Requests to plain services: the server with the shortest queue, and repeats."""

from collections import Counter
from dataclasses import dataclass
from datetime import timedelta

from tornado.httputil import HTTPHeaders

from magnoliatrail.backends import BackendServer
from magnoliatrail.forwarding.context import (
    ForwardingParts,
    RoutedRequest,
    log_attempt,
)
from magnoliatrail.forwarding.server_call import (
    Attempt,
    AttemptOutcome,
    Forwarded,
    attempt_at,
)
from magnoliatrail.ids import ServerId
from magnoliatrail.logs import EventLog
from magnoliatrail.platform.request_headers import for_server
from magnoliatrail.routes import RouteKind

log = EventLog("forwarding")

HTTP_SERVER_ERROR = 500
# A failure weighs as much as so many requests in flight, and fades with time.
FAILURE_WEIGHT = 6.0
FAILURE_FADES = timedelta(seconds=3)
# Tries of a request that no server began to run.
MOST_TRIES = 4
# A repeat must have at least this long for its answer.
LEAST_TIME = timedelta(milliseconds=30)
# A safe request without an answer is asked elsewhere after so many goals.
PATIENCE_GOALS = 1.5
RETRY_AFTER = timedelta(milliseconds=250)


@dataclass(slots=True)
class FailureScore:
    """How badly a server failed of late."""

    score: float = 0.0
    at: timedelta = timedelta()

    def now(self, now: timedelta) -> float:
        """Return the score, faded."""
        faded: float = 0.5 ** ((now - self.at) / FAILURE_FADES)
        return self.score * faded

    def add(self, amount: float, now: timedelta) -> None:
        """Count a failure, or a success with a negative amount."""
        self.score = max(0.0, self.now(now) + amount)
        self.at = now


class PlainPath:
    """Send requests to the servers of plain services."""

    def __init__(self, parts: ForwardingParts) -> None:
        self.parts = parts
        self.in_flight: Counter[ServerId] = Counter()
        self.failures: dict[ServerId, FailureScore] = {}

    def choose(self, service: str, tried: set[ServerId]) -> BackendServer | None:
        """Return the server that is expected to answer first."""
        now = self.parts.clock.monotonic()
        servers = self.parts.view.usable(service)
        fresh = [server for server in servers if server.id not in tried] or servers
        if not fresh:
            return None

        def expected(server: BackendServer) -> tuple[float, float]:
            failed = self.failures.get(server.id)
            penalty = FAILURE_WEIGHT * failed.now(now) if failed else 0.0
            waiting = self.in_flight[server.id] + penalty
            # A server to which a connection is kept answers sooner than a new one.
            kept = server.address in self.parts.pool.idle_addresses()
            return waiting / max(1, server.batch_slots), 0.0 if kept else 1.0

        return min(fresh, key=expected)

    async def serve(self, routed: RoutedRequest) -> None:
        """Answer a request by a server's answer, or say why there is none."""
        request = routed.request
        clock, budget = self.parts.clock, self.parts.budget(routed.service)
        budget.note_request(clock.monotonic())
        ends_at = routed.ends_at
        tried: set[ServerId] = set()
        runs = 0
        last: Attempt | None = None
        for number in range(1, MOST_TRIES + 1):
            server = self.choose(routed.service, tried)
            left = ends_at - clock.monotonic()
            if server is None or left < LEAST_TIME:
                break
            if number > 1 and not budget.take(clock.monotonic()):
                log.info("repeat_withheld", request=request.id, service=routed.service)
                break
            tried.add(server.id)
            last = await self.attempt(routed, server, self.time_for(routed, left, runs))
            log_attempt(routed, last, number)
            if last.outcome is not AttemptOutcome.NOT_RUN:
                runs += 1
            if not self.may_repeat(routed, last, runs):
                break
        await self.answer(routed, last)

    def time_for(self, routed: RoutedRequest, left: timedelta, runs: int) -> timedelta:
        """Return how long an attempt may take: less if another may follow."""
        route = routed.route
        if route.kind is RouteKind.SAFE and runs + 1 < route.attempts:
            return min(left, max(route.goal * PATIENCE_GOALS, left * 0.35))
        return left

    def may_repeat(self, routed: RoutedRequest, attempt: Attempt, runs: int) -> bool:
        """Return whether a request may be sent once more."""
        if attempt.outcome is AttemptOutcome.NOT_RUN:
            return True
        if routed.route.kind is not RouteKind.SAFE or runs >= routed.route.attempts:
            return False
        if attempt.outcome is AttemptOutcome.ANSWERED:
            return attempt.status >= HTTP_SERVER_ERROR
        return True

    async def attempt(
        self, routed: RoutedRequest, server: BackendServer, left: timedelta
    ) -> Attempt:
        """Send a request to one server and keep its answer."""
        request = routed.request
        kept: list[bytes] = []

        async def head(status: int, headers: HTTPHeaders) -> None:
            del status, headers

        async def body(chunk: bytes) -> None:
            kept.append(chunk)

        forwarded = Forwarded(
            id=request.id,
            method=request.method,
            target=request.target,
            headers=for_server(request.headers, server, left),
            body=request.body,
        )
        self.in_flight[server.id] += 1
        try:
            attempt = await attempt_at(
                self.parts.pool,
                server,
                forwarded,
                time_left=left,
                only_young=routed.route.kind is not RouteKind.SAFE,
                head=head,
                body=body,
            )
        finally:
            self.in_flight[server.id] -= 1
        attempt.body = b"".join(kept) or attempt.body
        self.learn(server, attempt)
        return attempt

    def learn(self, server: BackendServer, attempt: Attempt) -> None:
        """Remember how a server answered."""
        failures = self.failures.setdefault(server.id, FailureScore())
        now = self.parts.clock.monotonic()
        match attempt.outcome:
            case AttemptOutcome.ANSWERED:
                failed = attempt.status >= HTTP_SERVER_ERROR
                failures.add(0.3 if failed else -0.2, now)
            case AttemptOutcome.TIMED_OUT:
                failures.add(2.0, now)
            case _:
                failures.add(1.0, now)

    async def answer(self, routed: RoutedRequest, attempt: Attempt | None) -> None:
        """Answer the caller by what the last attempt brought."""
        request = routed.request
        if attempt is None or attempt.outcome is AttemptOutcome.NOT_RUN:
            reason = attempt.reason if attempt else "no server of the service is ready"
            await request.answer_error(503, reason, RETRY_AFTER)
            return
        match attempt.outcome:
            case AttemptOutcome.ANSWERED:
                await request.answer_whole(
                    attempt.status, attempt.headers, attempt.body
                )
            case AttemptOutcome.TIMED_OUT:
                await request.answer_error(504, attempt.reason)
            case _:
                await request.answer_error(502, attempt.reason)
