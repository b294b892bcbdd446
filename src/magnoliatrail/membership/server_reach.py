"""Whether this instance reaches backend servers at all, as far as it can tell alone."""

from collections.abc import Collection, Iterator
from contextlib import contextmanager
from datetime import timedelta

from magnoliatrail.clock import Clock

# So many different servers must have refused connections since the last one that was
# opened, as one or two servers may be gone while connections to others are in use.
MIN_UNREACHABLE = 2
# While requests wait for so long, some server usually sends something.
SILENCE_TIMEOUT = timedelta(milliseconds=600)
# Failures are forgotten after this time.
FAILURE_LIFETIME = timedelta(seconds=5)


class ServerReach:
    """What connections and answers say of the way to the servers."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        # When any server last sent something, or accepted a connection.
        self.contact_at: timedelta | None = None
        # Servers without a connection since one was last opened to any, by address.
        self.unreachable: dict[str, timedelta] = {}
        # When the requests that wait for an answer were sent.
        self.awaited: dict[int, timedelta] = {}
        self.numbers = 0

    def record_contact(self) -> None:
        """Record that some server sent a part of an answer."""
        self.contact_at = self.clock.monotonic()

    def record_opened(self) -> None:
        """Record that some server accepted a connection."""
        self.record_contact()
        self.unreachable.clear()

    def record_unreachable(self, address: str) -> None:
        """Record that no connection to a server could be opened."""
        self.unreachable[address] = self.clock.monotonic()

    @contextmanager
    def awaiting_answer(self) -> Iterator[None]:
        """Count a request as sent, and waiting for its answer."""
        self.numbers += 1
        number = self.numbers
        self.awaited[number] = self.clock.monotonic()
        try:
            yield
        finally:
            del self.awaited[number]

    def contact_within(self, limit: timedelta) -> bool:
        """Return whether a server was heard from within a time."""
        if self.contact_at is None:
            return False
        return self.clock.monotonic() - self.contact_at <= limit

    def is_silent(self) -> bool:
        """Return whether requests wait, and no server sent anything for long."""
        if not self.awaited or self.contact_within(SILENCE_TIMEOUT):
            return False
        # The oldest entry comes first.
        oldest = next(iter(self.awaited.values()))
        return self.clock.monotonic() - oldest > SILENCE_TIMEOUT

    def is_doubtful(self, servers: Collection[str]) -> bool:
        """Return whether this instance may be cut from all of these servers."""
        oldest = self.clock.monotonic() - FAILURE_LIFETIME
        self.unreachable = {
            address: at for address, at in self.unreachable.items() if at >= oldest
        }
        failed = sum(address in self.unreachable for address in servers)
        return failed >= min(MIN_UNREACHABLE, len(servers)) > 0 or self.is_silent()
