"""What an instance may use of an account while no coordinator answers."""

from datetime import timedelta

from magnoliatrail.accounts.accounts import Quota
from magnoliatrail.accounts.quota_ledger import ROUNDING, QuotaTerms


class FallbackBucket:
    """The bucket of one account's fallback fraction at one instance."""

    def __init__(self) -> None:
        self.level = 0.0
        # Time up to which the bucket is filled, None while it is not in use.
        self.filled_until: timedelta | None = None
        self.left_at: timedelta | None = None

    def enter(
        self, fraction: float, quota: Quota, terms: QuotaTerms, began_at: timedelta
    ) -> None:
        """Begin to use the fraction.

        The start value comes back over one window, so that an instance that loses and
        finds its coordinator again and again does not use it each time.
        """
        if self.filled_until is not None:
            return
        start = fraction * terms.fallback_start(quota)
        restored = 1.0
        if self.left_at is not None:
            restored = max(timedelta(), began_at - self.left_at) / terms.window
        self.level = max(
            min(self.level, fraction * terms.fallback_limit(quota)),
            min(start, self.level + start * restored),
        )
        self.filled_until = began_at

    def leave(self, now: timedelta) -> None:
        """End the use of the fraction."""
        if self.filled_until is not None:
            self.filled_until = None
            self.left_at = now

    def refill(
        self,
        fraction: float,
        quota: Quota,
        terms: QuotaTerms,
        *,
        waiting_cost: float,
        now: timedelta,
    ) -> None:
        """Add the fraction of the rate for the time since the last refill."""
        if self.filled_until is None or now <= self.filled_until:
            return
        elapsed = (now - self.filled_until).total_seconds()
        self.filled_until = now
        cap = max(
            fraction * terms.fallback_start(quota),
            min(waiting_cost, fraction * terms.fallback_limit(quota)),
        )
        gained = self.level + fraction * quota.per_second * elapsed
        self.level = max(min(self.level, cap), min(cap, gained))

    def try_take(self, cost: float) -> bool:
        """Take a cost if the bucket has all of it."""
        if cost > self.level + ROUNDING * max(1.0, cost):
            return False
        self.level -= cost
        return True

    def give_back(self, cost: float, limit: float) -> None:
        """Return a cost that was not used, up to a limit."""
        if self.filled_until is not None:
            self.level = max(self.level, min(limit, self.level + cost))
