"""Streaming client connection to an engine."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from datetime import timedelta
from socket import AF_INET, AF_INET6, SOCK_STREAM, socket
from time import monotonic
from urllib.parse import urlsplit

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import (
    HTTPHeaders,
    HTTPInputError,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError

from magnoliatrail.engines.client import HTTP_OK
from magnoliatrail.entry.engine_body import body_decoder
from magnoliatrail.wire import FINAL_STATUSES, CallFailed, undefined_status

READ_BYTES = 16 * 1024
READ_BATCHING_PAUSE_SECONDS = 0.02
# Reads are batched while the gap to the previous read is shorter than this.
MAX_FREQUENT_READ_GAP_SECONDS = 0.025
MAX_REFUSAL_BYTES = 1024 * 1024
HTTP_PORT = 80
EVENT_STREAM = "text/event-stream"
SOFTWARE_VERSION_HEADER = "X-Software-Version"

ContentHandler = Callable[[bytes], Awaitable[None] | None]


@dataclass(frozen=True, slots=True)
class StreamLimits:
    """Hold the connect and idle timeouts of one connection."""

    connect: timedelta
    idle: timedelta


@dataclass(frozen=True, slots=True)
class EngineRequest:
    """Hold an HTTP request to an engine."""

    method: str
    url: str
    headers: dict[str, str]
    body: bytes = b""


class ConnectionIdleTimeout(CallFailed):
    """Report that a connection exceeded its idle timeout."""


class AnswerHead(HTTPMessageDelegate):
    """Receive the status and headers of an answer, and the body of a refusal."""

    def __init__(self, connection: HTTP1Connection) -> None:
        self.connection = connection
        self.status = 0
        self.headers = HTTPHeaders()
        self.refusal = bytearray()
        self.stream: IOStream | None = None

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        """Store the head, and detach the connection if a body is to be streamed.

        Tornado reads bodies too slowly for streams of small events.
        """
        assert isinstance(start_line, ResponseStartLine)
        self.status = start_line.code
        self.headers = headers
        if self.status == HTTP_OK:
            self.stream = self.connection.detach()

    def data_received(self, chunk: bytes) -> None:
        """Append to the body of a refusal."""
        self.refusal += chunk


class EngineStream:
    """Relay the body of an answer as it arrives, with an idle timeout."""

    def __init__(self, head: AnswerHead, source: IOStream, idle: timedelta) -> None:
        self.status = head.status
        self.refusal = bytes(head.refusal)
        media_type = head.headers.get("Content-Type", "").partition(";")[0]
        self.is_event_stream = media_type.strip().lower() == EVENT_STREAM
        self.software_version = head.headers.get(SOFTWARE_VERSION_HEADER, "")
        self.source = source
        self.body = body_decoder(head.headers)
        # Set by take_over_socket; from then on, reads bypass Tornado.
        self.socket: socket | None = None
        self.idle_seconds = idle.total_seconds()
        self.loop = asyncio.get_running_loop()
        self.stopped = False
        self.waiting_since: float | None = None
        self.last_read = 0.0
        self.frequent_reads = False
        # Done when reading must pause; the result is the write to await, if any.
        self.pause: asyncio.Future[Awaitable[None] | None]
        self.handle_content: ContentHandler
        self.timer = self.loop.call_later(self.idle_seconds, self.check_idle)

    def check_idle(self) -> None:
        """Fail the relay if nothing arrived within the idle timeout."""
        # One timer per stream: a timer per read would cost more than the read itself.
        now = monotonic()
        since = now if self.waiting_since is None else self.waiting_since
        remaining = since + self.idle_seconds - now
        if remaining > 0:
            self.timer = self.loop.call_later(remaining, self.check_idle)
            return
        if not self.pause.done():
            error = ConnectionIdleTimeout("the connection is silent", sent=True)
            self.pause.set_exception(error)

    async def relay(self, handle_content: ContentHandler) -> None:
        """Pass the body to a handler read by read, until its end or `stop`.

        Nothing is read before the awaitable that the handler returned is done.
        Raises CallFailed if the connection breaks or exceeds the idle timeout,
        and HTTPInputError if the body is malformed.
        """
        self.handle_content = handle_content
        while not self.ended:
            self.pause = self.loop.create_future()
            self.waiting_since = monotonic()
            if self.socket:
                self.loop.add_reader(self.socket, self.on_readable, self.socket)
            else:
                read = asyncio.ensure_future(self.read_buffered())
                read.add_done_callback(self.on_buffered)
            try:
                written = await self.pause
            finally:
                self.waiting_since = None
                if self.socket:
                    self.loop.remove_reader(self.socket)
            if written is not None:
                await written
            elif self.frequent_reads and not self.ended:
                # Events that arrive faster than people read are sent in batches, as a
                # system call costs far more than the bytes that it moves.
                await asyncio.sleep(READ_BATCHING_PAUSE_SECONDS)

    @property
    def ended(self) -> bool:
        """Return whether reading has ended."""
        return self.stopped or self.body.finished

    def stop(self) -> None:
        """Stop reading."""
        self.stopped = True

    async def read_buffered(self) -> bytes:
        """Read through Tornado, which may have buffered the start of the body."""
        try:
            return await self.source.read_bytes(READ_BYTES, partial=True)
        except StreamClosedError:
            return b""

    def on_buffered(self, read: "asyncio.Future[bytes]") -> None:
        """Handle a read through Tornado, and read from the socket itself after it."""
        data = read.result()
        # Reading through IOStream costs a second system call, a future and a task
        # switch per event.
        self.handle_read(data + self.take_over_socket() if data else data)
        if not self.pause.done():
            self.pause.set_result(None)

    def take_over_socket(self) -> bytes:
        """Duplicate the socket, and return what Tornado has read ahead."""
        data = b""
        while len(data) < READ_BYTES:
            try:
                read = self.source.read_bytes(READ_BYTES, partial=True)
            except StreamClosedError:
                return data
            assert isinstance(read, asyncio.Future)
            if not read.done():
                # Tornado's buffer is empty, and the event loop cannot run between this
                # read and the close, so no byte is lost.
                self.socket = self.source.socket.dup()
                self.source.close()
                return data
            if read.exception():
                return data
            data += read.result()
        return data

    def on_readable(self, socket: socket) -> None:
        """Read once from the socket."""
        try:
            data = socket.recv(READ_BYTES)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            data = b""
        self.handle_read(data)

    def handle_read(self, data: bytes) -> None:
        """Decode and relay the data of one read, and pause if the write is pending."""
        if self.pause.done():
            return
        now = monotonic()
        self.frequent_reads = now - self.last_read < MAX_FREQUENT_READ_GAP_SECONDS
        self.waiting_since = self.last_read = now
        try:
            if not data:
                self.body.handle_close()
            content = self.body.decode(data)
            written = self.handle_content(content) if content else None
        except Exception as error:
            self.pause.set_exception(error)
            return
        if written is not None or self.stopped or self.body.finished:
            self.pause.set_result(written)
        elif self.frequent_reads:
            self.pause.set_result(None)

    def close(self) -> None:
        """Close the connection."""
        self.timer.cancel()
        self.source.close()
        if self.socket:
            self.socket.close()


async def open_stream(request: EngineRequest, limits: StreamLimits) -> EngineStream:
    """Send a request over a new connection, and wait for the response headers.

    Raises CallFailed if no response arrives.
    """
    address = urlsplit(request.url)
    family = AF_INET6 if ":" in (address.hostname or "") else AF_INET
    source = IOStream(socket(family, SOCK_STREAM))
    try:
        async with asyncio.timeout(limits.connect.total_seconds()):
            # Backend servers have IP addresses, so there is no name to resolve.
            await source.connect((address.hostname or "", address.port or HTTP_PORT))
    except (OSError, TimeoutError, ValueError, OverflowError) as error:
        source.close()
        raise CallFailed(str(error), sent=False) from error
    except asyncio.CancelledError:
        source.close()
        raise
    source.set_nodelay(True)
    source.read_chunk_size = READ_BYTES
    try:
        head = await exchange_heads(source, request, limits.idle)
        return EngineStream(head, source, limits.idle)
    except TimeoutError as error:
        source.close()
        raise ConnectionIdleTimeout("no answer began", sent=True) from error
    except (StreamClosedError, HTTPInputError) as error:
        source.close()
        raise CallFailed(str(error), sent=True) from error
    except asyncio.CancelledError:
        source.close()
        raise


async def exchange_heads(
    source: IOStream, request: EngineRequest, idle: timedelta
) -> AnswerHead:
    """Send a request, and read the response headers or a complete refusal."""
    address = urlsplit(request.url)
    parameters = HTTP1ConnectionParameters(
        no_keep_alive=True, max_body_size=MAX_REFUSAL_BYTES
    )
    connection = HTTP1Connection(source, True, parameters)
    headers = HTTPHeaders(request.headers)
    headers["Host"] = address.netloc
    headers["Connection"] = "close"
    headers["Content-Length"] = str(len(request.body))
    start_line = RequestStartLine(request.method, address.path, "HTTP/1.1")
    connection.write_headers(start_line, headers, request.body)
    connection.finish()
    head = AnswerHead(connection)
    async with asyncio.timeout(idle.total_seconds()):
        complete = await connection.read_response(head)
    if not complete and head.stream is None:
        raise HTTPInputError("the answer's head is malformed or cut")
    if head.status not in FINAL_STATUSES:
        raise HTTPInputError(undefined_status(head.status))
    return head
