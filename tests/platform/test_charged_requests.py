"""Which requests are charged to an account, and whose cost is given back."""

import asyncio
from datetime import timedelta

import pytest

from magnoliatrail.forwarding.quotas import QuotaEntry
from tests.platform.rig import running
from tests.platform.test_client_accounts import (
    KEY,
    OTHER_KEY,
    REFUSED,
    ROUTES,
    WRONG_KEY,
    Recorder,
    add_recorders,
    configure,
    only_recorders,
    send,
    until_cut_with_key,
)
from tests.platform.test_cut_from_servers import CutForm, cut_fleet
from tests.unit.test_quota_entry import FakeQuotas, FakeRefusal

ALICE = {"name": "alice", "keys": [KEY], "rate_per_s": 9, "burst": 9, "unit": "tokens"}


def charge(daemon, refusal=None):
    """Let an instance charge requests to stand-in quotas."""
    quotas = FakeQuotas(refusal)
    daemon.handler.quotas = QuotaEntry(daemon.clock, quotas)
    return quotas


async def configured(rig, version=2, **fields):
    await configure(rig, version, [{**ALICE, **fields}])
    return charge(rig.daemons[0])


@pytest.mark.parametrize(
    ("status", "more", "answered", "given_back"),
    [
        ("200 OK", "", 200, False),
        ("404 Not Found", "", 404, False),
        ("500 Internal Server Error", "", 500, False),
        ("503 Service Unavailable", REFUSED, 503, True),
        ("421 Misdirected Request", "", 503, True),
        ("503 Service Unavailable", "", 503, True),
        ("429 Too Many Requests", "", 429, True),
        ("408 Request Timeout", "", 408, True),
    ],
)
def test_the_cost_is_given_back_if_the_answer_promises_that_nothing_ran(
    run, status, more, answered, given_back
):
    async def scenario():
        async with running(engines=0) as rig:
            await add_recorders(rig, plain=Recorder([], None, status, more))
            quotas = await configured(rig)
            answer = await send(rig, "/plain/x")
            assert answer.status == answered
            assert [item[:2] for item in quotas.asked] == [("alice", 120.0)]
            assert quotas.returned == (["charge-1"] if given_back else [])

    run(scenario())


# Guards against a cost that is given back, as a later attempt was refused.
def test_the_cost_is_kept_if_an_earlier_attempt_ran(run):
    async def scenario():
        async with running(engines=0) as rig:
            statuses = ["500 Internal Server Error", "503 Service Unavailable"]
            servers = [Recorder([], None, status) for status in statuses]
            await add_recorders(rig, one=servers[0], two=servers[1])
            quotas = await configured(rig)
            for number in range(6):
                await send(rig, "/lookup/x", request=f"r{number}")
            failed = {head["magnoliatrail-request-id"] for head in servers[0].heads}
            assert len(quotas.asked) == 6
            assert len(quotas.returned) == 6 - len(failed)

    run(scenario())


# Guards against a stream whose caller left while it ran, and got its cost back.
def test_the_cost_of_a_running_stream_is_kept_if_its_caller_leaves(run):
    async def scenario():
        async with running(engines=0) as rig:
            engine = await add_recorders(rig)
            engine.event_seconds = 0.2
            quotas = await configured(rig)
            sending = asyncio.create_task(send(rig, "/stream/x"))
            await rig.until(lambda: engine.heads)
            sending.cancel()
            await asyncio.wait([sending])
            await asyncio.sleep(0.5)
            assert quotas.asked and not quotas.returned

    run(scenario())


def test_a_request_that_found_no_server_gets_its_cost_back(run):
    async def scenario():
        async with running(engines=0) as rig:
            quotas = await configured(rig)
            assert (await send(rig, "/plain/x")).status == 503
            assert quotas.returned == ["charge-1"]

    run(scenario())


