"""What one instance has of one account, and the requests that use it."""

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

from magnoliatrail.accounts.accounts import ClientAccount
from magnoliatrail.accounts.fallback import FallbackBucket
from magnoliatrail.accounts.quota_ledger import STOCK_LIFETIME
from magnoliatrail.ids import AccountName

# Accounts with more requests a second here ask for tokens in advance.
MIN_PREFETCH_REQUESTS_PER_S = 20
# Accounts without demand for this time are not named in messages.
IDLE_AFTER = timedelta(seconds=10)
# Demand is averaged over this time.
DEMAND_AVERAGE_SECONDS = 1.0
NO_COORDINATOR_RETRY_AFTER = timedelta(seconds=1)


class ChargeSource(Enum):
    """Where the amount of a charge came from."""

    UNLIMITED = "unlimited"
    COORDINATOR = "coordinator"
    FALLBACK = "fallback"


@dataclass(frozen=True, slots=True)
class Charge:
    """An amount of an account's quota that one request uses."""

    account: AccountName
    cost: float
    source: ChargeSource
    # When the message was sent that brought the oldest part of it.
    asked_at: timedelta


@dataclass(frozen=True, slots=True)
class QuotaRefusal:
    """Why a request is not admitted."""

    # 429, or 503 if no coordinator answers.
    status: int
    reason: str
    retry_after: timedelta


TOO_MANY_REQUESTS = 429
UNAVAILABLE = 503
OVER_QUOTA = "the account's quota is used up"
TOO_LARGE = "the request costs more than the account's quota ever allows at once"
UNCHECKED = "the quota cannot be checked"


@dataclass(eq=False, slots=True)
class WaitingCharge:
    """A request that waits for an amount of its account's quota."""

    account: ClientAccount
    cost: float
    priority: int
    settle: Callable[[Charge | QuotaRefusal], None]
    # Whether it is settled, or no longer waits.
    done: bool = False

    def finish(self, outcome: Charge | QuotaRefusal) -> None:
        """Settle the request."""
        self.done = True
        self.settle(outcome)


@dataclass(slots=True)
class Lot:
    """An amount that can be used for a while."""

    amount: float
    asked_at: timedelta


class AverageRate:
    """A rate, averaged with exponentially falling weights."""

    def __init__(self) -> None:
        self.value = 0.0
        self.at = timedelta()

    def add(self, amount: float, now: timedelta) -> None:
        """Add an amount."""
        self.value = self.per_second(now) + amount / DEMAND_AVERAGE_SECONDS
        self.at = now

    def per_second(self, now: timedelta) -> float:
        """Return the rate."""
        elapsed = (now - self.at).total_seconds()
        return self.value * math.exp(-elapsed / DEMAND_AVERAGE_SECONDS)


@dataclass(slots=True)
class AccountShare:
    """What this instance has of one account."""

    account: ClientAccount
    stock: deque[Lot] = field(default_factory=deque)
    waiting: list[WaitingCharge] = field(default_factory=list)
    returned: list[Lot] = field(default_factory=list)
    fraction: float = 0.0
    fallback: FallbackBucket = field(default_factory=FallbackBucket)
    demand: AverageRate = field(default_factory=AverageRate)
    requests: AverageRate = field(default_factory=AverageRate)
    asked_at: timedelta | None = None

    def record(self, cost: float, now: timedelta) -> None:
        """Record a request."""
        self.demand.add(cost, now)
        self.requests.add(1, now)
        self.asked_at = now

    def stocked(self, now: timedelta) -> float:
        """Return the amount in stock, without what expired."""
        while self.stock and now - self.stock[0].asked_at >= STOCK_LIFETIME:
            self.stock.popleft()
        return sum(lot.amount for lot in self.stock)

    def prefetches(self, now: timedelta) -> bool:
        """Return whether the account has enough requests to ask in advance."""
        return self.requests.per_second(now) > MIN_PREFETCH_REQUESTS_PER_S

    def is_active(self, now: timedelta) -> bool:
        """Return whether messages name the account."""
        return bool(
            self.waiting or self.returned or self.fraction or not self.is_idle(now)
        )

    def is_idle(self, now: timedelta) -> bool:
        """Return whether nothing was asked for lately."""
        return self.asked_at is None or now - self.asked_at >= IDLE_AFTER
