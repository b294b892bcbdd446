"""A server that answers with bytes without end, before an instance as a process."""

import asyncio
from contextlib import suppress

import pytest

from tests.platform.rig import configuration, route
from tests.processes.test_client_crowds import MEMORY_MB, Target, ask

pytestmark = pytest.mark.processes

REQUESTS = 48
PIECE = b"x" * 65536
OK = b"HTTP/1.1 200 OK\r\n"
ERROR = b"HTTP/1.1 500 Internal Server Error\r\n"
# The begin of each answer, and what follows without end.
ANSWERS = [
    (ERROR + b"Content-Type: text/plain\r\n\r\n", PIECE),
    (OK + b"Transfer-Encoding: chunked\r\n\r\n", b"10000\r\n" + PIECE + b"\r\n"),
    (OK + b"Content-Length: 16000000\r\n\r\n", PIECE),
    (OK, b"Name: " + b"x" * 60000 + b"\r\n"),
    (b"", PIECE),
]


class EndlessServer:
    """A plain server that answers each request with one of the endless answers."""

    def __init__(self):
        self.requests = 0

    async def serve(self, reader, writer):
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            begin, piece = ANSWERS[self.requests % len(ANSWERS)]
            self.requests += 1
            writer.write(begin)
            while True:
                writer.write(piece)
                await writer.drain()
                # Some megabytes a second on each connection.
                await asyncio.sleep(0.01)
        writer.close()


async def ask_ordinary(target, seconds):
    """Return the statuses of ordinary requests."""
    statuses = []
    for _ in range(round(seconds / 0.1)):
        statuses.append((await target.ask()).status)
        await asyncio.sleep(0.1)
    return statuses


# Guards against bytes without end that are kept until the process has no memory left,
# so that the requests of all its clients end with it.
def test_endless_answers_take_no_memory_from_others(run, tmp_path):
    async def scenario():
        target, faulty = Target(tmp_path), EndlessServer()
        listener = await asyncio.start_server(faulty.serve, "127.0.0.1", 0)
        port = listener.sockets[0].getsockname()[1]
        row = {"service": "faulty", "zone": "zone-a", "slots": 100, "state": "ready"}
        address = {"born": 1, "address": f"127.0.0.1:{port}"}
        target.store.put_json("servers", "faulty", {**row, **address})
        routes = [
            route("plain", "/plain/", "unsafe", "desk"),
            route("faulty", "/faulty/", "unsafe", "faulty"),
        ]
        document = configuration(2, routes)
        document["services"].append({"name": "faulty", "connection_limit": 100})
        target.store.put_json("op", "config", document)
        try:
            target.instance.start()
            await target.until_served()
            ordinary = asyncio.create_task(ask_ordinary(target, 4))
            answers = await asyncio.gather(
                *(
                    ask(target.instance, "/faulty/x", f"r{number}", b"%d" % number)
                    for number in range(REQUESTS)
                )
            )
            assert faulty.requests >= REQUESTS
            assert {answer.status for answer in answers} <= {502, 503}
            assert set(await ordinary) == {200}
            assert target.is_alive
            assert target.peak_memory_mb < MEMORY_MB
        finally:
            target.instance.kill()
            listener.close()
            for item in target.listeners:
                item.server.stop()

    run(scenario())
