"""The reader of one request within the limits of its listener."""

from __future__ import annotations

from abc import abstractmethod
from collections.abc import Awaitable
from typing import TYPE_CHECKING, cast

from tornado.http1connection import HTTP1Connection
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)

from magnoliatrail.inbound.bodies import OpenBody
from magnoliatrail.inbound.connections import Phase
from magnoliatrail.inbound.refusals import BODY_TOO_LARGE, NO_MEMORY, Refusal
from magnoliatrail.inbound.stream import ClientStream
from magnoliatrail.memory_budget import Holding

if TYPE_CHECKING:
    from magnoliatrail.inbound.server import GuardedServer

# Bodies up to this size are read before a refusal, so that the connection stays open.
MAX_READ_OF_REFUSED_BYTES = 64 * 1024
# Tornado's own limit, too high to apply: it would answer 400 without a reason.
UNLIMITED_BODY_BYTES = 1 << 40
# Longer numbers are over any limit, and take time to parse.
MAX_LENGTH_DIGITS = 15


class HeadChecker(HTTPMessageDelegate):
    """A reader of requests that can refuse one from its head."""

    @abstractmethod
    def refusal(self) -> Refusal | None:
        """Return the refusal that the head determines, None if there is none."""

    def finish_refused(self, refusal: Refusal) -> None:
        """Answer a request whose body was read and discarded."""

    def record_refusal(self, refusal: Refusal) -> None:
        """Record that the listener has answered with a refusal."""


def body_length(headers: HTTPHeaders) -> int | None:
    """Return the length of a request's body, None if it comes in chunks."""
    if "Transfer-Encoding" in headers:
        return None
    # A repeated length is joined by commas; different ones are refused later.
    text = headers.get("Content-Length", "0").partition(",")[0].strip()
    if not (text.isascii() and text.isdecimal()):
        # Refused as malformed when the body is read.
        return 0
    return int(text) if len(text) <= MAX_LENGTH_DIGITS else UNLIMITED_BODY_BYTES


class GuardedRequest(HTTPMessageDelegate):
    """Pass a request on to its reader, and refuse one that exceeds a limit."""

    def __init__(
        self,
        server: GuardedServer,
        stream: ClientStream,
        connection: HTTP1Connection,
        inner: HTTPMessageDelegate,
    ) -> None:
        self.server = server
        self.stream = stream
        self.connection = connection
        self.inner = inner
        self.headers: HTTPHeaders | None = None
        self.is_head = False
        # None if the body comes in chunks.
        self.length: int | None = 0
        self.max_body_bytes = 0
        # A body that comes in several pieces, and what the request holds.
        self.body: OpenBody | None = None
        self.holding: Holding | None = None
        # A refusal that is answered once the body was read and discarded.
        self.refused: Refusal | None = None
        # Whether the listener has answered.
        self.ended = False

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        """Begin to read a request, or refuse it."""
        guard = self.server.guard
        self.headers = headers
        self.is_head = cast(RequestStartLine, start_line).method == "HEAD"
        self.connection.set_max_body_size(UNLIMITED_BODY_BYTES)
        self.stream.state.enter(Phase.BODY, guard.clock.monotonic())
        waits = self.inner.headers_received(start_line, headers)
        self.length = body_length(headers)
        if self.length == 0:
            return waits
        self.max_body_bytes = guard.limits().body_bytes
        refusal = self.head_refusal()
        if refusal is None:
            self.stream.expect(self.length or 0)
            return waits
        short = self.length is not None and self.length <= MAX_READ_OF_REFUSED_BYTES
        if short and not refusal.at_once and "Expect" not in headers:
            self.refused = refusal
            return waits
        self.refuse(refusal)
        return self.stream.wait_closed()

    def head_refusal(self) -> Refusal | None:
        """Return why the body is not kept, None if it is."""
        found = self.inner.refusal() if isinstance(self.inner, HeadChecker) else None
        if found is not None:
            return found
        announced = 1 if self.length is None else self.length
        return BODY_TOO_LARGE if announced > self.max_body_bytes else None

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Keep a part of the body if there is room for it."""
        if self.ended:
            return self.stream.wait_closed()
        state = self.stream.state
        state.received += len(chunk)
        if self.refused is not None:
            return None
        if state.received > self.max_body_bytes:
            self.refuse(BODY_TOO_LARGE)
            return self.stream.wait_closed()
        if self.length is not None:
            self.stream.expect(self.length - state.received)
        if self.body is None:
            if len(chunk) == self.length and self.hold_whole(len(chunk)):
                return self.inner.data_received(chunk)
            admission = self.server.guard.admission
            self.body = admission.open(self.refuse_for_others, self.length)
            self.holding = self.body.holding
        if not self.server.guard.admission.try_take(self.body, len(chunk)):
            return self.wait_for_memory(self.body, chunk)
        return self.inner.data_received(chunk)

    def hold_whole(self, size: int) -> bool:
        """Hold a body that came in one piece if there is room; return whether."""
        guard = self.server.guard
        if not guard.admission.has_room_for_whole(size):
            return False
        self.holding = Holding(guard.budget, guard.whole)
        return self.holding.try_grow(size)

    async def wait_for_memory(self, body: OpenBody, chunk: bytes) -> None:
        """Stop reading until there is room for a part of the body, or refuse it."""
        guard, state = self.server.guard, self.stream.state
        state.paused = True
        took = await guard.admission.take(body, len(chunk))
        gone = self.ended or self.stream.closed()
        if not took and not gone:
            self.refuse(NO_MEMORY)
        if not took or gone:
            await self.stream.wait_closed()
            return
        state.resume(guard.clock.monotonic())
        waits = self.inner.data_received(chunk)
        if waits is not None:
            await waits

    def finish(self) -> None:
        """Let the whole request be answered."""
        if self.ended:
            return
        guard = self.server.guard
        self.stream.expect(0)
        self.stream.state.enter(Phase.ANSWER, guard.clock.monotonic())
        if self.refused is not None:
            assert isinstance(self.inner, HeadChecker), "only these refuse from a head"
            self.inner.finish_refused(self.refused)
            return
        if self.body is not None:
            guard.admission.close(self.body)
            self.body.holding.commit(guard.whole)
        self.inner.finish()

    def on_connection_close(self) -> None:
        """Tell the reader that the client has closed its connection."""
        self.end()
        if not self.ended:
            self.inner.on_connection_close()

    def refuse_for_others(self) -> None:
        """Refuse this request, so that a faster one has room."""
        self.refuse(NO_MEMORY)

    def refuse(self, refusal: Refusal) -> None:
        """Answer with a refusal, and discard the rest of the request."""
        if self.ended:
            return
        self.ended = True
        held = self.holding.size if self.holding is not None else 0
        if isinstance(self.inner, HeadChecker):
            self.inner.record_refusal(refusal)
        # The reader drops what it keeps of the body.
        self.inner.on_connection_close()
        self.server.refuse(
            self.stream,
            refusal,
            request=self.headers,
            held=held,
            is_head=self.is_head,
        )
        # Last, as this lets other bodies have the memory.
        self.end()

    def end(self) -> None:
        """Release what the request holds."""
        if self.body is not None:
            self.server.guard.admission.close(self.body)
        if self.holding is not None:
            self.holding.close()
