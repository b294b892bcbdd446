"""The coordinator of the quotas of some accounts, during one ownership."""

import random
from collections.abc import Mapping
from datetime import timedelta

from magnoliatrail.accounts.accounts import ClientAccount
from magnoliatrail.accounts.coordinator_state import AccountState, KnownInstance, Sent
from magnoliatrail.accounts.quota_ledger import (
    STOCK_LIFETIME,
    QuotaLedger,
    QuotaTerms,
)
from magnoliatrail.generated.accounts import (
    AccountDemand,
    AccountGrant,
    QuotaAnswer,
    QuotaRequest,
)
from magnoliatrail.ids import AccountName, Incarnation, InstanceId

# An instance may use its fractions this long after it got its last answer. The
# coordinator looks for silent instances at this interval, and counts them that much
# earlier.
SILENCE = timedelta(milliseconds=700)
SILENCE_CHECK_INTERVAL = timedelta(milliseconds=50)
# Fractions end this long after the last answer; another owner answers within some 6 s.
# A new coordinator waits as long for an instance that may hold a fraction: with 60 s,
# a machine that was gone for good kept accounts at a part of their rate for a minute.
# The last second is for the delivery of the answer.
FALLBACK_DURATION = timedelta(seconds=10)
FRACTION_EXPIRY = FALLBACK_DURATION + timedelta(seconds=1)
# Retry-After of a request that is not admitted.
MIN_RETRY_AFTER = timedelta(milliseconds=250)
MAX_RETRY_AFTER = timedelta(seconds=30)
RETRY_SPREAD = 0.25
# Fractions are rounded down to this step, so that their sums are exact.
FRACTION_STEP = 2.0**-14
# Accounts that no instance uses are forgotten at this interval.
SWEEP_INTERVAL = timedelta(seconds=10)


NO_ANSWER = QuotaAnswer(coordinates=False, accounts=[])


