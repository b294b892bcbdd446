"""HTTP listeners of one process."""

from dataclasses import dataclass

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPServerConnectionDelegate
from tornado.netutil import bind_sockets
from tornado.web import Application

# Longer than the idle timeout of load balancers, so that they close first.
IDLE_CONNECTION_TIMEOUT_SECONDS = 180.0
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
        await self.server.close_all_connections()


def listen(
    application: Application | HTTPServerConnectionDelegate,
    *,
    host: str,
    port: int = 0,
    max_body_bytes: int = 16 * 1024 * 1024,
) -> Listener:
    """Serve an application; port 0 selects a free port.

    Raises OSError if the address is in use.
    """
    sockets = bind_sockets(port, address=host)
    server = HTTPServer(
        application,
        max_body_size=max_body_bytes,
        max_buffer_size=max_body_bytes * 2,
        idle_connection_timeout=IDLE_CONNECTION_TIMEOUT_SECONDS,
        body_timeout=BODY_TIMEOUT_SECONDS,
    )
    server.add_sockets(sockets)
    bound_port: int = sockets[0].getsockname()[1]
    return Listener(server, host, bound_port)