@pytest.mark.parametrize("status", [429, 503])
def test_a_refused_request_is_not_sent_and_may_come_back(run, status):
    async def scenario():
        async with running(engines=0) as rig:
            plain = Recorder()
            await add_recorders(rig, plain=plain)
            await configured(rig)
            refusal = FakeRefusal(status, "used up", timedelta(milliseconds=1250))
            quotas = charge(rig.daemons[0], refusal)
            answer = await send(rig, "/plain/x")
            assert (answer.status, answer.headers["Retry-After"]) == (status, "1.25")
            assert not plain.heads and not quotas.returned

    run(scenario())


# Guards against a quota that is used up by requests that have no right to it, and
# against an order of checks that answers 429 where 404 or 401 is due.
@pytest.mark.parametrize(
    ("path", "key", "status", "charged"),
    [
        ("/none", KEY, 404, 0),
        ("/plain/x", WRONG_KEY, 401, 0),
        ("/plain/x", None, 401, 0),
        ("/public/x", None, 200, 0),
        ("/public/x", WRONG_KEY, 200, 0),
        ("/public/x", KEY, 429, 1),
        ("/plain/x", KEY, 429, 1),
    ],
)
def test_the_quota_comes_after_route_and_key(run, path, key, status, charged):
    async def scenario():
        async with running(engines=0) as rig:
            await add_recorders(rig, plain=Recorder())
            await configured(rig)
            refusal = FakeRefusal(429, "used up", timedelta(seconds=1))
            quotas = charge(rig.daemons[0], refusal)
            assert (await send(rig, path, key)).status == status
            assert len(quotas.asked) == charged

    run(scenario())


@pytest.mark.parametrize("fields", [{"rate_per_s": 0}, {"rate_per_s": 0, "burst": 0}])
def test_an_account_without_a_limit_is_not_charged(run, fields):
    async def scenario():
        async with running(engines=0) as rig:
            await add_recorders(rig, plain=Recorder())
            quotas = await configured(rig, **fields)
            assert (await send(rig, "/plain/x")).status == 200
            assert not quotas.asked

    run(scenario())


# Guards against a key that is withdrawn while its request waits for the quota.
def test_a_key_withdrawn_while_the_quota_is_asked_is_refused_and_pays_nothing(run):
    async def scenario():
        async with running(engines=0) as rig:
            plain = Recorder()
            await add_recorders(rig, plain=plain)
            quotas = await configured(rig)
            asked, let_answer = asyncio.Event(), asyncio.Event()
            admit = quotas.admit

            async def slow(*values, **more):
                asked.set()
                await let_answer.wait()
                return await admit(*values, **more)

            quotas.admit = slow
            sending = asyncio.create_task(send(rig, "/plain/x"))
            await asked.wait()
            await configure(rig, 3, [{**ALICE, "keys": [OTHER_KEY]}], ROUTES)
            let_answer.set()
            assert (await sending).status == 401
            assert not plain.heads
            assert quotas.returned == ["charge-1"]

    run(scenario())


# Guards against a relayed request that is charged twice, or gets its cost back though
# the other instance let it run.
def test_a_relayed_request_is_charged_once_by_the_instance_that_relays(run):
    async def scenario():
        async with cut_fleet() as fleet:
            rig, (daemon, *_) = fleet.rig, fleet.rig.daemons
            plain, _ = await only_recorders(rig)
            await configure(rig, 2, [ALICE])
            # The quotas of a new fleet don't admit the requests that find out the cut.
            for item in rig.daemons:
                charge(item)
            await fleet.cut(CutForm.RESET, daemon)
            await until_cut_with_key(fleet, daemon)
            quotas, *of_others = [charge(item) for item in rig.daemons]
            assert (await send(rig, "/plain/x", daemon=daemon)).status == 200
            assert len(quotas.asked) == 1 and not quotas.returned
            plain.status, plain.more = "503 Service Unavailable", REFUSED
            assert (await send(rig, "/plain/x", daemon=daemon)).status == 503
            assert quotas.returned == ["charge-2"]
            assert not any(item.asked for item in of_others)

    run(scenario())
