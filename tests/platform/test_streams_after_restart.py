"""Streams that callers resume after all instances were killed."""

import asyncio

import pytest

from tests.platform.rig import (
    MODEL,
    close,
    configuration,
    is_settled,
    model,
    route,
    running,
)
from tests.platform.test_cut_from_servers import Cut, CutForm
from tests.platform.test_server_notices import plain_server
from tests.platform.test_stream_versions import (
    begin,
    engine,
    introduced,
    listed,
    replace_engine,
    resume,
)

STREAMS = 12
# More than the crashes under a request after which it is refused, and so far apart that
# a server that had crashed could have started again.
BREAKS = 5
BREAK_INTERVAL_SECONDS = 0.7
BASE = {"name": MODEL, "version": 1, "adapters": []}


async def restart_all(rig):
    """Kill all instances at once, and start as many others."""
    killed, rig.daemons = rig.daemons, []
    await asyncio.gather(*(close(daemon) for daemon in killed))
    address = killed[0].settings.store_address
    for number in range(len(killed)):
        await rig.start_instance(number, address)


async def settled(rig):
    """Wait until all instances can serve."""
    await rig.until(lambda: all(is_settled(daemon) for daemon in rig.daemons))


# Guards against streams joined from two software versions, because the only version
# that is listed after a restart of all instances is taken for the one that began them.
@pytest.mark.parametrize("instances", [1, 2])
def test_a_stream_whose_version_is_gone_is_refused_after_all_restart(run, instances):
    async def scenario():
        async with running(instances=instances) as rig:
            await listed(rig, "engine-0")
            await introduced(rig)
            await begin(rig, rig.daemons[0], "r0")
            other = engine("other", "v1.1", "a7")
            await replace_engine(rig, other)
            await restart_all(rig)
            await settled(rig)
            for number, daemon in enumerate(rig.daemons, 1):
                answer = await resume(rig, daemon, f"r{number}", "r0")
                assert answer.status == 503
                assert b"version" in answer.body
            assert other.ran == []

    run(scenario())


# Guards against a refusal of every stream that is resumed after a restart of all
# instances, though servers of its software version serve.
@pytest.mark.parametrize("instances", [1, 2])
def test_streams_go_on_at_their_version_after_all_restart(run, instances):
    async def scenario():
        async with running(instances=instances) as rig:
            await listed(rig, "engine-0")
            await introduced(rig)
            begun = [f"b{number}" for number in range(STREAMS)]
            for request in begun:
                await begin(rig, rig.daemons[0], request)
            await asyncio.sleep(1)
            same, other = engine("same", "v1", "a7"), engine("other", "v1.1", "a7")
            await replace_engine(rig, same, engine("same2", "v1", "a7"), other)
            await restart_all(rig)
            await settled(rig)
            answers = [
                await resume(rig, rig.daemons[-1], f"again-{request}", request)
                for request in begun
            ]
            went_on = [
                item for item in answers if (item.status, item.whole) == (200, True)
            ]
            assert other.ran == []
            assert len(went_on) >= STREAMS / 2, answers

    run(scenario())


# Guards against streams that are refused as crashing, because an engine broke off
# several without a crash, one long after the other.
@pytest.mark.parametrize("instances", [1, 2])
def test_streams_go_on_at_an_engine_that_broke_them_off_one_by_one(run, instances):
    async def scenario():
        async with running(instances=instances) as rig:
            await listed(rig, "engine-0")
            for number in range(BREAKS):
                await begin(rig, rig.daemons[-1], f"r{number}")
                await asyncio.sleep(BREAK_INTERVAL_SECONDS)
            rig.engines[0].break_after_events = None
            answer = await resume(rig, rig.daemons[0], "r-again", "r0")
            assert (answer.status, answer.whole) == (200, True)

    run(scenario())


# Guards against a stream that goes on at any version, because its route may no longer
# be resumed.
def test_a_stream_keeps_its_version_if_its_route_is_no_longer_resumable(run):
    async def scenario():
        async with running() as rig:
            (daemon,) = rig.daemons
            await listed(rig, "engine-0")
            await begin(rig, daemon, "r0")
            other = engine("other", "v1.1", "a7")
            await replace_engine(rig, other)
            routes = [route("stream", "/stream/", "streaming", "models")]
            rig.store.put_json("op", "config", configuration(3, routes))
            await rig.until(lambda: daemon.view.routes.version == 3)
            answer = await resume(rig, daemon, "r1", "r0")
            assert answer.status == 503
            assert other.ran == []

    run(scenario())


