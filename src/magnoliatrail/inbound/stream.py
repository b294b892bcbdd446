"""The connection of a client, which reads no more than its limits allow."""

import asyncio
import socket
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import TYPE_CHECKING, Any

from tornado.iostream import IOStream, StreamClosedError

from magnoliatrail.inbound.connections import ConnectionState, Phase
from magnoliatrail.inbound.limits import ClientLimits
from magnoliatrail.inbound.refusals import HEAD_TOO_LARGE, TOO_MANY_FIELDS, Refusal
from magnoliatrail.inbound.turns import Turns

if TYPE_CHECKING:
    from magnoliatrail.inbound.requests import GuardedRequest

# Bytes that are read at once; as much may be read beyond the end of a request. Of a
# large body, more is read at once, because each read costs the same.
READ_BYTES = 16 * 1024
LARGE_READ_BYTES = 64 * 1024
MAX_BUFFER_BYTES = 256 * 1024
# The reader of chunks waits for its next turn after so many.
CHUNKS_PER_TURN = 64
# Most that is discarded after a refusal, above the largest body that is accepted.
MAX_DISCARDED_BYTES = 16 * 1024 * 1024

discarded = bytearray(64 * 1024)


class ClientStream(IOStream):
    """Read a client's requests within the limits of its listener."""

    def __init__(
        self,
        connection: socket.socket,
        *,
        monotonic: Callable[[], timedelta],
        limits: Callable[[], ClientLimits],
        turns: Turns,
        refuse: Callable[["ClientStream", Refusal], None],
        closed: Callable[["ClientStream"], None],
    ) -> None:
        super().__init__(
            connection, max_buffer_size=MAX_BUFFER_BYTES, read_chunk_size=READ_BYTES
        )
        self.monotonic = monotonic
        self.limits = limits
        self.turns = turns
        self.refuse = refuse
        self.on_closed = closed
        now = monotonic()
        self.state = ConnectionState(now, now)
        # Bytes received since the begin of the head.
        self.head_received = 0
        self.chunks = 0
        self.discarded_bytes = 0
        # The request that is read or answered.
        self.request: GuardedRequest | None = None
        self.closed_future: asyncio.Future[None] | None = None
        self.told_closed = False

    @property
    def lingers(self) -> bool:
        """Return whether the request was refused and the rest is discarded."""
        return self.state.phase is Phase.LINGER

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read from the socket; after a refusal, discard what it has."""
        state = self.state
        if state.phase is Phase.LINGER:
            return self.discard()
        if state.phase is Phase.HEAD and self.head_received >= (
            self.limits().header_bytes
        ):
            # What was read may have the end of the head; else it is too long.
            self.io_loop.add_callback(self.refuse_long_head)
            return None
        size = super().read_from_fd(buf)
        if size and state.phase is Phase.IDLE:
            state.enter(Phase.HEAD, self.monotonic())
            self.head_received = size
        elif size and state.phase is Phase.HEAD:
            self.head_received += size
        return size

    def expect(self, size: int) -> None:
        """Set how much is read at once, by how much of a body is missing."""
        large = size >= LARGE_READ_BYTES
        self.read_chunk_size = LARGE_READ_BYTES if large else READ_BYTES

    def discard(self) -> int | None:
        """Discard what the socket has; return 0 at its end, else None."""
        size = super().read_from_fd(discarded)
        if size is not None:
            self.discarded_bytes += size
        if size == 0 or self.discarded_bytes > MAX_DISCARDED_BYTES:
            return 0
        return None

    def refuse_long_head(self) -> None:
        """Refuse a request whose head is incomplete at the limit."""
        if self.state.phase is Phase.HEAD and self.reading():
            self.refuse(self, HEAD_TOO_LARGE)

    async def read_until_regex(
        self, regex: bytes, max_bytes: int | None = None
    ) -> bytes:
        """Read a head, and refuse one over the limits before it is parsed."""
        head: bytes = await super().read_until_regex(regex, max_bytes)
        limits = self.limits()
        refusal = None
        if len(head) > limits.header_bytes:
            refusal = HEAD_TOO_LARGE
        elif head.strip(b"\r\n").count(b"\n") > limits.header_fields:
            refusal = TOO_MANY_FIELDS
        if refusal is not None:
            self.refuse(self, refusal)
            self.drain()
            raise StreamClosedError
        return head

    def read_until(
        self, delimiter: bytes, max_bytes: int | None = None
    ) -> Awaitable[bytes]:
        """Read the line before a chunk, and let other connections have their turn."""
        self.chunks += 1
        if self.chunks % CHUNKS_PER_TURN == 0:
            return self.read_until_in_turn(delimiter, max_bytes)
        return super().read_until(delimiter, max_bytes)

    async def read_until_in_turn(
        self, delimiter: bytes, max_bytes: int | None
    ) -> bytes:
        """Read the line before a chunk after other connections had their turn."""
        await self.turns.wait()
        return await super().read_until(delimiter, max_bytes)

    def linger(self, answer: bytes) -> None:
        """Send a last answer, and discard what the client sends until it closes."""
        if self.closed():
            return
        self.state.enter(Phase.LINGER, self.monotonic())
        self.write(answer)
        if self.closed():
            return
        if not self.writing():
            try:
                self.socket.shutdown(socket.SHUT_WR)
            except OSError:
                # The client has closed or reset the connection.
                self.close()
                return

    def drain(self) -> None:
        """Read what the client sends, so that its close is seen."""
        if not self.closed() and not self.reading():
            self.read_until_close()

    async def wait_closed(self) -> None:
        """Discard what the client sends until the connection is closed."""
        self.drain()
        if not self.closed():
            if self.closed_future is None:
                self.closed_future = asyncio.get_running_loop().create_future()
            await asyncio.shield(self.closed_future)

    def close(self, exc_info: Any = False) -> None:
        """Close the connection, and tell the listener."""
        super().close(exc_info)
        if self.told_closed:
            return
        self.told_closed = True
        if self.closed_future is not None and not self.closed_future.done():
            self.closed_future.set_result(None)
        self.on_closed(self)
