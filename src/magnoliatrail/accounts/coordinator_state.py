"""What a coordinator of quotas knows of accounts and instances."""

from dataclasses import dataclass, field
from datetime import timedelta

from magnoliatrail.accounts.quota_ledger import QuotaLedger
from magnoliatrail.generated.accounts import QuotaAnswer
from magnoliatrail.ids import AccountName, Incarnation, InstanceId

# Totals are computed anew at this interval, so that rounding does not add up.
TOTALS_INTERVAL = timedelta(seconds=1)


@dataclass(slots=True)
class Holding:
    """What one instance has of one account."""

    # Largest fraction that it may hold, as far as the coordinator knows.
    fraction: float = 0.0
    demand_per_s: float = 0.0


@dataclass(slots=True)
class AccountState:
    """One account at its coordinator."""

    ledger: QuotaLedger | None
    holdings: dict[InstanceId, Holding] = field(default_factory=dict)
    fractions: float = 0.0
    demand_per_s: float = 0.0
    totals_at: timedelta | None = None

    def update_totals(self, now: timedelta) -> None:
        """Compute the totals anew if they are old."""
        if self.totals_at is not None and now - self.totals_at < TOTALS_INTERVAL:
            return
        self.totals_at = now
        self.fractions = sum(item.fraction for item in self.holdings.values())
        self.demand_per_s = sum(item.demand_per_s for item in self.holdings.values())

    def set_fraction(self, instance: InstanceId, fraction: float) -> None:
        """Set the fraction that an instance may hold."""
        holding = self.holdings.setdefault(instance, Holding())
        self.fractions += fraction - holding.fraction
        holding.fraction = fraction

    def set_demand(self, instance: InstanceId, demand_per_s: float) -> None:
        """Set what an instance's callers ask for."""
        holding = self.holdings.setdefault(instance, Holding())
        self.demand_per_s += demand_per_s - holding.demand_per_s
        holding.demand_per_s = demand_per_s

    def remove(self, instance: InstanceId) -> None:
        """Remove an instance."""
        holding = self.holdings.pop(instance, None)
        if holding:
            self.fractions -= holding.fraction
            self.demand_per_s -= holding.demand_per_s


@dataclass(slots=True)
class Sent:
    """An answer that an instance has not acknowledged yet."""

    received_at: timedelta
    granted: list[tuple[AccountName, float]] = field(default_factory=list)


@dataclass(slots=True)
class KnownInstance:
    """An instance that sent messages to this coordinator."""

    incarnation: Incarnation
    heard_at: timedelta
    number: int = 0
    answer: QuotaAnswer | None = None
    # When the last message arrived whose answer the instance is known to have got.
    acknowledged_at: timedelta | None = None
    unacknowledged: dict[int, Sent] = field(default_factory=dict)
    accounts: set[AccountName] = field(default_factory=set)
