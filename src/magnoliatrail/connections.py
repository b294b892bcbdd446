"""Pool of persistent HTTP connections to peers, the store and backend servers."""

import asyncio
import socket
import sys
from array import array
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from tornado.http1connection import HTTP1ConnectionParameters
from tornado.httputil import HTTPHeaders
from tornado.iostream import IOStream

from magnoliatrail.wire import CallFailed

MAX_IDLE_PER_ADDRESS = 16
# The kernel closes a connection whose data stays unacknowledged for this long.
TCP_USER_TIMEOUT_MS = 4_000
# Servers that send no keep-alive timeout keep idle connections at least this long.
DEFAULT_KEEP_ALIVE = timedelta(seconds=20)
# Idle connections are closed this long before the server would close them.
KEEP_ALIVE_MARGIN = timedelta(seconds=1)
# Connections are not kept idle for longer, whatever a server says.
MAX_KEEP_ALIVE = timedelta(hours=1)
MAX_KEEP_ALIVE_DIGITS = 6
# A connection that has carried more requests is closed, which bounds what is kept of
# them to 2 KB.
MAX_CARRIED_REQUESTS = 256
# Limit on the body of an answer that is kept in memory; a relayed stream has none.
MAX_BUFFERED_BODY_BYTES = 16 * 1024 * 1024

# Bodies are limited by their readers, which know whether they are kept.
HTTP_PARAMETERS = HTTP1ConnectionParameters(
    max_body_size=sys.maxsize, max_header_size=64 * 1024
)


class ConnectionUse(Enum):
    """What a connection is kept for.

    Answers to orders name no order, so none of another kind may come before them.
    """

    REQUESTS = "requests"
    ORDERS = "orders"


class PooledStream(IOStream):
    """A persistent connection that carries one request after another."""

    opened_at = timedelta()
    idle_since = timedelta()
    keep_alive = DEFAULT_KEEP_ALIVE
    use = ConnectionUse.REQUESTS

    def __init__(self, connection: socket.socket) -> None:
        super().__init__(connection)
        # Hashes of the ids of the requests that the connection has carried.
        self.carried = array("q")

    def record_carried(self, request_id: str) -> None:
        """Record that the connection has carried a request, whatever its answer."""
        self.carried.append(hash(request_id))

    def has_carried(self, request_id: str) -> bool:
        """Return whether the connection may have carried a request with this id."""
        return hash(request_id) in self.carried

    def is_reusable(self) -> bool:
        """Return whether the peer neither closed the connection nor sent more data."""
        if self.closed() or self._read_buffer_size:
            return False
        try:
            self.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except (BlockingIOError, InterruptedError):
            return True
        except OSError:
            return False
        return False


@dataclass(frozen=True, slots=True)
class AcquiredConnection:
    """A connection from the pool, and whether it carried a request before."""

    stream: PooledStream
    reused: bool


