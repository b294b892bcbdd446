"""The HTTP server of a listener that bounds what its clients hold."""

import asyncio
import socket
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any, cast

from tornado.http1connection import HTTP1Connection
from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
)
from tornado.netutil import add_accept_handler

from magnoliatrail.clock import Clock
from magnoliatrail.inbound.bodies import BodyAdmission
from magnoliatrail.inbound.connections import (
    CloseReason,
    Phase,
    longest_without_request,
    overdue,
)
from magnoliatrail.inbound.limits import ClientLimits
from magnoliatrail.inbound.refusals import (
    BODY_STALLED,
    Refusal,
    RefusalLog,
    Render,
    refusal_bytes,
    render_plain,
)
from magnoliatrail.inbound.requests import GuardedRequest
from magnoliatrail.inbound.stream import ClientStream
from magnoliatrail.inbound.turns import Turns
from magnoliatrail.logs import EventLog
from magnoliatrail.memory_budget import HeldKind, MemoryBudget
from magnoliatrail.metrics import Metrics

log = EventLog("inbound")

SWEEP_INTERVAL_SECONDS = 0.25
MAX_HEADER_BYTES = 128 * 1024
# A connection at the limit is not closed for another one before it had this time to
# send a request.
MIN_UNUSED = timedelta(milliseconds=50)


@dataclass(kw_only=True)
class Guard:
    """What the connections of one listener may hold, and how it refuses more."""

    name: str
    clock: Clock
    metrics: Metrics
    budget: MemoryBudget
    refusals: RefusalLog
    max_connections: int
    limits: Callable[[], ClientLimits]
    # What the bodies of requests count as, while they are read and then.
    reading: HeldKind = HeldKind.BODIES
    whole: HeldKind = HeldKind.REQUESTS
    render: Render = render_plain
    # Returns the id of a request for the log.
    request_id: Callable[[HTTPHeaders], str] = lambda headers: ""
    admission: BodyAdmission = field(init=False)

    def __post_init__(self) -> None:
        """Begin to share memory among bodies."""
        self.admission = BodyAdmission(
            clock=self.clock, budget=self.budget, kind=self.reading
        )


