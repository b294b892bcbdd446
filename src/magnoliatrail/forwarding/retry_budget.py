"""One instance's part of the repeats that all instances may send together."""

from collections import deque
from collections.abc import Callable
from datetime import timedelta

from magnoliatrail.platform.settings_file import Bounds

# Part of the allowance that is used, as requests of other windows may count instead.
ALLOWANCE_FRACTION = 0.75


class RetryBudget:
    """Count requests and repeats of one service in a sliding window."""

    def __init__(self, bounds: Bounds, instances: Callable[[], int]) -> None:
        self.bounds = bounds
        self.instances = instances
        self.requests: deque[timedelta] = deque()
        self.retries: deque[timedelta] = deque()

    def record_request(self, now: timedelta) -> None:
        """Count a request of a caller."""
        self.requests.append(now)
        self.trim(now)

    def trim(self, now: timedelta) -> None:
        """Forget what lies before the window."""
        for times in (self.requests, self.retries):
            while times and times[0] < now - self.bounds.repeat_window:
                times.popleft()

    def allowance(self) -> float:
        """Return how many repeats this instance may send in a window."""
        slack = self.bounds.repeat_slack / max(1, self.instances())
        return ALLOWANCE_FRACTION * (
            self.bounds.repeat_ratio * len(self.requests) + slack
        )

    def try_acquire(self, now: timedelta) -> bool:
        """Count a repeat; False if there is no allowance left."""
        self.trim(now)
        if len(self.retries) + 1 > self.allowance():
            return False
        self.retries.append(now)
        return True
