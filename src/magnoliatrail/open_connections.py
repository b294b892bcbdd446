"""The open connections of a listener, and what they have sent that is not read yet."""

import socket
from weakref import WeakSet

from tornado.http1connection import HTTP1Connection
from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPConnection,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
)
from tornado.iostream import IOStream

from magnoliatrail.inbound.server import GuardedServer


class OpenConnections(HTTPServerConnectionDelegate):
    """Pass requests on to an application, and keep which connections are open."""

    def __init__(self, application: HTTPServerConnectionDelegate) -> None:
        self.application = application
        self.streams: WeakSet[IOStream] = WeakSet()

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Return the reader of a connection's next request."""
        if isinstance(request_conn, HTTP1Connection):
            self.streams.add(request_conn.stream)
        return self.application.start_request(server_conn, request_conn)

    def on_close(self, server_conn: object) -> None:
        """Pass the end of a connection on."""
        self.application.on_close(server_conn)

    @property
    def count(self) -> int:
        """Return the number of open connections."""
        return sum(not stream.closed() for stream in self.streams)

    @property
    def has_unread_input(self) -> bool:
        """Return whether a connection has sent something that is not read yet."""
        return any(map(has_unread_input, self.streams))


def has_unread_input(stream: IOStream) -> bool:
    """Return whether the peer has sent more than has been read."""
    if stream.closed():
        return False
    if stream._read_buffer_size:
        return True
    try:
        return bool(stream.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
    except OSError:
        return False


def accept_queued(server: HTTPServer) -> None:
    """Accept the connections in the queues of a server's sockets.

    The kernel resets those that are still queued when the socket is closed.
    """
    guarded = server if isinstance(server, GuardedServer) else None
    sockets = guarded.listening if guarded else list(server._sockets.values())
    for listening in sockets:
        while True:
            try:
                connection, address = listening.accept()
            except OSError:
                # Usually none is left; an error here must not end the planned stop.
                break
            connection.setblocking(False)
            if guarded:
                guarded.accept(connection, address)
                continue
            stream = IOStream(
                connection,
                max_buffer_size=server.max_buffer_size,
                read_chunk_size=server.read_chunk_size,
            )
            server.handle_stream(stream, address)