class GuardedServer(HTTPServer):
    """Serve the connections of one listener within its limits."""

    guard: Guard
    streams: set[ClientStream]
    turns: Turns
    # Sockets that listen, and what stops accepting at them.
    listening: list[socket.socket]
    stop_accepting: list[Callable[[], None]]
    # A connection that waits until another one may be closed for it.
    waiting: tuple[socket.socket, Any] | None = None
    resuming: asyncio.TimerHandle | None = None
    sweeper: asyncio.Task[None] | None = None

    def begin(self, guard: Guard) -> None:
        """Apply a guard to all connections."""
        self.guard = guard
        self.streams = set()
        self.listening, self.stop_accepting = [], []
        self.turns = Turns()
        # The sweep closes idle connections and those that are too slow.
        self.conn_params.header_timeout = None
        # The streams refuse longer heads; this one closes without an answer.
        self.conn_params.max_header_size = MAX_HEADER_BYTES
        self.conn_params.body_timeout = None
        self.sweeper = asyncio.get_running_loop().create_task(self.sweep_forever())

    def add_sockets(self, sockets: Iterable[socket.socket]) -> None:
        """Accept connections at sockets that listen."""
        self.listening.extend(sockets)
        self.accept_more()

    def accept_more(self) -> None:
        """Accept connections, the one that waited first."""
        waiting, self.waiting = self.waiting, None
        if waiting is not None:
            self.accept(*waiting)
        if self.waiting is None and not self.stop_accepting:
            self.stop_accepting = [
                add_accept_handler(item, self.accept) for item in self.listening
            ]

    def pause_accepting(self) -> None:
        """Leave further connections in the queues of the sockets."""
        for remove in self.stop_accepting:
            remove()
        self.stop_accepting = []

    def stop(self) -> None:
        """Stop listening."""
        super().stop()
        self.pause_accepting()
        if self.resuming is not None:
            self.resuming.cancel()
        for item in self.listening:
            item.close()
        self.listening = []
        if self.waiting is not None:
            self.waiting[0].close()
            self.waiting = None

    def accept(self, connection: socket.socket, address: Any) -> None:
        """Serve a new connection, if there is room for it."""
        guard = self.guard
        if len(self.streams) >= guard.max_connections:
            now = guard.clock.monotonic()
            unused = longest_without_request(
                (item, item.state) for item in self.streams
            )
            if unused is not None and now - unused.state.idle_since < MIN_UNUSED:
                # All are about to send their requests.
                self.waiting = connection, address
                self.pause_accepting()
                self.resuming = asyncio.get_running_loop().call_later(
                    MIN_UNUSED.total_seconds(), self.accept_more
                )
                return
            self.count_closed(CloseReason.CONNECTION_LIMIT)
            guard.refusals.record(
                guard.name,
                CloseReason.CONNECTION_LIMIT.value,
                held=0,
                connections=len(self.streams),
                request="",
            )
            if unused is None:
                connection.close()
                return
            unused.close()
        stream = ClientStream(
            connection,
            monotonic=guard.clock.monotonic,
            limits=guard.limits,
            turns=self.turns,
            refuse=self.refuse_head,
            closed=self.forget,
        )
        self.streams.add(stream)
        self.handle_stream(stream, address)

    def forget(self, stream: ClientStream) -> None:
        """Forget a closed connection, and release what its request holds."""
        self.streams.discard(stream)
        if stream.request is not None:
            stream.request.end()

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Return the reader of a new request."""
        connection = cast(HTTP1Connection, request_conn)
        stream = cast(ClientStream, connection.stream)
        if stream.request is not None:
            stream.request.end()
        if not stream.lingers:
            stream.state.enter(Phase.IDLE, self.guard.clock.monotonic())
        inner = super().start_request(server_conn, request_conn)
        stream.request = GuardedRequest(self, stream, connection, inner)
        return stream.request

    def refuse_head(self, stream: ClientStream, refusal: Refusal) -> None:
        """Refuse a request whose head is not accepted."""
        self.refuse(stream, refusal, request=None, held=stream.head_received)

    def refuse(
        self,
        stream: ClientStream,
        refusal: Refusal,
        *,
        request: HTTPHeaders | None,
        held: int,
        is_head: bool = False,
    ) -> None:
        """Answer a request with a refusal, and close its connection after a while."""
        guard = self.guard
        guard.refusals.record(
            guard.name,
            refusal.cause,
            held=held,
            connections=len(self.streams),
            request=guard.request_id(request) if request is not None else "",
        )
        self.count_closed(CloseReason.REFUSED)
        fields, body = guard.render(refusal, request)
        answer = refusal_bytes(refusal, fields, body)
        stream.linger(answer[: -len(body)] if is_head and body else answer)

    async def sweep_forever(self) -> None:
        """Close overdue connections until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_SECONDS)
            try:
                self.sweep()
            except Exception as error:
                log.error("sweep_failed", listener=self.guard.name, reason=repr(error))

    def sweep(self) -> None:
        """Close the connections that exceed a time limit."""
        guard = self.guard
        now, limits = guard.clock.monotonic(), guard.limits()
        for stream in list(self.streams):
            reason = overdue(stream.state, limits, now)
            if reason in (CloseReason.BODY_STALLED, CloseReason.BODY_TIMEOUT):
                assert stream.request is not None, "a body belongs to a request"
                stream.request.refuse(BODY_STALLED)
            elif reason is CloseReason.REFUSED:
                stream.close()
            elif reason is not None:
                self.close_stream(stream, reason)
        guard.metrics.gauge(f"connections.{guard.name}", len(self.streams))
        for kind in HeldKind:
            guard.metrics.gauge(f"memory.held.{kind.value}", guard.budget.held[kind])

    def close_stream(self, stream: ClientStream, reason: CloseReason) -> None:
        """Close a connection, and log it if its client did something unusual."""
        self.count_closed(reason)
        if reason in (CloseReason.HEAD_TIMEOUT, CloseReason.ANSWER_TIMEOUT):
            self.guard.refusals.record(
                self.guard.name,
                reason.value,
                held=stream.head_received,
                connections=len(self.streams),
                request="",
            )
        stream.close()

    def count_closed(self, reason: CloseReason) -> None:
        """Count a connection that the listener closes."""
        self.guard.metrics.count(f"connections.closed.{reason.value}")

    def end(self) -> None:
        """Stop the sweep, and close the connections of refused requests."""
        if self.sweeper is not None:
            self.sweeper.cancel()
        for stream in list(self.streams):
            stream.close()
