"""The shares of accounts in what engines do, without a queue."""

from datetime import timedelta

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from magnoliatrail.routing.account_shares import (
    LEVEL_STEP,
    MAX_LAG,
    AccountShares,
    Standing,
    engine_priority,
    work_of,
)

START = timedelta(seconds=100)
NONE = timedelta()


def later(seconds):
    return START + timedelta(seconds=seconds)


def shares_of(granted, rate=100.0):
    """Return the shares of accounts of one rate with granted work."""
    shares = AccountShares()
    for name, tokens in granted.items():
        shares.standing(name, rate, START)
        shares.record(name, tokens, START)
    return shares


def test_an_account_lags_only_above_its_fair_share():
    shares = shares_of({"a": 5000, "b": 1000, "c": 3000})
    shares.accounts["a"].last = shares.accounts["c"].last = 100
    assert shares.lag("b", 100, START) == NONE
    assert shares.lag("c", 100, START) == NONE
    assert NONE < shares.lag("a", 100, START) <= MAX_LAG


def test_the_fair_share_follows_the_quota_rates():
    """An account with three quarters of the rates may use as much of the work."""
    shares = AccountShares()
    for name, rate, tokens in (("large", 300, 7500), ("small", 100, 2500)):
        shares.standing(name, rate, START)
        for _ in range(10):
            shares.record(name, tokens / 10, START)
    assert shares.lag("large", 300, START) == NONE
    assert shares.lag("small", 100, START) == NONE
    assert shares.lag("small", 50, START) > NONE


def test_an_account_without_limit_counts_with_the_mean_rate():
    shares = shares_of({"a": 100}, rate=100)
    shares.standing("b", 300, START)
    shares.standing("free", 0, START)
    assert shares.part_of(shares.accounts["free"]) == pytest.approx(200 / 600)


def test_the_only_active_account_does_not_lag():
    shares = shares_of({"a": 100_000})
    shares.record_waiting("a", 50_000)
    assert shares.standing("a", 100, START).lag(50_000) == NONE


def test_granted_work_halves_in_four_seconds():
    shares = shares_of({"a": 8000})
    assert shares.standing("a", 100, later(4)).granted == pytest.approx(4000)


def test_time_below_the_fair_share_is_not_saved_up():
    """After a quiet minute an account lags as if it had just come."""
    old, new = shares_of({"b": 1000}), shares_of({"b": 1000})
    for second in range(60):
        old.standing("a", 100, later(second))
        old.standing("b", 100, later(second))
        new.standing("b", 100, later(second))
    for shares in (old, new):
        shares.record("b", 1000, later(60))
        for _ in range(5):
            shares.record("a", 1000, later(60))
    assert old.lag("a", 100, later(60)) == new.lag("a", 100, later(60))


def test_an_account_counts_for_ten_seconds_after_its_last_request():
    shares = shares_of({"a": 1000, "gone": 1000})
    shares.standing("a", 100, later(9))
    assert "gone" in shares.accounts
    shares.standing("a", 100, later(12))
    assert "gone" not in shares.accounts
    assert shares.part_of(shares.accounts["a"]) == 1


def test_an_account_with_waiting_requests_stays_active():
    shares = shares_of({"a": 1000, "waits": 1000})
    shares.record_waiting("waits", 10)
    shares.standing("a", 100, later(30))
    assert "waits" in shares.accounts


def test_one_request_does_not_make_an_account_of_a_small_rate_lag():
    """Its fair share is less than a request: it would lag for seconds after each."""
    shares = AccountShares()
    shares.standing("large", 10_000, START)
    shares.standing("small", 1, START)
    shares.record("large", 100_000, START)
    shares.record("small", 3000, START)
    assert shares.lag("small", 1, START) == NONE
    shares.record("small", 3000, START)
    assert shares.lag("small", 1, START) > NONE


def test_a_grant_that_is_taken_back_is_not_charged():
    shares = shares_of({"a": 1000, "b": 1000})
    shares.record("a", 5000, START)
    shares.record("a", -5000, START)
    assert shares.standing("a", 100, START).granted == pytest.approx(1000)
    assert shares.granted == pytest.approx(2000)


def test_of_two_accounts_above_their_share_the_larger_surplus_lags_more():
    """With a lag that reached its maximum, the smaller surplus would have no rank."""
    lags = [Standing(granted=share, fair=1.0).lag() for share in (1.5, 3, 8, 50)]
    assert lags == sorted(set(lags))
    assert lags[-1] <= MAX_LAG


def test_the_level_counts_in_full_from_the_fair_share_on():
    for work, delay in ((0.0, -LEVEL_STEP), (1.0, 2 * LEVEL_STEP)):
        assert Standing(granted=work, fair=1.0).level_delay(2) == delay
    assert Standing(granted=1.0, fair=1.0).level_delay(0) == NONE
    assert Standing(granted=5.0, fair=1.0).level_delay(7) == 2 * LEVEL_STEP


@pytest.mark.parametrize("rate", [float("inf"), float("nan"), -5.0, 1e300])
def test_an_unusable_rate_counts_as_none(rate):
    """A message of another instance must not make all shares zero."""
    shares = shares_of({"a": 1000})
    shares.standing("odd", rate, START)
    assert shares.part_of(shares.accounts["odd"]) == pytest.approx(0.5)


@pytest.mark.parametrize(
    ("account", "route", "expected"),
    [(0, 0, 0), (0, 2, 2), (1, 0, 3), (1, 5, 5), (2, 2, 8), (9, 9, 8), (-1, -1, 0)],
)
def test_the_priority_at_engines_ranks_accounts_before_routes(account, route, expected):
    assert engine_priority(account, route) == expected


def test_work_counts_an_output_token_ten_times():
    assert work_of(1000, 20) == 1200


def test_negative_token_counts_are_no_work():
    """A negative amount would raise in the counter of granted work."""
    assert work_of(-1000, -20) == 0


def test_a_tiny_rate_among_large_ones_gives_a_lag_and_no_error():
    shares = shares_of({"large": 1000}, rate=1e17)
    shares.record_waiting("tiny", 5000)
    shares.record_waiting("large", 10)
    assert shares.standing("tiny", 5e-324, START).lag(5000) == MAX_LAG


events = st.lists(
    st.tuples(
        st.sampled_from(["record", "waits", "standing"]),
        st.sampled_from("abc"),
        st.integers(1, 10_000),
        st.floats(0, 5),
    ),
    max_size=40,
)


@settings(derandomize=True)
@given(events)
def test_the_sums_match_the_accounts(played):
    """Fair shares drift if the sums lose or keep the work of some account."""
    shares, now = AccountShares(), START
    for kind, account, tokens, seconds in played:
        now += timedelta(seconds=seconds)
        if kind == "record":
            shares.record(account, tokens, now)
        elif kind == "waits":
            shares.record_waiting(account, tokens)
        else:
            lag = shares.lag(account, tokens, now)
            assert NONE <= lag <= MAX_LAG
    shares.expire(now + timedelta(seconds=2))
    granted = sum(
        item.granted_by(shares.granted_at) for item in shares.accounts.values()
    )
    assert shares.granted == pytest.approx(granted)
    assert shares.waiting_total == sum(shares.waiting.values())
