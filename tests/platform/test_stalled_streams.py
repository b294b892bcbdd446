"""Streams that are slow but sound, and streams that never complete an event."""

import asyncio
from contextlib import suppress

import pytest

from magnoliatrail.standins.platform_engine import RunHandler
from tests.platform.rig import configuration, model, route, running
from tests.platform.test_cut_from_servers import CutFleet, CutForm, until_cut

# The least first event timeout of a route.
FIRST_EVENT_SECONDS = 2.0


def set_parts(monkeypatch, parts, pause):
    """Let engines write some parts of a stream, with a pause before each."""

    async def write(handler):
        stream = handler.detach()
        request = handler.request.headers["Magnoliatrail-Request-Id"]
        head = (
            "HTTP/1.1 200 OK\r\nMagnoliatrail-Response-Signature: s\r\n"
            f"Magnoliatrail-Request-Id: {request}\r\n"
            "Content-Type: text/event-stream\r\n\r\n"
        )
        with suppress(Exception):
            await stream.write(head.encode())
            for part in parts:
                await asyncio.sleep(pause)
                await stream.write(part)
        stream.close()

    monkeypatch.setattr(RunHandler, "write_unframed", write)


def stream_configuration():
    """Return a configuration whose streams have the shortest timeouts."""
    routes = [
        route("stream", "/stream/", "streaming", "models", latency_goal_ms=400),
        route("plain", "/plain/", "unsafe", "desk"),
    ]
    return configuration(version=2, routes=routes)


# Guards against slow streams that are cut although their events keep coming.
def test_a_stream_with_long_pauses_is_not_cut(run, monkeypatch):
    set_parts(monkeypatch, [b"data: x\n", b"\n", b"data: y\n\n"], 1.5)

    async def scenario():
        async with running() as rig:
            rig.store.put_json("op", "config", stream_configuration())
            (daemon,) = rig.daemons
            await rig.until(lambda: daemon.view.routes.version == 2)
            rig.engines[0].unframed = True
            answer = await rig.send(
                daemon, "/stream/x", request="r1", headers=model("a7")
            )
            assert (answer.status, answer.whole) == (200, True)
            assert answer.body == b"data: x\n\ndata: y\n\n"

    run(scenario())


# Guards against stalled streams that send a byte now and then and never end.
@pytest.mark.parametrize("relayed", [False, True])
def test_a_stream_that_completes_no_event_is_broken_off(run, monkeypatch, relayed):
    set_parts(monkeypatch, [b": x\n\n"] * 100, 0.2)

    async def scenario():
        async with running(instances=2 if relayed else 1) as rig:
            fleet = CutFleet(rig)
            daemon = rig.daemons[0]
            for other in rig.daemons:
                assert (await fleet.send(other, "/stream/x")).status == 200
            rig.store.put_json("op", "config", stream_configuration())
            await rig.until(
                lambda: all(item.view.routes.version == 2 for item in rig.daemons)
            )
            if relayed:
                await fleet.cut(CutForm.RESET, daemon)
                await until_cut(fleet, daemon, "/stream/x")
            rig.engines[0].unframed = True
            try:
                async with asyncio.timeout(FIRST_EVENT_SECONDS + 5):
                    answer = await fleet.send(daemon, "/stream/x")
            finally:
                for cut in fleet.cuts:
                    await cut.end()
            assert (answer.status, answer.whole) == (200, False)

    run(scenario())
