"""Crowds of hostile clients at the listeners of an instance, which is a process."""

import asyncio
import sys
import time
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path

import pytest
from tornado.web import Application

from magnoliatrail.cells.fleet_layout import LAYOUT_KEY
from magnoliatrail.generated.cells import LayoutRow
from magnoliatrail.listeners import listen
from magnoliatrail.platform.protocol import CELLS_TABLE, READY_PATH
from magnoliatrail.platform.settings_file import METRICS_PORT
from magnoliatrail.standins.row_store import RowStoreState, row_store_application
from magnoliatrail.wire import encode
from tests.platform.rig import configuration, read_answer
from tests.processes.crowd import LOADS
from tests.soak.processes import Instance
from tests.soak.servers import PlainHandler, PlainState

pytestmark = pytest.mark.processes

MEMORY_MB = 200
LIMITS = f"[limits]\nmemory_mb = {MEMORY_MB}\nfile_descriptors = 4100\n"
# The requirement on the readiness address during each load.
READINESS_SECONDS = 0.5
SECONDS = 5
AT_OTHER_LISTENERS = [
    "almost_whole",
    "over_the_limit",
    "many_fields",
    "endless_head",
    "pipelined",
    "half_head",
]
CALLER_INTERVAL_SECONDS = 0.1
START_SECONDS = 20


@dataclass
class Served:
    """What ordinary clients saw during a load."""

    statuses: list = field(default_factory=list)
    readiness_seconds: list = field(default_factory=list)


class Target:
    """An instance as a process, before a stand-in store and a plain server."""

    def __init__(self, directory, source=None):
        self.store = RowStoreState()
        rows = listen(row_store_application(self.store), host="127.0.0.1")
        self.state = PlainState("plain-0", 1, seconds=0.01)
        handler = ("/(.*)", PlainHandler, {"state": self.state})
        plain = listen(
            Application([handler], log_function=lambda item: None), host="127.0.0.1"
        )
        self.listeners = [rows, plain]
        self.store.put(CELLS_TABLE, LAYOUT_KEY, encode(LayoutRow(cells=1)))
        address = {"address": f"127.0.0.1:{plain.port}"}
        self.store.put_json("servers", "plain-0", {**self.state.row, **address})
        limits = {"limits": {"body_bytes": 4_194_304, "header_bytes": 16_384}}
        self.store.put_json("op", "config", {**configuration(), **limits})
        self.instance = Instance(0, f"127.0.0.1:{rows.port}", directory, more=LIMITS)
        self.instance.source = source
        self.requests = 0

    async def ask(self, body=b"0123456789"):
        """Send an ordinary request, whose body comes in two packets."""
        self.requests += 1
        return await ask(self.instance, "/plain/x", f"ordinary-{self.requests}", body)

    async def until_served(self):
        """Wait until the instance serves callers."""
        async with asyncio.timeout(START_SECONDS):
            while True:
                try:
                    if (await self.ask()).status == 200:
                        return
                except (OSError, asyncio.IncompleteReadError):
                    pass
                await asyncio.sleep(0.1)

    @property
    def peak_memory_mb(self):
        """Return the peak memory of the process, in MB."""
        status = Path(f"/proc/{self.instance.popen.pid}/status").read_text()
        line = next(item for item in status.splitlines() if "VmHWM" in item)
        return int(line.split()[1]) * 1024 / 1e6

    @property
    def is_alive(self):
        return self.instance.popen.poll() is None


async def ask(instance, path, request, body):
    """Send a request whose body comes in two packets, and return its answer."""
    reader, writer = await asyncio.open_connection(instance.ip, instance.callers_port)
    fields = [
        f"POST {path} HTTP/1.1",
        "Host: app.example",
        f"Magnoliatrail-Request-Id: {request}",
        "Magnoliatrail-Deadline-Milliseconds: 8000",
        f"Content-Length: {len(body)}",
    ]
    try:
        half = len(body) // 2
        writer.write("\r\n".join([*fields, "", ""]).encode() + body[:half])
        await writer.drain()
        await asyncio.sleep(0.01)
        writer.write(body[half:])
        return await read_answer(reader)
    finally:
        writer.close()


