"""Persistent connections to other instances."""

from urllib.parse import urlsplit

from tornado.httputil import HTTPHeaders

from magnoliatrail.clock import SystemClock
from magnoliatrail.connections import ConnectionPool
from magnoliatrail.exchange import BufferedAnswer, OutgoingRequest, exchange
from magnoliatrail.wire import CallLimits


class PersistentConnections:
    """Send messages to peers over pooled connections."""

    def __init__(self, pool: ConnectionPool | None = None) -> None:
        self.pool = pool or ConnectionPool(SystemClock().monotonic)
        self.bytes_sent = 0
        self.bytes_received = 0

    @property
    def opened(self) -> int:
        """Return how many connections were opened."""
        return self.pool.opened

    async def post(
        self, url: str, headers: dict[str, str], body: bytes, limits: CallLimits
    ) -> BufferedAnswer:
        """Send a message; repeat it on a new connection if a pooled one is silent.

        Raises CallFailed if there is no answer.
        """
        parts = urlsplit(url)
        call = OutgoingRequest("POST", parts.path, HTTPHeaders(headers), body)
        self.bytes_sent += len(body)
        answer = await exchange(
            self.pool, parts.netloc, call, limits, retry_if_silent=True
        )
        self.bytes_received += len(answer.body)
        return answer

    def close(self) -> None:
        """Close all pooled connections."""
        self.pool.close()
