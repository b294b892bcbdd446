"""A single attempt to send a request to a backend server."""

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

from magnoliatrail.backends import BackendServer, NoticeSink
from magnoliatrail.connections import (
    HTTP_PARAMETERS,
    ConnectionPool,
    PooledStream,
)
from magnoliatrail.exchange import AnswerBounds, write_request
from magnoliatrail.forwarding.head_check import HeadAnswer
from magnoliatrail.forwarding.request import is_event_stream
from magnoliatrail.platform.request_headers import (
    answers_request,
    is_signed,
    not_executed,
    server_notice,
)
from magnoliatrail.wire import CallFailed

CONNECT_TIMEOUT = timedelta(milliseconds=400)
# A connection that was idle for longer may have been dropped without notice, which is
# too risky for a request that must not be sent twice.
MAX_IDLE_NON_IDEMPOTENT = timedelta(seconds=5)
# Limit on the answers read for a request: late answers to others may come first.
MAX_ANSWERS_READ = 3
STALLED_STREAM = "the stream sends bytes but completes no event"
# A blank line ends an event; lines end with LF, CRLF or CR.
EVENT_ENDS = (b"\n\n", b"\n\r\n", b"\r\r")
LONGEST_EVENT_END = max(map(len, EVENT_ENDS))


class Framing(Enum):
    """How an answer marks the end of its body."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION_CLOSE = "connection_close"


class AttemptOutcome(Enum):
    """The outcome of an attempt."""

    # A complete answer with the server's signature.
    ANSWERED = "answered"
    # The server answered that it did not run the request, or it was never sent.
    NOT_RUN = "not_run"
    # The request may have run; its answer is missing or incomplete.
    BROKEN = "broken"
    # No complete answer within the time limit.
    TIMED_OUT = "timed_out"
    # An answer without the server's signature.
    INVALID = "invalid"


@dataclass
class Attempt:
    """One server's answer to a request, and how the attempt ended."""

    server: BackendServer
    outcome: AttemptOutcome = AttemptOutcome.BROKEN
    status: int = 0
    headers: HTTPHeaders = field(default_factory=HTTPHeaders)
    body: bytes = b""
    reason: str = ""
    # Why the request was not sent after a last check.
    withheld: HeadAnswer | None = None
    # Whether the request may have reached the server.
    sent: bool = False
    started: bool = False
    reused: bool = False
    framing: Framing | None = None
    body_bytes: int = 0
    # Whether the body of a stream stops before the end of an event.
    inside_event: bool = False
    # Why the connection failed, empty if it was closed or kept in order.
    connection_error: str = ""
    # Streams only: time to the first event, and the longest pause between two events.
    first_event: timedelta | None = None
    longest_pause: timedelta = timedelta()


@dataclass(frozen=True, slots=True)
class ForwardedRequest:
    """A request in the form that is sent to one server."""

    id: str
    method: str
    target: str
    headers: HTTPHeaders
    body: bytes


# Return whether the bytes of a read leave a stream of events stalled.
ProgressCheck = Callable[[bytes], bool]
# Receive the status and headers of an answer, then each chunk of its body.
HeadSink = Callable[[int, HTTPHeaders], Awaitable[None]]
BodySink = Callable[[bytes], Awaitable[None]]
# Completes the headers of a request right before it is written, or refuses it.
SendCheck = Callable[[HTTPHeaders], HeadAnswer | None]


