"""Rate limiter of adapter loads, which protects the weight store."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class LoadLimits:
    """Limits on how many adapter loads may start and be in flight."""

    loads_per_second: float
    burst: int
    in_flight: int

    def share(self, parts: int) -> "LoadLimits":
        """Divide the limits between several parts that share the weight store."""
        return LoadLimits(
            self.loads_per_second / parts, 1, max(1, self.in_flight // parts)
        )


class LoadRateLimiter:
    """Limit the start rate and the concurrency of adapter loads."""

    def __init__(self, limits: LoadLimits) -> None:
        self.limits = limits
        self.in_flight = 0
        self.next_start = timedelta()

    def wait(self, now: timedelta) -> timedelta | None:
        """Return the delay until the next start, None while too many are in flight."""
        if self.in_flight >= self.limits.in_flight:
            return None
        return max(self.next_start - now, timedelta())

    def start(self, now: timedelta) -> None:
        """Record the start of a load."""
        interval = timedelta(seconds=1 / self.limits.loads_per_second)
        earliest = now - interval * (self.limits.burst - 1)
        self.next_start = max(self.next_start, earliest) + interval
        self.in_flight += 1

    def end(self) -> None:
        """Record the end of a load."""
        self.in_flight = max(0, self.in_flight - 1)
