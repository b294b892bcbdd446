"""Bound on the bodies that are in flight to one server, which else may crash."""

from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager

from magnoliatrail.ids import ServerId

MAX_BYTES_PER_SERVER = 32_000_000
MAX_SHARE_OF_BUDGET = 0.25


class BytesInFlight:
    """Count the bodies of the requests in flight to each server."""

    def __init__(self, budget_bytes: int) -> None:
        share = int(budget_bytes * MAX_SHARE_OF_BUDGET)
        self.limit = min(MAX_BYTES_PER_SERVER, share)
        self.held: Counter[ServerId] = Counter()

    def has_room(self, server: ServerId, size: int) -> bool:
        """Return whether a body may be sent to a server now.

        A single one may always, as the limits on bodies allow it.
        """
        held = self.held[server]
        return not held or held + size <= self.limit

    @contextmanager
    def hold(self, server: ServerId, size: int) -> Iterator[None]:
        """Count a body while its request is in flight."""
        self.held[server] += size
        try:
            yield
        finally:
            self.held[server] -= size
            if not self.held[server]:
                del self.held[server]
