"""Requests that wait for a batch slot, which a planned stop ends."""

import asyncio
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager


class WaitingRequests:
    """Keep the timeouts of requests that were not sent to a server."""

    def __init__(self) -> None:
        # The timeouts, and whether a request may still be sent.
        self.timeouts: dict[asyncio.Timeout, Callable[[], bool]] = {}

    @contextmanager
    def track(
        self, timeout: asyncio.Timeout, may_be_sent: Callable[[], bool]
    ) -> Iterator[None]:
        """Keep the timeout of a request while it waits."""
        self.timeouts[timeout] = may_be_sent
        try:
            yield
        finally:
            del self.timeouts[timeout]

    def end_all(self) -> None:
        """Let the waits of all requests time out at once."""
        expire(self.timeouts)

    def end_late(self) -> None:
        """Let the waits of those requests time out that may not be sent any more."""
        expire(timeout for timeout, may in self.timeouts.items() if not may())


def expire(timeouts: Iterable[asyncio.Timeout]) -> None:
    """Let timeouts expire at once."""
    now = asyncio.get_running_loop().time()
    for timeout in list(timeouts):
        if not timeout.expired():
            timeout.reschedule(now)
