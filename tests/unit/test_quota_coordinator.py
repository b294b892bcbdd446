"""One coordinator and a few instances, a failure at a time."""

import random

import pytest

from magnoliatrail.accounts.account_share import (
    Charge,
    ChargeSource,
    QuotaRefusal,
    WaitingCharge,
)
from magnoliatrail.accounts.accounts import ClientAccount, QuotaUnit
from magnoliatrail.accounts.coordinator import NO_ANSWER, QuotaCoordinator
from magnoliatrail.accounts.quota_ledger import QuotaLedger
from magnoliatrail.accounts.shares import QuotaShares
from magnoliatrail.generated.accounts import (
    AccountDemand,
    QuotaRequest,
    ReturnedAmount,
)
from magnoliatrail.ids import AccountName

from .quota_fleet import Load, QuotaFleet, account_of, seconds, terms_of

ACCOUNT = account_of(1000.0, 1000.0)
ACCOUNTS = {ACCOUNT.name: ACCOUNT}
TERMS = terms_of(slack=0.0)


class Asker:
    """An instance that asks a coordinator by hand."""

    def __init__(self, coordinator, name="a", incarnation="1"):
        self.coordinator = coordinator
        self.name = name
        self.incarnation = incarnation
        self.number = 0
        self.answered = 0
        self.fraction = 0.0
        self.asked_at = None

    def ask(self, now, *costs, silent=False, **fields):
        """Ask for costs; return which are admitted.

        Without `silent`, messages went at the usual interval since the last one.
        """
        if self.asked_at is not None and not silent:
            while now - self.asked_at > 0.3:
                self.asked_at += 0.25
                self.send(self.asked_at, **fields)
        self.asked_at = now
        return self.send(now, *costs, **fields)

    def send(self, now, *costs, lost=False, accounts=ACCOUNTS, **fields):
        """Send one message. A lost answer has no effect."""
        self.number += 1
        demand = AccountDemand(
            account="a",
            costs=list(costs),
            priorities=fields.get("priorities", [0] * len(costs)),
            prefetch=fields.get("prefetch", 0.0),
            returned=fields.get("returned", []),
            demand_per_s=fields.get("demand", 100.0),
            fraction=self.fraction,
        )
        self.message = QuotaRequest(
            cell="0",
            instance=self.name,
            incarnation=self.incarnation,
            number=self.number,
            answered=self.answered,
            leaving=fields.get("leaving", False),
            accounts=[demand],
        )
        answer = self.coordinator.answer(self.message, accounts, seconds(now))
        if not lost:
            self.answered = self.number
            if answer.accounts:
                self.fraction = answer.accounts[0].fraction
        self.grant = answer.accounts[0] if answer.accounts else None
        return self.grant.admitted if self.grant else answer


def coordinator_at(began, *, fresh=False, known=(), terms=TERMS):
    return QuotaCoordinator(
        terms=terms,
        began_at=seconds(began),
        fresh_fleet=fresh,
        generator=random.Random(1),
        known={name: seconds(began) for name in known},
    )


def test_a_fresh_fleet_starts_with_its_burst():
    asker = Asker(coordinator_at(100, fresh=True))
    assert asker.ask(100, 600.0, 600.0) == [True, False]


def test_a_new_coordinator_does_not_grant_the_burst_again():
    # Load: an account that used its burst just before its coordinator changed.
    asker = Asker(coordinator_at(100))
    assert asker.ask(100.1, 100.0) == [False]
    assert asker.ask(101.0, 400.0, 400.0) == [True, False]


def test_an_account_first_seen_one_window_later_starts_full():
    asker = Asker(coordinator_at(100))
    assert asker.ask(108.1, 900.0) == [True]


def test_a_request_over_the_burst_is_granted_and_paid_off_later():
    asker = Asker(coordinator_at(100, fresh=True))
    assert asker.ask(100, 3000.0) == [True]
    assert asker.ask(101, 10.0) == [False]
    assert asker.ask(102.1, 10.0) == [True]