async def probe(instance):
    """Return the seconds until the readiness address answers a new connection."""
    began = time.monotonic()
    reader, writer = await asyncio.open_connection(instance.ip, instance.ready_port)
    try:
        writer.write(f"GET {READY_PATH} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        assert b" 200 " in await reader.readline()
    finally:
        writer.close()
    return time.monotonic() - began


async def watch(target, served, body):
    """Send ordinary requests and probes until cancelled."""

    async def call():
        try:
            answer = await target.ask(body)
            served.statuses.append(answer.status)
        except (OSError, asyncio.IncompleteReadError) as error:
            served.statuses.append(repr(error))

    async def check():
        try:
            served.readiness_seconds.append(await probe(target.instance))
        except (OSError, AssertionError):
            served.readiness_seconds.append(float("inf"))

    async with asyncio.TaskGroup() as tasks:
        while True:
            tasks.create_task(call())
            tasks.create_task(check())
            await asyncio.sleep(CALLER_INTERVAL_SECONDS)


@asynccontextmanager
async def running(directory, source=None):
    """Run an instance until the block ends."""
    target = Target(directory, source)
    try:
        target.instance.start()
        await target.until_served()
        yield target
    finally:
        target.instance.kill()
        for listener in target.listeners:
            listener.server.stop()


async def play(
    target,
    load,
    *,
    port,
    connections,
    path="/plain/x",
    seconds=SECONDS,
    body=b"0123456789",
):
    """Play a crowd in a process of its own; return what ordinary clients saw."""
    served = Served()
    command = ["-m", "tests.processes.crowd", load, target.instance.ip, str(port)]
    crowd = await asyncio.create_subprocess_exec(
        sys.executable, *command, path, str(connections), str(seconds)
    )
    watching = asyncio.create_task(watch(target, served, body))
    try:
        async with asyncio.timeout(seconds + 5):
            await crowd.wait()
    finally:
        if crowd.returncode is None:
            crowd.kill()
            await crowd.wait()
        watching.cancel()
        await asyncio.wait([watching])
    return served


def check(target, served):
    """Check what holds during and after each load."""
    assert target.is_alive
    assert target.peak_memory_mb < MEMORY_MB
    assert served.statuses
    assert served.statuses.count(200) >= 0.9 * len(served.statuses), served.statuses
    assert max(served.readiness_seconds) < READINESS_SECONDS


# Guards against a crowd that makes a process hold more memory than its machine has, or
# keeps it from serving others. 60 connections made it hold 296 MB.
@pytest.mark.parametrize("load", sorted(LOADS))
def test_callers_are_served_beside_a_crowd(run, tmp_path, load):
    async def scenario():
        async with running(tmp_path) as target:
            port = target.instance.callers_port
            check(target, await play(target, load, port=port, connections=240))

    run(scenario())


# Guards against bodies that are kept though no route matches.
@pytest.mark.parametrize("load", ["almost_whole", "tiny_chunks", "over_the_limit"])
def test_callers_are_served_beside_a_crowd_without_a_route(run, tmp_path, load):
    async def scenario():
        async with running(tmp_path) as target:
            port = target.instance.callers_port
            served = await play(
                target, load, port=port, path="/none/x", connections=120
            )
            check(target, served)

    run(scenario())


# Guards against crowds at the listeners that callers should not use.
@pytest.mark.parametrize("listener", ["peers", "readiness", "metrics"])
@pytest.mark.parametrize("load", AT_OTHER_LISTENERS)
def test_callers_are_served_beside_a_crowd_at_another_listener(
    run, tmp_path, load, listener
):
    async def scenario():
        async with running(tmp_path) as target:
            ports = {
                "peers": target.instance.peer_port,
                "readiness": target.instance.ready_port,
                "metrics": METRICS_PORT,
            }
            served = await play(
                target, load, port=ports[listener], connections=120, seconds=3
            )
            check(target, served)

    run(scenario())


# Guards against large bodies that leave no memory to the usual ones.
def test_callers_with_bodies_of_60_kilobytes_are_served_beside_a_crowd(run, tmp_path):
    async def scenario():
        async with running(tmp_path) as target:
            port = target.instance.callers_port
            served = await play(
                target,
                "almost_whole",
                port=port,
                connections=240,
                body=b"x" * 60_000,
            )
            check(target, served)

    run(scenario())
