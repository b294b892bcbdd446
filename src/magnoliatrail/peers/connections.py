"""Kept connections to other instances, over which many messages go."""

from urllib.parse import urlsplit

from tornado.httputil import HTTPHeaders

from magnoliatrail.clock import SystemClock
from magnoliatrail.connections import ConnectionPool
from magnoliatrail.exchange import BufferedAnswer, OutgoingRequest, exchange
from magnoliatrail.wire import CallLimits


class KeptConnections:
    """Send messages to peers, each over a connection that stays open."""

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
        """Send a message, again on a new connection if a kept one is silent.

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
        """Close all kept connections."""
        self.pool.close()
