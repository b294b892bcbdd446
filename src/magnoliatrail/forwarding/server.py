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
from magnoliatrail.forwarding.request import CallerDisconnected, CallerRequest
from magnoliatrail.logs import EventLog

log = EventLog("forwarding")

Handler = Callable[[CallerRequest], Awaitable[None]]


class ForwardingServer(HTTPServerConnectionDelegate):
    """Read requests and handle each in its own task."""

    def __init__(self, clock: Clock, handle: Handler) -> None:
        self.clock = clock
        self.handle = handle
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

    def begin(self, request: CallerRequest) -> "asyncio.Task[None]":
        """Start the task that handles a complete request."""
        request.listener_closes = lambda: self.closing
        task = asyncio.create_task(self.run(request))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def run(self, request: CallerRequest) -> None:
        """Handle a request; abort its answer if the handler fails or is cancelled."""
        try:
            await self.handle(request)
        except CallerDisconnected as error:
            log.info("caller_gone", request=request.id, reason=str(error))
            request.abort()
        except asyncio.CancelledError:
            log.info("caller_gone", request=request.id, reason="connection closed")
            request.abort()
        except Exception as error:
            log.error("request_failed", request=request.id, reason=repr(error))
            request.abort()


class RequestReader(HTTPMessageDelegate):
    """Read one request, and cancel it when its caller disconnects."""

    def __init__(self, server: ForwardingServer, connection: HTTP1Connection) -> None:
        self.server = server
        self.connection = connection
        self.request: CallerRequest | None = None
        self.chunks: list[bytes] = []
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

    def data_received(self, chunk: bytes) -> None:
        """Buffer a chunk of the body."""
        self.chunks.append(chunk)

    def finish(self) -> None:
        """Start handling the request, which is complete."""
        self.server.partial.discard(self)
        if self.refused:
            return
        assert self.request is not None, "request ended before its headers were read"
        self.request.body = b"".join(self.chunks)
        self.connection.set_close_callback(self.on_connection_close)
        self.task = self.server.begin(self.request)

    def on_connection_close(self) -> None:
        """Cancel the request of a caller that disconnected."""
        self.server.partial.discard(self)
        if self.task and not self.task.done():
            self.task.cancel()
