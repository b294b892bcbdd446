"""The token bucket and the window of one account, at its coordinator."""

import math
from collections import deque
from dataclasses import dataclass
from datetime import timedelta

from magnoliatrail.accounts.accounts import Quota

# Prefetched amounts expire this long after the message that asked for them was sent.
STOCK_LIFETIME = timedelta(milliseconds=500)
# Grants of the window are summed in slots of this length.
SLOT = timedelta(milliseconds=250)
SLOT_SECONDS = SLOT.total_seconds()
# Part of the burst that each level of route priority leaves to more urgent routes.
RESERVE_PER_LEVEL = 0.15
MAX_RESERVE = 0.45
# An account with a burst of fewer requests than this has no reserve.
MIN_REQUESTS_FOR_RESERVE = 4
# Amounts are sums of floating-point numbers.
ROUNDING = 1e-9


@dataclass(frozen=True, slots=True)
class QuotaTerms:
    """The window over which quotas are judged, and the tolerance."""

    window: timedelta
    # Share of what the window allows, and an amount in the unit of the quota.
    overage: float
    slack: float

    def allowance(self, quota: Quota) -> float:
        """Return what an account may use in one window."""
        return quota.per_second * self.window.total_seconds() + quota.burst

    def tolerance(self, quota: Quota) -> float:
        """Return what failures may add to the allowance of a window."""
        return self.overage * self.allowance(quota) + self.slack

    def fallback_start(self, quota: Quota) -> float:
        """Return what all fallback fractions together begin with."""
        return min(self.slack / 8, quota.burst)

    def fallback_limit(self, quota: Quota) -> float:
        """Return what all fallback fractions together may save up."""
        return self.tolerance(quota) / 4

    def debt_limit(self, quota: Quota) -> float:
        """Return the debt that a coordinator may leave to its successor."""
        return self.tolerance(quota) / 4

    def capacity(self, quota: Quota) -> float:
        """Return what the bucket of an account holds at most.

        The window allows much more than the burst at once. But a successor does not
        know what was granted just before it began, so that only a part of the
        tolerance can be added to the burst. A quarter of the slack is several requests
        of a small account, whose burst may be less than two.
        """
        return quota.burst + self.slack / 4

    def largest_cost(self, quota: Quota) -> float:
        """Return the largest cost of a single request that can be admitted."""
        return max(self.allowance(quota), self.capacity(quota) + self.debt_limit(quota))

    def presumed_debt(self, quota: Quota) -> float:
        """Return the debt of a predecessor that its successor has to expect."""
        most = self.capacity(quota) + self.debt_limit(quota)
        return max(0.0, quota.cost(None) - most)