def test_a_request_that_no_window_allows_is_never_granted():
    asker = Asker(coordinator_at(100, fresh=True))
    assert asker.ask(100, 9001.0) == [False]
    assert asker.ask(100.3, 9000.0) == [True]


def test_an_answer_that_was_lost_costs_nothing():
    # Load: messages get lost while an account is near its limit.
    asker = Asker(coordinator_at(100, fresh=True))
    asker.ask(100, 900.0, lost=True)
    assert asker.ask(100.1, 900.0) == [True]


def test_a_repeated_message_gets_the_same_answer_and_is_charged_once():
    asker = Asker(coordinator_at(100, fresh=True))
    assert asker.ask(100, 600.0) == [True]
    again = asker.coordinator.answer(asker.message, ACCOUNTS, seconds(100.1))
    assert again.accounts[0].admitted == [True]
    assert asker.ask(100.2, 400.0) == [True]


def test_a_message_that_is_overtaken_is_not_answered():
    asker = Asker(coordinator_at(100, fresh=True))
    asker.ask(100)
    late = asker.message
    asker.ask(100.1)
    assert asker.coordinator.answer(late, ACCOUNTS, seconds(100.2)) is NO_ANSWER


def test_the_rate_of_an_instance_that_gets_no_answers_is_not_granted_to_others():
    # Messages arrive and answers are lost: the instance uses its fraction.
    coordinator = coordinator_at(100, fresh=True)
    cut, other = Asker(coordinator, "cut"), Asker(coordinator, "other")
    cut.ask(100)
    cut.ask(100.3)
    assert cut.fraction == 1.0
    other.ask(100.3, 1000.0)
    for tenth in range(4, 30):
        cut.ask(100 + tenth / 10, lost=True)
    # Refilled until 0.65 s after the last answer that is known to have arrived.
    assert other.ask(103, 660.0) == [False]
    assert other.ask(103, 500.0) == [True]


def test_the_rate_of_a_silent_instance_comes_back_with_its_next_run():
    coordinator = coordinator_at(100, fresh=True)
    cut, other = Asker(coordinator, "cut"), Asker(coordinator, "other")
    cut.ask(100)
    cut.ask(100.3)
    other.ask(105, 1000.0)
    assert other.ask(107, 100.0) == [False]
    Asker(coordinator, "cut", "2").ask(107)
    assert other.ask(107.5, 400.0) == [True]


def test_the_rate_of_an_instance_that_left_comes_back():
    coordinator = coordinator_at(100, fresh=True)
    leaving, other = Asker(coordinator, "leaving"), Asker(coordinator, "other")
    leaving.ask(100)
    leaving.ask(100.3, leaving=True)
    other.ask(110, 1000.0)
    assert other.ask(110.5, 400.0) == [True]


def test_the_rate_of_an_instance_that_stays_silent_comes_back_after_11_s():
    coordinator = coordinator_at(100, fresh=True)
    cut, other = Asker(coordinator, "cut"), Asker(coordinator, "other")
    cut.ask(100)
    other.ask(105, 1000.0)
    assert other.ask(110, 100.0) == [False]
    other.ask(111.1)
    assert other.ask(112, 700.0) == [True]


def test_a_new_coordinator_grants_nothing_that_unheard_instances_may_use():
    # The only holder is cut off from the new coordinator and goes on.
    asker = Asker(coordinator_at(100, known={"a", "cut"}))
    asker.ask(100.1)
    assert asker.ask(103, 10.0) == [False]
    # It then has a fraction of 0.5, and is silent after 0.65 s.
    Asker(asker.coordinator, "cut").ask(103)
    assert asker.ask(104.1, 800.0) == [True]


def test_an_instance_that_never_reports_is_waited_for_11_s():
    asker = Asker(coordinator_at(100, known={"gone"}))
    asker.ask(110.9, 1000.0)
    assert asker.ask(110.95, 10.0) == [False]
    asker.ask(111.1)
    assert asker.ask(112.2, 900.0) == [True]