# Guards against streams that begin, or go on, at an engine that started again under its
# id and address with another version, before its row says so. It holds nothing then.
@pytest.mark.parametrize("begun", ["", "r0"])
def test_an_engine_that_restarted_gets_no_stream_before_its_row_is_read(run, begun):
    async def scenario():
        async with running() as rig:
            (daemon,) = rig.daemons
            await listed(rig, "engine-0")
            await begin(rig, daemon, "r0")
            (state,) = rig.engines
            state.born, state.version, state.break_after_events = 2, "v1.1", None
            state.orders_accepted, state.ran = 0, []
            state.models, state.adapters = set(), set()
            fields = {"Last-Event-Id": "1", "Resumes": begun} if begun else {}
            answer = await rig.send(
                daemon, "/stream/x", request="r1", headers={**model("a7"), **fields}
            )
            assert answer.status == 503
            assert state.ran == []
            row = {**state.row, "address": daemon.view.servers["engine-0"].address}
            rig.store.put_json("servers", "engine-0", {**row, "models": [BASE]})
            state.models.add(MODEL)
            await rig.until(lambda: daemon.view.servers["engine-0"].born == state.born)
            again = await resume(rig, daemon, "r2", "r0")
            assert (again.status, state.ran) == (503, [])

    run(scenario())


# Guards against resumed streams that go on at another version, or are refused, because
# an instance that reaches no server lets another one serve them.
def test_a_cut_instance_lets_a_stream_go_on_at_its_version(run):
    async def scenario():
        async with running(instances=3) as rig:
            await listed(rig, "engine-0")
            await introduced(rig)
            await begin(rig, rig.daemons[0], "r0")
            same, other = engine("same", "v1", "a7"), engine("other", "v1.1", "a7")
            await replace_engine(rig, same, other)
            cut = Cut(rig.daemons[1], CutForm.RESET)
            await cut.begin()
            try:
                requests = (f"n{number}" for number in range(100))
                while not rig.daemons[1].reach.is_cut:
                    request = next(requests)
                    await rig.send(
                        rig.daemons[1],
                        "/stream/x",
                        request=request,
                        headers=model("a7"),
                    )
                other.ran = []
                answer = await resume(rig, rig.daemons[1], "r1", "r0")
                assert (answer.status, answer.whole) == (200, True)
                assert "r1" in same.ran
                assert other.ran == []
            finally:
                await cut.end()

    run(scenario())


# Guards against a stream of a plain service that goes on at another version, because
# the server that began it had restarted under its id before its row said so.
def test_a_plain_server_that_restarted_begins_no_stream_of_its_former_version(run):
    async def scenario():
        async with running() as rig:
            (daemon,) = rig.daemons
            ran = []
            routes = [route("plain", "/plain/", "streaming", "desk", resumable=True)]
            rig.store.put_json("op", "config", configuration(2, routes))
            server = await rig.add_plain("first", plain_server(ran))
            address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
            row = {"service": "desk", "zone": "zone-a", "state": "ready"}
            first = {**row, "address": address, "born": 1, "version": "v1"}
            rig.store.put_json("servers", "first", first)
            await rig.until(
                lambda: (
                    "first" in daemon.view.servers
                    and daemon.view.servers["first"].software_version == "v1"
                    and daemon.view.routes.version == 2
                )
            )
            # The answer is of the next run already, whose row is not written yet.
            begun = await rig.send(daemon, "/plain/x", request="r0")
            assert (begun.status, ran) == (200, ["r0"])
            restarted = {**first, "born": 2, "version": "v1.1"}
            rig.store.put_json("servers", "first", restarted)
            other_ran = []
            other = await rig.add_plain("other", plain_server(other_ran))
            address = f"127.0.0.1:{other.sockets[0].getsockname()[1]}"
            rig.store.put_json("servers", "other", {**first, "address": address})
            await rig.until(
                lambda: (
                    daemon.view.servers["first"].born == 2
                    and "other" in daemon.view.servers
                )
            )
            fields = {"Last-Event-Id": "1", "Resumes": "r0"}
            await rig.send(daemon, "/plain/x", request="r1", headers=fields)
            assert other_ran == []

    run(scenario())
