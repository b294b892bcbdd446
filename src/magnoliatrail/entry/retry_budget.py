"""A budget that keeps retries to a share of the requests."""

from collections.abc import Callable

MAX_SAVED_RETRIES = 10.0


class RetryBudget:
    """Earn a share of a retry with each request, and spend one for each retry."""

    def __init__(self, share: Callable[[], float]) -> None:
        self.share = share
        self.saved = MAX_SAVED_RETRIES

    def earn(self) -> None:
        """Count a request."""
        self.saved = min(MAX_SAVED_RETRIES, self.saved + self.share())

    def spend(self) -> bool:
        """Take one retry, if the budget has one."""
        if self.saved < 1:
            return False
        self.saved -= 1
        return True