class QuotaCoordinator:
    """Grant amounts of accounts' quotas, and hand out fallback fractions.

    One object serves one ownership. It starts without knowledge of what its
    predecessor granted, and of the fractions that instances hold.
    """

    def __init__(
        self,
        *,
        terms: QuotaTerms,
        began_at: timedelta,
        fresh_fleet: bool,
        generator: random.Random,
        known: Mapping[InstanceId, timedelta] | None = None,
    ) -> None:
        self.terms = terms
        self.began_at = began_at
        # Whether no instance was granted anything before.
        self.fresh_fleet = fresh_fleet
        self.generator = generator
        # Instances that may hold fractions and sent no message to this coordinator, and
        # when each was last listed.
        self.missing = {} if fresh_fleet else dict(known or {})
        # Since when the fractions of all instances are known.
        self.complete_from = None if self.missing else began_at
        self.accounts: dict[AccountName, AccountState] = {}
        self.instances: dict[InstanceId, KnownInstance] = {}
        self.silent: set[InstanceId] = set()
        self.silence_checked_at = began_at
        self.swept_at = began_at

    def answer(
        self,
        message: QuotaRequest,
        accounts: Mapping[AccountName, ClientAccount],
        now: timedelta,
    ) -> QuotaAnswer:
        """Apply an instance's message and return its grants."""
        self.check_silence(now)
        name = InstanceId(message.instance)
        instance = self.instances.get(name)
        if instance and instance.incarnation != message.incarnation:
            # The run of the process that held the fractions has ended.
            self.remove(name, now)
            instance = None
        if instance is None:
            instance = KnownInstance(Incarnation(message.incarnation), now)
            self.instances[name] = instance
        if message.number == instance.number and instance.answer:
            return instance.answer
        if message.number <= instance.number:
            return NO_ANSWER
        instance.number, instance.heard_at = message.number, now
        self.acknowledge(name, instance, message, now)
        self.apply_fractions(name, instance, message, now)
        self.record_reported(name, now)
        sent = instance.unacknowledged[message.number] = Sent(now)
        grants = [
            grant
            for demand in message.accounts
            if (grant := self.grant(name, demand, accounts, sent, now))
        ]
        instance.answer = QuotaAnswer(coordinates=True, accounts=grants)
        if message.leaving:
            self.remove(name, now)
        return instance.answer

    def use_terms(self, terms: QuotaTerms) -> None:
        """Apply changed terms."""
        self.terms = terms
        for state in self.accounts.values():
            if state.ledger:
                state.ledger.terms = terms

    # Instances

    def check_silence(self, now: timedelta) -> None:
        """Find the instances that may use their fractions, or no longer may."""
        if now - self.silence_checked_at < SILENCE_CHECK_INTERVAL:
            return
        self.silence_checked_at = now
        if now - self.swept_at >= SWEEP_INTERVAL:
            self.sweep(now)
        for name, listed_at in list(self.missing.items()):
            if now - listed_at >= FRACTION_EXPIRY:
                self.record_reported(name, now)
        for name, instance in list(self.instances.items()):
            if now - instance.heard_at >= FRACTION_EXPIRY:
                self.remove(name, now)
            elif name not in self.silent and self.may_be_silent(instance, now):
                self.silent.add(name)

    def may_be_silent(self, instance: KnownInstance, now: timedelta) -> bool:
        """Return whether an instance may use its fractions."""
        if instance.acknowledged_at is None:
            return True
        return now - instance.acknowledged_at >= SILENCE - SILENCE_CHECK_INTERVAL

    def acknowledge(
        self,
        name: InstanceId,
        instance: KnownInstance,
        message: QuotaRequest,
        now: timedelta,
    ) -> None:
        """Learn which answer was the last that an instance got.

        The instance uses no later answer, so what those granted is free again.
        """
        acknowledged = instance.unacknowledged.pop(message.answered, None)
        if acknowledged:
            instance.acknowledged_at = acknowledged.received_at
        for number, sent in instance.unacknowledged.items():
            if number > message.answered:
                self.take_back(sent)
        instance.unacknowledged.clear()
        if not any(demand.fraction for demand in message.accounts):
            # It has nothing to use before the answer to this message.
            self.refill_all(instance, now)
            instance.acknowledged_at = now
        if name in self.silent and not self.may_be_silent(instance, now):
            self.refill_all(instance, now)
            self.silent.discard(name)
        elif self.may_be_silent(instance, now):
            self.silent.add(name)

    def take_back(self, sent: Sent) -> None:
        """Return the grants of an answer that did not arrive."""
        for account, amount in sent.granted:
            state = self.accounts.get(account)
            if state and state.ledger:
                state.ledger.give_back(amount, sent.received_at)

    def apply_fractions(
        self,
        name: InstanceId,
        instance: KnownInstance,
        message: QuotaRequest,
        now: timedelta,
    ) -> None:
        """Record the fractions that an instance states to hold; it names all."""
        named = {AccountName(demand.account) for demand in message.accounts}
        for account in instance.accounts - named:
            state = self.accounts[account]
            self.refill(state, now)
            state.remove(name)
        instance.accounts &= named
        for demand in message.accounts:
            account = AccountName(demand.account)
            state = self.accounts.setdefault(account, AccountState(None))
            self.refill(state, now)
            state.set_fraction(name, max(0.0, min(1.0, demand.fraction)))
            state.set_demand(name, max(0.0, demand.demand_per_s))
            instance.accounts.add(account)

    def record_reported(self, name: InstanceId, now: timedelta) -> None:
        """Record that all fractions which an instance holds are known."""
        if name in self.missing:
            del self.missing[name]
            if not self.missing:
                self.complete_from = now

    def refill_all(self, instance: KnownInstance, now: timedelta) -> None:
        """Refill the accounts of an instance by the state until now."""
        for account in instance.accounts:
            self.refill(self.accounts[account], now)

    def remove(self, name: InstanceId, now: timedelta) -> None:
        """Remove an instance that holds no fractions any more."""
        instance = self.instances.pop(name)
        self.refill_all(instance, now)
        for account in instance.accounts:
            self.accounts[account].remove(name)
        self.silent.discard(name)

    def sweep(self, now: timedelta) -> None:
        """Forget the accounts that nobody uses, if a new state would be the same."""
        self.swept_at = now
        if now - self.began_at <= self.terms.window:
            return
        for account, state in list(self.accounts.items()):
            if state.holdings:
                continue
            self.refill(state, now)
            ledger = state.ledger
            if ledger is None or (ledger.level >= ledger.capacity and not ledger.slots):
                del self.accounts[account]

    # Accounts

    def refill(self, state: AccountState, now: timedelta) -> None:
        """Refill the bucket of an account, without the part that is used elsewhere."""
        ledger = state.ledger
        if ledger is None:
            return
        used = sum(
            holding.fraction
            for name in self.silent
            if (holding := state.holdings.get(name))
        )
        if self.complete_from is None or ledger.refilled_at < self.complete_from:
            state.update_totals(now)
            used += max(0.0, 1 - state.fractions)
        ledger.refill(now, 1 - used)

    def ledger_of(
        self, state: AccountState, account: ClientAccount, now: timedelta
    ) -> QuotaLedger | None:
        """Return the ledger of an account, None without a limit."""
        quota = account.quota
        if quota is None:
            state.ledger = None
        elif state.ledger:
            state.ledger.use_quota(quota)
        else:
            state.ledger = QuotaLedger(
                quota=quota,
                terms=self.terms,
                level=self.terms.capacity(quota),
                now=now,
                strict_until=timedelta(),
            )
            strict_until = self.began_at + self.terms.window
            if not self.fresh_fleet and now <= strict_until:
                self.begin_strictly(state.ledger, strict_until)
        return state.ledger

    def begin_strictly(self, ledger: QuotaLedger, strict_until: timedelta) -> None:
        """Begin a ledger whose account the predecessor may have granted just now.

        Amounts that the predecessor granted ahead are used up to their lifetime later.
        """
        ledger.level = ledger.strict_room = -self.terms.presumed_debt(ledger.quota)
        ledger.strict_until = strict_until
        begin = self.complete_from
        if begin is not None:
            ledger.refilled_at = max(begin, self.began_at + STOCK_LIFETIME)

    def grant(
        self,
        name: InstanceId,
        demand: AccountDemand,
        accounts: Mapping[AccountName, ClientAccount],
        sent: Sent,
        now: timedelta,
    ) -> AccountGrant | None:
        """Answer an instance's demand; None if the account is not known here."""
        account = accounts.get(AccountName(demand.account))
        if account is None:
            return None
        state = self.accounts[account.name]
        ledger = self.ledger_of(state, account, now)
        self.refill(state, now)
        state.update_totals(now)
        fraction = self.new_fraction(state, name)
        if ledger is None:
            return AccountGrant(
                account=account.name,
                admitted=[True] * len(demand.costs),
                prefetched=max(0.0, demand.prefetch),
                retry_after_ms=0.0,
                fraction=fraction,
            )
        for item in demand.returned:
            granted_from = now - timedelta(milliseconds=item.age_ms) - STOCK_LIFETIME
            # What the predecessor granted is not counted here.
            known = self.fresh_fleet or granted_from >= self.began_at
            if item.amount > 0 and known:
                ledger.give_back(item.amount, granted_from)
        admitted = [
            ledger.try_charge(cost, priority, now)
            for cost, priority in zip(demand.costs, demand.priorities, strict=False)
        ]
        prefetched = ledger.prefetch(demand.prefetch, now) if all(admitted) else 0.0
        granted = prefetched + sum(
            cost for cost, took in zip(demand.costs, admitted, strict=False) if took
        )
        if granted > 0:
            sent.granted.append((account.name, granted))
        refused = [
            cost for cost, took in zip(demand.costs, admitted, strict=False) if not took
        ]
        retry_after = self.retry_after(state, ledger, refused, now)
        return AccountGrant(
            account=account.name,
            admitted=admitted,
            prefetched=prefetched,
            retry_after_ms=retry_after.total_seconds() * 1000,
            fraction=fraction,
        )

    def new_fraction(self, state: AccountState, name: InstanceId) -> float:
        """Return an instance's part of the demand, as far as it is free."""
        holding = state.holdings[name]
        total = state.demand_per_s
        wanted = holding.demand_per_s / total if total > 0 else 0.0
        wanted = min(1.0, wanted) // FRACTION_STEP * FRACTION_STEP
        # What nobody reported yet may be held by an instance that is out of reach.
        complete = self.complete_from is not None
        free = max(0.0, 1 - state.fractions) if complete else 0.0
        fraction = min(wanted, holding.fraction + free)
        if fraction > holding.fraction:
            state.set_fraction(name, fraction)
        return fraction

    def retry_after(
        self,
        state: AccountState,
        ledger: QuotaLedger,
        refused: list[float],
        now: timedelta,
    ) -> timedelta:
        """Return when refused requests may come again, zero if none was refused."""
        if not refused:
            return timedelta()
        wait = ledger.time_until_room(min(refused), now)
        rate = ledger.quota.per_second
        overload = max(1.0, state.demand_per_s / rate) if rate > 0 else 1.0
        spread = self.generator.uniform(1 - RETRY_SPREAD, 1 + RETRY_SPREAD)
        return max(MIN_RETRY_AFTER, min(MAX_RETRY_AFTER, wait * overload * spread))
