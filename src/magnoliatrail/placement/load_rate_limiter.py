"""Pace of adapter loads: what the weight store allows."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class LoadLimits:
    """Say how many adapter loads may start and be in flight."""

    loads_per_second: float
    burst: int
    in_flight: int

    def share(self, parts: int) -> "LoadLimits":
        """Return the limits of one of several parts that share the store."""
        return LoadLimits(
            self.loads_per_second / parts, 1, max(1, self.in_flight // parts)
        )


class LoadRateLimiter:
    """Say when the next adapter load may start."""

    def __init__(self, limits: LoadLimits) -> None:
        self.limits = limits
        self.in_flight = 0
        self.next_start = timedelta()

    def wait(self, now: timedelta) -> timedelta | None:
        """Return the wait for the next start, None while too many are in flight."""
        if self.in_flight >= self.limits.in_flight:
            return None
        return max(self.next_start - now, timedelta())

    def start(self, now: timedelta) -> None:
        """Count a load that starts."""
        interval = timedelta(seconds=1 / self.limits.loads_per_second)
        earliest = now - interval * (self.limits.burst - 1)
        self.next_start = max(self.next_start, earliest) + interval
        self.in_flight += 1

    def end(self) -> None:
        """Count a load that ended."""
        self.in_flight = max(0, self.in_flight - 1)
