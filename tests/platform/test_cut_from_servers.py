"""Instances that are cut from all servers, while callers and others reach them."""

import asyncio
import socket
from contextlib import asynccontextmanager
from datetime import timedelta
from enum import Enum

import pytest

from magnoliatrail.connections import PooledStream
from magnoliatrail.wire import CallFailed
from tests.platform.rig import model, running
from tests.platform.test_server_notices import add_plain_servers, plain_server

ENGINES = 3
# The platform allows this long until a cut is worked round.
STABILITY_SECONDS = 3
PATHS = ["/plain/x", "/lookup/x", "/stream/x"]
SHORT = timedelta(milliseconds=500)


class CutForm(Enum):
    """What becomes of the connections to servers."""

    # New and old connections hang.
    HANG = "hang"
    # Old connections are reset, new ones refused.
    RESET = "reset"
    # Old connections go on, new ones are refused.
    OLD_ONES_LIVE = "old_ones_live"


class Cut:
    """Cut an instance from all servers, in its own pool of connections."""

    def __init__(self, daemon, form):
        self.daemon = daemon
        self.form = form
        self.open, self.acquire_idle = daemon.pool.open, daemon.pool.acquire_idle
        self.black_hole = None
        self.connecting = []

    @property
    def servers(self):
        return {server.address for server in self.daemon.view.servers.values()}

    async def begin(self):
        self.black_hole = await asyncio.start_server(self.swallow, "127.0.0.1", 0)
        if self.form is CutForm.RESET:
            for address in self.servers:
                self.daemon.pool.close_address(address)
        self.daemon.pool.open = self.open_new
        self.daemon.pool.acquire_idle = self.take_idle

    async def swallow(self, reader, writer):
        """Read everything and answer nothing."""
        while await reader.read(1000):
            pass
        writer.close()

    async def open_new(self, address, limit):
        if address not in self.servers:
            return await self.open(address, limit)
        if self.form is CutForm.HANG:
            await asyncio.sleep(limit.total_seconds())
        self.daemon.pool.on_open(address, False)
        raise CallFailed("no connection", sent=False)

    def take_idle(self, address, max_idle=None):
        """Return an idle connection that hangs if the form says so."""
        stream = self.acquire_idle(address, max_idle)
        if stream and self.form is CutForm.HANG and address in self.servers:
            host, port = self.black_hole.sockets[0].getsockname()
            stream.close()
            stream = PooledStream(socket.socket())
            self.connecting.append(stream.connect((host, port)))
        return stream

    async def end(self):
        self.daemon.pool.open = self.open
        self.daemon.pool.acquire_idle = self.acquire_idle
        self.black_hole.close()


class CutFleet:
    """Send requests to instances, some of which are cut from all servers."""

    def __init__(self, rig):
        self.rig = rig
        self.sent = 0
        self.cuts = []
        self.plain = []

    async def cut(self, form, *daemons):
        for daemon in daemons:
            self.cuts.append(Cut(daemon, form))
            await self.cuts[-1].begin()

    async def send(self, daemon, path, **more):
        self.sent += 1
        headers = {**model("a7"), **more.pop("headers", {})}
        return await self.rig.send(
            daemon, path, request=f"r{self.sent}", headers=headers, **more
        )

    async def send_for(self, seconds, daemon, path):
        """Send a request every 100 ms, without waiting for the answers."""
        sending = []
        for _ in range(int(seconds * 10)):
            sending.append(asyncio.create_task(self.send(daemon, path)))
            await asyncio.sleep(0.1)
        return sending


@asynccontextmanager
async def cut_fleet(instances=3):
    """Run instances before engines and plain servers."""
    async with running(instances=instances, engines=ENGINES) as rig:
        fleet = CutFleet(rig)
        await add_plain_servers(
            rig,
            **{f"plain-{number}": plain_server(fleet.plain) for number in range(2)},
        )
        for daemon in rig.daemons:
            for path in PATHS:
                assert (await fleet.send(daemon, path)).status == 200
        try:
            yield fleet
        finally:
            for cut in fleet.cuts:
                await cut.end()


# Guards against an instance that refuses its callers as it reaches no server itself.
@pytest.mark.parametrize("form", CutForm)
@pytest.mark.parametrize("path", PATHS)
def test_an_instance_cut_from_all_servers_serves_through_others(run, form, path):
    async def scenario():
        async with cut_fleet() as fleet:
            daemon = fleet.rig.daemons[0]
            await fleet.cut(form, daemon)
            sending = await fleet.send_for(STABILITY_SECONDS, daemon, path)
            for _ in range(10):
                answer = await fleet.send(daemon, path)
                assert (answer.status, answer.whole) == (200, True), answer.body
            for task in sending:
                task.cancel()

    run(scenario())
