"""A single attempt to send a request to a backend server."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPHeaders, HTTPInputError

from magnoliatrail.backends import BackendServer, NoticeSink
from magnoliatrail.connections import (
    HTTP_PARAMETERS,
    ConnectionPool,
    PooledStream,
)
from magnoliatrail.exchange import AnswerBounds, write_request
from magnoliatrail.forwarding.answer_reader import (
    AnswerReader,
    BodySink,
    HeadSink,
    HoldBytes,
    KeepsBody,
    ProgressCheck,
    is_servers_answer,
)
from magnoliatrail.forwarding.attempt import Attempt, AttemptOutcome
from magnoliatrail.forwarding.head_check import HeadAnswer
from magnoliatrail.platform.request_headers import is_signed, not_executed
from magnoliatrail.wire import CallFailed

CONNECT_TIMEOUT = timedelta(milliseconds=400)
# A connection that was idle for longer may have been dropped without notice, which is
# too risky for a request that must not be sent twice.
MAX_IDLE_NON_IDEMPOTENT = timedelta(seconds=5)
# Limit on the answers read for a request: late answers to others may come first.
MAX_ANSWERS_READ = 3


@dataclass(frozen=True, slots=True)
class ForwardedRequest:
    """A request in the form that is sent to one server."""

    id: str
    method: str
    target: str
    headers: HTTPHeaders
    body: bytes


@dataclass(frozen=True, slots=True)
class OutdatedChoice:
    """Why a request can't be sent to the server that was chosen for it."""

    reason: str


# Completes the headers of a request right before an attempt writes it, or refuses it.
SendCheck = Callable[[Attempt, HTTPHeaders], HeadAnswer | OutdatedChoice | None]


async def send_attempt(
    pool: ConnectionPool,
    server: BackendServer,
    request: ForwardedRequest,
    *,
    time_left: timedelta,
    only_recently_used: bool,
    head: HeadSink,
    body: BodySink,
    hold: HoldBytes,
    notice: NoticeSink,
    max_relayed_bytes: int | None,
    keeps_body: KeepsBody = is_servers_answer,
    check: SendCheck | None = None,
    progress: ProgressCheck | None = None,
) -> Attempt:
    """Send a request to a server and relay its answer as it arrives.

    `notice` gets what the server says of itself as soon as the headers arrive.
    Only a signed 2xx answer is relayed through `head` and `body`; of the others, those
    that `keeps_body` wants are kept in the attempt as far as `hold` has room, and the
    rest is discarded. `max_relayed_bytes` bounds a relayed body, None if it is passed
    on as it arrives. Other bodies are bounded always. `check` is asked once there is a
    connection. A stream of events that `progress` finds stalled is broken off. Raises
    what `head`, `body` and `hold` raise.
    """
    attempt = Attempt(server)
    connect = min(CONNECT_TIMEOUT, time_left)
    try:
        lent = await pool.acquire(
            server.address,
            connect,
            max_idle=MAX_IDLE_NON_IDEMPOTENT if only_recently_used else None,
            request_id=request.id,
        )
    except CallFailed as error:
        attempt.outcome, attempt.reason = AttemptOutcome.NOT_RUN, str(error)
        return attempt
    attempt.reused, attempt.connected_at = lent.reused, lent.stream.opened_at
    refusal = check(attempt, request.headers) if check is not None else None
    if refusal is not None:
        lent.stream.close()
        attempt.outcome = AttemptOutcome.NOT_RUN
        attempt.reason = refusal.reason
        attempt.choice_outdated = isinstance(refusal, OutdatedChoice)
        attempt.withheld = refusal if isinstance(refusal, HeadAnswer) else None
        return attempt
    bounds = AnswerBounds(lent.stream, has_body=request.method != "HEAD")

    def new_reader() -> AnswerReader:
        return AnswerReader(
            attempt,
            request.id,
            head,
            body,
            hold,
            keeps_body,
            notice,
            bounds,
            max_relayed_bytes,
            progress,
        )

    reusable = False
    try:
        async with asyncio.timeout(max(0.001, time_left.total_seconds())):
            reusable = await send_and_read(attempt, request, new_reader, bounds)
    except TimeoutError:
        attempt.outcome = AttemptOutcome.TIMED_OUT
        attempt.reason = "no whole answer in the time left"
    except (OSError, HTTPInputError) as error:
        attempt.outcome = AttemptOutcome.BROKEN
        attempt.reason = bounds.cause or str(error) or type(error).__name__
    finally:
        attempt.closed_in_order = lent.stream.closed() and not bounds.cause
        # A copy of an answer without an id could not be told from the next answer.
        if not (reusable and request.id):
            lent.stream.close()
    if reusable and request.id:
        lent.stream.record_carried(request.id)
        pool.release(server.address, lent.stream, attempt.headers)
    return attempt


async def send_and_read(
    attempt: Attempt,
    request: ForwardedRequest,
    new_reader: Callable[[], AnswerReader],
    bounds: AnswerBounds,
) -> bool:
    """Send a request and read its answer; return whether the connection is reusable."""
    attempt.sent = True
    stream = bounds.stream
    connection, written = write_request(
        stream, request.method, request.target, request.headers.copy(), request.body
    )
    reader = new_reader()
    for _ in range(MAX_ANSWERS_READ):
        await read_answer(connection, reader)
        if not reader.is_stray or not reader.finished or stream.closed():
            break
        # A late answer to another request; the answer to this one follows.
        attempt.reason = "an answer to another request came first"
        connection = HTTP1Connection(stream, True, HTTP_PARAMETERS)
        connection.finish()
        reader = new_reader()
    attempt.body = b"".join(reader.buffered)
    attempt.inside_event = reader.is_inside_event
    if stream.error is not None:
        attempt.connection_error = str(stream.error) or type(stream.error).__name__
    classify_answer(attempt, reader, stream)
    reusable = attempt.outcome in (AttemptOutcome.ANSWERED, AttemptOutcome.NOT_RUN)
    return reusable and reader.finished and not stream.closed() and written.done()


async def read_answer(connection: HTTP1Connection, reader: AnswerReader) -> None:
    """Read one answer; raises what the caller's side raised."""
    try:
        await connection.read_response(reader)
    finally:
        if reader.sink_error is not None:
            raise reader.sink_error


def classify_answer(
    attempt: Attempt, reader: AnswerReader, stream: PooledStream
) -> None:
    """Set the outcome of an attempt from its answer."""
    complete = reader.finished and not (reader.is_stray or reader.bounds.reason)
    if not complete or (stream.closed() and stream.error is not None):
        attempt.outcome = AttemptOutcome.BROKEN
        attempt.reason = reader.bounds.cause or attempt.reason or "the answer broke off"
    elif reader.names_request is None:
        # It may be an earlier answer that the server sent once more.
        attempt.outcome = AttemptOutcome.INVALID
        attempt.reason = f"an answer {attempt.status} that names no request"
    elif not_executed(attempt.status, attempt.headers):
        attempt.outcome = AttemptOutcome.NOT_RUN
        attempt.reason = f"the server answered {attempt.status}, not executed"
    elif not is_signed(attempt.headers):
        attempt.outcome = AttemptOutcome.INVALID
        attempt.reason = f"an answer {attempt.status} without the server's signature"
    elif reader.is_truncated_stream:
        attempt.outcome = AttemptOutcome.BROKEN
        attempt.reason = "the stream stopped inside an event"
    else:
        attempt.outcome = AttemptOutcome.ANSWERED
