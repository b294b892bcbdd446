"""One attempt of one request at one backend server."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum
from http import HTTPStatus

from tornado.http1connection import HTTP1Connection
from tornado.httputil import (
    HTTPHeaders,
    HTTPInputError,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)

from magnoliatrail.backends import BackendServer
from magnoliatrail.connections import HTTP_PARAMETERS, ConnectionPool, PooledStream
from magnoliatrail.exchange import write_request
from magnoliatrail.platform.request_headers import (
    answers_request,
    is_signed,
    not_executed,
)
from magnoliatrail.wire import CallFailed

CONNECT_LIMIT = timedelta(milliseconds=400)
# A kept connection older than this may be dropped without notice: too risky for what
# must not be asked twice.
YOUNG = timedelta(seconds=5)
# Answers to other requests that may come first on a connection.
MOST_STRAYS = 3


class AttemptOutcome(Enum):
    """What became of an attempt."""

    # A whole answer that bears the server's signature.
    ANSWERED = "answered"
    # The server says that it did not run, or it was never sent.
    NOT_RUN = "not_run"
    # It may have run; there is no whole answer.
    BROKEN = "broken"
    # Nothing came in the time that was left.
    TIMED_OUT = "timed_out"
    # An answer that is not the server's.
    INVALID = "invalid"


@dataclass
class Attempt:
    """What one server made of a request."""

    server: BackendServer
    outcome: AttemptOutcome = AttemptOutcome.BROKEN
    status: int = 0
    headers: HTTPHeaders = field(default_factory=HTTPHeaders)
    body: bytes = b""
    reason: str = ""
    # Whether the request may have reached the server.
    sent: bool = False
    started: bool = False
    reused: bool = False
    # Of a stream: the time to its first event, and the longest between two.
    first_event: timedelta | None = None
    longest_pause: timedelta = timedelta()


@dataclass(frozen=True, slots=True)
class Forwarded:
    """A request as one server gets it."""

    id: str
    method: str
    target: str
    headers: HTTPHeaders
    body: bytes


# Takes the head of an answer, then each part of its body, as they come.
HeadSink = Callable[[int, HTTPHeaders], Awaitable[None]]
BodySink = Callable[[bytes], Awaitable[None]]


class AnswerReader(HTTPMessageDelegate):
    """Read one answer, passing it on or keeping it."""

    def __init__(
        self,
        attempt: Attempt,
        stream: PooledStream,
        request_id: str,
        head: HeadSink,
        body: BodySink,
    ) -> None:
        self.attempt = attempt
        self.stream = stream
        self.request_id = request_id
        self.head = head
        self.pass_body = body
        self.headers = HTTPHeaders()
        self.status = 0
        self.is_stray = False
        self.passes_on = False
        self.finished = False
        self.kept: list[bytes] = []
        # The error of the caller's side.
        self.sink_error: BaseException | None = None

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        """Judge the head of an answer."""
        assert isinstance(start_line, ResponseStartLine)
        self.status, self.headers = start_line.code, headers
        self.is_stray = not answers_request(headers, self.request_id)
        if self.is_stray:
            return None
        self.attempt.status, self.attempt.headers = self.status, headers
        if not_executed(self.status, headers) or not is_signed(headers):
            return None
        if not HTTPStatus.OK <= self.status < HTTPStatus.MULTIPLE_CHOICES:
            return None
        self.passes_on = True
        return self.guard(self.head(self.status, headers))

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Pass a part of the body on, or keep it."""
        if self.is_stray or self.sink_error is not None:
            return None
        if self.passes_on:
            self.attempt.started = True
            return self.guard(self.pass_body(chunk))
        self.kept.append(chunk)
        return None

    def finish(self) -> None:
        """Note that the answer is whole."""
        self.finished = True

    async def guard(self, sink: Awaitable[None]) -> None:
        """Keep an error of the caller's side, and end the reading.

        Tornado would log and swallow an error raised here, a cancellation too.
        """
        try:
            await sink
        except BaseException as error:
            self.sink_error = error
            self.stream.close()


async def attempt_at(
    pool: ConnectionPool,
    server: BackendServer,
    request: Forwarded,
    *,
    time_left: timedelta,
    only_young: bool,
    head: HeadSink,
    body: BodySink,
) -> Attempt:
    """Send a request to a server and pass its answer on as it comes.

    Only a signed answer of success is passed on through `head` and `body`; any other is
    kept in the attempt. Raises what the caller's side raises.
    """
    attempt = Attempt(server)
    connect = min(CONNECT_LIMIT, time_left)
    try:
        lent = await pool.acquire(
            server.address, connect, max_idle=YOUNG if only_young else None
        )
    except CallFailed as error:
        attempt.outcome, attempt.reason = AttemptOutcome.NOT_RUN, str(error)
        return attempt
    attempt.reused = lent.reused
    whole = False
    try:
        async with asyncio.timeout(max(0.001, time_left.total_seconds())):
            whole = await talk(attempt, lent.stream, request, head, body)
    except TimeoutError:
        attempt.outcome = AttemptOutcome.TIMED_OUT
        attempt.reason = "no whole answer in the time left"
    except (OSError, HTTPInputError) as error:
        attempt.outcome = AttemptOutcome.BROKEN
        attempt.reason = str(error) or type(error).__name__
    finally:
        if not whole:
            lent.stream.close()
    if whole:
        pool.release(server.address, lent.stream, attempt.headers)
    return attempt


async def talk(
    attempt: Attempt,
    stream: PooledStream,
    request: Forwarded,
    head: HeadSink,
    body: BodySink,
) -> bool:
    """Write a request and read its answer; whether the connection can be kept."""
    attempt.sent = True
    connection, written = write_request(
        stream, request.method, request.target, request.headers.copy(), request.body
    )
    reader = AnswerReader(attempt, stream, request.id, head, body)
    for _ in range(MOST_STRAYS):
        await read_answer(connection, reader)
        if not reader.is_stray or not reader.finished or stream.closed():
            break
        # An answer that came late to another request; ours is still to come.
        attempt.reason = "an answer to another request came first"
        connection = HTTP1Connection(stream, True, HTTP_PARAMETERS)
        connection.finish()
        reader = AnswerReader(attempt, stream, request.id, head, body)
    attempt.body = b"".join(reader.kept)
    conclude(attempt, reader, stream)
    kept = attempt.outcome in (AttemptOutcome.ANSWERED, AttemptOutcome.NOT_RUN)
    return kept and reader.finished and not stream.closed() and written.done()


async def read_answer(connection: HTTP1Connection, reader: AnswerReader) -> None:
    """Read one answer; raises what the caller's side raised."""
    try:
        await connection.read_response(reader)
    finally:
        if reader.sink_error is not None:
            raise reader.sink_error


def conclude(attempt: Attempt, reader: AnswerReader, stream: PooledStream) -> None:
    """Decide what an answer means."""
    whole = reader.finished and not reader.is_stray
    if not whole or (stream.closed() and stream.error is not None):
        attempt.outcome = AttemptOutcome.BROKEN
        attempt.reason = attempt.reason or "the answer broke off"
    elif not_executed(attempt.status, attempt.headers):
        attempt.outcome = AttemptOutcome.NOT_RUN
        attempt.reason = f"the server answered {attempt.status}, not executed"
    elif not is_signed(attempt.headers):
        attempt.outcome = AttemptOutcome.INVALID
        attempt.reason = f"an answer {attempt.status} without the server's signature"
    else:
        attempt.outcome = AttemptOutcome.ANSWERED
