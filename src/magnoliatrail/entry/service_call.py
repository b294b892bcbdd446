"""Calls to replicas of plain services, with retries and hedging."""

import asyncio
from collections import Counter
from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from datetime import timedelta
from itertools import count, islice
from random import Random
from urllib.parse import urlsplit

from expression import Error, Ok, Result
from tornado.httpclient import AsyncHTTPClient, HTTPRequest, HTTPResponse
from tornado.httputil import HTTPHeaders
from tornado.tcpclient import TCPClient

from magnoliatrail.clock import Clock
from magnoliatrail.entry.context import DEADLINE_HEADER
from magnoliatrail.entry.forwarding import end_to_end_headers, is_framed
from magnoliatrail.entry.held_body import NO_MEMORY, HeldBody
from magnoliatrail.entry.retry_budget import RetryBudget
from magnoliatrail.errors import ErrorKind, Failure
from magnoliatrail.generated.platform import ListedInstance, ListedKind
from magnoliatrail.generated.settings import Settings
from magnoliatrail.ids import PartId, ServerId
from magnoliatrail.logs import EventLog
from magnoliatrail.membership.fleet import Fleet
from magnoliatrail.memory_budget import HeldKind, Holding, MemoryBudget
from magnoliatrail.metrics import Metrics
from magnoliatrail.operations.backoff import Backoff, backoff_delays
from magnoliatrail.operations.rows import RecordedAnswer
from magnoliatrail.peers.quarantine_exchange import QuarantineExchange
from magnoliatrail.requests import RequestContext, request_fingerprint
from magnoliatrail.routing.quarantine import REASON
from magnoliatrail.wire import CallFailed, CallLimits, call

log = EventLog("services")

REPLICA_CHOICES = 2
MAX_RETRIES = 3
HTTP_MULTIPLE_CHOICES = 300
HTTP_UNAVAILABLE = 503
RETRY_BACKOFF = Backoff(
    first=timedelta(milliseconds=50),
    longest=timedelta(seconds=2),
    total=timedelta(seconds=30),
)

Answer = Result[RecordedAnswer, Failure]


@dataclass(frozen=True, slots=True)
class ServiceRequest:
    """Hold one request of a caller to a plain service."""

    context: RequestContext
    service: str
    method: str
    path: str
    query: str
    headers: HTTPHeaders
    body: bytes

    @property
    def fingerprint(self) -> PartId:
        """Return what the repeats of this request have in common."""
        target = f"{self.service}/{self.path}?{self.query}"
        return request_fingerprint(self.context.caller, self.method, target, self.body)


@dataclass
class CallProgress:
    """Record the replicas tried for a request, the last one, and its answer."""

    replica: ListedInstance | None = None
    answer: RecordedAnswer | None = None
    may_have_run: bool = False
    tried: set[str] = field(default_factory=set)


