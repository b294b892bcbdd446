"""The limits of the listeners of `magnoliatrail serve`."""

from datetime import timedelta

from tornado.httputil import HTTPHeaders

from magnoliatrail.clock import Clock
from magnoliatrail.errors import ErrorKind, Failure, answer_of
from magnoliatrail.generated.settings import Settings
from magnoliatrail.ids import new_request_id
from magnoliatrail.inbound.limits import (
    ClientLimits,
    max_caller_connections,
    max_peer_connections,
)
from magnoliatrail.inbound.refusals import Refusal, RefusalLog
from magnoliatrail.inbound.server import Guard
from magnoliatrail.memory_budget import HeldKind, MemoryBudget, budget_of
from magnoliatrail.metrics import Metrics
from magnoliatrail.peers.server import render_refusal
from magnoliatrail.wire import JSON_TYPE, encode

HEADER_BYTES = 64 * 1024
# Longer than the idle timeout of load balancers, so that they close first.
IDLE_TIMEOUT = timedelta(seconds=180)
MAX_MESSAGE_BYTES = 16 * 1024 * 1024
# The budget has room for so many bodies of the maximum size, 4 of them unfinished.
MIN_BODIES = 10
KINDS = {413: ErrorKind.BODY_TOO_LARGE, 503: ErrorKind.QUEUE_FULL}


def budget_for(settings: Settings) -> MemoryBudget:
    """Return the budget of a process."""
    by_memory = budget_of(settings.memory_mb)
    return MemoryBudget(max(by_memory.size, MIN_BODIES * settings.max_body_bytes))


def caller_guard(
    settings: Settings, clock: Clock, metrics: Metrics, budget: MemoryBudget
) -> Guard:
    """Return the guard of the listener for callers."""
    limits = ClientLimits(
        header_bytes=HEADER_BYTES,
        body_bytes=settings.max_body_bytes,
        idle_timeout=IDLE_TIMEOUT,
    )
    return Guard(
        name="callers",
        clock=clock,
        metrics=metrics,
        budget=budget,
        refusals=RefusalLog(clock=clock, metrics=metrics),
        max_connections=max_caller_connections(
            file_descriptors=settings.file_descriptors, memory_mb=settings.memory_mb
        ),
        limits=lambda: limits,
        render=render_for_caller,
    )


def peer_guard(
    settings: Settings, clock: Clock, metrics: Metrics, budget: MemoryBudget
) -> Guard:
    """Return the guard of the listener for other instances."""
    limits = ClientLimits(
        header_bytes=HEADER_BYTES,
        body_bytes=MAX_MESSAGE_BYTES,
        idle_timeout=IDLE_TIMEOUT,
    )
    return Guard(
        name="peers",
        clock=clock,
        metrics=metrics,
        budget=budget,
        refusals=RefusalLog(clock=clock, metrics=metrics),
        max_connections=max_peer_connections(
            file_descriptors=settings.file_descriptors, memory_mb=settings.memory_mb
        ),
        limits=lambda: limits,
        reading=HeldKind.MESSAGES,
        whole=HeldKind.MESSAGES,
        render=render_refusal,
    )


def render_for_caller(
    refusal: Refusal, request: HTTPHeaders | None
) -> tuple[HTTPHeaders, bytes]:
    """Return the headers and the body of a refused caller's request."""
    del request
    request_id = new_request_id()
    kind = KINDS.get(refusal.status, ErrorKind.MALFORMED_REQUEST)
    body = encode(answer_of(Failure(kind, refusal.reason), request_id))
    fields = {"Content-Type": JSON_TYPE, "X-Request-Id": request_id}
    return HTTPHeaders(fields), body
