"""HTTP listeners of one process."""

from collections.abc import Callable
from dataclasses import dataclass

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPServerConnectionDelegate
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from magnoliatrail.inbound.server import Guard, GuardedServer

# Longer than the idle timeout of load balancers, so that they close first.
IDLE_CONNECTION_TIMEOUT_SECONDS = 180.0
# Connections that wait to be accepted; a crowd connects at once.
BACKLOG = 1024
# A body that takes longer counts as a stalled connection.
BODY_TIMEOUT_SECONDS = 60.0


@dataclass(frozen=True)
class Listener:
    """A listening HTTP server and its address."""

    server: HTTPServer
    host: str
    port: int

    @property
    def url(self) -> str:
        """Return the address that clients use."""
        return f"http://{self.host}:{self.port}"

    async def close(self) -> None:
        """Stop listening and close all connections."""
        self.server.stop()
        if isinstance(self.server, GuardedServer):
            self.server.end()
        await self.server.close_all_connections()


def listen(
    application: Application | HTTPServerConnectionDelegate,
    *,
    host: str,
    port: int = 0,
    max_body_bytes: int = 16 * 1024 * 1024,
    guard: Guard | None = None,
) -> Listener:
    """Serve an application; port 0 selects a free port.

    A guard bounds what the connections hold; its limit on bodies replaces
    `max_body_bytes`. Raises OSError if the address is in use.
    """
    sockets = bind_sockets(port, address=host, backlog=BACKLOG)
    server = HTTPServer(
        application,
        max_body_size=max_body_bytes,
        max_buffer_size=max_body_bytes * 2,
        idle_connection_timeout=IDLE_CONNECTION_TIMEOUT_SECONDS,
        body_timeout=BODY_TIMEOUT_SECONDS,
    )
    if guard is not None:
        server = GuardedServer(application)
        server.begin(guard)
    server.add_sockets(sockets)
    bound_port: int = sockets[0].getsockname()[1]
    return Listener(server, host, bound_port)


class TextHandler(RequestHandler):
    """Answer GET requests with the status and text that a function returns."""

    def initialize(self, answer: Callable[[], tuple[int, bytes]]) -> None:
        """Set the function that makes the answer."""
        self.answer = answer

    def get(self) -> None:
        """Send the status and the text."""
        status, body = self.answer()
        self.set_status(status)
        self.set_header("Content-Type", "text/plain")
        self.write(body)


def text_application(path: str, answer: Callable[[], tuple[int, bytes]]) -> Application:
    """Return an application that serves one path as plain text."""
    return Application(
        [(path, TextHandler, {"answer": answer})], log_function=lambda handler: None
    )
