"""Requests to plain services: choice of the server, and retries."""

from collections import Counter, defaultdict
from dataclasses import dataclass
from datetime import timedelta

from tornado.httputil import HTTPHeaders

from magnoliatrail.backends import BackendServer
from magnoliatrail.connections import MAX_BUFFERED_BODY_BYTES
from magnoliatrail.forwarding.attempt import Attempt, AttemptOutcome
from magnoliatrail.forwarding.context import (
    NO_ROOM,
    NOT_RUN_STATUSES,
    ForwardingContext,
    RoutedRequest,
    log_attempt,
)
from magnoliatrail.forwarding.head_check import OUTDATED
from magnoliatrail.forwarding.held_answers import (
    NO_MEMORY,
    AnswerNotHeld,
    attempt_without_room,
    hold_answer,
)
from magnoliatrail.forwarding.send_check import server_check
from magnoliatrail.forwarding.server_call import ForwardedRequest, send_attempt
from magnoliatrail.ids import ServerId
from magnoliatrail.logs import EventLog
from magnoliatrail.memory_budget import HeldKind, Holding
from magnoliatrail.platform.request_headers import headers_for_server
from magnoliatrail.routes import RouteKind
from magnoliatrail.routing import quarantine
from magnoliatrail.routing.server_choice import (
    AnswerTimes,
    ServerOption,
    choose_server,
)

log = EventLog("forwarding")

HTTP_SERVER_ERROR = 500
# A failure counts as this many requests in flight; its weight decays with time.
FAILURE_WEIGHT_REQUESTS = 6.0
FAILURE_HALF_LIFE = timedelta(seconds=3)
# Limit on the attempts of a request that no server started to run.
MAX_ATTEMPTS = 4
# A request whose answer broke off at more servers may be what crashes them.
MAX_BROKEN_RUNS = 1
# No attempt is started with less time left for its answer.
MIN_ATTEMPT_TIME = timedelta(milliseconds=30)
# A safe request without an answer is retried after this multiple of its latency goal.
RETRY_TIMEOUT_GOALS = 1.5
RETRY_AFTER = timedelta(milliseconds=250)
NO_SERVER = "no server of the service is ready"
NO_SERVER_OF_VERSION = "no server has the software version that began the stream"


@dataclass(slots=True)
class FailureScore:
    """Exponentially decaying failure score of a server."""

    score: float = 0.0
    at: timedelta = timedelta()

    def value_at(self, now: timedelta) -> float:
        """Return the decayed score."""
        decay: float = 0.5 ** ((now - self.at) / FAILURE_HALF_LIFE)
        return self.score * decay

    def add(self, amount: float, now: timedelta) -> None:
        """Add a failure, or a success as a negative amount."""
        self.score = max(0.0, self.value_at(now) + amount)
        self.at = now


