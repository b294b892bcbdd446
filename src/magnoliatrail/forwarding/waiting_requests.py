"""Requests that wait for a batch slot, which a planned stop ends."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager


class WaitingRequests:
    """Keep the timeouts of requests that were not sent to a server."""

    def __init__(self) -> None:
        self.timeouts: set[asyncio.Timeout] = set()

    @contextmanager
    def track(self, timeout: asyncio.Timeout) -> Iterator[None]:
        """Keep the timeout of a request while it waits."""
        self.timeouts.add(timeout)
        try:
            yield
        finally:
            self.timeouts.discard(timeout)

    def end_all(self) -> None:
        """Let the waits of all requests time out at once."""
        now = asyncio.get_running_loop().time()
        for timeout in list(self.timeouts):
            timeout.reschedule(now)
