"""A listener with a guard, and clients that reach its limits."""

import asyncio
from contextlib import asynccontextmanager
from datetime import timedelta

import pytest
from tornado.web import Application, RequestHandler

from magnoliatrail.clock import SystemClock
from magnoliatrail.inbound import server as inbound_server
from magnoliatrail.inbound.limits import ClientLimits
from magnoliatrail.inbound.refusals import BODY_STALLED, RefusalLog
from magnoliatrail.inbound.server import Guard
from magnoliatrail.listeners import listen
from magnoliatrail.memory_budget import MemoryBudget
from magnoliatrail.metrics import RecordedMetrics
from tests.platform.rig import read_answer

HEAD = b"POST / HTTP/1.1\r\nHost: x\r\n"


class LengthHandler(RequestHandler):
    """Answer with the length of the body."""

    async def post(self):
        await asyncio.sleep(self.application.settings["seconds"])
        self.write(str(len(self.request.body)))


@asynccontextmanager
async def listening(*, connections=10, seconds=0.0, limits=None):
    """Serve with a guard; yield the server and a function that connects to it."""
    clock, metrics = SystemClock(), RecordedMetrics()
    found = limits or ClientLimits()
    guard = Guard(
        name="callers",
        clock=clock,
        metrics=metrics,
        budget=MemoryBudget(10_000_000),
        refusals=RefusalLog(clock=clock, metrics=metrics),
        max_connections=connections,
        limits=lambda: found,
    )
    application = Application([("/", LengthHandler)], seconds=seconds)
    listener = listen(application, host="127.0.0.1", guard=guard)
    writers = []

    async def connect():
        reader, writer = await asyncio.open_connection("127.0.0.1", listener.port)
        writers.append(writer)
        return reader, writer

    try:
        yield listener.server, connect
    finally:
        for writer in writers:
            writer.close()
        await listener.close()
        assert not any(guard.budget.held.values())


async def until(condition):
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.005)


async def post(client, body=b"abc"):
    reader, writer = client
    writer.write(HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body)
    return await asyncio.wait_for(read_answer(reader), 5)


async def ends(client):
    """Return whether a connection ends without an answer."""
    try:
        return not await asyncio.wait_for(client[0].read(1), 5)
    except ConnectionError:
        return True


# Guards against a second read beside that of tornado, whose assertion ended the request
# without an answer.
def test_a_request_that_waits_for_its_turn_can_be_refused(run, caplog):
    async def scenario():
        async with listening() as (server, connect):
            go_on = asyncio.Event()
            server.turns.wait = go_on.wait
            reader, writer = await connect()
            writer.write(HEAD + b"Transfer-Encoding: chunked\r\n\r\n")
            writer.write(b"1\r\nx\r\n" * 200)
            await until(lambda: any(item.chunks == 64 for item in server.streams))
            (stream,) = server.streams
            assert not stream.reading()
            stream.request.refuse(BODY_STALLED)
            go_on.set()
            answer = await asyncio.wait_for(read_answer(reader), 5)
            assert answer.status == 408
            writer.close()
            await until(lambda: not server.streams)
        assert "Uncaught exception" not in caplog.text

    run(scenario())


def test_tiny_chunks_of_one_body_are_put_together(run):
    async def scenario():
        async with listening() as (server, connect):
            reader, writer = await connect()
            writer.write(HEAD + b"Transfer-Encoding: chunked\r\n\r\n")
            writer.write(b"1\r\nx\r\n" * 5000 + b"0\r\n\r\n")
            assert (await asyncio.wait_for(read_answer(reader), 5)).body == b"5000"

    run(scenario())


def test_a_new_connection_takes_the_place_of_one_without_a_request(run):
    async def scenario():
        async with listening(connections=2) as (server, connect):
            first = await connect()
            assert (await post(first)).status == 200
            second = await connect()
            assert (await post(second)).status == 200
            assert (await post(await connect())).status == 200
            assert await ends(first)
            assert (await post(second)).status == 200
            assert server.guard.metrics.counters["connections.closed.connection_limit"]

    run(scenario())


def test_a_new_connection_is_closed_if_all_others_have_requests(run):
    async def scenario():
        async with listening(connections=2, seconds=0.5) as (server, connect):
            busy = [asyncio.create_task(post(await connect())) for _ in range(2)]
            await until(lambda: all(i.state.has_request for i in server.streams))
            await until(lambda: len(server.streams) == 2)
            assert await ends(await connect())
            assert [(await item).status for item in busy] == [200, 200]

    run(scenario())


# Guards against a crowd that makes each new connection close before it is read.
def test_connections_wait_in_the_queue_until_the_others_had_time_to_ask(run):
    async def scenario():
        async with listening(connections=2) as (server, connect):
            clients = [await connect() for _ in range(8)]
            answers = await asyncio.gather(
                *(post(item) for item in clients), return_exceptions=True
            )
            assert [getattr(item, "status", None) for item in answers] == [200] * 8

    run(scenario())


def test_a_stalled_body_gets_408(run, monkeypatch):
    async def scenario():
        monkeypatch.setattr(inbound_server, "SWEEP_INTERVAL_SECONDS", 0.01)
        async with listening() as (server, connect):
            reader, writer = await connect()
            writer.write(HEAD + b"Content-Length: 10\r\n\r\nabc")
            await until(lambda: any(item.request.holding for item in server.streams))
            (stream,) = server.streams
            stream.state.since -= timedelta(seconds=10)
            stream.state.interval_at -= timedelta(seconds=10)
            answer = await asyncio.wait_for(read_answer(reader), 5)
            assert answer.status == 408

    run(scenario())


@pytest.mark.parametrize("length", ["99999999999999999999999", "9" * 5000])
def test_a_length_beyond_any_number_is_refused(run, length):
    async def scenario():
        async with listening() as (server, connect):
            reader, writer = await connect()
            writer.write(HEAD + f"Content-Length: {length}\r\n\r\n".encode())
            answer = await asyncio.wait_for(read_answer(reader), 5)
            assert answer.status == 413

    run(scenario())
