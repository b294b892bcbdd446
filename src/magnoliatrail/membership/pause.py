"""Detection of pauses of this process, and the refresh that follows."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta

from magnoliatrail.clock import Clock
from magnoliatrail.logs import EventLog
from magnoliatrail.metrics import Metrics

log = EventLog("pause")

TICK_INTERVAL = timedelta(milliseconds=250)
PAUSE_THRESHOLD = timedelta(seconds=1.5)
REFRESH_TIMEOUT = timedelta(seconds=5)


class PauseGate:
    """Block orders and dispatches after a gap in the monotonic clock."""

    def __init__(
        self, *, clock: Clock, metrics: Metrics, refresh: Callable[[], Awaitable[None]]
    ) -> None:
        self.clock = clock
        self.metrics = metrics
        self.refresh = refresh
        self.last_tick = clock.monotonic()
        self.pauses = 0
        self.stale = False
        self.refreshing: asyncio.Task[None] | None = None

    @property
    def is_open(self) -> bool:
        """Return whether work may proceed now."""
        self.detect_pause()
        return not self.stale

    def detect_pause(self) -> None:
        """Check for a gap since the last tick."""
        gap = self.clock.monotonic() - self.last_tick
        if gap <= PAUSE_THRESHOLD:
            return
        self.pauses += 1
        self.stale = True
        self.last_tick = self.clock.monotonic()
        self.metrics.count("pauses")
        log.warning("pause_detected", gap_seconds=round(gap.total_seconds(), 3))

    async def tick(self) -> None:
        """Record that this process runs, and start the refresh after a pause."""
        if not self.is_open:
            self.start_refresh()
        self.last_tick = self.clock.monotonic()

    async def wait_until_open(self) -> None:
        """Wait until this instance's state was refreshed after the last pause."""
        while not self.is_open:
            await asyncio.shield(self.start_refresh())

    def start_refresh(self) -> asyncio.Task[None]:
        """Return the running refresh, or start one."""
        if self.refreshing is None:
            self.refreshing = asyncio.create_task(self.recover())
        return self.refreshing

    async def recover(self) -> None:
        """Refresh once; a pause during the refresh keeps the gate closed.

        While the platform is down there is nothing to refresh from, and an instance
        that took over meanwhile needed the platform too, so work continues after
        the timeout.
        """
        pauses = self.pauses
        try:
            async with asyncio.timeout(REFRESH_TIMEOUT.total_seconds()):
                await self.refresh()
        except Exception as error:
            log.warning("refresh_failed", reason=repr(error))
        finally:
            self.refreshing = None
        if pauses == self.pauses:
            self.stale = False