class PlainPath:
    """Send requests to the servers of plain services."""

    def __init__(self, context: ForwardingContext) -> None:
        self.context = context
        self.in_flight: Counter[ServerId] = Counter()
        self.failures: dict[ServerId, FailureScore] = {}
        # Latencies of the answers of each service.
        self.answer_times: dict[str, AnswerTimes] = defaultdict(AnswerTimes)

    def choose(
        self,
        service: str,
        tried: set[ServerId],
        software_version: str = "",
        size: int = 0,
    ) -> BackendServer | None:
        """Return the server with the lowest expected wait, untried ones first.

        With `software_version`, only servers of that version are considered, and with
        the `size` of a body only those with room for it.
        """
        now = self.context.clock.monotonic()
        servers = [
            server
            for server in self.context.view.accepting(service)
            if server.has_software_version(software_version)
            and self.context.paces.may_send(server)
            and self.context.in_flight.has_room(server.id, size)
        ]
        choices = [server for server in servers if server.id not in tried] or servers
        if not choices:
            return None

        times = self.answer_times[service]
        options = [
            ServerOption(
                server.id,
                max(1, server.batch_slots),
                self.in_flight[server.id] + self.penalty(server.id, now),
                times.relative(server.id, now),
            )
            for server in choices
        ]
        chosen = choose_server(options, self.context.generator)
        return next(server for server in choices if server.id == chosen)

    def penalty(self, server: ServerId, now: timedelta) -> float:
        """Return what the recent failures of a server count as, in requests."""
        failed = self.failures.get(server)
        return FAILURE_WEIGHT_REQUESTS * failed.value_at(now) if failed else 0.0

    async def serve(self, routed: RoutedRequest) -> None:
        """Forward a request, retrying as allowed, and answer the caller."""
        with Holding(self.context.memory, HeldKind.ANSWERS) as holding:
            await self.serve_holding(routed, holding)

    async def serve_holding(self, routed: RoutedRequest, holding: Holding) -> None:
        """Forward a request and answer it, with its buffered answers in a holding."""
        if await self.context.served_elsewhere(routed):
            return
        request = routed.request
        clock, budget = self.context.clock, self.context.budget(routed.service)
        budget.record_request(clock.monotonic())
        ends_at = routed.ends_at
        tried: set[ServerId] = set()
        runs = 0
        last: Attempt | None = None
        last_run: Attempt | None = None
        version = routed.software_version
        no_attempt = NO_SERVER_OF_VERSION if version else NO_SERVER
        for number in range(1, MAX_ATTEMPTS + 1):
            if not await self.context.ensure_list_fresh():
                no_attempt = OUTDATED
                break
            size = len(request.body)
            server = self.choose(routed.service, tried, version, size)
            if server is None and self.choose(routed.service, tried, version):
                no_attempt = NO_ROOM
            left = ends_at - clock.monotonic()
            if server is None or left < MIN_ATTEMPT_TIME:
                break
            if self.context.quarantine.refuses(request.suspects, sending=True):
                no_attempt = quarantine.REASON
                break
            if number > 1 and not runs and await self.context.served_elsewhere(routed):
                return
            repeats = last is not None and not last.choice_outdated
            if repeats and not budget.try_acquire(clock.monotonic()):
                log.info(
                    "retry_budget_exhausted", request=request.id, service=routed.service
                )
                break
            tried.add(server.id)
            self.context.paces.record_sent(server)
            last = await self.attempt(
                routed, server, self.attempt_timeout(routed, left, runs), holding
            )
            log_attempt(routed, last, number)
            if last.withheld is not None and (
                last_run is None or last.withheld.status not in NOT_RUN_STATUSES
            ):
                await last.withheld.send(request)
                return
            if last.outcome is not AttemptOutcome.NOT_RUN:
                runs += 1
                last_run = last
            if last.withheld is not None or not self.may_retry(routed, last, runs):
                break
        # A later refusal does not mean that the request has not run.
        await self.answer(routed, last_run or last, no_attempt)

    def attempt_timeout(
        self, routed: RoutedRequest, left: timedelta, runs: int
    ) -> timedelta:
        """Return the timeout of an attempt, shorter if another attempt may follow."""
        route = routed.route
        if route.kind is RouteKind.SAFE and runs + 1 < route.attempts:
            return min(left, max(route.goal * RETRY_TIMEOUT_GOALS, left * 0.35))
        return left

    def may_retry(self, routed: RoutedRequest, attempt: Attempt, runs: int) -> bool:
        """Return whether a request may be retried."""
        if attempt.outcome is AttemptOutcome.NOT_RUN:
            return True
        if attempt.reason == NO_MEMORY:
            return False
        if routed.route.kind is not RouteKind.SAFE or runs >= routed.route.attempts:
            return False
        if attempt.outcome is AttemptOutcome.ANSWERED:
            return attempt.status >= HTTP_SERVER_ERROR
        broken = self.context.quarantine.runs_broken(routed.request.fingerprint)
        return broken <= MAX_BROKEN_RUNS

    async def attempt(
        self,
        routed: RoutedRequest,
        server: BackendServer,
        left: timedelta,
        holding: Holding,
    ) -> Attempt:
        """Send a request to one server and buffer its answer in a holding."""
        request = routed.request
        chunks: list[bytes] = []

        async def head(status: int, headers: HTTPHeaders) -> None:
            del status, headers

        async def hold(size: int) -> None:
            await hold_answer(self.context.clock, holding, size)

        async def body(chunk: bytes) -> None:
            await hold(len(chunk))
            chunks.append(chunk)

        forwarded = ForwardedRequest(
            id=request.id,
            method=request.method,
            target=request.target,
            headers=headers_for_server(request.headers, server, left),
            body=request.body,
        )
        self.in_flight[server.id] += 1
        clock = self.context.clock
        sent_at = clock.monotonic()
        try:
            with (
                self.context.reach.awaiting_answer(),
                self.context.in_flight.hold(server.id, len(request.body)),
            ):
                attempt = await send_attempt(
                    self.context.pool,
                    server,
                    forwarded,
                    time_left=left,
                    only_recently_used=routed.route.kind is not RouteKind.SAFE,
                    head=head,
                    body=body,
                    hold=hold,
                    notice=self.context.apply_notice,
                    max_relayed_bytes=MAX_BUFFERED_BODY_BYTES,
                    check=server_check(self.context, routed),
                )
        except AnswerNotHeld:
            return attempt_without_room(server)
        finally:
            self.in_flight[server.id] -= 1
        attempt.body = b"".join(chunks) or attempt.body
        if not attempt.held_back:
            self.record_outcome(server, attempt)
        if attempt.outcome is AttemptOutcome.ANSWERED:
            now = clock.monotonic()
            self.answer_times[routed.service].record(server.id, now - sent_at, now)
        self.context.record_attempt(routed, attempt, sent_at)
        return attempt

    def record_outcome(self, server: BackendServer, attempt: Attempt) -> None:
        """Update the failure score of a server."""
        failures = self.failures.setdefault(server.id, FailureScore())
        now = self.context.clock.monotonic()
        match attempt.outcome:
            case AttemptOutcome.ANSWERED:
                failed = attempt.status >= HTTP_SERVER_ERROR
                failures.add(0.3 if failed else -0.2, now)
            case AttemptOutcome.TIMED_OUT:
                failures.add(2.0, now)
            case _:
                failures.add(1.0, now)

    async def answer(
        self, routed: RoutedRequest, attempt: Attempt | None, no_attempt: str
    ) -> None:
        """Answer by the outcome of an attempt, or by the reason why there was none."""
        request = routed.request
        if attempt is not None:
            request.name_server(attempt.server)
        if attempt is None or attempt.outcome is AttemptOutcome.NOT_RUN:
            reason = attempt.reason if attempt else no_attempt
            view, paces = self.context.view, self.context.paces
            retry_after = max(
                RETRY_AFTER,
                view.accepts_in(routed.service),
                paces.time_until_any(view.accepting(routed.service)),
            )
            if reason == quarantine.REASON:
                rules = self.context.quarantine.rules
                retry_after = rules.retry_after(request.suspects)
            await request.answer_error(503, reason, retry_after)
            return
        match attempt.outcome:
            case AttemptOutcome.ANSWERED:
                if routed.route.resumable:
                    self.context.stream_versions.record(
                        request.id,
                        attempt.server.software_version,
                        service=routed.service,
                    )
                await request.answer_complete(
                    attempt.status, attempt.headers, attempt.body
                )
            case AttemptOutcome.TIMED_OUT:
                await request.answer_error(504, attempt.reason)
            case _:
                await request.answer_error(502, attempt.reason)
