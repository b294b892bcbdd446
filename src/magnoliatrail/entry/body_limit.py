"""Rejection of request bodies over the size limit, with the usual error body."""

from collections.abc import Awaitable
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

from magnoliatrail.errors import ErrorKind, Failure, answer_of
from magnoliatrail.ids import new_request_id
from magnoliatrail.logs import EventLog
from magnoliatrail.wire import JSON_TYPE, encode

log = EventLog("entry")

# The rest of a refused body is read and discarded for this long, so that the caller
# can read the error response before its connection is closed.
REFUSED_BODY_DRAIN_SECONDS = 5.0
# Tornado's own limit, too high to apply: Tornado would reject a body over its limit
# without an error body.
UNLIMITED_BODY_BYTES = 1 << 40


class BodyLimit(HTTPServerConnectionDelegate):
    """Forward requests to an application, unless their body is too large."""

    def __init__(
        self, application: HTTPServerConnectionDelegate, max_body_bytes: int
    ) -> None:
        self.application = application
        self.max_body_bytes = max_body_bytes

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Wrap the application's delegate for one request."""
        inner = self.application.start_request(server_conn, request_conn)
        connection = cast(HTTP1Connection, request_conn)
        return LimitedRequest(inner, connection, self.max_body_bytes)


class LimitedRequest(HTTPMessageDelegate):
    """Count the body bytes of one request and reject it over the limit."""

    def __init__(
        self,
        inner: HTTPMessageDelegate,
        connection: HTTP1Connection,
        max_body_bytes: int,
    ) -> None:
        self.inner = inner
        self.connection = connection
        self.max_body_bytes = max_body_bytes
        self.received_bytes = 0
        self.refused = False
        connection.set_max_body_size(UNLIMITED_BODY_BYTES)

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        """Refuse a request whose Content-Length is over the limit."""
        length = headers.get("Content-Length", "0")
        if length.isdecimal() and int(length) > self.max_body_bytes:
            self.refuse()
            return None
        return self.inner.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Refuse a body once the bytes received are over the limit."""
        if self.refused:
            return None
        self.received_bytes += len(chunk)
        if self.received_bytes > self.max_body_bytes:
            self.inner.on_connection_close()
            self.refuse()
            return None
        return self.inner.data_received(chunk)

    def finish(self) -> None:
        """Finish the request, unless it was refused."""
        if not self.refused:
            self.inner.finish()

    def on_connection_close(self) -> None:
        """Report the closed connection to the application, unless refused."""
        if not self.refused:
            self.inner.on_connection_close()

    def refuse(self) -> None:
        """Send the error response and close the connection."""
        self.refused = True
        request_id = new_request_id()
        message = f"the body is over {self.max_body_bytes} bytes"
        failure = Failure(ErrorKind.BODY_TOO_LARGE, message)
        log.info("refused", request=request_id, kind=failure.kind, reason=message)
        body = encode(answer_of(failure, request_id))
        headers = HTTPHeaders(
            {
                "Content-Type": JSON_TYPE,
                "Content-Length": str(len(body)),
                "Connection": "close",
                "X-Request-Id": request_id,
            }
        )
        self.connection.set_body_timeout(REFUSED_BODY_DRAIN_SECONDS)
        status = ResponseStartLine("HTTP/1.1", failure.rule.status, "Body Too Large")
        self.connection.write_headers(status, headers, body)
        self.connection.finish()
