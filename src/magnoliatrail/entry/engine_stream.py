"""One connection to an engine, and the answer that arrives on it."""

import asyncio
from dataclasses import dataclass
from datetime import timedelta
from urllib.parse import urlsplit

from tornado.http1connection import (
    HTTP1Connection,
    HTTP1ConnectionParameters,
    is_transfer_encoding_chunked,
)
from tornado.httputil import (
    HTTPHeaders,
    HTTPInputError,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpclient import TCPClient

from magnoliatrail.engines.client import HTTP_OK
from magnoliatrail.entry.chunked import ChunkedBody
from magnoliatrail.wire import CallFailed

READ_BYTES = 16 * 1024
MAX_REFUSAL_BYTES = 1024 * 1024
TCP = TCPClient()


@dataclass(frozen=True, slots=True)
class StreamLimits:
    """Bound the silences of one connection."""

    connect: timedelta
    idle: timedelta


@dataclass(frozen=True, slots=True)
class EngineRequest:
    """Hold what is sent to an engine."""

    method: str
    url: str
    headers: dict[str, str]
    body: bytes = b""


class SilentConnection(CallFailed):
    """Carry that a connection was silent for longer than its limit."""


class AnswerHead(HTTPMessageDelegate):
    """Take an answer's status and headers, and the body of a refusal."""

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
        """Take the head, and the connection from a library that reads slowly."""
        assert isinstance(start_line, ResponseStartLine)
        self.status = start_line.code
        self.headers = headers
        if self.status == HTTP_OK:
            self.stream = self.connection.detach()

    def data_received(self, chunk: bytes) -> None:
        """Take a part of a refusal."""
        self.refusal += chunk


class EngineStream:
    """Read an answer as it comes, with a limit on silence."""

    def __init__(self, head: AnswerHead, source: IOStream, idle: timedelta) -> None:
        self.status = head.status
        self.refusal = bytes(head.refusal)
        self.source = source
        self.idle_seconds = idle.total_seconds()
        self.chunked = is_transfer_encoding_chunked(head.headers)
        self.body = ChunkedBody()
        self.left = length_of(head.headers)
        self.loop = asyncio.get_running_loop()
        self.waiting_since: float | None = None
        self.silent = False
        self.timer = self.loop.call_later(self.idle_seconds, self.check_idle)

    def check_idle(self) -> None:
        """Close the connection if it has been silent for too long."""
        # One timer for each stream, as one for each read costs more than the read.
        now = self.loop.time()
        since = now if self.waiting_since is None else self.waiting_since
        left = since + self.idle_seconds - now
        if left <= 0:
            self.silent = True
            self.source.close()
            return
        self.timer = self.loop.call_later(left, self.check_idle)

    async def read(self) -> bytes:
        """Return the next bytes of the body, none at its end.

        Raises CallFailed if the connection breaks or is silent, and
        HTTPInputError if the body is malformed.
        """
        body = self.body
        while not body.finished and self.left != 0:
            self.waiting_since = self.loop.time()
            try:
                data = await self.source.read_bytes(READ_BYTES, partial=True)
            except StreamClosedError as error:
                return self.closed(error)
            self.waiting_since = None
            if not self.chunked:
                return self.counted(data)
            content = body.take(data)
            if content:
                return content
        return b""

    def counted(self, data: bytes) -> bytes:
        """Count bytes of a body whose length was given, and return them."""
        if self.left is None:
            return data
        data = data[: self.left]
        self.left -= len(data)
        return data

    def closed(self, error: StreamClosedError) -> bytes:
        """Return the end of a body that a close ends, else raise CallFailed."""
        if self.silent:
            raise SilentConnection("the connection is silent", sent=True) from error
        if self.chunked or self.left is not None:
            raise CallFailed(str(error), sent=True) from error
        return b""

    def close(self) -> None:
        """Close the connection."""
        self.timer.cancel()
        self.source.close()


def length_of(headers: HTTPHeaders) -> int | None:
    """Return the length of a body that is not chunked, None if it is not given.

    Raises HTTPInputError if it is no length.
    """
    text = headers.get("Content-Length")
    if text is None or is_transfer_encoding_chunked(headers):
        return None
    if not text.isascii() or not text.isdigit():
        raise HTTPInputError("the length of the body is no number")
    return int(text)


async def open_stream(request: EngineRequest, limits: StreamLimits) -> EngineStream:
    """Send a request over a new connection and return its answer's start.

    Raises CallFailed if there is no answer.
    """
    address = urlsplit(request.url)
    try:
        source = await TCP.connect(
            address.hostname or "", address.port or 80, timeout=limits.connect
        )
    except (OSError, TimeoutError, StreamClosedError) as error:
        raise CallFailed(str(error), sent=False) from error
    source.set_nodelay(True)
    source.read_chunk_size = READ_BYTES
    try:
        head = await exchange_heads(source, request, limits.idle)
        return EngineStream(head, source, limits.idle)
    except TimeoutError as error:
        source.close()
        raise SilentConnection("no answer began", sent=True) from error
    except (StreamClosedError, HTTPInputError) as error:
        source.close()
        raise CallFailed(str(error), sent=True) from error
    except asyncio.CancelledError:
        source.close()
        raise


async def exchange_heads(
    source: IOStream, request: EngineRequest, idle: timedelta
) -> AnswerHead:
    """Send a request, and read the head of its answer or the whole refusal."""
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
        whole = await connection.read_response(head)
    if not whole and head.stream is None:
        raise HTTPInputError("the answer's head is malformed or cut")
    return head
