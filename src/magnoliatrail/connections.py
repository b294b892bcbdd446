"""Kept connections to other processes: peers, the store, backend servers."""

import asyncio
import socket
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from tornado.http1connection import HTTP1ConnectionParameters
from tornado.httputil import HTTPHeaders
from tornado.iostream import IOStream

from magnoliatrail.wire import CallFailed

MAX_IDLE_PER_ADDRESS = 16
# Unacknowledged bytes after which the kernel gives a connection up, milliseconds.
TCP_USER_TIMEOUT_MS = 4_000
# A server that names no time keeps unused connections at least this long.
DEFAULT_KEEP_ALIVE = timedelta(seconds=20)
# Connections are given up this long before the server would close them.
KEEP_ALIVE_MARGIN = timedelta(seconds=1)
MAX_BODY_BYTES = 64 * 1024 * 1024

HTTP_PARAMETERS = HTTP1ConnectionParameters(
    max_body_size=MAX_BODY_BYTES, max_header_size=256 * 1024
)


class PooledStream(IOStream):
    """One connection that can be used for request after request."""

    idle_since = timedelta()
    keep_alive = DEFAULT_KEEP_ALIVE

    def is_reusable(self) -> bool:
        """Return whether the peer has neither closed it nor sent anything more."""
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
    """A connection taken from the pool, and whether it was used before."""

    stream: PooledStream
    reused: bool


class ConnectionPool:
    """Keep connections by address."""

    def __init__(self, monotonic: Callable[[], timedelta]) -> None:
        self.monotonic = monotonic
        self.idle: dict[str, list[PooledStream]] = defaultdict(list)
        self.opened = 0

    async def acquire(
        self, address: str, connect: timedelta, *, max_idle: timedelta | None = None
    ) -> AcquiredConnection:
        """Return an unused connection, kept or new.

        `youngest` is how long a kept one may have been idle at most. Raises
        CallFailed if none can be opened.
        """
        kept = self.acquire_idle(address, max_idle)
        if kept:
            return AcquiredConnection(kept, reused=True)
        return AcquiredConnection(await self.open(address, connect), reused=False)

    def acquire_idle(
        self, address: str, max_idle: timedelta | None = None
    ) -> PooledStream | None:
        """Return the kept connection that was used last, None if there is none."""
        now = self.monotonic()
        streams = self.idle[address]
        while streams:
            stream = streams.pop()
            idle = now - stream.idle_since
            if idle < stream.keep_alive - KEEP_ALIVE_MARGIN and stream.is_reusable():
                if max_idle is None or idle <= max_idle:
                    return stream
                streams.append(stream)
                return None
            stream.close()
        return None

    async def open(self, address: str, limit: timedelta) -> PooledStream:
        """Open a connection; raises CallFailed, with nothing sent."""
        host, _, port = address.rpartition(":")
        stream = PooledStream(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
        try:
            async with asyncio.timeout(max(0.001, limit.total_seconds())):
                await stream.connect((host, int(port)))
        except (OSError, ValueError, TimeoutError) as error:
            stream.close()
            reason = str(error) or f"no connection within {limit.total_seconds():.2f} s"
            raise CallFailed(reason, sent=False) from error
        except asyncio.CancelledError:
            stream.close()
            raise
        stream.set_nodelay(True)
        option = getattr(socket, "TCP_USER_TIMEOUT", None)
        if option is not None:
            stream.socket.setsockopt(socket.IPPROTO_TCP, option, TCP_USER_TIMEOUT_MS)
        self.opened += 1
        return stream

    def release(
        self, address: str, stream: PooledStream, answer_headers: HTTPHeaders
    ) -> None:
        """Keep a connection whose answer was read whole, if the server does."""
        wants_close = "close" in answer_headers.get("Connection", "").lower()
        streams = self.idle[address]
        full = len(streams) >= MAX_IDLE_PER_ADDRESS
        if wants_close or full or not stream.is_reusable():
            stream.close()
            return
        stream.keep_alive = keep_alive_of(answer_headers)
        stream.idle_since = self.monotonic()
        # The callback lets the event loop notice that the peer closes.
        stream.set_close_callback(lambda: None)
        streams.append(stream)

    def idle_addresses(self) -> set[str]:
        """Return the addresses to which connections are kept."""
        return {address for address, streams in self.idle.items() if streams}

    def close_address(self, address: str) -> None:
        """Close the kept connections to one address."""
        for stream in self.idle.pop(address, []):
            stream.close()

    def close(self) -> None:
        """Close all kept connections."""
        for address in list(self.idle):
            self.close_address(address)


def keep_alive_of(headers: HTTPHeaders) -> timedelta:
    """Return how long a server keeps an unused connection, as its answer says."""
    for part in headers.get("Keep-Alive", "").split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.isdecimal():
            return timedelta(seconds=int(value))
    return DEFAULT_KEEP_ALIVE
