"""Requests at and over the limits of an instance's listeners."""

import asyncio

import pytest

from magnoliatrail.memory_budget import HeldKind
from magnoliatrail.platform.protocol import READY_PATH
from tests.platform.rig import configuration, read_answer, running
from tests.platform.test_server_notices import add_plain_servers, plain_server

BODY_BYTES = 1_000_000
FIELDS = [
    "Host: app.example",
    "Magnoliatrail-Request-Id: r1",
    "Magnoliatrail-Deadline-Milliseconds: 5000",
]


def request(path, *fields, method="POST", version="1.1"):
    """Return the head of a request."""
    lines = [f"{method} {path} HTTP/{version}", *FIELDS, *fields]
    return "\r\n".join([*lines, "", ""]).encode()


class Client:
    """A connection to an instance."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    async def send(self, *parts):
        for part in parts:
            self.writer.write(part)
            await self.writer.drain()
            await asyncio.sleep(0.02)

    async def answer(self):
        return await asyncio.wait_for(read_answer(self.reader), 5)

    async def is_closed(self):
        return not await asyncio.wait_for(self.reader.read(), 5)


async def connect(address):
    host, port = address.split(":")
    return Client(*await asyncio.open_connection(host, int(port)))


def scenario(run, check, **changes):
    """Run a check with an instance before a plain server, and with a client."""

    async def play():
        async with running() as rig:
            value = configuration(2)
            rig.store.put_json("op", "config", {**value, **changes})
            daemon = rig.daemons[0]
            await rig.until(lambda: daemon.view.routes.version == 2)
            await add_plain_servers(rig, plain=plain_server([]))
            client = await connect(daemon.settings.callers_address)
            try:
                await check(daemon, client)
                await rig.until(lambda: not any(daemon.memory.held.values()))
            finally:
                client.writer.close()

    run(play())


def test_a_body_may_come_in_any_pieces(run):
    async def check(daemon, client):
        await client.send(request("/plain/x", "Content-Length: 6"), b"abc", b"def")
        assert (await client.answer()).status == 200
        chunked = request("/plain/x", "Transfer-Encoding: chunked")
        await client.send(chunked, b"3\r\nabc\r\n", b"3\r\nd", b"ef\r\n0\r\n\r\n")
        assert (await client.answer()).status == 200
        head = request("/plain/x", "Content-Length: 6")
        await client.send(head[:30], head[30:] + b"abcdef")
        assert (await client.answer()).status == 200

    scenario(run, check)


def test_a_body_of_the_largest_size_is_served(run):
    async def check(daemon, client):
        head = request("/plain/x", f"Content-Length: {BODY_BYTES}")
        await client.send(head + b"x" * BODY_BYTES)
        assert (await client.answer()).status == 200

    scenario(run, check)


# Guards against an answer that a reset of the connection takes from the caller.
@pytest.mark.parametrize("status", [404, 413])
def test_a_large_body_that_is_not_kept_gets_its_answer(run, status):
    async def check(daemon, client):
        size = 4 * BODY_BYTES
        path = "/none/x" if status == 404 else "/plain/x"
        await client.send(request(path, f"Content-Length: {size}"))
        client.writer.write(b"x" * size)
        answer = await client.answer()
        assert answer.status == status
        assert answer.headers["Connection"] == "close"
        assert b"r1" in answer.body
        assert await client.is_closed()

    scenario(run, check)


def test_a_body_in_chunks_is_refused_where_it_exceeds_the_limit(run):
    async def check(daemon, client):
        client.writer.write(request("/plain/x", "Transfer-Encoding: chunked"))
        client.writer.write(b"10000\r\n" + b"x" * 65536 + b"\r\n")
        for _ in range(20):
            client.writer.write(b"10000\r\n" + b"x" * 65536 + b"\r\n")
        assert (await client.answer()).status == 413

    scenario(run, check)


def test_a_short_body_without_a_route_leaves_the_connection_open(run):
    async def check(daemon, client):
        await client.send(request("/none/x", "Content-Length: 6"), b"abc", b"def")
        answer = await client.answer()
        assert answer.status == 404
        assert "Connection" not in answer.headers
        await client.send(request("/plain/x", "Content-Length: 2") + b"ok")
        assert (await client.answer()).status == 200

    scenario(run, check)


# Guards against a request that is served without the body that was discarded.
def test_a_route_that_appears_too_late_for_the_body_gets_503(run):
    async def check(daemon, client):
        await client.send(request("/late/x", "Content-Length: 6"), b"abc")
        routes = daemon.view.routes
        match = type(routes).match
        late = next(item for item in routes.routes if item.name == "plain")
        type(routes).match = lambda self, host, path: late
        try:
            await client.send(b"def")
            answer = await client.answer()
        finally:
            type(routes).match = match
        assert answer.status == 503
        assert "Retry-After" in answer.headers

    scenario(run, check)


def test_a_body_is_asked_for_only_if_it_is_kept(run):
    async def check(daemon, client):
        fields = ("Content-Length: 3", "Expect: 100-continue")
        await client.send(request("/plain/x", *fields))
        assert b" 100 " in await client.reader.readuntil(b"\r\n\r\n")
        await client.send(b"abc")
        assert (await client.answer()).status == 200
        await client.send(request("/none/x", *fields))
        assert (await client.answer()).status == 404
        assert await client.is_closed()

    scenario(run, check)


def test_requests_sent_ahead_are_answered_in_turn(run):
    async def check(daemon, client):
        one = request("/plain/x", "Content-Length: 2") + b"ok"
        none = request("/none/x", "Content-Length: 2") + b"ok"
        await client.send(one + none + one)
        statuses = [(await client.answer()).status for _ in range(3)]
        assert statuses == [200, 404, 200]

    scenario(run, check)


def test_a_caller_of_http_1_0_is_served_and_refused(run):
    async def check(daemon, client):
        fields = ("Content-Length: 2", "Connection: keep-alive")
        await client.send(request("/plain/x", *fields, version="1.0") + b"ok")
        assert (await client.answer()).status == 200
        large = f"Content-Length: {2 * BODY_BYTES}"
        await client.send(request("/plain/x", large, version="1.0"))
        assert (await client.answer()).status == 413
        assert await client.is_closed()

    scenario(run, check)


def test_a_get_with_a_body_is_served(run):
    async def check(daemon, client):
        head = request("/plain/x", "Content-Length: 2", method="GET")
        await client.send(head + b"ok")
        assert (await client.answer()).status == 200
        await client.send(request("/plain/x", method="GET"))
        assert (await client.answer()).status == 200

    scenario(run, check)


def head_of(size):
    """Return a head of a size."""
    rest = size - len(request("/plain/x", "Content-Length: 0", "X: "))
    fields = []
    while rest > 5000:
        fields.append("Y: " + "y" * 3995)
        rest -= 4000
    return request("/plain/x", "Content-Length: 0", *fields, "X: " + "x" * rest)


@pytest.mark.parametrize(
    ("size", "status"), [(16_384, 200), (16_385, 431), (60_000, 431)]
)
def test_a_head_over_the_limit_is_refused(run, size, status):
    async def check(daemon, client):
        head = head_of(size)
        assert len(head) == size
        await client.send(head)
        answer = await client.answer()
        assert answer.status == status
        assert (await client.is_closed()) if status == 431 else True

    scenario(run, check, limits={"header_bytes": 16_384})


@pytest.mark.parametrize(("count", "status"), [(128, 200), (129, 431)])
def test_a_head_with_too_many_fields_is_refused(run, count, status):
    async def check(daemon, client):
        more = count - len(FIELDS) - 1
        fields = ["Content-Length: 0", *(f"A{number}: b" for number in range(more))]
        await client.send(request("/plain/x", *fields))
        assert (await client.answer()).status == status

    scenario(run, check)


def test_an_idle_connection_and_a_half_head_are_closed(run):
    async def check(daemon, client):
        other = await connect(daemon.settings.callers_address)
        await client.send(b"POST /plain")
        assert await client.is_closed()
        assert await other.is_closed()

    scenario(run, check, limits={"header_timeout_ms": 300, "idle_timeout_ms": 400})


def test_the_texts_take_no_body_and_short_heads(run):
    async def check(daemon, client):
        address = daemon.settings.ready_address
        for head, status in [
            (request(READY_PATH, method="GET"), 200),
            (request(READY_PATH, "Content-Length: 1", method="GET"), 413),
            (request(READY_PATH, "Transfer-Encoding: chunked"), 413),
            (request(READY_PATH, "X: " + "x" * 4096, method="GET"), 431),
        ]:
            other = await connect(address)
            await other.send(head)
            assert (await other.answer()).status == status
            other.writer.close()

    scenario(run, check)


# Guards against bodies that the peer listener keeps for anybody.
def test_a_message_without_the_token_is_refused_from_its_head(run):
    async def check(daemon, client):
        peer = await connect(daemon.identity.address)
        await peer.send(request("/cells/report", "Content-Length: 1000000"))
        assert (await peer.answer()).status == 401
        assert not daemon.memory.held[HeldKind.MESSAGES]
        assert await peer.is_closed()

    scenario(run, check)


def test_what_a_request_holds_is_released_when_its_caller_leaves(run):
    async def check(daemon, client):
        await client.send(
            request("/plain/x", "Content-Length: 500000") + b"x" * 400_000
        )
        while daemon.memory.held[HeldKind.BODIES] != 400_000:
            await asyncio.sleep(0.01)
        client.writer.close()

    scenario(run, check)
