"""Requests that crash each server that runs them, and come again."""

import asyncio
from contextlib import asynccontextmanager
from itertools import cycle

import pytest

from magnoliatrail.standins.platform_engine import PlatformEngineState
from tests.platform.rig import MODEL, model, running

INSTANCES = 3
SERVERS = 4
CRASHING = b"crash"
# The platform allows this long for news of the third crash to reach all instances.
STABILITY_SECONDS = 3
# Retries that may still reach servers after that.
ALLOWED_LATE_RETRIES = 3
CALLER = {"Api-Key": "one"}
OTHER_CALLER = {"Api-Key": "another"}


class CrashingServers:
    """Plain servers and engines that end under one body, and are replaced then."""

    def __init__(self, rig):
        self.rig = rig
        self.instances = cycle(rig.daemons)
        self.sent = 0
        self.listening = {}
        self.ended = []
        self.bodies = []

    @property
    def crashes(self):
        return len(self.ended) + sum(engine.ended for engine in self.rig.engines)

    async def start(self):
        """Start all servers."""
        for engine in self.rig.engines:
            engine.crashing_body = CRASHING
        for number in range(SERVERS):
            await self.add_plain(f"plain-{number}")
        await self.until_listed()

    async def add_plain(self, name):
        """Start a plain server, which ends without an answer under the body."""

        async def handle(reader, writer):
            try:
                head = await reader.readuntil(b"\r\n\r\n")
                fields = dict(
                    line.split(": ", 1) for line in head.decode().split("\r\n")[1:-2]
                )
                body = await reader.readexactly(int(fields["Content-Length"]))
                self.bodies.append(body)
                if body == CRASHING:
                    self.ended.append(name)
                    self.listening.pop(name).close()
                    return
                request = fields["Magnoliatrail-Request-Id"]
                writer.write(
                    b"HTTP/1.1 200 OK\r\nMagnoliatrail-Request-Id: %b\r\n"
                    b"Magnoliatrail-Response-Signature: s\r\nConnection: close\r\n"
                    b"Content-Length: 2\r\n\r\nok" % request.encode()
                )
                await writer.drain()
            finally:
                writer.close()

        self.listening[name] = await self.rig.add_plain(name, handle)

    async def replace_crashed(self):
        """List a new server for each one that crashed since the last call."""
        for name in self.ended:
            if name in self.rig.store_ids():
                self.rig.store.put("servers", name, None)
                await self.add_plain(f"{name}-next")
        for engine in [item for item in self.rig.engines if item.ended]:
            if engine.id in self.rig.store_ids():
                self.rig.store.put("servers", engine.id, None)
                name = f"engine-{len(self.rig.engines)}"
                state = PlatformEngineState(
                    name, born=1, models={MODEL}, crashing_body=CRASHING
                )
                self.rig.add_engine(state)
        await self.until_listed()

    async def until_listed(self):
        """Wait until all instances list the servers that run."""
        names = self.rig.store_ids()
        await self.rig.until(
            lambda: all(set(item.view.servers) == names for item in self.rig.daemons)
        )

    async def send(self, path, body, *, caller=CALLER):
        """Send a request to the next instance, and replace what crashed under it.

        Each comes from another address, as the balancer spreads callers by theirs.
        """
        self.sent += 1
        daemon = next(self.instances)
        host, port = daemon.settings.callers_address.split(":")
        connection = await asyncio.open_connection(
            host, int(port), local_addr=(f"127.0.0.{self.sent % 100 + 2}", 0)
        )
        answer = await self.rig.send(
            daemon,
            path,
            request=f"r{self.sent}",
            headers={**model("a7"), **caller},
            body=body,
            keep=connection,
        )
        connection[1].close()
        await self.replace_crashed()
        return answer


@asynccontextmanager
async def crashing_servers():
    """Run instances before servers that crash under one body."""
    async with running(instances=INSTANCES, engines=SERVERS) as rig:
        servers = CrashingServers(rig)
        await servers.start()
        try:
            yield servers
        finally:
            for item in servers.listening.values():
                item.close()


async def crash_three(servers, path):
    """Send the crashing request until three servers ended, and wait for the news."""
    while servers.crashes < 3:
        await servers.send(path, CRASHING)
    await asyncio.sleep(STABILITY_SECONDS)


# Guards against a request that crashes one server after the other as it is repeated.
@pytest.mark.parametrize("path", ["/plain/x", "/lookup/x", "/stream/x"])
def test_a_request_that_crashed_three_servers_is_retried_at_most_three_times(run, path):
    async def scenario():
        async with crashing_servers() as servers:
            await crash_three(servers, path)
            known = servers.crashes
            for _ in range(2 * INSTANCES):
                answer = await servers.send(path, CRASHING)
            assert servers.crashes - known <= ALLOWED_LATE_RETRIES
            assert answer.status == 503

    run(scenario())


# Guards against a caller that gets the requests of others refused.
@pytest.mark.parametrize("path", ["/plain/x", "/lookup/x", "/stream/x"])
def test_other_requests_and_other_callers_are_served(run, path):
    async def scenario():
        async with crashing_servers() as servers:
            await crash_three(servers, path)
            for _ in range(INSTANCES):
                assert (await servers.send(path, b"sound")).status == 200
            known = servers.crashes
            answer = await servers.send(path, CRASHING, caller=OTHER_CALLER)
            assert answer.status != 503
            assert servers.crashes > known

    run(scenario())
