"""What one instance has of the quotas of the accounts of one coordinator."""

from collections import deque
from dataclasses import dataclass, field
from datetime import timedelta

from magnoliatrail.accounts.account_share import (
    IDLE_AFTER,
    NO_COORDINATOR_RETRY_AFTER,
    OVER_QUOTA,
    TOO_LARGE,
    TOO_MANY_REQUESTS,
    UNAVAILABLE,
    UNCHECKED,
    AccountShare,
    Charge,
    ChargeSource,
    Lot,
    QuotaRefusal,
    WaitingCharge,
)
from magnoliatrail.accounts.accounts import ClientAccount
from magnoliatrail.accounts.coordinator import FALLBACK_DURATION, SILENCE
from magnoliatrail.accounts.quota_ledger import ROUNDING, STOCK_LIFETIME, QuotaTerms
from magnoliatrail.generated.accounts import (
    AccountDemand,
    AccountGrant,
    QuotaAnswer,
    QuotaRequest,
    ReturnedAmount,
)
from magnoliatrail.ids import AccountName, CellId, Incarnation, InstanceId

MAX_COSTS = 64
# Accounts with many requests here ask for tokens in advance, for this time.
PREFETCH_DURATION_SECONDS = 0.25
# Interval between messages without requests that wait. An answer is acknowledged by the
# next message, so two intervals have to be shorter than the time until silence.
MESSAGE_INTERVAL = timedelta(milliseconds=250)
PREFETCH_INTERVAL = timedelta(milliseconds=200)
# An answer that came so late, as this instance was stopped, counts as no answer.
MAX_ANSWER_AGE = timedelta(seconds=1)


@dataclass(slots=True)
class InFlight:
    """A message that is not answered yet."""

    number: int
    sent_at: timedelta
    waiting: dict[AccountName, list[WaitingCharge]] = field(default_factory=dict)