class QuotaLedger:
    """The token bucket of one account, and its grants within the last window."""

    def __init__(
        self,
        *,
        quota: Quota,
        terms: QuotaTerms,
        level: float,
        now: timedelta,
        strict_until: timedelta,
    ) -> None:
        self.quota = quota
        self.terms = terms
        self.level = level
        self.refilled_at = now
        # Until then the grants of a predecessor may lie in the same window, so the
        # grants here stay within what was refilled here.
        self.strict_until = strict_until
        self.strict_room = level
        # Amount granted in each slot, by the number of the slot.
        self.slots: deque[list[float]] = deque()
        self.window_sum = 0.0
        # When each priority of a route last asked.
        self.asked: dict[int, timedelta] = {}

    @property
    def capacity(self) -> float:
        """Return what the bucket holds at most."""
        return self.terms.capacity(self.quota)

    @property
    def has_prefetch(self) -> bool:
        """Return whether the burst covers what prefetch adds to the window."""
        span = (STOCK_LIFETIME + SLOT).total_seconds()
        return self.quota.burst >= self.quota.per_second * span

    @property
    def span(self) -> timedelta:
        """Return how long a grant counts.

        Prefetched amounts are used after their grant, so each grant counts longer.
        """
        window = self.terms.window
        return window + STOCK_LIFETIME if self.has_prefetch else window

    def use_quota(self, quota: Quota) -> None:
        """Apply a changed quota."""
        if quota == self.quota:
            return
        self.quota = quota
        self.level = min(self.level, self.capacity)

    def refill(self, now: timedelta, share: float) -> None:
        """Add this share of the rate for the time since the last refill."""
        elapsed = (now - self.refilled_at).total_seconds()
        if elapsed <= 0:
            return
        self.refilled_at = now
        amount = self.quota.per_second * elapsed * max(0.0, min(1.0, share))
        self.level = min(self.capacity, self.level + amount)
        self.strict_room += amount
        self.forget(now)

    def forget(self, now: timedelta) -> None:
        """Remove the slots that ended before the window."""
        oldest = (now - self.span).total_seconds()
        while self.slots and (self.slots[0][0] + 1) * SLOT_SECONDS <= oldest:
            self.window_sum -= self.slots.popleft()[1]
        if not self.slots:
            self.window_sum = 0.0

    def room(self) -> float:
        """Return how much the window still allows."""
        return self.terms.allowance(self.quota) - self.window_sum

    def try_charge(self, cost: float, priority: int, now: timedelta) -> bool:
        """Charge a cost if it is admissible; call refill first."""
        self.asked[priority] = now
        if not self.is_admissible(cost, priority, now):
            return False
        if cost > 0:
            self.charge(cost, now)
        return True

    def is_admissible(self, cost: float, priority: int, now: timedelta) -> bool:
        """Return whether a cost fits the bucket, its reserve and the window."""
        if cost <= 0:
            return True
        if cost > self.terms.largest_cost(self.quota):
            return False
        margin = ROUNDING * max(1.0, cost)
        if now < self.strict_until and cost > self.strict_room + margin:
            return False
        if self.window_sum > margin and cost > self.room() + margin:
            return False
        needed = min(cost, self.capacity) + self.reserve(cost, priority, now)
        return self.level + margin >= needed

    def reserve(self, cost: float, priority: int, now: timedelta) -> float:
        """Return what a request must leave to more urgent routes.

        Only routes that asked within the last window need a reserve.
        """
        burst = self.quota.burst
        if priority <= 0 or burst < MIN_REQUESTS_FOR_RESERVE * cost:
            return 0.0
        recent = now - self.terms.window
        if not any(at >= recent for item, at in self.asked.items() if item < priority):
            return 0.0
        return min(RESERVE_PER_LEVEL * priority, MAX_RESERVE) * burst

    def prefetch(self, wanted: float, now: timedelta) -> float:
        """Charge up to an amount for requests that are expected, and return it.

        At most half of what is there, so that other instances find some too.
        """
        if not self.has_prefetch or now < self.strict_until or wanted <= 0:
            return 0.0
        spare = self.level - MAX_RESERVE * self.quota.burst
        amount = max(0.0, min(wanted, spare / 2, self.room() / 2))
        if amount:
            self.charge(amount, now)
        return amount

    def charge(self, amount: float, now: timedelta) -> None:
        """Take an amount from the bucket, and count it in the window."""
        self.level -= amount
        self.strict_room -= amount
        self.window_sum += amount
        number = math.floor(now.total_seconds() / SLOT_SECONDS)
        if self.slots and self.slots[-1][0] >= number:
            self.slots[-1][1] += amount
        else:
            self.slots.append([number, amount])

    def give_back(self, amount: float, granted_from: timedelta) -> None:
        """Return an amount that was granted at this time or later, and not used."""
        left = min(amount, self.terms.largest_cost(self.quota))
        self.level = min(self.capacity, self.level + left)
        self.strict_room += left
        first = granted_from.total_seconds()
        for slot in self.slots:
            if (slot[0] + 1) * SLOT_SECONDS <= first:
                continue
            part = min(slot[1], left)
            slot[1] -= part
            self.window_sum -= part
            left -= part
            if left <= 0:
                return

    def time_until_room(self, cost: float, now: timedelta) -> timedelta:
        """Return how long the account's rate needs to make room for a cost."""
        rate = self.quota.per_second
        if rate <= 0:
            return self.terms.window
        missing = min(cost, self.capacity) - self.level
        seconds = max(0.0, missing / rate)
        excess = cost - self.room()
        for number, amount in self.slots:
            if excess <= 0:
                break
            excess -= amount
            free_at = (number + 1) * SLOT_SECONDS + self.span.total_seconds()
            seconds = max(seconds, free_at - now.total_seconds())
        return timedelta(seconds=seconds)
