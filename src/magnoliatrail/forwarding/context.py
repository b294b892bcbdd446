"""State that all forwarded requests share, and the routed request."""

import random
from collections import Counter, deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from datetime import timedelta
from http import HTTPStatus

from magnoliatrail.backends import BackendServer, ServerNotice
from magnoliatrail.clock import Clock
from magnoliatrail.connections import ConnectionPool
from magnoliatrail.event_progress import EventProgress, event_limits
from magnoliatrail.forwarding.attempt import Attempt, AttemptOutcome
from magnoliatrail.forwarding.bytes_in_flight import BytesInFlight
from magnoliatrail.forwarding.head_check import HeadAnswer
from magnoliatrail.forwarding.request import CallerRequest
from magnoliatrail.forwarding.request_paces import RequestPaces
from magnoliatrail.forwarding.retry_budget import RetryBudget
from magnoliatrail.forwarding.spare_connections import SpareConnections
from magnoliatrail.forwarding.stream_versions import StreamVersions
from magnoliatrail.forwarding.waiting_requests import WaitingRequests
from magnoliatrail.logs import EventLog
from magnoliatrail.membership.fleet_view import FleetView
from magnoliatrail.membership.store_reader import KEYS_TABLE
from magnoliatrail.memory_budget import MemoryBudget, budget_of
from magnoliatrail.metrics import Metrics
from magnoliatrail.peers.quarantine_exchange import QuarantineExchange
from magnoliatrail.peers.reach_monitor import ReachMonitor
from magnoliatrail.platform.settings_file import Bounds
from magnoliatrail.routes import Route, RouteKind

log = EventLog("forwarding")

# Statuses of a server's answer that promise that the request has not run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
NO_ROOM = "the servers have as much in flight as they may hold"
# As the settings of an instance have it.
DEFAULT_MEMORY_MB = 256.0


async def always_fresh() -> bool:
    """Return that the list of servers is fresh, for a context without a store."""
    return True


@dataclass
class ForwardingContext:
    """The services and settings that request handlers share."""

    clock: Clock
    metrics: Metrics
    view: FleetView
    pool: ConnectionPool
    bounds: Bounds
    generator: random.Random
    # Waits for a read if the views of configuration and servers are nearly too old;
    # returns whether a request may be routed by them.
    ensure_fresh: Callable[[], Awaitable[bool]]
    stream_versions: StreamVersions
    quarantine: QuarantineExchange
    reach: ReachMonitor
    paces: RequestPaces
    # The same without a read.
    is_fresh: Callable[[], bool] = lambda: True
    # The same for the list of servers alone, by which a request is sent.
    ensure_list_fresh: Callable[[], Awaitable[bool]] = always_fresh
    is_list_fresh: Callable[[], bool] = lambda: True
    # Whether the store answers the reads of the configuration.
    store_answers: Callable[[], bool] = lambda: True
    # Whether another instance answers this one, or reports to it.
    hears_others: Callable[[], bool] = lambda: True
    # Number of instances that share the retry budget.
    instances: int = 1
    # Numbers of known instances of the last window, with their times.
    instance_counts: deque[tuple[timedelta, int]] = field(default_factory=deque)
    # Refuse streams that have no batch slot yet, because the process is shutting down.
    refuses_streams: bool = False
    # When the last answers of a planned stop must have come, None before.
    answers_end_at: timedelta | None = None
    # What is held for callers; its size bounds what is in flight to one server.
    memory: MemoryBudget = field(default_factory=lambda: budget_of(DEFAULT_MEMORY_MB))
    in_flight: BytesInFlight = field(init=False)
    # The requests that wait for a batch slot.
    waiting: WaitingRequests = field(default_factory=WaitingRequests)
    budgets: dict[str, RetryBudget] = field(default_factory=dict)
    # Answers a request through another instance; returns whether one took it.
    relay: "Callable[[RoutedRequest], Awaitable[bool]] | None" = None
    spares: SpareConnections = field(init=False)
    started_at: timedelta = field(init=False)

    def __post_init__(self) -> None:
        """Record when the instance started."""
        self.started_at = self.clock.monotonic()
        self.in_flight = BytesInFlight(self.memory.size)
        self.spares = SpareConnections(self.clock, self.pool)

    def record_instances(self, known: int) -> None:
        """Divide budgets among the most instances that were known within a window.

        A new owner lists only the instances that have reported to it.
        """
        now = self.clock.monotonic()
        self.instance_counts.append((now, known))
        while self.instance_counts[0][0] < now - self.bounds.retry_window:
            self.instance_counts.popleft()
        self.instances = max(count for _, count in self.instance_counts)

    def is_isolated(self) -> bool:
        """Return whether this instance may miss the withdrawal of a key.

        While other instances answer, none of which can read the store, nobody can
        withdraw a key.
        """
        bounds, now = self.bounds, self.clock.monotonic()
        age = self.view.tables[KEYS_TABLE].age(now)
        return (
            age > bounds.propagation + bounds.unstable_store
            and not self.store_answers()
            and not self.hears_others()
        )

    def answered_in_time(self, request: CallerRequest, route: Route) -> bool:
        """Return whether the time limit of a request ends before this instance does.

        Once sent, it may have run and can't be refused any more. How long earlier
        answers took says nothing certain of the next one.
        """
        if self.answers_end_at is None:
            return True
        return end_of(request, route) <= self.answers_end_at

    async def served_elsewhere(self, routed: "RoutedRequest") -> bool:
        """Answer a request through another instance if this one reaches no server.

        Returns False if the request was not sent to another instance. No server may
        have run it before.
        """
        if self.relay is None or routed.request.origin or not self.reach.is_cut:
            return False
        return await self.relay(routed)

    def apply_notice(self, server: BackendServer, notice: ServerNotice) -> None:
        """Apply what a server said of itself in the head of an answer."""
        self.reach.signals.record_contact()
        self.view.apply_notice(server, notice)

    def record_attempt(
        self,
        routed: "RoutedRequest",
        attempt: Attempt,
        sent_at: timedelta,
        *,
        known_sound: bool = False,
    ) -> None:
        """Record what an attempt says of its server and of what may crash it."""
        self.record_run(routed.request, attempt)
        server, suspects = attempt.server.key, routed.request.suspects
        if attempt.outcome is AttemptOutcome.BROKEN and self.reach.is_cut:
            log.info("break_not_reported", request=routed.request.id, server=server[0])
        elif attempt.outcome is AttemptOutcome.BROKEN and not known_sound:
            self.quarantine.record_broken(
                server,
                suspects,
                sent_at=sent_at,
                connected_at=attempt.connected_at,
                closed_in_order=attempt.closed_in_order,
            )
            self.spares.schedule(attempt.server.address)
        elif attempt.outcome is AttemptOutcome.ANSWERED:
            self.quarantine.record_answered(
                server, sent_at, connected_at=attempt.connected_at
            )
            if attempt.status < HTTPStatus.MULTIPLE_CHOICES:
                self.quarantine.record_sound(suspects)

    def record_run(self, request: CallerRequest, attempt: Attempt) -> None:
        """Take a run back that an attempt shows not to have taken place."""
        refused = attempt.outcome is AttemptOutcome.NOT_RUN or (
            attempt.outcome is AttemptOutcome.ANSWERED
            and attempt.status in NOT_RUN_STATUSES
        )
        if attempt.sent and refused:
            request.runs -= 1

    def record_refused_key(self, request: CallerRequest, answer: HeadAnswer) -> None:
        """Log and count a refused key, once for each request."""
        if answer.key_problem is None or request.key_problem is not None:
            return
        request.key_problem = answer.key_problem
        log.info(
            "key_refused",
            request=request.id,
            reason=answer.key_problem,
            account=request.account.name if request.account else "",
        )
        self.metrics.count(f"accounts.refused.{answer.key_problem.value}")

    def budget(self, service: str) -> RetryBudget:
        """Return the retry budget of a service."""
        if service not in self.budgets:
            self.budgets[service] = RetryBudget(
                self.bounds, lambda: self.instances, started_at=self.started_at
            )
        return self.budgets[service]


