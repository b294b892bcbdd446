"""Start of an instance: what the store said may come from an older copy.

The tables of before are not known, so that an older copy cannot be told by itself. The
owners of cells send the rows that are newer with their answers.
"""

from collections.abc import Awaitable, Callable
from datetime import timedelta

from magnoliatrail.clock import Clock
from magnoliatrail.logs import EventLog
from magnoliatrail.membership.fleet_view import FleetView

log = EventLog("membership")

# An owner answers the first report well within this time. Where none does, as in a
# fleet that starts, the tables of the store are all that is known.
CONFIRMATION_TIMEOUT = timedelta(seconds=1.5)
POLL_INTERVAL = timedelta(milliseconds=20)


class StartCheck:
    """Delay the first requests until an owner has confirmed the tables, or none can."""

    def __init__(
        self,
        *,
        clock: Clock,
        view: FleetView,
        confirmed: Callable[[], bool],
        ensure_fresh: Callable[[], Awaitable[bool]],
    ) -> None:
        self.clock = clock
        self.view = view
        self.confirmed = confirmed
        self.read_fresh = ensure_fresh
        self.known_at: timedelta | None = None
        self.is_over = False

    def passed(self) -> bool:
        """Return whether requests may be routed by the known tables."""
        if self.is_over or self.view.routes is None:
            return self.is_over
        now = self.clock.monotonic()
        if self.known_at is None:
            self.known_at = now
        confirmed = self.confirmed()
        self.is_over = confirmed or now - self.known_at >= CONFIRMATION_TIMEOUT
        if self.is_over:
            log.info("tables_confirmed", by_owner=confirmed, after=now - self.known_at)
        return self.is_over

    async def ensure_fresh(self) -> bool:
        """Return whether a request may be routed, after the check has passed."""
        while not self.passed() and self.view.routes is not None:
            await self.clock.sleep(POLL_INTERVAL)
        return await self.read_fresh()
