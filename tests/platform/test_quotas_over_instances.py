"""Quotas over instances whose cells have real leases."""

import asyncio
from dataclasses import replace
from datetime import timedelta

from magnoliatrail.accounts.account_share import Charge, QuotaRefusal
from magnoliatrail.accounts.accounts import (
    AccountTable,
    ClientAccount,
    Quota,
    QuotaUnit,
)
from magnoliatrail.ids import AccountName
from tests.platform.rig import close, running

ACCOUNT = ClientAccount(
    AccountName("a"),
    quota=Quota(
        per_second=20.0, burst=20.0, unit=QuotaUnit.REQUESTS, plain_tokens=200.0
    ),
)


def use_accounts(daemon):
    """Put the account in force at an instance."""
    table = AccountTable({ACCOUNT.name: ACCOUNT}, {})
    daemon.view.routes = replace(daemon.view.routes, accounts=table)


async def admit(daemon, wait=0.6):
    return await daemon.quotas.admit(
        ACCOUNT,
        1.0,
        priority=0,
        wait_until=daemon.clock.monotonic() + timedelta(seconds=wait),
    )


async def admitted(daemons, number):
    """Return how many of some requests at each instance are admitted."""
    outcomes = await asyncio.gather(
        *(admit(daemon) for daemon in daemons for _ in range(number))
    )
    assert all(
        isinstance(outcome, Charge)
        or (isinstance(outcome, QuotaRefusal) and outcome.status == 429)
        for outcome in outcomes
    )
    return sum(isinstance(outcome, Charge) for outcome in outcomes)


async def until_admitted(daemon):
    async with asyncio.timeout(20):
        while not isinstance(await admit(daemon), Charge):
            await asyncio.sleep(0.1)


def owner(daemons):
    """Return the instance that owns the only cell."""
    (found,) = [daemon for daemon in daemons if daemon.cells.owns_any]
    return found


def test_all_instances_together_stay_within_the_quota(run):
    async def scenario():
        async with running(instances=3) as rig:
            for daemon in rig.daemons:
                use_accounts(daemon)
            await until_admitted(rig.daemons[1])
            began = rig.daemons[0].clock.monotonic()
            total = 0
            while rig.daemons[0].clock.monotonic() - began < timedelta(seconds=3):
                total += await admitted(rig.daemons, 3)
                await asyncio.sleep(0.1)
            took = (rig.daemons[0].clock.monotonic() - began).total_seconds()
            assert total <= 20 * took + 20
            # The bucket of a new owner starts empty.
            assert total >= 0.9 * 20 * (took - 1)

    run(scenario())


def test_the_next_owner_goes_on_with_the_quota_and_the_last_one_stops(run):
    async def scenario():
        async with running(instances=3) as rig:
            for daemon in rig.daemons:
                use_accounts(daemon)
            for daemon in rig.daemons:
                await until_admitted(daemon)
            first = owner(rig.daemons)
            rest = [daemon for daemon in rig.daemons if daemon is not first]
            await first.cells.leave()
            await rig.until(lambda: any(daemon.cells.owns_any for daemon in rest))
            for daemon in rig.daemons:
                await until_admitted(daemon)
            await rig.until(lambda: not first.quotas.coordination.coordinators)

    run(scenario())


def test_instances_go_on_while_the_owner_is_killed(run):
    async def scenario():
        async with running(instances=3) as rig:
            for daemon in rig.daemons:
                use_accounts(daemon)
            for daemon in rig.daemons:
                await until_admitted(daemon)
            killed = owner(rig.daemons)
            rest = [daemon for daemon in rig.daemons if daemon is not killed]
            await close(killed)
            rig.daemons.remove(killed)
            await rig.until(lambda: any(daemon.cells.owns_any for daemon in rest))
            for daemon in rest:
                use_accounts(daemon)
            next_owner = owner(rest).quotas.coordination
            await rig.until(lambda: next_owner.coordinators)
            (coordinator,) = [item for _, item in next_owner.coordinators.values()]
            # The killed instance may be a partitioned one, for all that is known.
            gone = {killed.settings.instance}
            await rig.until(lambda: coordinator.missing.keys() <= gone)
            for daemon in rest:
                await until_admitted(daemon)

    run(scenario())


def test_without_accounts_instances_exchange_no_quotas(run):
    async def scenario():
        async with running(instances=2) as rig:
            await asyncio.sleep(1.2)
            for daemon in rig.daemons:
                assert not daemon.quotas.cells
                assert not daemon.quotas.coordination.coordinators

    run(scenario())
