"""A budget that keeps retries to a share of the requests."""

from collections.abc import Callable

MOST_SAVED = 10.0


class RetryBudget:
    """Earn a share of a retry with each request, and spend one for each retry."""

    def __init__(self, share: Callable[[], float]) -> None:
        self.share = share
        self.saved = MOST_SAVED

    def earn(self) -> None:
        """Count a request."""
        self.saved = min(MOST_SAVED, self.saved + self.share())

    def spend(self) -> bool:
        """Take one retry, if the budget has one."""
        if self.saved < 1:
            return False
        self.saved -= 1
        return True
