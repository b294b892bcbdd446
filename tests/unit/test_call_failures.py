"""Each failure of the HTTP client must tell whether the request may have been sent.

A request reported as not sent is retried, so a wrong report would run it twice.
"""

import asyncio
import socket
import struct
from contextlib import asynccontextmanager
from datetime import timedelta

import pytest
from tornado.httpclient import HTTPRequest
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from magnoliatrail.wire import CallFailed, CallLimits, call, new_http_client

SHORT = CallLimits(timedelta(seconds=0.3), timedelta(seconds=0.3))
LONG = CallLimits(timedelta(seconds=10), timedelta(seconds=10))
HOST = "127.0.0.1"


class RawServer:
    """A raw TCP server that reads a request and then calls `act`."""

    def __init__(self, act):
        self.act = act
        self.received = b""

    async def serve(self, reader, writer):
        try:
            while b"\r\n\r\nbody" not in self.received:
                chunk = await reader.read(1000)
                if not chunk:
                    break
                self.received += chunk
            await self.act(writer)
        finally:
            writer.close()


@asynccontextmanager
async def listening(act):
    raw_server = RawServer(act)
    server = await asyncio.start_server(raw_server.serve, HOST, 0)
    port = server.sockets[0].getsockname()[1]
    try:
        yield raw_server, f"http://{HOST}:{port}/"
    finally:
        server.close()


async def failure(url, limits=LONG, client=None):
    request = HTTPRequest(url, method="POST", body=b"body")
    with pytest.raises(CallFailed) as caught:
        await call(client or new_http_client(), request, limits)
    return caught.value


def refused_url():
    reserved = socket.socket()
    reserved.bind((HOST, 0))
    return reserved, f"http://{HOST}:{reserved.getsockname()[1]}/"


async def keep_silent(writer):
    await asyncio.Event().wait()


async def close(writer):
    writer.close()


async def reset(writer):
    linger = struct.pack("ii", 1, 0)
    writer.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, linger
    )
    writer.close()


def answer(text):
    async def write(writer):
        writer.write(text)
        await writer.drain()
        writer.close()

    return write


BROKEN_ANSWERS = {
    "closed": close,
    "reset": reset,
    "not HTTP": answer(b"garbage\r\n\r\n"),
    "cut in the header": answer(b"HTTP/1.1 200 OK\r\nContent-Le"),
    "cut in the body": answer(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"),
    "cut in a chunk": answer(
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhalf"
    ),
    "no last chunk": answer(
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"
    ),
    "two lengths": answer(
        b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nhalf"
    ),
}


@pytest.mark.parametrize("name", BROKEN_ANSWERS)
def test_a_broken_answer_may_have_been_sent(run, name):
    async def scenario():
        async with listening(BROKEN_ANSWERS[name]) as (raw_server, url):
            assert (await failure(url)).sent
            assert b"body" in raw_server.received

    run(scenario())


def test_a_timeout_during_the_request_may_have_been_sent(run):
    async def scenario():
        async with listening(keep_silent) as (raw_server, url):
            assert (await failure(url, SHORT)).sent
            assert b"body" in raw_server.received

    run(scenario())


def test_a_refused_connection_was_not_sent(run):
    async def scenario():
        reserved, url = refused_url()
        with reserved:
            assert not (await failure(url)).sent

    run(scenario())


def test_a_timeout_while_connecting_was_not_sent(run):
    async def scenario():
        with socket.socket() as server:
            server.bind((HOST, 0))
            server.listen(0)
            url = f"http://{HOST}:{server.getsockname()[1]}/"
            # These connections fill the listen backlog, so the next one cannot connect.
            fillers = [socket.socket() for _ in range(3)]
            for filler in fillers:
                filler.setblocking(False)
                filler.connect_ex(server.getsockname())
            assert not (await failure(url, SHORT)).sent
            for filler in fillers:
                filler.close()

    run(scenario())


def test_a_request_that_waits_in_the_client_was_not_sent(run):
    async def scenario():
        client = SimpleAsyncHTTPClient(force_instance=True, max_clients=1)
        async with listening(keep_silent) as (raw_server, url):
            first = asyncio.create_task(failure(url, LONG, client))
            await asyncio.sleep(0.05)
            reserved, other = refused_url()
            with reserved:
                assert not (await failure(other, SHORT, client)).sent
            first.cancel()

    run(scenario())


@pytest.mark.parametrize("url", ["gopher://x/", "http://127.0.0.1:1/a b\r\nX: y"])
def test_a_request_that_cannot_be_written_fails_as_a_call(run, url):
    async def scenario():
        await failure(url, SHORT)

    run(scenario())


def test_an_address_that_cannot_be_read_fails_as_a_call(run):
    async def scenario():
        await failure("http://[::1:1/", SHORT)

    run(scenario())
