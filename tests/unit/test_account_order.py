"""The order of a cell's queue with client accounts, and what messages say of them."""

import asyncio
from datetime import timedelta

import msgspec
import pytest

from magnoliatrail.accounts.accounts import ClientAccount, Quota, QuotaUnit
from magnoliatrail.cells.waiting import update_lags, urgency, waiting_request
from magnoliatrail.forwarding.engine_path import priority_at_engines
from magnoliatrail.forwarding.engine_slots import with_account
from magnoliatrail.generated.cells import SlotRequest
from magnoliatrail.routing.account_shares import AccountShares

NOW = timedelta(seconds=50)


def message(name="r", *, priority=0, goal=800, version="", tokens=1000, **account):
    return SlotRequest(
        cell="0",
        instance="i",
        incarnation="i-1",
        request=name,
        service="models",
        model="base",
        adapter="",
        version=0,
        prompt_tokens=tokens,
        output_tokens=0,
        priority=priority,
        goal_left_ms=goal,
        time_left_ms=3000.0,
        avoid=[],
        deadline_left_ms=5000.0,
        software_version=version,
        **account,
    )


def ordered(*messages, shares=None):
    """Return the names of requests in the order of the queue."""

    async def sort():
        known = shares or AccountShares()
        waiting = [waiting_request(item, NOW) for item in messages]
        for request in waiting:
            if request.account:
                known.record_waiting(request.account, request.work)
        update_lags(waiting, known, NOW)
        waiting.sort(key=lambda item: urgency(item, NOW))
        return [request.message.request for request in waiting]

    return asyncio.run(sort())


def used(**tokens):
    """Return shares of accounts that were granted work in requests of 1000."""
    shares = AccountShares()
    for account, count in tokens.items():
        shares.standing(account, 0.0, NOW)
        for _ in range(count):
            shares.record(account, 1000, NOW)
    return shares


def test_without_accounts_the_goal_and_the_route_decide():
    names = ordered(
        message("late", goal=-10),
        message("soon", goal=300),
        message("later route", goal=300, priority=2),
        message("then", goal=500),
        message("resumed", goal=900, version="v1"),
    )
    assert names == ["resumed", "soon", "then", "later route", "late"]


def test_an_account_above_its_share_goes_behind_the_others():
    shares = used(hot=60, calm=5)
    names = ordered(
        message("hot", goal=100, account="hot"),
        message("calm", goal=700, account="calm"),
        shares=shares,
    )
    assert names == ["calm", "hot"]


def test_new_requests_of_a_hot_account_do_not_pass_late_ones_of_others():
    """A request that is not late yet would otherwise go before all that are."""
    shares = used(hot=60, calm=5)
    names = ordered(
        message("hot", goal=800, account="hot"),
        message("calm", goal=-100, account="calm"),
        shares=shares,
    )
    assert names == ["calm", "hot"]


def test_a_resumed_stream_of_a_hot_account_still_comes_first():
    names = ordered(
        message("calm", account="calm"),
        message("hot", account="hot", version="v1"),
        shares=used(hot=60, calm=5),
    )
    assert names == ["hot", "calm"]


def test_the_level_of_an_account_counts_before_the_levels_of_routes():
    shares = used(first=20, second=20)
    names = ordered(
        message("second", account="second", account_priority=1, priority=0),
        message("first", account="first", account_priority=0, priority=2),
        shares=shares,
    )
    assert names == ["first", "second"]


def test_the_requests_of_one_account_keep_their_order():
    """A more urgent route goes first, although more of its account waits before it."""
    names = ordered(
        *(message(f"r{number}", account="hot", priority=2) for number in range(5)),
        message("urgent", account="hot", priority=0),
        shares=used(hot=60, calm=5),
    )
    assert names[0] == "urgent"


def test_what_an_account_has_waiting_makes_its_next_requests_due_later():
    """A burst that comes at once must not stand before all requests of others."""
    burst = [message(f"hot{number}", goal=500, account="hot") for number in range(40)]
    names = ordered(
        *burst,
        message("calm", goal=800, account="calm"),
        shares=used(hot=5, calm=5),
    )
    # Half of all work is the hot account's fair share.
    assert names.index("calm") <= len(burst) / 2


def test_a_request_of_the_previous_build_has_no_account():
    async def scenario():
        body = msgspec.json.encode(message())
        assert b"account" not in body
        request = waiting_request(msgspec.json.decode(body, type=SlotRequest), NOW)
        assert request.account is None
        assert not request.lag

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("quota", "rate"),
    [
        (None, 0.0),
        (Quota(500.0, 900.0, QuotaUnit.TOKENS, 200.0), 500.0),
        (Quota(5.0, 9.0, QuotaUnit.REQUESTS, 200.0), 1000.0),
    ],
    ids=["no limit", "tokens", "requests"],
)
def test_a_slot_request_names_the_account(quota, rate):
    found = with_account(message(), ClientAccount("hule930", 2, quota))
    decoded = msgspec.json.decode(msgspec.json.encode(found), type=SlotRequest)
    assert (decoded.account, decoded.account_priority) == ("hule930", 2)
    assert decoded.account_rate == rate


def test_engines_get_the_priority_of_the_account_and_the_route():
    assert priority_at_engines(ClientAccount("hule930", 2), 1) == 7
    assert priority_at_engines(None, 5) == 5
