"""Retry budget that limits retries to a share of the requests."""

from collections.abc import Callable

MAX_SAVED_RETRIES = 10.0


class RetryBudget:
    """Gain a fraction of a retry with each request, and lose one with each retry."""

    def __init__(self, share: Callable[[], float]) -> None:
        self.share = share
        self.saved = MAX_SAVED_RETRIES

    def earn(self) -> None:
        """Add the share of one request to the budget."""
        self.saved = min(MAX_SAVED_RETRIES, self.saved + self.share())

    def spend(self) -> bool:
        """Spend one retry, and return whether the budget allowed it."""
        if self.saved < 1:
            return False
        self.saved -= 1
        return True
