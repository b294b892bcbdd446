"""Requests that two HTTP servers could parse differently, sent over raw sockets."""

import asyncio

import pytest

from .harness import TOKEN, running_harness

READ_TIMEOUT_SECONDS = 2.0
HOST_LINE = b"Host: x\r\n"
SMUGGLED_REQUEST = b"POST /services/bookings/smuggled HTTP/1.1\r\nHost: x\r\n\r\n"

AMBIGUOUS_FRAMING = {
    "length and chunks": b"POST /services/bookings/x HTTP/1.1\r\n"
    + HOST_LINE
    + b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
    + SMUGGLED_REQUEST,
    "two lengths": b"POST /services/bookings/x HTTP/1.1\r\n"
    + HOST_LINE
    + b"Content-Length: 4\r\nContent-Length: 5\r\n\r\nbody"
    + SMUGGLED_REQUEST,
    "signed length": b"POST /services/bookings/x HTTP/1.1\r\n"
    + HOST_LINE
    + b"Content-Length: +4\r\n\r\nbody"
    + SMUGGLED_REQUEST,
    "unknown coding": b"POST /services/bookings/x HTTP/1.1\r\n"
    + HOST_LINE
    + b"Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n"
    + SMUGGLED_REQUEST,
    "bad chunk size": b"POST /services/bookings/x HTTP/1.1\r\n"
    + HOST_LINE
    + b"Transfer-Encoding: chunked\r\n\r\n0x4\r\nbody\r\n0\r\n\r\n"
    + SMUGGLED_REQUEST,
    "space before colon": b"POST /services/bookings/x HTTP/1.1\r\n"
    + HOST_LINE
    + b"Content-Length : 4\r\n\r\nbody"
    + SMUGGLED_REQUEST,
    "bare CR in a header": b"POST /services/bookings/x HTTP/1.1\r\n"
    + HOST_LINE
    + b"X: a\rContent-Length: 4\r\n\r\n",
    "NUL in a header": b"POST /services/bookings/x HTTP/1.1\r\n"
    + HOST_LINE
    + b"X-Caller: a\x00b\r\n\r\n",
}

AMBIGUOUS_PATHS = [
    "/services/bookings/../../peer/status",
    "/services/bookings/a/../confirm",
    "/services/bookings/./confirm",
    "/services/bookings/%2e%2e/confirm",
    "/services/bookings/%2E/confirm",
    "/services/bookings/a%2fconfirm",
    "/services/bookings/a%5Cconfirm",
    "/services/bookings//confirm",
    "/services/bookings/..;x/confirm",
    "/services/bookings/;x/confirm",
    "/services/bookings/confirm%0d%0aX-Evil:%20y",
    "/services/bookings/confirm%00",
    "/services/bookings/confirm%zz",
    "/services/bookings/confirm#x",
    "/services/bookings/confirm?a=b#x",
    "/services/bookings/caf\u00e9",
    "/services/../peer/status",
    "http://other/services/bookings/confirm",
    "//other/services/bookings/confirm",
]

INVALID_HEADERS = [
    b"X-Caller: " + b"a" * 129,
    b"X-Caller: \xe9t\xe9",
    b"X-Caller: a\r\nX-Caller: b",
    b"X-Caller:",
    b"Idempotency-Key: " + b"k" * 256,
    b"Idempotency-Key: a\r\nIdempotency-Key: b",
    b"Idempotency-Key: \xff",
]


async def send_raw(url, data):
    """Send bytes and return all that is received until the close or a timeout."""
    host, _, port = url.removeprefix("http://").partition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(data)
    received = b""
    try:
        while True:
            async with asyncio.timeout(READ_TIMEOUT_SECONDS):
                chunk = await reader.read(65_536)
            if not chunk:
                break
            received += chunk
    except TimeoutError:
        pass
    writer.close()
    return received


def executed_keys(harness):
    return [
        key for service in harness.environment.services for key in service.executions
    ]


def test_ambiguous_framing_reaches_no_service(run):
    async def scenario():
        async with running_harness(instances=1) as harness:
            for name, data in AMBIGUOUS_FRAMING.items():
                received = await send_raw(harness.urls[0], data)
                assert b" 200 " not in received, (name, received)
                assert not executed_keys(harness), name

    run(scenario())


def test_ambiguous_paths_reach_no_service(run):
    async def scenario():
        async with running_harness(instances=1) as harness:
            for path in AMBIGUOUS_PATHS:
                line = b"GET " + path.encode("utf-8") + b" HTTP/1.1\r\n"
                data = line + HOST_LINE + b"Connection: close\r\n\r\n"
                received = await send_raw(harness.urls[0], data)
                status = received.split(b" ")[1]
                assert status in (b"400", b"404"), (path, received)
                assert not executed_keys(harness), path

    run(scenario())


@pytest.mark.parametrize("header", INVALID_HEADERS)
def test_invalid_caller_and_key_headers_are_refused(run, header):
    async def scenario():
        async with running_harness(instances=1) as harness:
            line = b"GET /services/bookings/x HTTP/1.1\r\n"
            data = line + HOST_LINE + header + b"\r\nConnection: close\r\n\r\n"
            received = await send_raw(harness.urls[0], data)
            assert received.split(b" ")[1] == b"400", received
            assert not executed_keys(harness)

    run(scenario())


def test_the_caller_listener_serves_no_peer_path(run):
    async def scenario():
        async with running_harness(instances=1) as harness:
            token = b"Authorization: Bearer " + TOKEN.encode() + b"\r\n"
            data = b"POST /peer/status HTTP/1.1\r\n" + HOST_LINE + token
            received = await send_raw(
                harness.urls[0],
                data + b"Connection: close\r\nContent-Length: 2\r\n\r\n{}",
            )
            assert received.split(b" ")[1] == b"404"

    run(scenario())


def test_a_peer_token_that_is_not_ascii_is_refused(run):
    async def scenario():
        async with running_harness(instances=1) as harness:
            data = (
                b"POST /peer/status HTTP/1.1\r\n"
                + HOST_LINE
                + b"Authorization: Bearer \xff\xfe\r\nConnection: close\r\n"
                + b"Content-Length: 2\r\n\r\n{}"
            )
            received = await send_raw(harness.daemons[0].peer_listener.url, data)
            assert received.split(b" ")[1] == b"401"

    run(scenario())
