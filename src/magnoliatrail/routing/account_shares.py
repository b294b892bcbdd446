"""Shares of client accounts in what engines do: whose next request is due later.

The work of an account is what it was granted lately and what it has waiting. An account
with more than its fair share of the work of all active accounts lags: its requests are
due later than those of the others.
"""

import math
from collections import Counter
from dataclasses import dataclass
from datetime import timedelta

from magnoliatrail.ids import AccountName

WORK_HALF_LIFE = timedelta(seconds=4)
# Work that decays with the half-life is the rate of the work times this.
WORK_WINDOW_SECONDS = WORK_HALF_LIFE.total_seconds() / math.log(2)
# An account counts in the fair shares for this long after its last request.
ACTIVE_TIME = timedelta(seconds=10)
EXPIRY_INTERVAL = timedelta(seconds=1)
# Tokens a second; a quota of more is none. Sums of rates stay finite.
MAX_RATE = 1e18
MAX_LAG = timedelta(seconds=2)
MAX_LAG_SECONDS = MAX_LAG.total_seconds()
# An output token takes a part of a decode step, a prompt token a part of a prefill.
WORK_PER_OUTPUT_TOKEN = 10
# Head start of each account level before the next. It exceeds the 150 ms for each of
# the three route levels in use, so that an account's level counts first.
LEVEL_STEP = timedelta(milliseconds=450)
# Least urgent level. Without a limit, the delay of a level would exceed the maximum lag
# and the time that a request may wait.
MAX_LEVEL = 2
LEVEL_DELAYS = [LEVEL_STEP * level for level in range(MAX_LEVEL + 1)]
NO_DELAY = timedelta()


def work_of(prompt_tokens: int, output_tokens: int) -> int:
    """Return the work of a request, in prompt tokens."""
    return max(0, prompt_tokens) + WORK_PER_OUTPUT_TOKEN * max(0, output_tokens)


def engine_priority(account_priority: int, route_priority: int) -> int:
    """Return the priority that engines get for a request of an account, 0 to 9."""
    account_level = min(MAX_LEVEL, max(0, account_priority))
    return min(9, 3 * account_level + min(MAX_LEVEL, max(0, route_priority)))


@dataclass(slots=True)
class AccountWork:
    """The granted work of an account, which decays, and its quota rate."""

    rate: float
    active_at: timedelta
    granted: float = 0.0
    granted_at: timedelta = timedelta()
    # Work of the request that was granted last.
    last: float = 0.0

    def granted_by(self, now: timedelta) -> float:
        """Return the granted work that has not decayed."""
        return decayed(self.granted, self.granted_at, now)


@dataclass(frozen=True, slots=True)
class Standing:
    """The granted work of an account, and the work that is its fair share."""

    granted: float
    fair: float

    def lag(self, ahead: float = 0.0) -> timedelta:
        """Return how much later than those of others a request of the account is due.

        `ahead` is the account's waiting work that goes before the request.
        """
        surplus = self.granted + ahead - self.fair
        if surplus <= 0.0:
            return NO_DELAY
        # The time in which the fair share makes up for the surplus, as a part of itself
        # and the maximum. So the lag nears the maximum without reaching it, and of two
        # accounts with a surplus the one with the larger surplus lags more.
        surplus_seconds = WORK_WINDOW_SECONDS * surplus
        part = surplus_seconds / (surplus_seconds + MAX_LAG_SECONDS * self.fair)
        return timedelta(seconds=MAX_LAG_SECONDS * part)

    def level_delay(self, level: int, ahead: float = 0.0) -> timedelta:
        """Return how much later a request is due because of its account's level.

        Below the fair share the level counts less, and the account is up to one level
        more urgent. Otherwise accounts of more urgent levels, or with much larger
        shares, could use up all engines without a lag.
        """
        work = self.granted + ahead
        if work >= self.fair:
            return LEVEL_DELAYS[min(MAX_LEVEL, max(0, level))]
        level = min(MAX_LEVEL, max(0, level))
        return LEVEL_STEP * ((level + 1) * work / self.fair - 1)


class AccountShares:
    """Keep the granted and the waiting work of each active account."""

    def __init__(self) -> None:
        self.accounts: dict[AccountName, AccountWork] = {}
        self.granted = 0.0
        self.granted_at = timedelta()
        self.waiting: Counter[AccountName] = Counter()
        self.waiting_total = 0
        self.expired_at = timedelta()
        # Sum of the rates and mean rate of the active accounts, None if they changed.
        self.rates: tuple[float, float] | None = None

    def record(self, account: AccountName, tokens: float, now: timedelta) -> None:
        """Record granted work, negative if a grant was taken back."""
        found = self.find(account, now)
        before = found.granted_by(now)
        found.granted, found.granted_at = max(0.0, before + tokens), now
        if tokens > 0:
            found.last = tokens
        total = decayed(self.granted, self.granted_at, now)
        self.granted, self.granted_at = total + found.granted - before, now

    def record_waiting(self, account: AccountName, tokens: int) -> None:
        """Record work that began to wait, negative if it ended to wait."""
        self.waiting[account] += tokens
        self.waiting_total += tokens
        if not self.waiting[account]:
            del self.waiting[account]

    def lag(self, account: AccountName, rate: float, now: timedelta) -> timedelta:
        """Return how much later than others the account's next request is due.

        `rate` is in tokens a second, 0 for an account without a limit.
        """
        return self.standing(account, rate, now).lag()

    def standing(self, account: AccountName, rate: float, now: timedelta) -> Standing:
        """Return the granted work and the fair share of an account, which is active."""
        self.expire(now)
        found = self.find(account, now)
        found.active_at = now
        rate = rate if 0.0 < rate < MAX_RATE else 0.0
        if found.rate != rate:
            found.rate, self.rates = rate, None
        total = decayed(self.granted, self.granted_at, now) + self.waiting_total
        # The fair share is at least one request: an account with a small rate would
        # lag for seconds after each of its requests.
        fair = max(found.last, self.part_of(found) * total)
        return Standing(found.granted_by(now), fair)

    def part_of(self, account: AccountWork) -> float:
        """Return an account's part by quota rate among the active accounts, 0 to 1."""
        if self.rates is None:
            limited = [item.rate for item in self.accounts.values() if item.rate]
            mean = sum(limited) / len(limited) if limited else 1.0
            self.rates = mean * len(self.accounts), mean
        total, mean = self.rates
        return (account.rate or mean) / total

    def find(self, account: AccountName, now: timedelta) -> AccountWork:
        """Return the work of an account, which is added if it is not known."""
        found = self.accounts.get(account)
        if found is None:
            found = self.accounts[account] = AccountWork(0.0, now)
            self.rates = None
        return found

    def expire(self, now: timedelta) -> None:
        """Remove the accounts that are no longer active."""
        if now - self.expired_at < EXPIRY_INTERVAL:
            return
        self.expired_at = now
        inactive = [
            name
            for name, account in self.accounts.items()
            if now - account.active_at > ACTIVE_TIME and name not in self.waiting
        ]
        for name in inactive:
            del self.accounts[name]
        if inactive:
            self.rates = None
        # Summed anew, so that rounding errors do not add up.
        self.granted = sum(item.granted_by(now) for item in self.accounts.values())
        self.granted_at = now


def decayed(work: float, since: timedelta, now: timedelta) -> float:
    """Return what is left of work that was summed at an earlier time."""
    factor: float = 0.5 ** ((now - since) / WORK_HALF_LIFE)
    return work * factor