def test_an_instance_that_was_cut_off_long_before_is_still_waited_for():
    # Its fractions end 10 s after its last answer, though it is listed no more.
    coordinator = coordinator_at(100)
    coordinator.missing = {"cut": seconds(99)}
    coordinator.complete_from = None
    asker = Asker(coordinator)
    asker.ask(109.5, 1000.0)
    assert asker.ask(109.9, 10.0) == [False]
    asker.ask(110.1)
    assert asker.ask(111, 700.0) == [True]


def test_fractions_move_only_after_the_lower_one_is_acknowledged():
    coordinator = coordinator_at(100, fresh=True)
    first, second = Asker(coordinator, "first"), Asker(coordinator, "second")
    first.ask(100, demand=100.0)
    assert first.fraction == 1.0
    second.ask(100.1, demand=300.0)
    assert second.fraction == 0.0
    first.ask(100.2, demand=100.0, lost=True)
    second.ask(100.3, demand=300.0)
    assert second.fraction == 0.0
    first.ask(100.4, demand=100.0)
    second.ask(100.5, demand=300.0)
    assert second.fraction == 0.0
    first.ask(100.6, demand=100.0)
    second.ask(100.7, demand=300.0)
    assert (first.fraction, second.fraction) == (0.25, 0.75)


def test_returned_amounts_can_be_granted_again():
    # Load: requests that servers refuse without running them.
    asker = Asker(coordinator_at(90, fresh=True))
    asker.ask(100, 1000.0)
    assert asker.ask(100.1, 900.0) == [False]
    returned = [ReturnedAmount(amount=900.0, age_ms=150.0)]
    assert asker.ask(100.15, 900.0, returned=returned) == [True]


def test_amounts_of_the_predecessor_cannot_be_returned():
    asker = Asker(coordinator_at(100))
    returned = [ReturnedAmount(amount=900.0, age_ms=3000.0)]
    assert asker.ask(100.5, 500.0, returned=returned) == [False]


def test_less_urgent_routes_leave_a_reserve_to_more_urgent_ones():
    asker = Asker(coordinator_at(100, fresh=True))
    asker.ask(100, 50.0)
    asker.ask(100, *[50.0] * 30, priorities=[3] * 30)
    assert sum(asker.grant.admitted) == 10
    assert asker.ask(100, 50.0) == [True]


def test_an_account_with_one_priority_uses_its_whole_burst():
    asker = Asker(coordinator_at(100, fresh=True))
    asker.ask(100, *[50.0] * 30, priorities=[3] * 30)
    assert sum(asker.grant.admitted) == 20


def test_an_account_that_the_coordinator_does_not_know_is_left_out():
    asker = Asker(coordinator_at(100, fresh=True))
    asker.ask(100, 1.0, accounts={})
    assert asker.grant is None


def test_an_account_without_a_limit_is_always_admitted():
    asker = Asker(coordinator_at(100))
    unlimited = {"a": ClientAccount(AccountName("a"))}
    assert asker.ask(100, 1e9, accounts=unlimited) == [True]


def test_retry_after_grows_with_the_overload():
    # Load: one account at eight times its limit.
    coordinator = coordinator_at(100, fresh=True)
    mild, hot = Asker(coordinator), None
    mild.ask(100, 1000.0)
    mild.ask(100, 1000.0, demand=1000.0)
    assert 700 <= mild.grant.retry_after_ms <= 1300
    hot = Asker(coordinator, "hot")
    hot.ask(100, 1000.0, demand=7000.0)
    assert 5900 <= hot.grant.retry_after_ms <= 10_100


