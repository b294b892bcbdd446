"""Servers that leave, as several instances learn it from answers and from the store."""

import asyncio
import base64
import json
from datetime import timedelta

import pytest

from magnoliatrail.backends import ServerNotice, ServerState
from magnoliatrail.cells.member import STORE_READER_CELL
from magnoliatrail.forwarding.head_check import OUTDATED
from tests.platform.rig import BOUNDS, model, running
from tests.platform.test_server_notices import (
    LEAVING,
    add_plain_servers,
    plain_server,
)

REQUESTS = 60


def store_reader(rig):
    """Return the instance that reads the store for all, and another one."""
    first, second = rig.daemons
    if first.cells.members[STORE_READER_CELL].owner:
        return first, second
    return second, first


def list_as_draining(rig, name):
    """Write the row of a server that leaves."""
    row = json.loads(base64.b64decode(rig.store.tables["servers"][name].value))
    rig.store.put_json("servers", name, {**row, "state": "draining"})


def meanwhile(pool, address, do):
    """Call a function while a request waits for a connection to an address."""
    acquire = pool.acquire

    async def acquire_late(to, *args, **options):
        lent = await acquire(to, *args, **options)
        if to == address and options.get("request_id"):
            do()
        return lent

    pool.acquire = acquire_late


async def add_two_servers(rig):
    """Add two plain servers, and return the requests that each gets."""
    leaving, staying = [], []
    await add_plain_servers(
        rig, leaving=plain_server(leaving), staying=plain_server(staying)
    )
    return leaving, staying


# Guards against requests to a server that had left by the time when they were sent
# (DRAIN): a server was chosen, and not looked at again after the wait for a connection.
def test_a_server_that_leaves_during_the_wait_for_a_connection_gets_nothing(run):
    async def scenario():
        async with running() as rig:
            (daemon,) = rig.daemons
            leaving, staying = await add_two_servers(rig)
            server = daemon.view.servers["leaving"]
            notice = ServerNotice(leaving=True)
            meanwhile(
                daemon.pool,
                server.address,
                lambda: daemon.view.apply_notice(server, notice),
            )
            for number in range(REQUESTS // 4):
                answer = await rig.send(daemon, "/plain/x", request=f"r{number}")
                assert answer.status == 200
            assert not leaving
            assert len(staying) == REQUESTS // 4

    run(scenario())


# Guards against the same at engines, whose slot was granted before.
def test_an_engine_that_leaves_during_the_wait_for_a_connection_gets_nothing(run):
    async def scenario():
        async with running(engines=2) as rig:
            (daemon,) = rig.daemons
            leaving, staying = rig.engines
            server = daemon.view.servers[leaving.id]
            notice = ServerNotice(leaving=True)
            meanwhile(
                daemon.pool,
                server.address,
                lambda: daemon.view.apply_notice(server, notice),
            )
            for number in range(6):
                answer = await rig.send(
                    daemon,
                    "/stream/x",
                    request=f"r{number}",
                    headers=model(f"a{number}"),
                )
                assert answer.status == 200
            assert not leaving.ran
            assert len(staying.ran) == 6

    run(scenario())


# Guards against requests that are sent by a list that became too old during the wait
# for a connection; a sound server is chosen again by a fresh list, and nothing is lost.
def test_a_request_waits_for_a_fresh_list_before_it_is_sent(run):
    async def scenario():
        async with running() as rig:
            (daemon,) = rig.daemons
            only = []
            await add_plain_servers(rig, only=plain_server(only))
            context = daemon.forwarding_context
            answers = [False, True]
            context.is_list_fresh = lambda: answers.pop(0) if answers else True
            answer = await rig.send(daemon, "/plain/x", request="r1")
            assert answer.status == 200
            assert only == ["r1"]
            assert not answers

    run(scenario())


# Guards against a second attempt, or a slot, by a list that is too old.
@pytest.mark.parametrize("path", ["/plain/x", "/stream/x"])
def test_a_request_without_a_fresh_list_is_refused_at_once(run, path):
    async def scenario():
        async with running() as rig:
            (daemon,) = rig.daemons
            only = []
            await add_plain_servers(rig, only=plain_server(only))

            async def never_fresh():
                return False

            daemon.forwarding_context.ensure_list_fresh = never_fresh
            answer = await rig.send(daemon, path, request="r1", headers=model("a1"))
            assert answer.status == 503
            assert float(answer.headers["Retry-After"]) <= 1
            assert OUTDATED.encode() in answer.body
            assert not only
            assert not rig.engines[0].ran

    run(scenario())


# Guards against requests to a server that had said that it leaves (DRAIN): a row that
# said no more than an answer to the instance that reads the store was not passed on.
@pytest.mark.parametrize("reader_heard", [True, False])
def test_all_instances_learn_from_the_row_that_a_server_leaves(run, reader_heard):
    async def scenario():
        async with running(instances=2) as rig:
            reader, other = store_reader(rig)
            hearing, learning = (reader, other) if reader_heard else (other, reader)
            leaving, staying = [], []
            await add_plain_servers(
                rig,
                leaving=plain_server(leaving, LEAVING),
                staying=plain_server(staying),
            )
            for number in range(REQUESTS):
                if leaving:
                    break
                await rig.send(hearing, "/plain/x", request=f"heard-{number}")
            assert hearing.view.servers["leaving"].state is ServerState.LEAVING
            list_as_draining(rig, "leaving")
            await asyncio.sleep((BOUNDS.drain + timedelta(seconds=0.1)).total_seconds())
            heard = len(leaving)
            for number in range(REQUESTS):
                answer = await rig.send(learning, "/plain/x", request=f"late-{number}")
                assert answer.status == 200
            assert len(leaving) == heard

    run(scenario())
