"""HTTP listener for the callers whose requests are forwarded."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import cast

from tornado.http1connection import HTTP1Connection
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)

from magnoliatrail.clock import Clock
from magnoliatrail.forwarding.head_check import BODY_DISCARDED, HeadAnswer
from magnoliatrail.forwarding.request import CallerDisconnected, CallerRequest
from magnoliatrail.inbound.refusals import Refusal
from magnoliatrail.inbound.requests import HeadChecker
from magnoliatrail.logs import EventLog

log = EventLog("forwarding")

Handler = Callable[[CallerRequest], Awaitable[None]]
FromHead = Callable[[CallerRequest], HeadAnswer | None]


def ignore_answer(request: CallerRequest) -> None:
    """Ignore an answer that the listener gave."""
    del request


class ForwardingServer(HTTPServerConnectionDelegate):
    """Read requests and handle each in its own task."""

    def __init__(
        self,
        clock: Clock,
        handle: Handler,
        *,
        from_head: FromHead | None = None,
        record: Callable[[CallerRequest], None] = ignore_answer,
    ) -> None:
        self.clock = clock
        self.handle = handle
        # Returns the answer that the head of a request determines, None if none.
        self.from_head = from_head
        # Is told of each request that the listener has answered itself.
        self.record = record
        self.tasks: set[asyncio.Task[None]] = set()
        # Readers of requests whose bodies have not arrived completely.
        self.partial: set[RequestReader] = set()
        # Close each connection after its current answer.
        self.closing = False

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Return the reader of a new request."""
        return RequestReader(self, cast(HTTP1Connection, request_conn))

    def begin(
        self, request: CallerRequest, answer: HeadAnswer | None = None
    ) -> "asyncio.Task[None]":
        """Start the task that handles a complete request, or gives it an answer."""
        request.listener_closes = lambda: self.closing
        task = asyncio.create_task(self.run(request, answer))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def run(self, request: CallerRequest, answer: HeadAnswer | None) -> None:
        """Handle a request; abort its answer if the handler fails or is cancelled."""
        try:
            if answer is None:
                await self.handle(request)
                return
            await request.answer_error(answer.status, answer.reason, answer.retry_after)
            self.record(request)
        except CallerDisconnected as error:
            log.info("caller_gone", request=request.id, reason=str(error))
            request.abort()
        except asyncio.CancelledError:
            log.info("caller_gone", request=request.id, reason="connection closed")
            request.abort()
        except Exception as error:
            log.error("request_failed", request=request.id, reason=repr(error))
            request.abort()


class RequestReader(HeadChecker):
    """Read one request, and cancel it when its caller disconnects."""

    def __init__(self, server: ForwardingServer, connection: HTTP1Connection) -> None:
        self.server = server
        self.connection = connection
        self.request: CallerRequest | None = None
        self.body = bytearray()
        self.task: asyncio.Task[None] | None = None
        # Whether the request was refused before it had arrived completely.
        self.refused = False

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        """Handle the request line and the headers."""
        assert isinstance(start_line, RequestStartLine)
        self.request = CallerRequest(
            connection=self.connection,
            method=start_line.method,
            target=start_line.path,
            headers=headers,
            received_at=self.server.clock.monotonic(),
            http_version=start_line.version,
        )
        self.server.partial.add(self)

    def answer_from_head(self) -> HeadAnswer | None:
        """Return the answer that the head determines, None if there is none."""
        assert self.request is not None, "the head was not read"
        from_head = self.server.from_head
        return from_head(self.request) if from_head is not None else None

    def refusal(self) -> Refusal | None:
        """Return the refusal that the head determines, None if there is none."""
        answer = self.answer_from_head()
        if answer is None:
            return None
        cause = f"from_head_{answer.status}"
        return Refusal(answer.status, answer.reason, cause, answer.retry_after)

    def data_received(self, chunk: bytes) -> None:
        """Keep a part of the body."""
        self.body += chunk

    def finish(self) -> None:
        """Start handling the request, which is complete."""
        self.server.partial.discard(self)
        if self.refused:
            return
        assert self.request is not None, "request ended before its headers were read"
        self.request.body = bytes(self.body)
        self.body = bytearray()
        self.begin(None)

    def finish_refused(self, refusal: Refusal) -> None:
        """Answer a request whose body was discarded, as its head says now."""
        del refusal
        self.begin(self.answer_from_head() or BODY_DISCARDED)

    def begin(self, answer: HeadAnswer | None) -> None:
        """Start the task that handles the request, or gives it an answer."""
        assert self.request is not None, "request ended before its headers were read"
        self.server.partial.discard(self)
        self.connection.set_close_callback(self.on_connection_close)
        self.task = self.server.begin(self.request, answer)

    def record_refusal(self, refusal: Refusal) -> None:
        """Record the refusal that the listener has sent."""
        assert self.request is not None, "the head was not read"
        self.server.partial.discard(self)
        self.request.status = refusal.status
        self.request.answer_started = self.request.answer_finished = True
        self.server.record(self.request)

    def on_connection_close(self) -> None:
        """Cancel the request of a caller that disconnected."""
        self.server.partial.discard(self)
        self.body = bytearray()
        if self.task and not self.task.done():
            self.task.cancel()
