"""Clocks: the interface, the system's clock and a manual one for tests."""

import asyncio
import time
from datetime import UTC, datetime, timedelta
from typing import Protocol


class Clock(Protocol):
    """A source of wall-clock and monotonic time that can sleep."""

    def now(self) -> datetime:
        """Return the wall-clock time, for records and display."""

    def monotonic(self) -> timedelta:
        """Return the monotonic time since a fixed point, for durations."""

    async def sleep(self, duration: timedelta) -> None:
        """Wait for a duration."""


class SystemClock:
    """The clock of the machine."""

    def now(self) -> datetime:
        """Return the wall-clock time in UTC."""
        return datetime.now(UTC)

    def monotonic(self) -> timedelta:
        """Return the time since the machine started."""
        return timedelta(seconds=time.monotonic())

    async def sleep(self, duration: timedelta) -> None:
        """Wait for a duration on the running event loop."""
        await asyncio.sleep(max(0.0, duration.total_seconds()))


class BootClock(SystemClock):
    """Provide a monotonic time that includes time spent suspended."""

    def monotonic(self) -> timedelta:
        """Return the time since boot, including time spent suspended."""
        return timedelta(seconds=time.clock_gettime(time.CLOCK_BOOTTIME))


class ManualClock:
    """A clock that moves only when `advance` is called."""

    def __init__(self, start: datetime = datetime(2026, 1, 1, tzinfo=UTC)) -> None:
        self.start = start
        self.elapsed = timedelta()
        self.sleepers: list[tuple[timedelta, asyncio.Future[None]]] = []

    def now(self) -> datetime:
        """Return the start time plus the elapsed time."""
        return self.start + self.elapsed

    def monotonic(self) -> timedelta:
        """Return the elapsed time."""
        return self.elapsed

    async def sleep(self, duration: timedelta) -> None:
        """Wait until the clock has advanced by a duration."""
        if duration <= timedelta():
            await asyncio.sleep(0)
            return
        wake = asyncio.get_running_loop().create_future()
        self.sleepers.append((self.elapsed + duration, wake))
        await wake

    def advance(self, duration: timedelta) -> None:
        """Advance the clock and wake the sleepers that are due."""
        self.elapsed += duration
        due = [wake for at, wake in self.sleepers if at <= self.elapsed]
        self.sleepers = [entry for entry in self.sleepers if entry[0] > self.elapsed]
        for wake in due:
            if not wake.done():
                wake.set_result(None)