class ServiceCaller:
    """Route requests to live replicas, and retry them where that is safe."""

    def __init__(
        self,
        *,
        settings: Settings,
        clock: Clock,
        client: AsyncHTTPClient,
        fleet: Fleet,
        metrics: Metrics,
        quarantine: QuarantineExchange,
        retry_share: Callable[[], float],
        generator: Random,
        memory: MemoryBudget,
    ) -> None:
        self.settings = settings
        self.memory = memory
        self.clock = clock
        self.client = client
        self.fleet = fleet
        self.metrics = metrics
        self.quarantine = quarantine
        self.broken_answers = count()
        self.generator = generator
        self.budget = RetryBudget(retry_share)
        self.in_flight: Counter[str] = Counter()
        self.idle_limit = timedelta(seconds=settings.idle_timeout_seconds)
        self.connect_limit = timedelta(seconds=settings.connect_timeout_seconds)
        self.prober = TCPClient()

    def refusal(self, request: ServiceRequest) -> Failure | None:
        """Return the failure if a request cannot be sent now."""
        if not self.fleet.live_services(request.service):
            return self.no_replica(request.service)
        if not request.context.time_left(self.clock):
            message = "the deadline passed before the request was sent"
            return Failure(ErrorKind.DEADLINE_UNREACHABLE, message)
        return None

    def no_replica(self, service: str) -> Failure:
        """Return the failure for a service without a live replica."""
        listed = any(
            item.kind is ListedKind.SERVICE and item.name == service
            for item in self.fleet.listed.values()
        )
        if listed:
            message = f"every replica of service {service!r} is leaving"
            return Failure(ErrorKind.NO_BACKEND_SERVER, message)
        message = f"no service {service!r} is listed"
        return Failure(ErrorKind.UNKNOWN_SERVICE, message)

    async def call_idempotent(self, request: ServiceRequest) -> Answer:
        """Send an idempotent request, with hedging and budgeted retries."""
        self.budget.earn()
        progress = CallProgress()
        answer = await self.send_hedged(request, progress)
        for wait in islice(backoff_delays(RETRY_BACKOFF, self.generator), MAX_RETRIES):
            if not is_retryable(answer):
                break
            if not await self.wait_for_retry(request, wait):
                break
            answer = await self.send_hedged(request, progress)
        return with_earlier_attempts(answer, progress)

    async def call_non_idempotent(
        self, request: ServiceRequest, progress: CallProgress
    ) -> Answer:
        """Send a non-idempotent request; retry it only if it certainly did not run."""
        self.budget.earn()
        answer = await self.send(request, progress)
        for wait in islice(backoff_delays(RETRY_BACKOFF, self.generator), MAX_RETRIES):
            if answer.is_ok() or not answer.error.not_run or is_quarantined(answer):
                break
            if not await self.wait_for_retry(request, wait):
                break
            answer = await self.send(request, progress)
        return answer

    async def wait_for_retry(self, request: ServiceRequest, wait: timedelta) -> bool:
        """Wait before a retry; return False if budget or deadline forbid it."""
        if wait >= request.context.time_left(self.clock) or not self.budget.spend():
            return False
        self.metrics.count("services.retries")
        await self.clock.sleep(wait)
        return True

    async def send_hedged(
        self, request: ServiceRequest, progress: CallProgress
    ) -> Answer:
        """Send a request, and a second one if the first exceeds the idle timeout.

        The first call continues, as it may only be slow; the first answer is used.
        """
        first = asyncio.create_task(self.send(request, progress))
        if await self.done_within(first, self.idle_limit) or not self.budget.spend():
            return await first
        self.metrics.count("services.silent")
        log.warning("silent", request=request.context.request_id, action="hedge")
        second = asyncio.create_task(self.send(request, progress))
        return await first_answer({first, second})

    async def done_within(self, task: asyncio.Task[Answer], limit: timedelta) -> bool:
        """Wait for a task up to a time limit, and return whether it is done."""
        timer = asyncio.ensure_future(self.clock.sleep(limit))
        await asyncio.wait({task, timer}, return_when=asyncio.FIRST_COMPLETED)
        timer.cancel()
        return task.done()

    async def is_reachable(self, replica: ListedInstance) -> bool:
        """Return whether a replica accepts a new connection."""
        address = urlsplit(replica.url)
        try:
            stream = await self.prober.connect(
                address.hostname or "", address.port or 80, timeout=self.connect_limit
            )
        except (OSError, TimeoutError):
            return False
        stream.close()
        return True

    async def send(self, request: ServiceRequest, progress: CallProgress) -> Answer:
        """Send a request to a live replica."""
        refusal = self.refusal(request)
        if refusal:
            return Error(refusal)
        if self.quarantine.refuses((request.fingerprint,), sending=True):
            log.info("request_quarantined", request=request.context.request_id)
            return Error(Failure(ErrorKind.PROMPT_QUARANTINED, REASON))
        replica = self.choose(request, progress.tried)
        progress.replica = replica
        progress.tried.add(replica.id)
        self.in_flight[replica.id] += 1
        try:
            answer = await self.send_to(request, replica)
            if answer.is_ok() or not answer.error.not_run:
                progress.may_have_run = True
            self.record_answer(request, replica, answer)
            return answer
        finally:
            self.in_flight[replica.id] -= 1
            if not self.in_flight[replica.id]:
                del self.in_flight[replica.id]

    def record_answer(
        self, request: ServiceRequest, replica: ListedInstance, answer: Answer
    ) -> None:
        """Record what an answer says of whether its request crashes replicas.

        The list does not tell the runs of a replica apart, so each answer that breaks
        off counts as the end of one.
        """
        if lacked_memory(answer):
            return
        match answer:
            case Result(tag="ok", ok=recorded):
                if recorded.status < HTTP_MULTIPLE_CHOICES:
                    self.quarantine.record_sound((request.fingerprint,))
            case Result(error=failure) if failure.kind is ErrorKind.BACKEND_FAILED:
                run = ServerId(f"{replica.id}/{next(self.broken_answers)}"), 0
                self.quarantine.record_broken(run, (request.fingerprint,))

    def choose(self, request: ServiceRequest, tried: Collection[str]) -> ListedInstance:
        """Choose the less loaded of two random live replicas, untried ones first."""
        live = self.fleet.live_services(request.service)
        untried = [replica for replica in live if replica.id not in tried]
        pool = untried or live
        drawn = self.generator.sample(pool, min(REPLICA_CHOICES, len(pool)))
        replica = min(drawn, key=lambda item: self.in_flight[item.id])
        log.info(
            "routed",
            request=request.context.request_id,
            service=request.service,
            replica=replica.id,
            in_flight=self.in_flight[replica.id],
            reason="least_of_two" if untried else "all_tried",
        )
        return replica

    async def send_to(self, request: ServiceRequest, replica: ListedInstance) -> Answer:
        """Send a request to one replica."""
        time_left = request.context.time_left(self.clock)
        limits = CallLimits(self.connect_limit, time_left)
        message = replica_request(request, replica, time_left)
        with Holding(self.memory, HeldKind.ANSWERS) as holding:
            body = HeldBody(holding)
            message.streaming_callback = body.receive
            try:
                response = await call(self.client, message, limits)
            except CallFailed as error:
                if body.has_room:
                    return Error(self.failure_of(request, error))
            if not body.has_room:
                return Error(Failure(ErrorKind.BACKEND_FAILED, NO_MEMORY))
            return self.answer_of(request, response, body.content())

    def answer_of(
        self, request: ServiceRequest, response: HTTPResponse, body: bytes
    ) -> Answer:
        """Return a replica's answer, or what is wrong with it."""
        if not is_framed(response.headers, response.code, request.method):
            reason = "the answer had neither a length nor chunks, so it may be cut off"
            return Error(Failure(ErrorKind.ANSWER_INVALID, reason))
        return Ok(recorded_answer(response, body))

    def failure_of(self, request: ServiceRequest, error: CallFailed) -> Failure:
        """Map a call without an answer to a failure."""
        if not error.sent:
            return Failure(ErrorKind.BACKEND_UNREACHABLE, str(error))
        if not request.context.time_left(self.clock):
            return Failure(ErrorKind.DEADLINE_EXCEEDED, str(error))
        return Failure(ErrorKind.BACKEND_FAILED, str(error))


