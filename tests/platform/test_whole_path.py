import asyncio
from dataclasses import replace

import pytest

from magnoliatrail.backends import ServerState
from tests.platform.rig import configuration, model, route, running


def test_a_stream_runs_on_the_adapter_that_it_names(run):
    async def scenario():
        async with running(engines=2) as rig:
            (daemon,) = rig.daemons
            answer = await rig.send(
                daemon, "/stream/x", request="r1", headers=model("a7"), body=b"hello"
            )
            assert (answer.status, answer.whole) == (200, True)
            assert answer.headers["Magnoliatrail-Response-Signature"] == "signed-r1"
            assert answer.body.count(b"data: hello") == 3
            ran = [engine for engine in rig.engines if "r1" in engine.ran]
            assert len(ran) == 1
            assert f"{'base'}/a7@1" in ran[0].adapters

    run(scenario())


def test_an_adapter_that_was_named_in_a_newer_version_runs_in_it(run):
    async def scenario():
        async with running() as rig:
            (daemon,) = rig.daemons
            await rig.send(daemon, "/stream/x", request="r1", headers=model("a7"))
            rig.store.put_json(
                "op",
                "version/base.a7",
                {"model": "base", "adapter": "a7", "version": 2},
            )
            await rig.until(lambda: daemon.view.versions)
            answer = await rig.send(
                daemon, "/stream/x", request="r2", headers=model("a7")
            )
            assert answer.status == 200
            assert "base/a7@2" in rig.engines[0].adapters

    run(scenario())


def test_more_adapters_than_slots_never_exceed_the_slots(run):
    async def scenario():
        async with running(instances=2) as rig:
            calls = [
                rig.send(
                    rig.daemons[number % 2],
                    "/stream/x",
                    request=f"r{number}",
                    headers=model(f"a{number}"),
                )
                for number in range(12)
            ]
            answers = await asyncio.gather(*calls)
            assert [answer.status for answer in answers] == [200] * 12
            (engine,) = rig.engines
            assert not engine.crashed
            assert sorted(engine.ran) == sorted(f"r{number}" for number in range(12))

    run(scenario())


def test_an_engine_that_starts_empty_gets_its_base_weights(run):
    async def scenario():
        async with running() as rig:
            (daemon,) = rig.daemons
            rig.engines[0].models.clear()
            rig.engines[0].adapters.clear()
            rig.engines[0].orders_accepted = 0
            rig.engines[0].born = 2
            address = daemon.view.servers["engine-0"].address
            rig.list_engine(rig.engines[0], address)
            await rig.until(lambda: rig.engines[0].models == {"base"})
            answer = await rig.send(
                daemon, "/stream/x", request="r1", headers=model("a1")
            )
            assert answer.status == 200

    run(scenario())


def test_a_stream_that_breaks_off_is_relayed_as_incomplete(run):
    async def scenario():
        async with running() as rig:
            (daemon,) = rig.daemons
            rig.engines[0].break_after_events = 1
            answer = await rig.send(
                daemon, "/stream/x", request="r1", headers=model("a1")
            )
            assert answer.status == 200
            assert not answer.whole
            assert rig.engines[0].ran == ["r1"]

    run(scenario())


def test_a_request_is_cancelled_when_its_caller_disconnects(run):
    async def scenario():
        async with running() as rig:
            (daemon,) = rig.daemons
            rig.engines[0].events = 100_000
            host, port = daemon.settings.callers_address.split(":")
            _, writer = await asyncio.open_connection(host, int(port))
            head = "".join(f"{k}: {v}\r\n" for k, v in model("a1").items())
            writer.write(
                b"POST /stream/x HTTP/1.1\r\nHost: app.example\r\n"
                b"Magnoliatrail-Request-Id: r1\r\nContent-Length: 0\r\n"
                + head.encode()
                + b"\r\n"
            )
            await rig.until(lambda: rig.engines[0].ran)
            writer.close()
            await rig.until(lambda: rig.engines[0].abandoned == ["r1"])

    run(scenario())


def test_a_request_without_a_route_is_not_found(run):
    async def scenario():
        async with running() as rig:
            answer = await rig.send(rig.daemons[0], "/nowhere/", request="r1")
            assert answer.status == 404

    run(scenario())


