"""Malformed input at each listener, in each message, and in servers' answers.

None of it may end the process or a task of it, and callers are served meanwhile.
"""

import asyncio
import json
import random
from contextlib import suppress

import msgspec
import pytest

from magnoliatrail.cli.forward import reload
from tests.platform.rig import running
from tests.platform.test_server_notices import add_plain_servers
from tests.platform.test_settings_reload import settings_text

DEEP = b"[" * 100_000
HEADS = [
    b"\r\n\r\n",
    b"\x00\xff\xfe" * 50 + b"\r\n\r\n",
    b"GET / HTTP/9.9\r\n\r\n",
    b"GET /\r\n\r\n",
    b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n\r\n",
    b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1e9\r\n\r\n",
    b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9" + b"9" * 5000 + b"\r\n\r\n",
    b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
    + b"f" * 5000
    + b"\r\n",
    b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip\r\n\r\n",
    b"GET http://[::1/ HTTP/1.1\r\nHost: ]\r\n\r\n",
    b"GET /%ff%00 HTTP/1.1\r\nHost: \xff\xfe\r\n\r\n",
    b"GET / HTTP/1.1\r\n: x\r\nHost x\r\n\r\n",
    b"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
    b"POST /plain/x HTTP/1.1\r\nHost: app.example\r\nContent-Length: 0\r\n"
    b"Magnoliatrail-Request-Id: \xe9\xff\r\nMagnoliatrail-Token-Counts: "
    + b"9" * 4400
    + b",-1\r\nMagnoliatrail-Deadline-Milliseconds: 1e400\r\n\r\n",
    b"POST /stream/x HTTP/1.1\r\nHost: app.example\r\nContent-Length: 0\r\n"
    b"Magnoliatrail-Model: base/\xff\r\nMagnoliatrail-Length-Hint: "
    + b"9" * 4400
    + b"\r\nMagnoliatrail-Prompt-Prefix: a:"
    + b"9" * 4400
    + b",b:\xb2\r\n\r\n",
    b"POST /stream/x HTTP/1.1\r\nHost: app.example\r\nContent-Length: 0\r\n"
    b"Magnoliatrail-Model: base\r\nMagnoliatrail-Token-Counts: \xb2,\xb3\r\n"
    b"Magnoliatrail-Prompt-Prefix: a:\xb2,b:1\r\n\r\n",
]
BODIES = [
    b"",
    b"{",
    b"\xff\xfe",
    DEEP,
    b'{"a":' * 50_000,
    b"null",
    b"[]",
    b"1e999",
    b'{"cell": 1, "instance": {}}',
]