def is_retryable(answer: Answer) -> bool:
    """Return whether an idempotent request should be retried."""
    if lacked_memory(answer):
        return False
    if answer.is_ok():
        return answer.ok.status == HTTP_UNAVAILABLE
    return answer.error.kind in {
        ErrorKind.BACKEND_UNREACHABLE,
        ErrorKind.BACKEND_FAILED,
        ErrorKind.ANSWER_INVALID,
    }


def lacked_memory(answer: Answer) -> bool:
    """Return whether this instance had no room for an answer, no fault of a replica."""
    return answer.is_error() and answer.error.message == NO_MEMORY


def is_quarantined(answer: Answer) -> bool:
    """Return whether a request was refused because it crashes replicas."""
    return answer.is_error() and answer.error.kind is ErrorKind.PROMPT_QUARANTINED


def with_earlier_attempts(answer: Answer, progress: CallProgress) -> Answer:
    """Replace a "not run" failure if an earlier attempt may have run."""
    if answer.is_ok() or not (answer.error.not_run and progress.may_have_run):
        return answer
    message = f"an earlier try may have run; the last one: {answer.error.message}"
    return Error(Failure(ErrorKind.BACKEND_FAILED, message))


async def first_answer(tasks: set[asyncio.Task[Answer]]) -> Answer:
    """Return the first answer of several calls, or a failure if all of them fail."""
    pending = tasks
    while True:
        done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        results = [task.result() for task in done]
        answers = [result for result in results if result.is_ok()]
        if answers or not pending:
            for task in pending:
                task.cancel()
            return (answers or results)[0]


def replica_request(
    request: ServiceRequest, replica: ListedInstance, time_left: timedelta
) -> HTTPRequest:
    """Return the request for a replica, without the hop-by-hop headers."""
    headers = HTTPHeaders()
    for name, value in end_to_end_headers(request.headers):
        headers.add(name, value)
    headers["X-Request-Id"] = request.context.request_id
    headers[DEADLINE_HEADER] = f"{time_left.total_seconds():.3f}"
    query = f"?{request.query}" if request.query else ""
    has_body = bool(request.body) or request.method in {"POST", "PUT", "PATCH"}
    return HTTPRequest(
        f"{replica.url}/{request.path}{query}",
        method=request.method,
        headers=headers,
        body=request.body if has_body else None,
        # The service decides whether a GET or DELETE may have a body.
        allow_nonstandard_methods=True,
    )


def recorded_answer(response: HTTPResponse, body: bytes) -> RecordedAnswer:
    """Return the answer in the form that repeated calls receive."""
    passed = end_to_end_headers(response.headers)
    headers = tuple(item for item in passed if item[0].lower() != "content-type")
    content_type = response.headers.get("Content-Type", "")
    return RecordedAnswer(response.code, content_type, body, headers)
