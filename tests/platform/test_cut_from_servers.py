"""Instances that are cut from all servers, while callers and others reach them."""

import asyncio
import socket
from contextlib import asynccontextmanager
from dataclasses import replace
from enum import Enum

import pytest

from magnoliatrail.connections import PooledStream
from magnoliatrail.requests import request_fingerprint
from magnoliatrail.wire import CallFailed
from tests.platform.rig import model, running
from tests.platform.test_server_notices import add_plain_servers, plain_server

ENGINES = 3
# The platform allows this long until a cut is worked round.
STABILITY_SECONDS = 3
PATHS = ["/plain/x", "/lookup/x", "/stream/x"]


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

    def take_idle(self, address, *conditions):
        """Return an idle connection that hangs if the form says so."""
        stream = self.acquire_idle(address, *conditions)
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


async def until_cut(fleet, daemon, path="/plain/x"):
    """Send requests until an instance knows that it is cut."""
    sending = await fleet.send_for(0.5, daemon, path)
    await fleet.rig.until(lambda: daemon.reach.is_cut and daemon.reach.helpers)
    for task in sending:
        task.cancel()


# Guards against an instance that goes on through others, or with probes, for ever.
def test_the_end_of_a_cut_is_found_with_few_probes(run):
    async def scenario():
        async with cut_fleet() as fleet:
            daemon = fleet.rig.daemons[0]
            await fleet.cut(CutForm.RESET, daemon)
            await until_cut(fleet, daemon)
            await fleet.cuts.pop().end()
            opened = daemon.pool.opened
            await fleet.rig.until(lambda: not daemon.reach.is_cut)
            assert daemon.pool.opened - opened <= ENGINES + 2
            assert (await fleet.send(daemon, "/plain/x")).status == 200
            assert not daemon.reach.helpers

    run(scenario())


# Guards against instances that take dead servers for a cut, and relay in a circle.
def test_instances_that_are_all_cut_refuse_requests(run):
    async def scenario():
        async with cut_fleet() as fleet:
            await fleet.cut(CutForm.RESET, *fleet.rig.daemons)
            for daemon in fleet.rig.daemons:
                for _ in range(3):
                    answer = await fleet.send(daemon, "/plain/x")
                    assert answer.status == 503
            await asyncio.sleep(STABILITY_SECONDS / 2)
            assert not any(daemon.reach.is_cut for daemon in fleet.rig.daemons)

    run(scenario())


# Guards against requests that go on from the instance that they were relayed to.
def test_a_relayed_request_goes_one_hop(run):
    async def scenario():
        async with cut_fleet() as fleet:
            first, second, third = fleet.rig.daemons
            await fleet.cut(CutForm.RESET, first, second)
            await until_cut(fleet, second)
            await until_cut(fleet, first)
            helpers = [*second.reach.helpers, *first.reach.helpers]
            assert {item.instance for item in helpers} == {third.settings.instance}
            # The second one is asked nevertheless, and refuses.
            address = second.identity.address
            first.reach.helpers[:] = [replace(helpers[0], address=address)]
            answer = await fleet.send(first, "/plain/x")
            assert answer.status == 503
            assert "Relay-Refused" not in answer.headers

    run(scenario())


# Guards against a request that is run twice as the instance that had it broke off.
@pytest.mark.parametrize("path", PATHS)
def test_a_request_that_a_helper_may_have_run_is_not_sent_again(run, path):
    async def scenario():
        async with cut_fleet() as fleet:
            daemon = fleet.rig.daemons[0]
            await fleet.cut(CutForm.RESET, daemon)
            await until_cut(fleet, daemon)
            reached = []

            async def break_off(reader, writer):
                reached.append(await reader.readuntil(b"\r\n\r\n"))
                writer.close()

            server = await asyncio.start_server(break_off, "127.0.0.1", 0)
            host, port = server.sockets[0].getsockname()
            helper = replace(daemon.reach.helpers[0], address=f"{host}:{port}")
            daemon.reach.helpers = [replace(helper, relayed=-1), *daemon.reach.helpers]
            before = len(fleet.plain)
            answer = await fleet.send(daemon, path)
            server.close()
            assert answer.status == 502
            assert len(reached) == 1
            assert len(fleet.plain) == before

    run(scenario())