@pytest.mark.parametrize("burst", [0.0, 500.0, 1000.0, 5000.0])
def test_the_ledger_of_one_account_never_exceeds_its_window(burst):
    # Load: random costs at many times the limit, directly and in advance.
    generator = random.Random(3)
    quota = account_of(1000.0, burst).quota
    ledger = QuotaLedger(
        quota=quota, terms=TERMS, level=burst, now=seconds(0), strict_until=seconds(0)
    )
    granted = []
    for step in range(4000):
        now = step / 100
        ledger.refill(seconds(now), 1.0)
        cost = generator.uniform(1, 200)
        if ledger.try_charge(cost, 0, seconds(now)):
            granted.append((now, cost))
        amount = ledger.prefetch(generator.uniform(0, 100), seconds(now))
        granted.append((now, amount))
    for begin, _ in granted[::20]:
        used = sum(cost for at, cost in granted if begin - 0.5 <= at <= begin + 8)
        limit = used if burst < 750 else TERMS.allowance(quota)
        assert used <= limit + 1e-6
        used = sum(cost for at, cost in granted if begin <= at <= begin + 8)
        assert used <= TERMS.allowance(quota) + 1e-6


def new_shares(terms):
    return QuotaShares(terms=terms, cell="0", instance="a", incarnation="1")


def waiting_for(shares, cost, account=ACCOUNT):
    outcomes = []
    waiting = WaitingCharge(account, cost, 0, outcomes.append)
    shares.enqueue(waiting)
    return waiting, outcomes


def exchange(shares, coordinator, now, accounts=ACCOUNTS):
    message = shares.next_message(seconds(now))
    answer = coordinator.answer(message, accounts, seconds(now))
    shares.apply(message, answer, seconds(now))
    return answer


def test_an_instance_uses_its_fraction_only_after_silence():
    terms = terms_of(slack=8000.0)
    shares, coordinator = new_shares(terms), coordinator_at(0, fresh=True, terms=terms)
    assert shares.try_take(ACCOUNT, 100.0, seconds(1)) is None
    waiting_for(shares, 100.0)
    exchange(shares, coordinator, 1)
    _, outcomes = waiting_for(shares, 100.0)
    shares.take_fallback(seconds(1.6))
    assert not outcomes
    shares.take_fallback(seconds(1.71))
    assert outcomes[0].source is ChargeSource.FALLBACK


def test_the_start_of_the_fraction_is_not_given_at_each_silence():
    # Load: an instance that loses and finds its coordinator every second.
    terms = terms_of(slack=8000.0)
    account = account_of(1000.0, 1000.0)
    shares, coordinator = new_shares(terms), coordinator_at(0, fresh=True, terms=terms)
    shares.try_take(account, 100.0, seconds(1))
    used = 0.0
    for number in range(1, 9):
        shares.reports = True
        exchange(shares, coordinator, number)
        for _ in range(100):
            waiting, outcomes = waiting_for(shares, 20.0, account)
            shares.take_fallback(seconds(number + 0.9))
            used += 20.0 * len(outcomes)
            shares.cancel(waiting)
    # The start value once, and again over one window, and 0.2 s of the rate each time.
    assert 1000 <= used <= 2 * 1000 + 8 * 0.2 * 1000


def test_fractions_end_60_s_after_the_last_answer():
    terms = terms_of(slack=8000.0)
    shares, coordinator = new_shares(terms), coordinator_at(0, fresh=True, terms=terms)
    shares.try_take(ACCOUNT, 100.0, seconds(1))
    exchange(shares, coordinator, 1)
    _, outcomes = waiting_for(shares, 100.0)
    shares.take_fallback(seconds(61.1))
    assert isinstance(outcomes[0], QuotaRefusal)
    assert outcomes[0].status == 503
    assert shares.accounts["a"].fraction == 0.0


def test_prefetched_amounts_expire_half_a_second_after_they_were_asked_for():
    shares, coordinator = new_shares(TERMS), coordinator_at(0, fresh=True)
    for number in range(60):
        shares.try_take(ACCOUNT, 10.0, seconds(1 + number / 1000))
    exchange(shares, coordinator, 1.1)
    assert shares.try_take(ACCOUNT, 10.0, seconds(1.2)) is not None
    assert shares.try_take(ACCOUNT, 10.0, seconds(1.61)) is None


