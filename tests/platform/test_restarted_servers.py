"""Requests that crash plain servers which return under their ids and addresses.

The list names the first run of each server for as long as a test goes on.
"""

import asyncio
from contextlib import suppress
from itertools import count, cycle

from tests.platform.rig import running

INSTANCES = 3
RESTART_SECONDS = 0.8
PAUSE_SECONDS = 0.5
CRASHING = b"crash"
# The platform allows this long for news of the third crash to reach all instances.
STABILITY_SECONDS = 3
# Retries that may still reach servers after that.
ALLOWED_LATE_RETRIES = 3


class ReturningServer:
    """A plain server that ends under one body, and listens again a while later."""

    def __init__(self, rig, name):
        self.rig = rig
        self.name = name
        self.writers = set()
        self.crashes = 0
        self.port = 0

    async def start(self):
        """Start the first run, and list it."""
        self.listener = await self.rig.add_plain(self.name, self.handle)
        self.port = self.listener.sockets[0].getsockname()[1]

    async def handle(self, reader, writer):
        """Answer requests on a kept connection."""
        self.writers.add(writer)
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                fields = dict(line.split(": ", 1) for line in head.split("\r\n")[1:-2])
                body = await reader.readexactly(int(fields["Content-Length"]))
                if body == CRASHING:
                    await self.crash()
                    return
                writer.write(
                    b"HTTP/1.1 200 OK\r\nMagnoliatrail-Request-Id: %b\r\n"
                    b"Magnoliatrail-Response-Signature: s\r\n"
                    b"Content-Length: 2\r\n\r\nok"
                    % fields["Magnoliatrail-Request-Id"].encode()
                )
                await writer.drain()
        self.writers.discard(writer)
        writer.close()

    async def crash(self):
        """End all connections, and listen at the same address a while later."""
        self.crashes += 1
        self.listener.close()
        writers, self.writers = self.writers, set()
        for writer in writers:
            writer.transport.abort()
        await asyncio.sleep(RESTART_SECONDS)
        self.listener = await asyncio.start_server(self.handle, "127.0.0.1", self.port)


# Guards against a sound answer of a server's next run that is taken for one of the run
# that crashed, and against two crashes that count as one, while the list is old.
def test_a_request_is_refused_though_the_servers_return_under_their_ids(run):
    async def scenario():
        async with running(instances=INSTANCES, engines=0) as rig:
            servers = [ReturningServer(rig, f"plain-{number}") for number in range(2)]
            for server in servers:
                await server.start()
            await rig.until(
                lambda: all(len(item.view.servers) == 2 for item in rig.daemons)
            )
            numbers, instances = count(), cycle(rig.daemons)

            async def send(body):
                return await rig.send(
                    next(instances), "/plain/x", request=f"r{next(numbers)}", body=body
                )

            async def send_sound():
                while True:
                    await send(b"sound%d" % next(numbers))
                    await asyncio.sleep(0.03)

            def crashes():
                return sum(server.crashes for server in servers)

            sound = asyncio.create_task(send_sound())
            while crashes() < 3:
                await send(CRASHING)
                await asyncio.sleep(PAUSE_SECONDS)
            await asyncio.sleep(STABILITY_SECONDS)
            known = crashes()
            for _ in range(4 * INSTANCES):
                answer = await send(CRASHING)
                await asyncio.sleep(PAUSE_SECONDS)
            assert crashes() - known <= ALLOWED_LATE_RETRIES
            assert answer.status == 503
            assert (await send(b"sound at last")).status == 200
            sound.cancel()
            await asyncio.wait([sound])
            for server in servers:
                server.listener.close()

    run(scenario())
