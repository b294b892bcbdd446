"""Retry budget: one instance's part of the retries allowed to all instances."""

from collections import deque
from collections.abc import Callable
from datetime import timedelta

from magnoliatrail.platform.settings_file import Bounds

# Share of the allowance that is used, as requests of other windows may count instead.
ALLOWANCE_FRACTION = 0.75


class RetryBudget:
    """Limit the retries of one service in a sliding window of its requests."""

    def __init__(
        self, bounds: Bounds, instances: Callable[[], int], *, started_at: timedelta
    ) -> None:
        self.bounds = bounds
        self.instances = instances
        # A new instance knows neither how many share the slack, nor what its former run
        # used of it in this window.
        self.slack_from = started_at + bounds.retry_window
        self.requests: deque[timedelta] = deque()
        self.retries: deque[timedelta] = deque()

    def record_request(self, now: timedelta) -> None:
        """Record a caller's request."""
        self.requests.append(now)
        self.trim(now)

    def trim(self, now: timedelta) -> None:
        """Remove the entries that are older than the window."""
        for times in (self.requests, self.retries):
            while times and times[0] < now - self.bounds.retry_window:
                times.popleft()

    def allowance(self, now: timedelta) -> float:
        """Return how many retries this instance may send in a window."""
        slack = 0.0
        if now >= self.slack_from:
            slack = self.bounds.retry_slack / max(1, self.instances())
        return ALLOWANCE_FRACTION * (
            self.bounds.retry_ratio * len(self.requests) + slack
        )

    def try_acquire(self, now: timedelta) -> bool:
        """Record a retry and return True, or return False if the budget is used up."""
        self.trim(now)
        if len(self.retries) + 1 > self.allowance(now):
            return False
        self.retries.append(now)
        return True