async def send_raw(address, data):
    """Send bytes, and read what comes until the end or a short silence."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    with suppress(ConnectionError, TimeoutError):
        writer.write(data)
        await writer.drain()
        async with asyncio.timeout(0.1):
            while await reader.read(65536):
                pass
    writer.close()
    with suppress(ConnectionError):
        await writer.wait_closed()


async def plain_server(reader, writer):
    """Answer one request, whatever its id."""
    with suppress(asyncio.IncompleteReadError, ConnectionError):
        head = await reader.readuntil(b"\r\n\r\n")
        name = head.partition(b"Request-Id: ")[2].partition(b"\r\n")[0]
        writer.write(
            b"HTTP/1.1 200 OK\r\nMagnoliatrail-Response-Signature: s\r\n"
            b"Magnoliatrail-Request-Id: %s\r\nContent-Length: 0\r\n\r\n" % name
        )
        await writer.drain()
    writer.close()
    with suppress(ConnectionError):
        await writer.wait_closed()


class Watched:
    """What the event loop was told of errors that nothing handled."""

    def __init__(self):
        self.errors = []
        asyncio.get_running_loop().set_exception_handler(
            lambda loop, context: self.errors.append(str(context))
        )


async def check_service(rig):
    """Check that an instance serves and that its tasks run, and close connections."""
    (daemon,) = rig.daemons
    answer = await rig.send(daemon, "/plain/x", request="ordinary")
    assert answer.status == 200
    assert daemon.tasks.tasks
    assert not any(task.done() for task in daemon.tasks.tasks)
    await close_connections(daemon)


async def close_connections(daemon):
    """Close the connections to servers, and let the servers end theirs."""
    daemon.pool.close()
    await asyncio.sleep(0.05)


@pytest.mark.parametrize("listener", ["callers", "peers", "ready", "metrics"])
def test_a_malformed_head_ends_nothing(run, listener):
    async def scenario():
        async with running() as rig:
            await add_plain_servers(rig, p0=plain_server)
            (daemon,) = rig.daemons
            await rig.until(lambda: daemon.view.usable("desk"))
            watched = Watched()
            metrics = next(
                item
                for item in daemon.listeners
                if item.port not in known_ports(daemon)
            )
            address = {
                "callers": daemon.settings.callers_address,
                "peers": daemon.identity.address,
                "ready": daemon.settings.ready_address,
                "metrics": f"127.0.0.1:{metrics.port}",
            }[listener]
            await asyncio.gather(*(send_raw(address, head) for head in HEADS))
            await check_service(rig)
            assert watched.errors == []

    run(scenario())


def known_ports(daemon):
    """Return the ports of the listeners whose addresses are in the settings."""
    settings = daemon.settings
    addresses = (settings.callers_address, settings.ready_address)
    return {int(item.rpartition(":")[2]) for item in addresses} | {
        int(daemon.identity.address.rpartition(":")[2])
    }


def odd_messages(message_type):
    """Return bodies with odd values in the fields of a message."""
    generator = random.Random(1)
    odd = [None, -1, 2**63, 1e308, "", "\0" * 10, "x" * 10_000, [], {}, [[]], True]
    names = [field.encode_name for field in message_fields(message_type)]
    return [
        json.dumps({name: generator.choice(odd) for name in names}).encode()
        for _ in range(20)
    ]


def message_fields(message_type):
    """Return the fields of a message."""

    try:
        return msgspec.structs.fields(message_type)
    except TypeError:
        return ()


def test_a_malformed_message_ends_nothing(run):
    async def scenario():
        async with running() as rig:
            await add_plain_servers(rig, p0=plain_server)
            (daemon,) = rig.daemons
            await rig.until(lambda: daemon.view.usable("desk"))
            watched = Watched()
            routes = [
                *daemon.cells.peer_routes(),
                *daemon.stream_versions.peer_routes(),
                *daemon.quarantine.peer_routes(),
                *daemon.reach.peer_routes(),
            ]
            for route in routes:
                sending = []
                for body in [*BODIES, *odd_messages(route.message_type)]:
                    head = (
                        f"POST {route.path} HTTP/1.1\r\nHost: x\r\n"
                        f"Authorization: Bearer {daemon.token}\r\n"
                        f"Content-Length: {len(body)}\r\n\r\n"
                    )
                    sending.append(
                        send_raw(daemon.identity.address, head.encode() + body)
                    )
                await asyncio.gather(*sending)
            await check_service(rig)
            assert watched.errors == []

    run(scenario())


ANSWERS = [
    b"\x00\xff\r\n\r\n",
    b"HTTP/1.1 99999 X\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 9" + b"9" * 5000 + b"\r\n\r\nx",
    b"HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    b"HTTP/1.1 200 OK\r\n%sServer-Limit: 1e999\r\nRetry-After: -1\r\n"
    b"Keep-Alive: timeout=99999999999999999999\r\nContent-Length: 0\r\n\r\n",
    b"HTTP/1.1 200 OK\r\n%sKeep-Alive: timeout=\xb2\r\nContent-Length: 0\r\n\r\n",
    b"HTTP/1.1 200 OK\r\n%sX-Odd: \xff\xfe\x01\r\nContent-Length: 0\r\n\r\n",
    b"HTTP/1.1 503 X\r\n%sRetry-After: nan\r\nContent-Length: 0\r\n\r\n",
]
NAMES = b"Magnoliatrail-Response-Signature: s\r\nMagnoliatrail-Request-Id: r1\r\n"


# Guards against an answer of a server whose error leaves its caller without an answer.
@pytest.mark.parametrize("number", range(len(ANSWERS)))
def test_a_malformed_answer_of_a_server_gets_its_caller_an_answer(run, number):
    async def serve(reader, writer):
        with suppress(asyncio.IncompleteReadError, ConnectionError, TimeoutError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(ANSWERS[number].replace(b"%s", NAMES))
            await writer.drain()
            # A connection that goes on is kept for the next request.
            async with asyncio.timeout(0.3):
                await reader.read()
        writer.close()
        with suppress(ConnectionError):
            await writer.wait_closed()

    async def scenario():
        async with running() as rig:
            server = await rig.add_plain("p0", serve)
            (daemon,) = rig.daemons
            await rig.until(lambda: daemon.view.usable("desk"))
            watched = Watched()
            answer = await rig.send(daemon, "/plain/x", request="r1")
            assert answer.status in (200, 502, 503)
            assert not any(task.done() for task in daemon.tasks.tasks)
            assert watched.errors == []
            await close_connections(daemon)
            server.close()

    run(scenario())


ODD_SETTINGS = {
    "binary": lambda text: b"\xff\xfe\x00",
    "deeply nested": lambda text: b"x = " + DEEP,
    "a number out of range": lambda text: text.replace(
        "drain_ms = 2000", "drain_ms = 1e300"
    ).encode(),
    "no number": lambda text: text.replace(
        "drain_ms = 2000", "drain_ms = nan"
    ).encode(),
    "no table": lambda text: f"limits = 1\n{text}".encode(),
}


# Guards against a reload that fails without a log line.
@pytest.mark.parametrize("kind", ODD_SETTINGS)
def test_odd_settings_leave_those_in_force(run, tmp_path, kind):
    async def scenario():
        async with running() as rig:
            (daemon,) = rig.daemons
            before = daemon.settings
            path = tmp_path / "local.toml"
            path.write_bytes(ODD_SETTINGS[kind](settings_text(daemon)))
            reload(daemon, path)
            assert daemon.settings is before

    run(scenario())