class ConnectionPool:
    """Keep idle connections by address for reuse."""

    def __init__(self, monotonic: Callable[[], timedelta]) -> None:
        self.monotonic = monotonic
        self.idle: dict[str, list[PooledStream]] = defaultdict(list)
        self.opened = 0
        # Is told of each new connection by its address, and of each that failed.
        self.on_open: Callable[[str, bool], None] = lambda address, opened: None

    async def acquire(
        self,
        address: str,
        connect: timedelta,
        *,
        max_idle: timedelta | None = None,
        request_id: str | None = None,
        use: ConnectionUse = ConnectionUse.REQUESTS,
    ) -> AcquiredConnection:
        """Return an idle connection that is kept for this use, or a new one.

        `max_idle` limits how long a reused one may have been idle. One that has carried
        `request_id` is not reused for it: its answer might come again, and could not be
        told from the next one. A request with an empty id gets a new connection; None
        is for calls whose answers are told apart in another way. Raises CallFailed if
        no connection can be opened.
        """
        idle_stream = None
        if request_id != "":
            idle_stream = self.acquire_idle(address, max_idle, request_id, use)
        if idle_stream:
            return AcquiredConnection(idle_stream, reused=True)
        stream = await self.open(address, connect)
        stream.use = use
        return AcquiredConnection(stream, reused=False)

    def acquire_idle(
        self,
        address: str,
        max_idle: timedelta | None = None,
        request_id: str | None = None,
        use: ConnectionUse = ConnectionUse.REQUESTS,
    ) -> PooledStream | None:
        """Return the most recently used idle connection, None if there is none."""
        now = self.monotonic()
        streams = self.idle[address]
        # Connections for another use, or that carried the request before.
        skipped: list[PooledStream] = []
        found = None
        while streams and found is None:
            stream = streams.pop()
            idle = now - stream.idle_since
            if idle >= stream.keep_alive - KEEP_ALIVE_MARGIN or (
                not stream.is_reusable()
            ):
                stream.close()
            elif stream.use is not use or (
                request_id is not None and stream.has_carried(request_id)
            ):
                skipped.append(stream)
            elif max_idle is None or idle <= max_idle:
                found = stream
            else:
                skipped.append(stream)
                break
        streams.extend(reversed(skipped))
        return found

    async def open(self, address: str, limit: timedelta) -> PooledStream:
        """Open a connection.

        Raises CallFailed with `sent` false if it cannot be opened.
        """
        host, _, port = address.rpartition(":")
        stream = PooledStream(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
        try:
            async with asyncio.timeout(max(0.001, limit.total_seconds())):
                await stream.connect((host, int(port)))
        # The last two are raised for an address that cannot exist.
        except (OSError, ValueError, TimeoutError, OverflowError, TypeError) as error:
            stream.close()
            self.on_open(address, False)
            reason = str(error) or f"no connection within {limit.total_seconds():.2f} s"
            raise CallFailed(reason, sent=False) from error
        except asyncio.CancelledError:
            stream.close()
            raise
        stream.set_nodelay(True)
        option = getattr(socket, "TCP_USER_TIMEOUT", None)
        if option is not None:
            stream.socket.setsockopt(socket.IPPROTO_TCP, option, TCP_USER_TIMEOUT_MS)
        stream.opened_at = self.monotonic()
        self.opened += 1
        self.on_open(address, True)
        return stream

    def release(
        self, address: str, stream: PooledStream, answer_headers: HTTPHeaders
    ) -> None:
        """Keep a connection whose answer was read completely, or close it.

        It is closed if the server closes it, if data remains, or if the pool is full.
        """
        server_closes = "close" in answer_headers.get("Connection", "").lower()
        streams = self.idle[address]
        full = (
            len(streams) >= MAX_IDLE_PER_ADDRESS
            or len(stream.carried) >= MAX_CARRIED_REQUESTS
        )
        if server_closes or full or not stream.is_reusable():
            stream.close()
            return
        stream.keep_alive = keep_alive_of(answer_headers)
        stream.idle_since = self.monotonic()
        # With a close callback, the event loop detects that the peer closed it.
        stream.set_close_callback(lambda: None)
        streams.append(stream)

    def idle_addresses(self) -> set[str]:
        """Return the addresses that have idle connections."""
        return {address for address, streams in self.idle.items() if streams}

    def close_address(self, address: str) -> None:
        """Close the idle connections to one address."""
        for stream in self.idle.pop(address, []):
            stream.close()

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self.idle):
            self.close_address(address)


def keep_alive_of(headers: HTTPHeaders) -> timedelta:
    """Return the keep-alive timeout from an answer's headers, or the default."""
    for part in headers.get("Keep-Alive", "").split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.isascii() and value.isdecimal():
            # Longer numbers are over any time that a connection is kept for.
            if len(value) > MAX_KEEP_ALIVE_DIGITS:
                return MAX_KEEP_ALIVE
            return min(MAX_KEEP_ALIVE, timedelta(seconds=int(value)))
    return DEFAULT_KEEP_ALIVE