def test_a_new_configuration_is_in_force_everywhere(run):
    async def scenario():
        async with running(instances=3) as rig:
            routes = [route("new", "/new/", "streaming", "models")]
            rig.store.put_json("op", "config", configuration(7, routes))
            await rig.until(
                lambda: all(
                    item.view.routes and item.view.routes.version == 7
                    for item in rig.daemons
                )
            )
            answer = await rig.send(
                rig.daemons[2], "/new/x", request="r1", headers=model("a1")
            )
            assert answer.status == 200
            gone = await rig.send(rig.daemons[1], "/stream/x", request="r2")
            assert gone.status == 404

    run(scenario())


def test_one_instance_owns_the_cell_and_the_next_takes_over(run):
    async def scenario():
        async with running(instances=3) as rig:
            owners = [item for item in rig.daemons if item.cells.owns_any]
            assert len(owners) == 1
            others = [item for item in rig.daemons if item is not owners[0]]
            await owners[0].cells.leave()
            await rig.until(lambda: any(item.cells.owns_any for item in others))
            answer = await rig.send(
                others[0], "/stream/x", request="r1", headers=model("a1")
            )
            assert answer.status == 200
            numbers = [order["fencing_token"] for order in rig.engines[0].orders]
            assert numbers == sorted(numbers)

    run(scenario())


def test_an_instance_without_a_configuration_is_not_ready(run):
    async def scenario():
        async with running() as rig:
            (daemon,) = rig.daemons
            assert daemon.readiness()[0] == 200
            daemon.view.routes = None
            assert daemon.readiness()[0] == 503
            answer = await rig.send(daemon, "/stream/x", request="r1")
            assert answer.status == 503
            assert "Retry-After" in answer.headers

    run(scenario())


def test_a_slot_on_a_leaving_engine_is_not_used(run):
    """An owner that is cut off from the store grants slots on a leaving engine.

    The instance has the newer view and must not use such a slot.
    """

    async def scenario():
        async with running(instances=2, engines=2) as rig:
            owner = next(item for item in rig.daemons if item.cells.owns_any)
            other = next(item for item in rig.daemons if item is not owner)
            leaving = rig.engines[0]
            server = other.view.servers[leaving.id]
            other.view.servers[leaving.id] = replace(server, state=ServerState.LEAVING)
            answers = [
                await rig.send(
                    other,
                    "/stream/x",
                    request=f"r{number}",
                    headers=model(f"a{number}"),
                )
                for number in range(8)
            ]
            assert [answer.status for answer in answers] == [200] * 8
            assert not leaving.ran
            assert len(rig.engines[1].ran) == 8

    run(scenario())


# Guards against truncated streams that reach their callers as complete.
def test_a_truncated_stream_without_framing_reaches_its_caller_as_incomplete(run):
    async def scenario():
        async with running() as rig:
            rig.engines[0].unframed = True
            rig.engines[0].break_after_events = 1
            rig.engines[0].break_inside_event = True
            (daemon,) = rig.daemons
            answer = await rig.send(
                daemon, "/stream/x", request="r1", headers=model("a7")
            )
            assert (answer.status, answer.whole) == (200, False)
            assert answer.body == b"id: 1\ndata: x\n\nid: 2\ndata: x\n"

    run(scenario())


def test_a_complete_stream_without_framing_reaches_its_caller_as_complete(run):
    async def scenario():
        async with running() as rig:
            rig.engines[0].unframed = True
            (daemon,) = rig.daemons
            answer = await rig.send(
                daemon, "/stream/x", request="r1", headers=model("a7")
            )
            assert (answer.status, answer.whole) == (200, True)
            assert answer.body.count(b"data: x\n\n") == 3

    run(scenario())


async def send_in_http_1_0(daemon, path, *, request, headers):
    """Send a request in HTTP/1.0, and read until the connection ends."""
    host, port = daemon.settings.callers_address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    fields = {
        "Host": "app.example",
        "Magnoliatrail-Request-Id": request,
        "Content-Length": "1",
        **headers,
    }
    head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    writer.write(f"POST {path} HTTP/1.0\r\n{head}\r\nx".encode())
    try:
        return await reader.read()
    finally:
        writer.close()


# Guards against truncated streams that reach their callers as complete.
def test_a_truncated_stream_resets_the_connection_of_an_http_1_0_caller(run):
    async def scenario():
        async with running() as rig:
            (daemon,) = rig.daemons
            whole = await send_in_http_1_0(
                daemon, "/stream/x", request="r1", headers=model("a7")
            )
            assert whole.count(b"data: x\n\n") == 3
            rig.engines[0].break_after_events = 1
            with pytest.raises(ConnectionResetError):
                await send_in_http_1_0(
                    daemon, "/stream/x", request="r2", headers=model("a7")
                )

    run(scenario())
