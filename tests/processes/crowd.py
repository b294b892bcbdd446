"""Crowds of hostile clients, as a process: `python -m tests.processes.crowd`.

The arguments are the load, the host, the port, the path, the number of connections, and
the seconds after which all connections are closed.
"""

import asyncio
import sys
from contextlib import suppress

LEGAL = 4_194_304
CHUNK = b"1\r\nx\r\n"


def head(path, *fields):
    """Return the head of a request."""
    lines = [
        f"POST {path} HTTP/1.1",
        "Host: app.example",
        "Magnoliatrail-Request-Id: hostile",
        "Magnoliatrail-Deadline-Milliseconds: 15000",
        *fields,
    ]
    return "\r\n".join([*lines, "", ""]).encode()


def body_parts(size, part):
    """Yield the parts of a body."""
    piece = b"x" * part
    for _ in range(size // part):
        yield piece
    yield piece[: size % part]


def almost_whole(path):
    """One byte is missing of a body of legal size."""
    yield head(path, f"Content-Length: {LEGAL}")
    yield from body_parts(LEGAL - 1, 65536)


def whole(path):
    """A body of legal size is complete."""
    yield head(path, f"Content-Length: {LEGAL}")
    yield from body_parts(LEGAL, 65536)


def small_pieces(path):
    """One byte is missing of a body in small pieces."""
    yield head(path, f"Content-Length: {LEGAL}")
    yield from body_parts(LEGAL - 1, 4096)


def tiny_chunks(path):
    """A body comes in chunks of one byte, and its end is missing."""
    yield head(path, "Transfer-Encoding: chunked")
    chunks = CHUNK * 1000
    for _ in range(LEGAL // 1000):
        yield chunks


def large_chunks(path):
    """A body in chunks has no end."""
    yield head(path, "Transfer-Encoding: chunked")
    while True:
        yield b"10000\r\n" + b"x" * 65536 + b"\r\n"


def over_the_limit(path):
    """A body is far over the limit."""
    yield head(path, f"Content-Length: {1 << 34}")
    while True:
        yield b"x" * 65536


def many_fields(path):
    """Requests of legal size consist of very many short fields."""
    request = head(path, *(f"a{n}:b" for n in range(1500)), "Content-Length: 0")
    while True:
        yield request


def endless_head(path):
    """A head has no end."""
    yield head(path)[:-2]
    while True:
        yield b"a: " + b"b" * 8000 + b"\r\n"


def pipelined(path):
    """Requests follow each other, and no answer is read."""
    request = head(path, "Content-Length: 3") + b"abc"
    while True:
        yield request * 100


def half_head(path):
    """A head stops half-way."""
    yield head(path)[:40]


def slow_head(path):
    """A head comes byte by byte."""
    for byte in head(path):
        yield bytes([byte])
        yield 0.3


def slow_body(path):
    """A body comes byte by byte."""
    yield head(path, f"Content-Length: {LEGAL}")
    while True:
        yield b"x"
        yield 0.3


LOADS = {
    load.__name__: load
    for load in (
        almost_whole,
        whole,
        small_pieces,
        tiny_chunks,
        large_chunks,
        over_the_limit,
        many_fields,
        endless_head,
        pipelined,
        half_head,
        slow_head,
        slow_body,
    )
}


async def play_once(load, host, port, path):
    """Send a load over one connection, and keep it open without reading."""
    reader, writer = await asyncio.open_connection(host, port)
    try:
        for part in LOADS[load](path):
            if isinstance(part, float):
                await asyncio.sleep(part)
                continue
            writer.write(part)
            await writer.drain()
        await reader.read()
    finally:
        writer.close()


async def play(load, host, port, path):
    """Send a load again and again over new connections."""
    while True:
        with suppress(OSError):
            await play_once(load, host, port, path)
        await asyncio.sleep(0.5)


async def crowd(load, host, port, path, connections, seconds):
    """Play a load over many connections at once."""
    with suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            await asyncio.gather(
                *(play(load, host, port, path) for _ in range(connections))
            )


if __name__ == "__main__":
    load, host, port, path, connections, seconds = sys.argv[1:]
    asyncio.run(crowd(load, host, int(port), path, int(connections), float(seconds)))