@dataclass
class RoutedRequest:
    """A request with its route and service."""

    request: CallerRequest
    route: Route
    service: str
    # Software version that must go on with a resumed stream, empty for any.
    software_version: str = ""

    @property
    def ends_at(self) -> timedelta:
        """Return the end of the request's time limit, on the monotonic clock."""
        return end_of(self.request, self.route)

    def event_progress(self, clock: Clock) -> Callable[[bytes], bool]:
        """Return a new check of the progress of an answer's events."""
        route = self.route
        limits = event_limits(route.first_event_timeout, route.pause_goal)
        progress = EventProgress(limits)
        return lambda chunk: progress.feed(chunk, clock.monotonic())


def resumed_request(request: CallerRequest, route: Route) -> str | None:
    """Return which request began the stream that a request resumes, if any.

    The stream may have begun while the route allowed to resume it.
    """
    streams = route.resumable or route.kind is RouteKind.STREAMING
    return request.resumes if streams else None


def end_of(request: CallerRequest, route: Route) -> timedelta:
    """Return the end of a request's time limit, on the monotonic clock."""
    return min(request.deadline, request.received_at + route.time_limit)


def count_software_versions(servers: list[BackendServer]) -> str:
    """Return the number of servers of each software version, as a text."""
    counts = Counter(server.software_version for server in servers)
    return ",".join(f"{name}:{count}" for name, count in sorted(counts.items()))


def log_attempt(routed: RoutedRequest, attempt: Attempt, number: int) -> None:
    """Log the outcome of one attempt."""
    server: BackendServer = attempt.server
    broken = attempt.outcome is AttemptOutcome.BROKEN
    log.info(
        "attempt",
        request=routed.request.id,
        route=routed.route.name,
        number=number,
        server=server.id,
        software_version=server.software_version,
        resumes=routed.request.resumes or "",
        outcome=attempt.outcome,
        status=attempt.status,
        started=attempt.started,
        reused=attempt.reused,
        list_age="" if attempt.list_age is None else attempt.list_age,
        list_source=attempt.list_source,
        written_after="" if attempt.written_after is None else attempt.written_after,
        framing=attempt.framing or "",
        body_bytes=attempt.body_bytes,
        inside_event=attempt.inside_event,
        connection_error=attempt.connection_error,
        first_event=attempt.first_event or "",
        longest_pause=attempt.longest_pause,
        parts=",".join(routed.request.shared_parts) if broken else "",
        fingerprint=routed.request.fingerprint if broken else "",
        reason=attempt.reason,
    )


def break_off(request: CallerRequest, attempt: Attempt) -> None:
    """End an answer that began and can't be completed, so that its caller sees it."""
    log.warning(
        "answer_broken_off",
        request=request.id,
        server=attempt.server.id,
        outcome=attempt.outcome,
        reason=attempt.reason,
    )
    request.abort()
