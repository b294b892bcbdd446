"""The clock that every part is given."""

import asyncio
import time
from datetime import UTC, datetime, timedelta
from typing import Protocol


class Clock(Protocol):
    """Tell the time and wait."""

    def now(self) -> datetime:
        """Return the wall-clock time, for records that people read."""

    def monotonic(self) -> timedelta:
        """Return the time since a fixed point, for durations."""

    async def sleep(self, duration: timedelta) -> None:
        """Wait for a duration."""


class SystemClock:
    """Tell the time of the machine."""

    def now(self) -> datetime:
        """Return the wall-clock time in UTC."""
        return datetime.now(UTC)

    def monotonic(self) -> timedelta:
        """Return the time since the machine started."""
        return timedelta(seconds=time.monotonic())

    async def sleep(self, duration: timedelta) -> None:
        """Wait for a duration on the running event loop."""
        await asyncio.sleep(max(0.0, duration.total_seconds()))


class ManualClock:
    """Tell a time that only moves when told to."""

    def __init__(self, start: datetime = datetime(2026, 1, 1, tzinfo=UTC)) -> None:
        self.start = start
        self.elapsed = timedelta()
        self.sleepers: list[tuple[timedelta, asyncio.Future[None]]] = []

    def now(self) -> datetime:
        """Return the start plus what has elapsed."""
        return self.start + self.elapsed

    def monotonic(self) -> timedelta:
        """Return what has elapsed."""
        return self.elapsed

    async def sleep(self, duration: timedelta) -> None:
        """Wait until `advance` has moved the clock by a duration."""
        if duration <= timedelta():
            await asyncio.sleep(0)
            return
        wake = asyncio.get_running_loop().create_future()
        self.sleepers.append((self.elapsed + duration, wake))
        await wake

    def advance(self, duration: timedelta) -> None:
        """Move the clock and wake every sleeper whose time has come."""
        self.elapsed += duration
        due = [wake for at, wake in self.sleepers if at <= self.elapsed]
        self.sleepers = [entry for entry in self.sleepers if entry[0] > self.elapsed]
        for wake in due:
            if not wake.done():
                wake.set_result(None)
