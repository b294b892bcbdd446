"""Instances that cannot know whether a key is valid."""

import asyncio
from dataclasses import replace
from datetime import timedelta

import pytest

from tests.platform.rig import BOUNDS, close, running
from tests.platform.test_client_accounts import (
    KEY,
    OTHER_KEY,
    WRONG_KEY,
    Recorder,
    accounts,
    add_recorders,
    configure,
    send,
)

# Added to the bound on configurations, and so to the time for which a key may be used.
EXTENSION = timedelta(seconds=0.4)
BOUND = BOUNDS.propagation + EXTENSION


async def isolate(rig, daemon):
    """Cut an instance from the store and from all others, by ending these."""
    rig.store.down = True
    for other in [item for item in rig.daemons if item is not daemon]:
        await close(other)
        rig.daemons.remove(other)


def use_extension(rig):
    for daemon in rig.daemons:
        bounds = replace(BOUNDS, unstable_store=EXTENSION)
        daemon.forwarding_context.bounds = bounds


# Guards against a withdrawn key that an instance accepts for ever, as it learns of no
# withdrawal; both as the owner of the cell and not.
@pytest.mark.parametrize("owner", [True, False])
def test_an_isolated_instance_accepts_no_key_after_the_bound(run, owner):
    async def scenario():
        async with running(instances=2, engines=0) as rig:
            plain = Recorder()
            await add_recorders(rig, plain=plain)
            await configure(rig, 2, accounts(KEY))
            use_extension(rig)
            daemon = next(i for i in rig.daemons if i.cells.owns_any is owner)
            await isolate(rig, daemon)
            # A read that waited when the store went down still brings an answer.
            table, clock = daemon.view.tables["op"], daemon.clock
            answers = []
            while (age := table.age(clock.monotonic())) < BOUND * 1.5:
                for key in (KEY, WRONG_KEY):
                    answer = await send(rig, "/plain/x", key, daemon=daemon)
                    answers.append((age, answer))
                await asyncio.sleep(0.05)
            late = [answer for age, answer in answers if age > BOUND]
            assert late and {answer.status for answer in late} == {503}
            assert all("Retry-After" in item.headers for item in late)
            # What needs no key is served all the time.
            answer = await send(rig, "/public/x", None, daemon=daemon)
            assert answer.status == 200
            rig.store.down = False
            daemon.forwarding_context.bounds = BOUNDS
            await rig.until(lambda: not daemon.reader.failing)
            assert (await send(rig, "/plain/x", daemon=daemon)).status == 200
            answer = await send(rig, "/plain/x", WRONG_KEY, daemon=daemon)
            assert answer.status == 401

    run(scenario())


# Guards against refusals by a whole fleet that only cannot read the store: nobody can
# withdraw a key then.
def test_instances_that_hear_of_each_other_use_what_they_know_without_the_store(run):
    async def scenario():
        async with running(instances=2, engines=0) as rig:
            await add_recorders(rig, plain=Recorder())
            await configure(rig, 2, accounts(KEY))
            rig.store.down = True
            for _ in range(4):
                await asyncio.sleep(BOUNDS.propagation.total_seconds() / 2)
                await rig.until(
                    lambda: all(item.reader.failing for item in rig.daemons)
                )
                for daemon in rig.daemons:
                    answer = await send(rig, "/plain/x", daemon=daemon)
                    assert answer.status == 200
                    answer = await send(rig, "/plain/x", WRONG_KEY, daemon=daemon)
                    assert answer.status == 401

    run(scenario())


# Guards against a 503 while an instance is merely late, or only its store is away.
@pytest.mark.parametrize(
    ("age", "store_answers", "hears_others", "isolated"),
    [
        (BOUND + timedelta(seconds=0.1), False, False, True),
        (BOUND, False, False, False),
        (BOUND + timedelta(days=1), True, False, False),
        (BOUND + timedelta(days=1), False, True, False),
    ],
)
def test_three_signs_together_mean_isolation(
    run, age, store_answers, hears_others, isolated
):
    async def scenario():
        async with running(engines=0) as rig:
            await configure(rig, 2, accounts(KEY))
            use_extension(rig)
            context = rig.daemons[0].forwarding_context
            context.store_answers = lambda: store_answers
            context.hears_others = lambda: hears_others
            context.view.tables["op"].age = lambda now: age
            assert context.is_isolated() is isolated

    run(scenario())


def test_a_process_that_knows_no_configuration_answers_503(run):
    async def scenario():
        async with running(engines=0) as rig:
            await configure(rig, 2, accounts(KEY))
            rig.store.down = True
            daemon = rig.daemons.pop()
            await close(daemon)
            await rig.start_instance(1, daemon.settings.store_address)
            for key in (KEY, OTHER_KEY, None):
                answer = await send(rig, "/plain/x", key)
                assert answer.status == 503
                assert "Retry-After" in answer.headers

    run(scenario())
