"""Too little room on the engines: which accounts give way."""

import random
from datetime import timedelta

import pytest

from magnoliatrail.routing.account_shares import AccountShares
from tests.load.account_load import (
    REQUESTS_PER_SECOND,
    AccountLoad,
    equal_accounts,
    play,
    work_per_second,
)
from tests.load.cell import Cell, run_pending_tasks

# Part of what they get without a hot account that the others keep with it.
MIN_KEPT = 0.95
# Share of the smallest account's requests that is served, of the share of all.
MIN_SMALLEST = 0.5


async def kept(usual, hot, **options):
    """Return what part of their served work the others keep beside a hot account."""
    others = [load.name for load in usual if load.name != hot]
    surge = [load.times(8) if load.name == hot else load for load in usual]
    calm = await play(usual, **options)
    busy = await play(surge, **options)
    return sum(busy.work[name] for name in others) / sum(
        calm.work[name] for name in others
    )


@pytest.mark.parametrize("rate", [1000.0, 0.0], ids=["limited", "unlimited"])
@pytest.mark.parametrize("load", [0.7, 0.95])
def test_one_account_at_eight_times_its_usual_takes_nothing_from_others(
    run, rate, load
):
    """Without shares, the others kept 0.84 and 0.62 of theirs."""
    usual = equal_accounts(10, 2 * load * REQUESTS_PER_SECOND, rate)
    assert run(kept(usual, "account0", engines=2, seconds=20)) >= MIN_KEPT


def test_a_hot_account_of_a_more_urgent_level_takes_nothing_from_others(run):
    usual = equal_accounts(10, 2 * 0.7 * REQUESTS_PER_SECOND)
    usual = [usual[0], *(load.at_level(2) for load in usual[1:])]
    assert run(kept(usual, "account0", engines=2, seconds=20)) >= MIN_KEPT


@pytest.mark.parametrize("hot", ["large0", "small0"])
def test_few_large_against_many_small_requests(run, hot):
    """Shares count work, so neither the size nor the number of requests wins."""
    usual = [
        *(AccountLoad(f"large{number}", 0.8, tokens=5000) for number in range(2)),
        *(AccountLoad(f"small{number}", 12.0, tokens=400) for number in range(2)),
    ]
    usual = [load.at_rate(work_per_second(load)) for load in usual]
    options = {"engines": 2, "seconds": 30, "measured_from": 2}
    assert run(kept(usual, hot, **options)) >= MIN_KEPT


def test_all_accounts_at_their_limit_while_half_of_the_engines_end(run):
    """Some accounts are much smaller than others: none of them starves."""
    fleet = 2 * REQUESTS_PER_SECOND
    loads = [
        *(AccountLoad(f"large{number}", 0.3 * fleet) for number in range(3)),
        *(AccountLoad(f"small{number}", 0.02 * fleet) for number in range(4)),
    ]
    loads = [load.at_rate(work_per_second(load)) for load in loads]
    result = run(play(loads, engines=2, seconds=30, halve_at=5, measured_from=6))
    small = [f"small{number}" for number in range(4)]
    assert result.share() < 0.8
    assert result.share(*small) >= MIN_SMALLEST * result.share()
    assert all(result.served[name] for name in small)


@pytest.mark.parametrize("level", [0, 1, 2])
def test_a_single_small_account_among_large_ones(run, level):
    """Without its head start, the small one of level 2 got nothing."""
    fleet = 2 * REQUESTS_PER_SECOND
    loads = [
        *(AccountLoad(f"large{number}", 0.5 * fleet) for number in range(4)),
        AccountLoad("small", 0.01 * fleet).at_level(level),
    ]
    loads = [load.at_rate(work_per_second(load)) for load in loads]
    result = run(play(loads, engines=2, seconds=60, measured_from=2))
    assert result.share() < 0.7
    assert result.share("small") >= MIN_SMALLEST * result.share()


def test_accounts_lose_no_goals_while_there_is_enough_room(run):
    """At a usual load of 0.9, lags must not make requests late that would not be."""

    async def scenario():
        loads = equal_accounts(10, 2 * 0.9 * REQUESTS_PER_SECOND)
        options = {"engines": 2, "seconds": 20}
        told = await play(loads, **options)
        untold = await play(loads, with_accounts=False, **options)
        assert told.in_time.total() >= 0.98 * untold.in_time.total()

    run(scenario())


def test_requests_without_accounts_are_served_as_before(run):
    """The shares must not be asked, nor the order change, without accounts."""

    async def scenario():
        loads = equal_accounts(3, 4 * REQUESTS_PER_SECOND)
        played = await play(loads, engines=2, seconds=5, with_accounts=False)
        shares = played.cell.owner.queue.shares
        assert not shares.accounts
        assert not shares.waiting_total

    run(scenario())


def test_the_shares_are_asked_once_per_account_and_pass(run, monkeypatch):
    """Thousands of requests wait: asking for each would hold up the event loop."""
    accounts, waiting = 50, 2000

    async def scenario():
        cell = Cell(engines=4)
        for engine in cell.owner.engines.values():
            engine.record_prompt(9000, cell.clock.monotonic())
        numbers = random.Random(1)
        monkeypatch.setattr(
            cell.owner.queue, "refuse_if_forecast_too_long", lambda *_: False
        )
        for number in range(waiting):
            account = f"account{numbers.randrange(accounts)}"
            cell.request_slot(f"r{number}", "", goal=5000, account=account)
        await run_pending_tasks()
        assert len(cell.owner.queue.waiting) == waiting
        asked = []
        original = AccountShares.standing

        def recording(shares, account, rate, now):
            asked.append(account)
            return original(shares, account, rate, now)

        monkeypatch.setattr(AccountShares, "standing", recording)
        cell.clock.advance(timedelta(milliseconds=10))
        cell.owner.queue.process()
        assert sorted(asked) == sorted(set(asked))

    run(scenario())


def test_the_waiting_work_of_accounts_is_given_back(run):
    """However a request leaves the queue, it must not count as waiting any more."""

    async def scenario():
        loads = equal_accounts(4, 4 * REQUESTS_PER_SECOND)
        played = await play(loads, engines=2, seconds=5, halve_at=2)
        owner = played.cell.owner
        waiting = sum(request.work for request in owner.queue.waiting.values())
        assert waiting
        assert owner.queue.shares.waiting_total == waiting
        owner.close()
        assert not owner.queue.shares.waiting

    run(scenario())