# Guards against work that goes on after the caller of a relayed stream has left.
def test_a_relayed_stream_passes_event_by_event_and_ends_with_its_caller(run):
    async def scenario():
        async with cut_fleet() as fleet:
            daemon = fleet.rig.daemons[0]
            for engine in fleet.rig.engines:
                engine.event_seconds, engine.events = 0.1, 100
            await fleet.cut(CutForm.RESET, daemon)
            await until_cut(fleet, daemon)
            host, port = daemon.settings.callers_address.split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            sending = asyncio.create_task(
                fleet.send(daemon, "/stream/x", keep=(writer_only(reader), writer))
            )
            head = await reader.readuntil(b"\r\n\r\n")
            assert b" 200 " in head.partition(b"\r\n")[0]
            assert b"Relay-" not in head
            await reader.readuntil(b"id: 2\n")
            assert not any(engine.abandoned for engine in fleet.rig.engines)
            writer.close()
            sending.cancel()
            await fleet.rig.until(
                lambda: any(engine.abandoned for engine in fleet.rig.engines)
            )

    run(scenario())


def writer_only(reader):
    """Return a reader that never reads, as the test reads the answer itself."""
    del reader
    return asyncio.StreamReader()


# Guards against an owner that keeps cells whose engines it does not reach.
def test_a_cut_owner_gives_its_cells_to_an_instance_that_reaches_engines(run):
    async def scenario():
        async with cut_fleet() as fleet:
            daemons = fleet.rig.daemons
            owner = next(
                item
                for item in daemons
                if any(member.owner for member in item.cells.members.values())
            )
            await fleet.cut(CutForm.RESET, owner)
            await fleet.rig.until(
                lambda: any(
                    member.owner
                    for item in daemons
                    if item is not owner
                    for member in item.cells.members.values()
                )
            )
            assert not any(item.owner for item in owner.cells.members.values())
            answer = await fleet.send(owner, "/stream/x")
            assert (answer.status, answer.whole) == (200, True)

    run(scenario())


# Guards against a quarantine that a request passes by, as another instance sends it.
def test_a_relayed_request_keeps_its_fingerprint(run):
    async def scenario():
        async with cut_fleet() as fleet:
            daemon, *others = fleet.rig.daemons
            await fleet.cut(CutForm.RESET, daemon)
            await until_cut(fleet, daemon)
            headers = {"Api-Key": "one"}
            for path in PATHS:
                target = f"app.example{path}"
                part = request_fingerprint("one\n", "POST", target, b"x")
                for other in others:
                    now = other.clock.monotonic()
                    other.quarantine.rules.enforce(frozenset([part]), now)
                answer = await fleet.send(daemon, path, headers=headers)
                assert answer.status == 503
                assert float(answer.headers["Retry-After"]) > 1

    run(scenario())


# Guards against a cut that no failed connection shows, as idle ones are used up first.
def test_silence_on_old_connections_alone_is_found(run):
    async def scenario():
        async with cut_fleet() as fleet:
            daemon = fleet.rig.daemons[0]
            await asyncio.sleep(0.3)
            await fleet.cut(CutForm.HANG, daemon)
            daemon.pool.on_open = lambda address, opened: None
            sending = asyncio.create_task(fleet.send(daemon, "/lookup/x"))
            await fleet.rig.until(lambda: daemon.reach.is_cut)
            sending.cancel()

    run(scenario())


# Guards against a refusal of a helper that is taken for one of the server it names.
def test_a_refusal_of_a_helper_says_nothing_of_a_server(run):
    async def scenario():
        async with cut_fleet() as fleet:
            daemon, *others = fleet.rig.daemons
            await fleet.cut(CutForm.RESET, daemon)
            await until_cut(fleet, daemon)
            servers = [*daemon.view.servers.values()]
            for other in others:
                for name in ("plain-0", "plain-1"):
                    other.pool.close_address(other.view.servers[name].address)
                    other.view.servers[name] = replace(
                        other.view.servers[name], address="127.0.0.1:1"
                    )
            answer = await fleet.send(daemon, "/plain/x")
            assert answer.status == 503
            assert "Retry-After" in answer.headers
            assert not any(map(daemon.view.refusals.refuses, servers))

    run(scenario())