class AnswerReader(HTTPMessageDelegate):
    """Read one answer, and relay or buffer it."""

    def __init__(
        self,
        attempt: Attempt,
        request_id: str,
        head: HeadSink,
        body: BodySink,
        notice: NoticeSink,
        bounds: AnswerBounds,
        max_relayed_bytes: int | None,
        progress: ProgressCheck | None = None,
    ) -> None:
        self.notice = notice
        self.progress = progress
        self.bounds = bounds
        self.max_relayed_bytes = max_relayed_bytes
        self.attempt = attempt
        self.stream = bounds.stream
        self.request_id = request_id
        self.head = head
        self.body_sink = body
        self.headers = HTTPHeaders()
        self.status = 0
        self.is_stray = False
        # Whether the answer names the request, None if it names none.
        self.names_request: bool | None = None
        self.relays = False
        self.is_events = False
        self.finished = False
        self.buffered: list[bytes] = []
        self.last_bytes = b""
        # The error raised by `head` or `body`, the caller's side.
        self.sink_error: BaseException | None = None

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        """Decide by its headers whether an answer is stray, relayed or buffered."""
        assert isinstance(start_line, ResponseStartLine)
        if start_line.code < HTTPStatus.OK:
            self.bounds.interim_answers += 1
            return None
        self.status, self.headers = start_line.code, headers
        self.names_request = answers_request(headers, self.request_id)
        self.is_stray = self.names_request is False
        if self.is_stray:
            self.bounds.check_head(headers)
            return None
        self.attempt.status, self.attempt.headers = self.status, headers
        self.attempt.framing = framing_of(headers)
        server = self.attempt.server
        if self.names_request:
            self.notice(
                server, server_notice(server, self.status, headers, to_request=True)
            )
        self.relays = (
            bool(self.names_request)
            and not not_executed(self.status, headers)
            and is_signed(headers)
            and HTTPStatus.OK <= self.status < HTTPStatus.MULTIPLE_CHOICES
        )
        self.is_events = is_event_stream(headers)
        if self.relays:
            self.bounds.max_body_bytes = self.max_relayed_bytes
        self.bounds.check_head(headers)
        if not self.relays or self.bounds.reason:
            return None
        return self.run_sink(self.head(self.status, headers))

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Relay or buffer a chunk of the body."""
        if not self.bounds.add(chunk) or self.is_stray or self.sink_error is not None:
            return None
        self.attempt.body_bytes += len(chunk)
        if self.relays:
            if self.progress and self.is_events and self.progress(chunk):
                self.bounds.give_up(STALLED_STREAM)
                return None
            self.attempt.started = True
            self.last_bytes = (self.last_bytes + chunk)[-LONGEST_EVENT_END:]
            return self.run_sink(self.body_sink(chunk))
        self.buffered.append(chunk)
        return None

    def finish(self) -> None:
        """Mark the answer as complete."""
        self.finished = True

    @property
    def is_truncated_stream(self) -> bool:
        """Return whether a finished stream lacks its end, whatever its framing says."""
        if self.is_inside_event:
            return True
        # The close of a connection is no sign that a stream without events is complete.
        return (
            self.relays
            and self.is_events
            and self.attempt.framing is Framing.CONNECTION_CLOSE
            and not self.last_bytes
        )

    @property
    def is_inside_event(self) -> bool:
        """Return whether a relayed stream stopped before the end of an event."""
        return (
            self.is_events
            and bool(self.last_bytes)
            and not self.last_bytes.endswith(EVENT_ENDS)
        )

    async def run_sink(self, sink: Awaitable[None]) -> None:
        """Await a sink; store an error of the caller's side and close the stream.

        Tornado logs and swallows errors raised here, including cancellation.
        """
        try:
            await sink
        except BaseException as error:
            self.sink_error = error
            self.stream.close()


async def send_attempt(
    pool: ConnectionPool,
    server: BackendServer,
    request: ForwardedRequest,
    *,
    time_left: timedelta,
    only_recently_used: bool,
    head: HeadSink,
    body: BodySink,
    notice: NoticeSink,
    max_relayed_bytes: int | None,
    check: SendCheck | None = None,
    progress: ProgressCheck | None = None,
) -> Attempt:
    """Send a request to a server and relay its answer as it arrives.

    `notice` gets what the server says of itself as soon as the headers arrive.
    Only a signed 2xx answer is relayed through `head` and `body`; any other is buffered
    in the attempt. `max_relayed_bytes` bounds a relayed body, None if it is passed on
    as it arrives. Other bodies are bounded always. `check` is asked once there is a
    connection. A stream of events that `progress` finds stalled is broken off. Raises
    what `head` and `body` raise.
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
    attempt.reused = lent.reused
    if check is not None:
        attempt.withheld = check(request.headers)
    if attempt.withheld is not None:
        lent.stream.close()
        attempt.outcome = AttemptOutcome.NOT_RUN
        attempt.reason = attempt.withheld.reason
        return attempt
    bounds = AnswerBounds(lent.stream, has_body=request.method != "HEAD")
    reusable = False
    try:
        async with asyncio.timeout(max(0.001, time_left.total_seconds())):
            reusable = await send_and_read(
                attempt,
                request,
                head,
                body,
                notice,
                bounds,
                max_relayed_bytes,
                progress,
            )
    except TimeoutError:
        attempt.outcome = AttemptOutcome.TIMED_OUT
        attempt.reason = "no whole answer in the time left"
    except (OSError, HTTPInputError) as error:
        attempt.outcome = AttemptOutcome.BROKEN
        attempt.reason = bounds.cause or str(error) or type(error).__name__
    finally:
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
    head: HeadSink,
    body: BodySink,
    notice: NoticeSink,
    bounds: AnswerBounds,
    max_relayed_bytes: int | None,
    progress: ProgressCheck | None,
) -> bool:
    """Send a request and read its answer; return whether the connection is reusable."""
    attempt.sent = True
    stream = bounds.stream
    connection, written = write_request(
        stream, request.method, request.target, request.headers.copy(), request.body
    )

    def new_reader() -> AnswerReader:
        return AnswerReader(
            attempt, request.id, head, body, notice, bounds, max_relayed_bytes, progress
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


def framing_of(headers: HTTPHeaders) -> Framing:
    """Return how the headers of an answer say that its body ends."""
    if "Transfer-Encoding" in headers:
        return Framing.CHUNKS
    return Framing.LENGTH if "Content-Length" in headers else Framing.CONNECTION_CLOSE


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
