"""A request and its complete answer over a pooled connection."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from http import HTTPStatus

from tornado.http1connection import HTTP1Connection
from tornado.httputil import (
    HTTPHeaders,
    HTTPInputError,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)

from magnoliatrail.connections import (
    HTTP_PARAMETERS,
    MAX_BUFFERED_BODY_BYTES,
    ConnectionPool,
    ConnectionUse,
    PooledStream,
)
from magnoliatrail.wire import (
    FINAL_STATUSES,
    CallFailed,
    CallLimits,
    undefined_status,
)

# With `retry_if_silent`, a reused connection without an answer for this long is
# replaced by a new one.
SILENT_CONNECTION_TIMEOUT = timedelta(seconds=1)
# Requests with these methods have no Content-Length unless a body is given.
METHODS_WITHOUT_BODY = ("GET", "HEAD", "DELETE")
INTERIM_STATUSES = range(100, 200)
# Tornado gives up on more.
MAX_INTERIM_ANSWERS = 10


@dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """A request to send."""

    method: str
    target: str
    headers: HTTPHeaders = field(default_factory=HTTPHeaders)
    body: bytes = b""


@dataclass
class AnswerBounds:
    """Close the connection of an answer without end, and know why."""

    stream: PooledStream
    # Bound on the bodies, None for a body that is passed on as it arrives.
    max_body_bytes: int | None = MAX_BUFFERED_BODY_BYTES
    # False for an answer to HEAD, whose length is that of another body.
    has_body: bool = True
    body_bytes: int = 0
    interim_answers: int = 0
    reason: str = ""

    def is_final(self, code: int) -> bool:
        """Return whether a head is that of a final answer, not of an interim one.

        Closes the connection if its status is neither.
        """
        if code in FINAL_STATUSES:
            return True
        if code in INTERIM_STATUSES:
            self.interim_answers += 1
        else:
            self.give_up(undefined_status(code))
        return False

    def check_head(self, headers: HTTPHeaders) -> None:
        """Close the connection if the length of the body exceeds the bound."""
        length = headers.get("Content-Length", "")
        if self.has_body and length.isdecimal():
            self.check_body(int(length))

    def add(self, chunk: bytes) -> bool:
        """Count a part of the body; return whether it is within the bound."""
        self.body_bytes += len(chunk)
        return self.check_body(self.body_bytes)

    def check_body(self, size: int) -> bool:
        """Close the connection if a size exceeds the bound."""
        if self.max_body_bytes is None or size <= self.max_body_bytes:
            return True
        self.give_up(f"the answer has more than {self.max_body_bytes} bytes")
        return False

    def give_up(self, reason: str) -> None:
        """Close the connection because of what the answer lacks."""
        self.reason = reason
        self.stream.close()

    @property
    def cause(self) -> str:
        """Return why the answer is incomplete, empty if that is not known."""
        if self.reason:
            return self.reason
        if self.stream.error is not None:
            return str(self.stream.error) or type(self.stream.error).__name__
        if self.interim_answers > MAX_INTERIM_ANSWERS:
            return f"more than {MAX_INTERIM_ANSWERS} interim answers"
        return ""


@dataclass
class BufferedAnswer(HTTPMessageDelegate):
    """Collect the status, headers and body of an answer."""

    bounds: AnswerBounds
    code: int = 0
    headers: HTTPHeaders = field(default_factory=HTTPHeaders)
    body: bytearray = field(default_factory=bytearray)
    finished: bool = False

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        """Store the status and the headers."""
        assert isinstance(start_line, ResponseStartLine)
        if not self.bounds.is_final(start_line.code):
            return
        self.code = start_line.code
        self.headers = headers
        self.bounds.check_head(headers)

    def data_received(self, chunk: bytes) -> None:
        """Append a part of the body."""
        if self.bounds.add(chunk):
            self.body.extend(chunk)

    def finish(self) -> None:
        """Mark the answer as complete."""
        self.finished = True

    @property
    def may_be_cut(self) -> bool:
        """Return whether the answer may have ended with its head."""
        framed = "Content-Length" in self.headers or "Transfer-Encoding" in self.headers
        bodiless = self.code in (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED)
        return not (self.body or framed or bodiless)


# Returns by its headers whether an answer belongs to the request.
AnswerFilter = Callable[[HTTPHeaders], bool]


@dataclass(frozen=True, slots=True)
class ExchangeRules:
    """Which answer belongs to a request, and which connections are kept."""

    is_answer: AnswerFilter
    keep_refused: bool
    max_body_bytes: int


async def exchange(
    pool: ConnectionPool,
    address: str,
    request: OutgoingRequest,
    limits: CallLimits,
    *,
    retry_if_silent: bool = False,
    is_answer: AnswerFilter = lambda headers: True,
    keep_refused: bool = True,
    max_body_bytes: int = MAX_BUFFERED_BODY_BYTES,
    use: ConnectionUse = ConnectionUse.REQUESTS,
) -> BufferedAnswer:
    """Send a request and return its complete answer.

    With `retry_if_silent`, a request without an answer on a reused connection is sent
    again over a new one, so use it only for idempotent requests. `is_answer` tells by
    its headers an answer to this request from a late one to another. Without
    `keep_refused`, a connection that has carried a refusal is closed, as the refusal
    might come again and be taken for the next answer. An answer with a body of more
    than `max_body_bytes` is a failure. `use` selects the connections
    that are kept for it. Raises CallFailed.
    """
    rules = ExchangeRules(is_answer, keep_refused, max_body_bytes)
    started = pool.monotonic()
    if retry_if_silent:
        idle_stream = pool.acquire_idle(address)
        if idle_stream:
            try:
                limit = min(limits.total / 2, SILENT_CONNECTION_TIMEOUT)
                return await exchange_on(
                    pool, address, idle_stream, request, limit, rules
                )
            except CallFailed:
                pool.close_address(address)
        stream = await pool.open(address, limits.connect)
    else:
        stream = (await pool.acquire(address, limits.connect, use=use)).stream
    rest = limits.total - (pool.monotonic() - started)
    return await exchange_on(pool, address, stream, request, rest, rules)


async def exchange_on(
    pool: ConnectionPool,
    address: str,
    stream: PooledStream,
    request: OutgoingRequest,
    limit: timedelta,
    rules: ExchangeRules,
) -> BufferedAnswer:
    """Send a request over a connection and return its complete answer."""
    answer = BufferedAnswer(AnswerBounds(stream, rules.max_body_bytes))
    try:
        async with asyncio.timeout(max(0.0, limit.total_seconds())):
            await send_and_read(stream, address, request, answer)
    except (OSError, HTTPInputError, TimeoutError) as error:
        message = (
            answer.bounds.cause
            or str(error)
            or f"no answer within {limit.total_seconds():.2f} s"
        )
        raise CallFailed(message, sent=True) from error
    finally:
        if not answer.finished:
            stream.close()
    if not answer.finished or answer.bounds.reason or stream.error is not None:
        cause = answer.bounds.cause or "the connection was closed"
        raise CallFailed(cause, sent=True)
    if answer.may_be_cut:
        stream.close()
        raise CallFailed("the answer has neither a length nor a body", sent=True)
    if not rules.is_answer(answer.headers):
        stream.close()
        raise CallFailed("an answer to another request came first", sent=True)
    if answer.code >= HTTPStatus.MULTIPLE_CHOICES and not rules.keep_refused:
        stream.close()
    else:
        pool.release(address, stream, answer.headers)
    return answer


async def send_and_read(
    stream: PooledStream,
    address: str,
    request: OutgoingRequest,
    answer: HTTPMessageDelegate,
) -> None:
    """Write a request and read its response."""
    fields = request.headers.copy()
    if "Host" not in fields:
        fields["Host"] = address
    connection, sent = write_request(
        stream, request.method, request.target, fields, request.body
    )
    await sent
    await connection.read_response(answer)


def write_request(
    stream: PooledStream, method: str, target: str, fields: HTTPHeaders, body: bytes
) -> tuple[HTTP1Connection, "asyncio.Future[None]"]:
    """Start to write a request; return its connection and a future for the write.

    Content-Length is added to the headers.
    """
    connection = HTTP1Connection(stream, True, HTTP_PARAMETERS)
    if body or method not in METHODS_WITHOUT_BODY:
        fields["Content-Length"] = str(len(body))
    start_line = RequestStartLine(method, target, "")
    written = connection.write_headers(start_line, fields, body or None)
    connection.finish()
    return connection, written