def test_a_charge_that_was_given_back_serves_the_next_request():
    shares, coordinator = new_shares(TERMS), coordinator_at(0, fresh=True)
    _, outcomes = waiting_for(shares, 300.0)
    exchange(shares, coordinator, 1)
    charge = outcomes[0]
    assert isinstance(charge, Charge)
    shares.give_back(charge, seconds(1.2))
    assert shares.try_take(ACCOUNT, 300.0, seconds(1.3)) is not None


def test_a_charge_given_back_late_is_returned_once():
    # A lost message may have been applied, so nothing is returned twice.
    shares, coordinator = new_shares(TERMS), coordinator_at(0, fresh=True)
    _, outcomes = waiting_for(shares, 300.0)
    exchange(shares, coordinator, 1)
    shares.give_back(outcomes[0], seconds(3))
    assert shares.try_take(ACCOUNT, 300.0, seconds(3)) is None
    message = shares.next_message(seconds(3))
    assert [item.amount for item in message.accounts[0].returned] == [300.0]
    shares.record_failure(message, seconds(3.5))
    message = shares.next_message(seconds(3.9))
    assert not message.accounts[0].returned


def test_a_granted_request_that_no_longer_waits_leaves_its_amount_in_stock():
    shares, coordinator = new_shares(TERMS), coordinator_at(0, fresh=True)
    waiting, outcomes = waiting_for(shares, 300.0)
    message = shares.next_message(seconds(1))
    answer = coordinator.answer(message, ACCOUNTS, seconds(1))
    shares.cancel(waiting)
    shares.apply(message, answer, seconds(1.1))
    assert not outcomes
    assert shares.try_take(ACCOUNT, 300.0, seconds(1.2)) is not None


def test_an_answer_after_a_failure_is_not_applied():
    shares, coordinator = new_shares(TERMS), coordinator_at(0, fresh=True)
    _, outcomes = waiting_for(shares, 300.0)
    message = shares.next_message(seconds(1))
    answer = coordinator.answer(message, ACCOUNTS, seconds(1))
    shares.record_failure(message, seconds(1.5))
    shares.apply(message, answer, seconds(1.6))
    assert not outcomes
    assert shares.answered == 0


def test_at_most_64_costs_go_with_one_message_the_most_urgent_first():
    shares = new_shares(TERMS)
    for number in range(100):
        shares.enqueue(WaitingCharge(ACCOUNT, 1.0, number % 3, lambda outcome: None))
    demand = shares.next_message(seconds(1)).accounts[0]
    assert len(demand.costs) == 64
    assert demand.priorities == sorted(demand.priorities)
    assert demand.priorities.count(0) == 34


def test_an_instance_without_demand_sends_nothing():
    shares, coordinator = new_shares(TERMS), coordinator_at(0, fresh=True)
    shares.try_take(ACCOUNT, 1.0, seconds(1))
    exchange(shares, coordinator, 1)
    assert shares.due_in(seconds(1.1)) == seconds(0.15)
    now = 1.0
    while shares.due_in(seconds(now)) is not None:
        now += 0.3
        assert now < 20
        message = shares.next_message(seconds(now))
        if message:
            answer = coordinator.answer(message, ACCOUNTS, seconds(now))
            shares.apply(message, answer, seconds(now))


def test_a_small_quota_in_requests_is_admitted_at_its_rate():
    # Load: one request a second at an account with that limit and no burst.
    account = account_of(1.0, 0.0, unit=QuotaUnit.REQUESTS)
    fleet = QuotaFleet(
        ("i0", "i1"), [account], TERMS, loads=[Load("a", 0.9, (1.0,))], seed=9
    )
    fleet.run(60)
    assert fleet.used("a") >= 0.5 * fleet.tallies["a"].asked