class QuotaShares:
    """What one instance has of the accounts that the owner of one cell coordinates.

    It outlives the owner: the fractions stay until another owner answers.
    """

    def __init__(
        self,
        *,
        terms: QuotaTerms,
        cell: CellId,
        instance: InstanceId,
        incarnation: Incarnation,
    ) -> None:
        self.terms = terms
        self.cell = cell
        self.instance = instance
        self.incarnation = incarnation
        self.accounts: dict[AccountName, AccountShare] = {}
        self.in_flight: InFlight | None = None
        self.number = 0
        # Number of the last message whose answer was applied, and when that was.
        self.answered = 0
        self.answered_at: timedelta | None = None
        self.sent_at: timedelta | None = None
        # Whether a message is due without anything to ask, to tell a new coordinator
        # which fractions this instance holds.
        self.reports = False
        self.leaving = False

    # Requests

    def share_of(self, account: ClientAccount) -> AccountShare:
        """Return what this instance has of an account."""
        share = self.accounts.get(account.name)
        if share is None:
            share = self.accounts[account.name] = AccountShare(account)
        share.account = account
        return share

    def try_take(
        self, account: ClientAccount, cost: float, now: timedelta
    ) -> Charge | None:
        """Take a cost from the stock; None if the coordinator must be asked."""
        share = self.share_of(account)
        share.record(cost, now)
        if cost > share.stocked(now) or share.waiting:
            return None
        asked_at = share.stock[0].asked_at if share.stock else now
        left = cost
        while left > 0 and share.stock:
            lot = share.stock[0]
            part = min(lot.amount, left)
            lot.amount -= part
            left -= part
            if lot.amount <= ROUNDING:
                share.stock.popleft()
        return Charge(account.name, cost, ChargeSource.COORDINATOR, asked_at)

    def enqueue(self, waiting: WaitingCharge) -> None:
        """Let a request wait for the next message."""
        self.share_of(waiting.account).waiting.append(waiting)

    def cancel(self, waiting: WaitingCharge) -> None:
        """End the wait of a request."""
        waiting.done = True
        share = self.accounts.get(waiting.account.name)
        if share and waiting in share.waiting:
            share.waiting.remove(waiting)

    def give_back(self, charge: Charge, now: timedelta) -> None:
        """Return a charge whose request was not run."""
        share = self.accounts.get(charge.account)
        if share is None or charge.cost <= 0:
            return
        if charge.source is ChargeSource.FALLBACK:
            quota = share.account.quota
            if quota and now - charge.asked_at < STOCK_LIFETIME:
                limit = share.fraction * self.terms.fallback_limit(quota)
                share.fallback.give_back(charge.cost, limit)
        elif charge.source is ChargeSource.COORDINATOR:
            lot = Lot(charge.cost, charge.asked_at)
            if now - charge.asked_at >= STOCK_LIFETIME:
                share.returned.append(lot)
            else:
                share.stock.append(lot)
                share.stock = deque(sorted(share.stock, key=lambda item: item.asked_at))

    # Messages

    @property
    def has_waiting(self) -> bool:
        """Return whether a request waits."""
        return any(share.waiting for share in self.accounts.values())

    def due_in(self, now: timedelta) -> timedelta | None:
        """Return when the next message is due, None without anything to say."""
        if self.in_flight:
            return None
        if self.reports or self.leaving or self.has_waiting:
            return timedelta()
        active = [item for item in self.accounts.values() if item.is_active(now)]
        if not active:
            return None
        if self.sent_at is None:
            return timedelta()
        prefetches = any(share.prefetches(now) for share in active)
        interval = PREFETCH_INTERVAL if prefetches else MESSAGE_INTERVAL
        return max(timedelta(), self.sent_at + interval - now)

    def next_message(self, now: timedelta) -> QuotaRequest | None:
        """Return the message that is due, None if none is."""
        due_in = self.due_in(now)
        if due_in is None or due_in > timedelta():
            return None
        self.end_fractions(now)
        self.forget_idle(now)
        self.number += 1
        self.sent_at = now
        self.reports = False
        self.in_flight = InFlight(self.number, now)
        return QuotaRequest(
            cell=self.cell,
            instance=self.instance,
            incarnation=self.incarnation,
            number=self.number,
            answered=self.answered,
            leaving=self.leaving,
            accounts=[
                self.demand_of(share, self.in_flight, now)
                for share in self.accounts.values()
                if share.is_active(now)
            ],
        )

    def demand_of(
        self, share: AccountShare, in_flight: InFlight, now: timedelta
    ) -> AccountDemand:
        """Return what the message says of one account."""
        share.waiting.sort(key=lambda item: item.priority)
        asked = share.waiting[:MAX_COSTS]
        in_flight.waiting[share.account.name] = asked
        stocked = share.stocked(now)
        if self.leaving:
            share.returned.extend(share.stock)
            share.stock.clear()
        demand = 0.0 if share.is_idle(now) else share.demand.per_second(now)
        prefetch = 0.0
        if share.prefetches(now) and not self.leaving:
            prefetch = max(0.0, demand * PREFETCH_DURATION_SECONDS - stocked)
        # Returned once only: a lost message may have been applied.
        returned, share.returned = share.returned, []
        return AccountDemand(
            account=share.account.name,
            costs=[item.cost for item in asked],
            priorities=[item.priority for item in asked],
            prefetch=prefetch,
            returned=[
                ReturnedAmount(
                    amount=lot.amount, age_ms=(now - lot.asked_at).total_seconds() * 1e3
                )
                for lot in returned
            ],
            demand_per_s=demand,
            fraction=share.fraction,
        )

    def forget_idle(self, now: timedelta) -> None:
        """Forget accounts without demand whose start value has come back."""
        self.accounts = {
            name: share
            for name, share in self.accounts.items()
            if share.is_active(now)
            or (
                share.asked_at is not None
                and now - share.asked_at < IDLE_AFTER + FALLBACK_DURATION
            )
        }

    def apply(self, message: QuotaRequest, answer: QuotaAnswer, now: timedelta) -> None:
        """Apply the coordinator's answer, and settle the requests that it decides."""
        in_flight = self.in_flight
        if in_flight is None or in_flight.number != message.number:
            return
        if not answer.coordinates or now - in_flight.sent_at > MAX_ANSWER_AGE:
            self.record_failure(message, now)
            return
        self.in_flight = None
        # A coordinator that did not answer for a while counts this instance as silent
        # until it learns that this answer arrived.
        self.reports = self.is_silent(now) and any(
            share.fraction for share in self.accounts.values()
        )
        self.answered, self.answered_at = message.number, now
        for share in self.accounts.values():
            share.fallback.leave(now)
        for grant in answer.accounts:
            granted = self.accounts.get(AccountName(grant.account))
            if granted:
                self.apply_grant(granted, grant, in_flight, now)

    def apply_grant(
        self,
        share: AccountShare,
        grant: AccountGrant,
        in_flight: InFlight,
        now: timedelta,
    ) -> None:
        """Apply what the answer says of one account."""
        asked = in_flight.waiting.get(share.account.name, [])
        share.fraction = max(0.0, min(1.0, grant.fraction))
        retry_after = timedelta(milliseconds=grant.retry_after_ms)
        for waiting, admitted in zip(asked, grant.admitted, strict=False):
            if admitted:
                charge = Charge(
                    share.account.name,
                    waiting.cost,
                    ChargeSource.COORDINATOR,
                    in_flight.sent_at,
                )
                if waiting.done:
                    self.give_back(charge, now)
                else:
                    waiting.finish(charge)
            elif not waiting.done:
                quota = share.account.quota
                fits = quota is None or waiting.cost <= self.terms.largest_cost(quota)
                reason = OVER_QUOTA if fits else TOO_LARGE
                waiting.finish(QuotaRefusal(TOO_MANY_REQUESTS, reason, retry_after))
        share.waiting = [item for item in share.waiting if not item.done]
        if grant.prefetched > 0 and now - in_flight.sent_at < STOCK_LIFETIME:
            share.stock.append(Lot(grant.prefetched, in_flight.sent_at))

    def record_failure(self, message: QuotaRequest, now: timedelta) -> None:
        """Record that a message got no answer; an answer that comes later is unused."""
        if self.in_flight and self.in_flight.number == message.number:
            self.in_flight = None

    # Without a coordinator

    def is_silent(self, now: timedelta) -> bool:
        """Return whether no coordinator answered for so long that fractions are used.

        The time counts from the arrival of the last answer, so that it begins here not
        earlier than at the coordinator.
        """
        return self.answered_at is None or now - self.answered_at >= SILENCE

    def end_fractions(self, now: timedelta) -> None:
        """Give up the fractions some time after the last answer."""
        if self.answered_at is None or now - self.answered_at < FALLBACK_DURATION:
            return
        for share in self.accounts.values():
            share.fraction = 0.0

    def take_fallback(self, now: timedelta) -> None:
        """Settle requests from the fallback fractions while no coordinator answers."""
        if self.answered_at is None or not self.is_silent(now):
            return
        self.end_fractions(now)
        ended = now - self.answered_at >= FALLBACK_DURATION
        began_at = self.answered_at + SILENCE
        for share in self.accounts.values():
            quota = share.account.quota
            if quota is None:
                continue
            bucket, fraction = share.fallback, share.fraction
            bucket.enter(fraction, quota, self.terms, began_at)
            cost = max((item.cost for item in share.waiting), default=0.0)
            bucket.refill(fraction, quota, self.terms, waiting_cost=cost, now=now)
            share.waiting.sort(key=lambda item: item.priority)
            for waiting in share.waiting:
                if ended:
                    retry_after = NO_COORDINATOR_RETRY_AFTER
                    waiting.finish(QuotaRefusal(UNAVAILABLE, UNCHECKED, retry_after))
                elif fraction > 0 and bucket.try_take(waiting.cost):
                    waiting.finish(
                        Charge(
                            share.account.name,
                            waiting.cost,
                            ChargeSource.FALLBACK,
                            now,
                        )
                    )
            share.waiting = [item for item in share.waiting if not item.done]
