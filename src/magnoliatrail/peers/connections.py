"""Kept connections to other instances, over which many messages go."""

import asyncio
from collections import defaultdict
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any
from urllib.parse import urlsplit

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream
from tornado.tcpclient import TCPClient

from magnoliatrail.wire import CallFailed, CallLimits

MAX_IDLE_PER_PEER = 4
# A kept connection that gives no answer for this long is taken for silent.
SILENT_AFTER = timedelta(seconds=2)


@dataclass
class PeerAnswer(HTTPMessageDelegate):
    """Collect the answer to one message."""

    code: int = 0
    body: bytearray = field(default_factory=bytearray)
    finished: bool = False

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        """Take the status of the answer."""
        assert isinstance(start_line, ResponseStartLine)
        self.code = start_line.code

    def data_received(self, chunk: bytes) -> None:
        """Take a part of the body."""
        self.body.extend(chunk)

    def finish(self) -> None:
        """Note that the answer is whole."""
        self.finished = True


class KeptConnections:
    """Send messages to peers, each over a connection that stays open."""

    def __init__(self) -> None:
        self.tcp = TCPClient()
        self.idle: dict[str, list[IOStream]] = defaultdict(list)
        self.opened = 0
        self.bytes_sent = 0
        self.bytes_received = 0
        self.params = HTTP1ConnectionParameters()

    async def post(
        self, url: str, headers: dict[str, str], body: bytes, limits: CallLimits
    ) -> PeerAnswer:
        """Send a message, again on a new connection if a kept one is silent.

        Raises CallFailed if there is no answer.
        """
        parts = urlsplit(url)
        stream = self.take_idle(parts.netloc)
        started = asyncio.get_running_loop().time()
        if stream:
            limit = min(limits.total / 2, SILENT_AFTER)
            try:
                return await self.exchange(stream, parts, headers, body, limit)
            except CallFailed:
                # A kept connection may have been lost on the way without a sign.
                self.close_peer(parts.netloc)
        spent = timedelta(seconds=asyncio.get_running_loop().time() - started)
        stream = await self.open(parts.netloc, limits.connect)
        return await self.exchange(stream, parts, headers, body, limits.total - spent)

    def take_idle(self, address: str) -> IOStream | None:
        """Return a kept connection that nobody uses."""
        streams = self.idle[address]
        while streams:
            stream = streams.pop()
            if not stream.closed():
                return stream
        return None

    async def open(self, address: str, limit: timedelta) -> IOStream:
        """Open a connection."""
        host, _, port = address.rpartition(":")
        try:
            stream = await self.tcp.connect(host, int(port), timeout=limit)
        except (OSError, TimeoutError) as error:
            raise CallFailed(str(error) or "no connection", sent=False) from error
        stream.set_nodelay(True)
        self.opened += 1
        return stream

    async def exchange(
        self,
        stream: IOStream,
        parts: Any,
        headers: dict[str, str],
        body: bytes,
        limit: timedelta,
    ) -> PeerAnswer:
        """Send one message over a connection and read its answer."""
        answer = PeerAnswer()
        whole = False
        try:
            async with asyncio.timeout(max(0.0, limit.total_seconds())):
                await self.send_and_read(stream, parts, headers, body, answer)
            whole = answer.finished and not stream.closed()
        except (OSError, TimeoutError) as error:
            message = str(error) or f"no answer within {limit.total_seconds():.1f} s"
            raise CallFailed(message, sent=True) from error
        finally:
            if not whole:
                stream.close()
        if not answer.finished:
            raise CallFailed("the connection was closed", sent=True)
        self.bytes_received += len(answer.body)
        self.keep(parts.netloc, stream)
        return answer

    async def send_and_read(
        self,
        stream: IOStream,
        parts: Any,
        headers: dict[str, str],
        body: bytes,
        answer: PeerAnswer,
    ) -> None:
        """Write a request and read its response."""
        connection = HTTP1Connection(stream, True, self.params)
        fields = HTTPHeaders(headers)
        fields["Host"] = parts.netloc
        fields["Content-Length"] = str(len(body))
        start_line = RequestStartLine("POST", parts.path, "")
        self.bytes_sent += len(body)
        sent = connection.write_headers(start_line, fields, body)
        connection.finish()
        await sent
        await connection.read_response(answer)

    def keep(self, address: str, stream: IOStream) -> None:
        """Keep a connection for the next message."""
        streams = self.idle[address]
        if len(streams) < MAX_IDLE_PER_PEER:
            streams.append(stream)
        else:
            stream.close()

    def close_peer(self, address: str) -> None:
        """Close the kept connections to one peer."""
        for stream in self.idle.pop(address, []):
            stream.close()

    def close(self) -> None:
        """Close all kept connections."""
        for address in list(self.idle):
            self.close_peer(address)
        self.tcp.close()
