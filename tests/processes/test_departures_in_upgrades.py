"""Servers that leave while instances of this build run beside those that landed."""

import asyncio
import base64
import json
from contextlib import asynccontextmanager
from datetime import timedelta
from functools import partial

import pytest

from tests.platform.rig import BOUNDS
from tests.platform.test_server_notices import LEAVING, plain_server
from tests.processes.test_upgrade import build_of, mixed_fleet

# Commits that may be in production while this one is introduced.
LANDED = ["7061dc2", "a613220", "26b9d57"]
REQUESTS = 60
AFTER_BOUND = (BOUNDS.drain + timedelta(seconds=0.1)).total_seconds()
THIS = None


@pytest.fixture(scope="module", params=LANDED)
def landed(request, tmp_path_factory):
    """Return the folder of the package of a build that has landed."""
    return build_of(request.param, tmp_path_factory.mktemp(request.param))


@asynccontextmanager
async def plain_servers(store, **handlers):
    """Serve plain servers, and list them."""
    servers = []
    try:
        for name, handler in handlers.items():
            server = await asyncio.start_server(handler, "127.0.0.1", 0)
            servers.append(server)
            port = server.sockets[0].getsockname()[1]
            row = {
                "service": "desk",
                "address": f"127.0.0.1:{port}",
                "zone": "zone-a",
                "state": "ready",
                "born": 1,
                "slots": 8,
            }
            store.put_json("servers", name, row)
        yield
    finally:
        for server in servers:
            server.close()


def write_state(store, name, state):
    """Write the row of a server with another state."""
    row = json.loads(base64.b64decode(store.tables["servers"][name].value))
    store.put_json("servers", name, {**row, "state": state})


async def send(fleet, instance, count):
    """Send requests to the plain service, and return how many were answered."""
    answers = [await fleet.ask(instance, "/plain/x") for _ in range(count)]
    return sum(answer is not None and answer.status == 200 for answer in answers)


async def uses(fleet, instance, requests):
    """Return whether an instance sends any requests to a server."""
    requests.clear()
    for _ in range(REQUESTS):
        await send(fleet, instance, 1)
        if requests:
            return True
    return False


def builds_of(landed, reader):
    """Return the builds of a fleet; the first instance reads the store for all."""
    return [landed, landed, THIS] if reader == "landed" else [THIS, landed, THIS]


async def check_departure(fleet, leaving, staying, builds, depart):
    """Check that instances of this build send nothing long after a departure."""
    for instance in fleet.instances:
        await fleet.until(partial(uses, fleet, instance, leaving))
    await depart()
    await asyncio.sleep(AFTER_BOUND)
    for instance, build in zip(fleet.instances, builds, strict=True):
        if build is THIS:
            leaving.clear()
            staying.clear()
            answered = await send(fleet, instance, REQUESTS)
            assert not leaving
            assert answered == len(staying) == REQUESTS


# Guards against requests to a server that had left (DRAIN) in an upgrade: a reader of
# an earlier release that had heard of the departure left its row out of its updates.
@pytest.mark.parametrize("reader", ["landed", "this"])
def test_a_departure_that_the_reader_heard_of_first(run, tmp_path, landed, reader):
    builds = builds_of(landed, reader)
    leaving, staying = [], []
    notices = []

    async def scenario():
        async with (
            mixed_fleet(tmp_path, builds, one_by_one=True) as fleet,
            plain_servers(
                fleet.store,
                leaving=plain_server(leaving, lambda: "".join(notices)),
                staying=plain_server(staying),
            ),
        ):

            async def depart():
                notices.append(LEAVING)
                for instance in fleet.instances[:2]:
                    await fleet.until(partial(uses, fleet, instance, leaving))
                write_state(fleet.store, "leaving", "draining")

            await check_departure(fleet, leaving, staying, builds, depart)

    run(scenario())


# The same after a restart of the reader, which has not seen the removal. The others may
# read the store first; test_table_requests.py has the case without that.
@pytest.mark.parametrize("reader", ["landed", "this"])
def test_a_removal_while_the_reader_restarts(run, tmp_path, landed, reader):
    builds = builds_of(landed, reader)
    leaving, staying = [], []

    async def scenario():
        async with (
            mixed_fleet(tmp_path, builds, one_by_one=True) as fleet,
            plain_servers(
                fleet.store,
                leaving=plain_server(leaving),
                staying=plain_server(staying),
            ),
        ):

            async def depart():
                first = fleet.instances[0]
                first.kill()
                fleet.store.put("servers", "leaving", None)
                first.start()

            await check_departure(fleet, leaving, staying, builds, depart)

    run(scenario())


# Guards against the same for a departure that a late heartbeat replaces in one read.
@pytest.mark.parametrize("reader", ["landed", "this"])
def test_a_departure_before_a_late_heartbeat(run, tmp_path, landed, reader):
    builds = builds_of(landed, reader)
    leaving, staying = [], []

    async def scenario():
        async with (
            mixed_fleet(tmp_path, builds, one_by_one=True) as fleet,
            plain_servers(
                fleet.store,
                leaving=plain_server(leaving),
                staying=plain_server(staying),
            ),
        ):

            async def depart():
                write_state(fleet.store, "leaving", "draining")
                write_state(fleet.store, "leaving", "ready")

            await check_departure(fleet, leaving, staying, builds, depart)

    run(scenario())
