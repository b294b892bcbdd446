"""The peer listener's part for requests that other instances relay."""

import hmac
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

from magnoliatrail.forwarding.relay import (
    TOKEN,
    relay_origin,
    without_relay_headers,
)
from magnoliatrail.forwarding.server import ForwardingServer, RequestReader
from magnoliatrail.inbound.refusals import Refusal
from magnoliatrail.inbound.requests import HeadChecker
from magnoliatrail.peers.server import TokenCheck


def is_relayed(headers: HTTPHeaders, token: str) -> bool:
    """Return whether another instance relays a request."""
    return hmac.compare_digest(headers.get(TOKEN, "").encode(), token.encode())


class RelayListener(HTTPServerConnectionDelegate):
    """Serve relayed requests beside the messages between instances."""

    def __init__(
        self, messages: TokenCheck, server: ForwardingServer, token: str
    ) -> None:
        self.messages = messages
        self.server = server
        self.token = token

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Return the reader of a new request or message."""
        return MessageOrRequest(self, server_conn, request_conn)


class MessageOrRequest(HeadChecker):
    """Read a message or a relayed request, as its headers say."""

    def __init__(
        self,
        listener: RelayListener,
        server_connection: object,
        connection: HTTPConnection,
    ) -> None:
        self.listener = listener
        self.server_connection = server_connection
        self.connection = connection
        self.reader: HeadChecker | None = None

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        """Choose the reader."""
        if is_relayed(headers, self.listener.token):
            connection = cast(HTTP1Connection, self.connection)
            self.reader = RelayedReader(self.listener.server, connection)
        else:
            self.reader = self.listener.messages.start_request(
                self.server_connection, self.connection
            )
        return self.reader.headers_received(start_line, headers)

    def refusal(self) -> Refusal | None:
        """Return the refusal that the head determines, None if there is none."""
        assert self.reader is not None, "the head was not read"
        return self.reader.refusal()

    def finish_refused(self, refusal: Refusal) -> None:
        """Pass the end of a discarded body on."""
        assert self.reader is not None, "a request ended before its headers"
        self.reader.finish_refused(refusal)

    def record_refusal(self, refusal: Refusal) -> None:
        """Pass the record of a refusal on."""
        assert self.reader is not None, "the head was not read"
        self.reader.record_refusal(refusal)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Pass a part of the body on."""
        assert self.reader is not None, "a body came before its headers"
        return self.reader.data_received(chunk)

    def finish(self) -> None:
        """Pass the end on."""
        assert self.reader is not None, "a request ended before its headers"
        self.reader.finish()

    def on_connection_close(self) -> None:
        """Pass the close of the connection on."""
        if self.reader is not None:
            self.reader.on_connection_close()


class RelayedReader(RequestReader):
    """Read a request that another instance relays."""

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        """Handle the request line and the headers."""
        super().headers_received(start_line, without_relay_headers(headers))
        assert self.request is not None, "the request was just made"
        self.request.origin = relay_origin(headers)
