"""Answers that broke off halfway never reach a caller as complete successes."""

import asyncio
from contextlib import suppress

import pytest

from magnoliatrail.forwarding.attempt import Framing
from tests.platform.rig import model, running
from tests.platform.test_cut_from_servers import (
    CutFleet,
    CutForm,
    until_cut,
)

SIGNED = b"Magnoliatrail-Response-Signature: s\r\nMagnoliatrail-Request-Id: %s\r\n"
BODY = b"0123456789"
CUT_EVENTS = b"id: 1\ndata: x\n\nid: 2\ndata: x\n"


def set_framing(engine, framing):
    """Let an engine stop inside its second event, in a framing that hides it."""
    engine.break_after_events = 1
    engine.break_inside_event = True
    engine.unframed = framing is Framing.CONNECTION_CLOSE
    engine.sized = framing is Framing.LENGTH


# Guards against truncated streams whose framing, passed on, says that they are whole.
@pytest.mark.parametrize("framing", Framing)
def test_a_stream_cut_inside_an_event_reaches_its_caller_as_incomplete(run, framing):
    async def scenario():
        async with running() as rig:
            set_framing(rig.engines[0], framing)
            (daemon,) = rig.daemons
            answer = await rig.send(
                daemon, "/stream/x", request="r1", headers=model("a7")
            )
            assert (answer.status, answer.whole) == (200, False)
            assert CUT_EVENTS.startswith(answer.body)

    run(scenario())


@pytest.mark.parametrize("framing", Framing)
def test_a_whole_stream_reaches_its_caller_as_complete(run, framing):
    async def scenario():
        async with running() as rig:
            engine = rig.engines[0]
            set_framing(engine, framing)
            engine.break_after_events = None
            (daemon,) = rig.daemons
            answer = await rig.send(
                daemon, "/stream/x", request="r1", headers=model("a7")
            )
            assert (answer.status, answer.whole) == (200, True)
            assert answer.body.count(b"data: x\n\n") == 3

    run(scenario())


# Guards against the same at an instance that gets the stream through another one.
@pytest.mark.parametrize("framing", Framing)
def test_a_relayed_stream_cut_inside_an_event_is_incomplete(run, framing):
    async def scenario():
        async with running(instances=2) as rig:
            fleet = CutFleet(rig)
            daemon = rig.daemons[0]
            for other in rig.daemons:
                assert (await fleet.send(other, "/stream/x")).status == 200
            await fleet.cut(CutForm.RESET, daemon)
            try:
                await until_cut(fleet, daemon, "/stream/x")
                set_framing(rig.engines[0], framing)
                answer = await fleet.send(daemon, "/stream/x")
            finally:
                for cut in fleet.cuts:
                    await cut.end()
            assert (answer.status, answer.whole) == (200, False)
            assert CUT_EVENTS.startswith(answer.body)

    run(scenario())


def framed(request, framing, cut):
    """Return an answer whose body stops before its end if `cut`."""
    head = b"HTTP/1.1 200 OK\r\n" + SIGNED % request.encode()
    body = BODY[:4] if cut else BODY
    if framing is Framing.LENGTH:
        return head + b"Content-Length: %d\r\n\r\n" % len(BODY) + body
    if framing is Framing.CHUNKS:
        start = head + b"Transfer-Encoding: chunked\r\n\r\n4\r\n0123\r\n"
        return start if cut else start + b"6\r\n456789\r\n0\r\n\r\n"
    return head + b"\r\n" + body


# Guards against an incomplete answer of a plain server that its caller takes for whole.
# One without framing that ends in order is whole by the platform's rule.
@pytest.mark.parametrize("path", ["/plain/x", "/lookup/x"])
@pytest.mark.parametrize("framing", [Framing.LENGTH, Framing.CHUNKS])
def test_a_cut_answer_of_a_plain_server_is_an_error(run, framing, path):
    cut = True

    async def serve(reader, writer):
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            request = head.partition("Request-Id: ")[2].partition("\r\n")[0]
            writer.write(framed(request, framing, cut))
            await writer.drain()
        writer.close()

    async def scenario():
        nonlocal cut
        async with running() as rig:
            server = await rig.add_plain("p0", serve)
            (daemon,) = rig.daemons
            await rig.until(lambda: daemon.view.usable("desk"))
            found = await rig.send(daemon, path, request="r1")
            assert found.status == 502
            cut = False
            found = await rig.send(daemon, path, request="r2", body=b"y")
            assert (found.status, found.body) == (200, BODY)
            server.close()

    run(scenario())


CONFLICTING = {
    "length and chunks": b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
    "two lengths": b"Content-Length: 4\r\nContent-Length: 10\r\n",
    "a length with a sign": b"Content-Length: +4\r\n",
    "another transfer encoding": b"Transfer-Encoding: gzip\r\n",
}


# Guards against a length that is believed against what else the head says.
@pytest.mark.parametrize("fields", CONFLICTING.values(), ids=CONFLICTING.keys())
def test_an_answer_with_conflicting_framing_is_an_error(run, fields):
    async def serve(reader, writer):
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            request = head.partition("Request-Id: ")[2].partition("\r\n")[0]
            writer.write(
                b"HTTP/1.1 200 OK\r\n%s%s\r\n4\r\n0123\r\n"
                % (SIGNED % request.encode(), fields)
            )
            await writer.drain()
        writer.close()

    async def scenario():
        async with running() as rig:
            server = await rig.add_plain("p0", serve)
            (daemon,) = rig.daemons
            await rig.until(lambda: daemon.view.usable("desk"))
            found = await rig.send(daemon, "/plain/x", request="r1")
            assert found.status == 502
            server.close()

    run(scenario())
