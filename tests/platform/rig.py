"""Instances on stand-ins of the platform, in one process on loopback."""

import asyncio
import errno
import json
import socket
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from datetime import timedelta

from magnoliatrail.cells.fleet_layout import LAYOUT_KEY
from magnoliatrail.generated.cells import LayoutRow
from magnoliatrail.ids import FailureDomain, InstanceId
from magnoliatrail.listeners import listen
from magnoliatrail.platform.protocol import CELLS_TABLE
from magnoliatrail.platform.settings_file import Bounds, InstanceSettings
from magnoliatrail.platform_daemon import PlatformDaemon
from magnoliatrail.standins.platform_engine import (
    PlatformEngineState,
    platform_engine_application,
)
from magnoliatrail.standins.row_store import RowStoreState, row_store_application
from magnoliatrail.wire import encode

BOUNDS = Bounds(
    propagation=timedelta(seconds=2),
    drain=timedelta(seconds=2),
    grace=timedelta(seconds=8),
    owner_gap=timedelta(seconds=3),
    version=timedelta(seconds=5),
    retry_ratio=0.2,
    retry_slack=54,
    retry_window=timedelta(seconds=10),
)
MODEL = "base"
# As many as a first start decides for the few engines of a rig.
CELLS = 1
WAIT_SECONDS = 20
START_ATTEMPTS = 5


def free_port():
    """Return a port that is free at the moment."""
    with socket.socket() as found:
        found.bind(("127.0.0.1", 0))
        return found.getsockname()[1]


def settings(number, store_address, *, first_start=True):
    """Return the settings of one instance, with free ports."""
    port = free_port()
    return InstanceSettings(
        instance=InstanceId(f"instance-{number}"),
        failure_domain=FailureDomain("zone-a"),
        ip="127.0.0.1",
        callers_address=f"127.0.0.1:{free_port()}",
        ready_address=f"127.0.0.1:{free_port()}",
        peer_ports=(port, port),
        store_address=store_address,
        heartbeat=timedelta(seconds=1),
        file_descriptors=4096,
        cores=1.0,
        link_mbps=1000.0,
        first_start=first_start,
        bounds=BOUNDS,
        metrics_port=0,
    )


def configuration(version=1, routes=None, engine_services=("models",)):
    """Return a configuration with engine services and one plain service."""
    return {
        "version": version,
        "routes": routes
        or [
            route("stream", "/stream/", "streaming", "models"),
            route("plain", "/plain/", "unsafe", "desk"),
            route("lookup", "/lookup/", "safe", "desk", attempts=2),
        ],
        "services": [
            *(
                {
                    "name": name,
                    "engine": {
                        "slots": 8,
                        "kv_cache_tokens": 100_000,
                        "adapter_slots": 4,
                        "weights_mb": 100,
                        "loads_per_s": 3,
                        "stride": 4,
                        "models": [{"name": MODEL, "weights_mb": 90, "adapters": 100}],
                    },
                }
                for name in engine_services
            ),
            {"name": "desk", "connection_limit": 10},
        ],
        "limits": {"body_bytes": 1_000_000},
    }


def route(name, prefix, kind, service, **more):
    """Return a route in the form of the operators' configuration."""
    return {
        "name": name,
        "host": "app.example",
        "prefix": prefix,
        "kind": kind,
        "service": service,
        "timeout_ms": 15_000,
        "latency_goal_ms": 8_000,
        **more,
    }


@dataclass
class Answer:
    status: int
    headers: dict
    body: bytes
    whole: bool


@dataclass
class Rig:
    store: RowStoreState
    first_start: bool = False
    daemons: list = field(default_factory=list)
    engines: list = field(default_factory=list)
    listeners: list = field(default_factory=list)

    async def start_instance(self, number, store_address):
        """Start an instance, with other ports if a process took one of its ports."""
        for attempt in range(1, START_ATTEMPTS + 1):
            daemon = PlatformDaemon(
                settings(number, store_address, first_start=self.first_start)
            )
            # Longer than a window ago, so that the retry budget has its slack.
            daemon.forwarding_context.started_at -= BOUNDS.retry_window
            try:
                await daemon.start()
            except OSError as error:
                await close(daemon)
                if error.errno != errno.EADDRINUSE or attempt == START_ATTEMPTS:
                    raise
            else:
                self.daemons.append(daemon)
                return

    async def until(self, condition):
        """Wait until a condition holds."""
        async with asyncio.timeout(WAIT_SECONDS):
            while not condition():
                await asyncio.sleep(0.01)

    def add_engine(self, state):
        """Start a stand-in engine and write its row."""
        listener = listen(platform_engine_application(state), host="127.0.0.1")
        self.listeners.append(listener)
        self.engines.append(state)
        self.list_engine(state, f"127.0.0.1:{listener.port}")

    def list_engine(self, state, address):
        """Write an engine's row."""
        self.store.put_json("servers", state.id, {**state.row, "address": address})

    def store_ids(self):
        """Return the ids of the listed servers."""
        return {row["key"] for row in self.store.list_rows("servers")}

    def add_plain(self, name, handler):
        """Start a plain server with a connection handler, and write its row."""

        async def start():
            server = await asyncio.start_server(handler, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            row = {
                "service": "desk",
                "zone": "zone-a",
                "slots": 6,
                "state": "ready",
                "born": 1,
                "address": f"127.0.0.1:{port}",
            }
            self.store.put_json("servers", name, row)
            return server

        return start()

    async def send(self, daemon, path, *, request, headers=None, body=b"x", keep=None):
        """Send a request to an instance and read its whole answer."""
        host, port = daemon.settings.callers_address.split(":")
        reader, writer = keep or await asyncio.open_connection(host, int(port))
        fields = {
            "Host": "app.example",
            "Magnoliatrail-Request-Id": request,
            "Magnoliatrail-Deadline-Milliseconds": "15000",
            "Content-Length": str(len(body)),
            **(headers or {}),
        }
        head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        writer.write(f"POST {path} HTTP/1.1\r\n{head}\r\n".encode() + body)
        answer = await read_answer(reader)
        if not keep:
            writer.close()
        return answer


async def read_answer(reader):
    """Read one answer according to its transfer encoding or content length."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    lines = head.split("\r\n")
    fields = dict(line.split(": ", 1) for line in lines[1:] if line)
    fields = {name.title(): value for name, value in fields.items()}
    body, whole = b"", False
    with suppress(asyncio.IncompleteReadError, ConnectionError, ValueError):
        if fields.get("Transfer-Encoding") == "chunked":
            while size := int(await reader.readline() or b"", 16):
                body += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readexactly(2)
        else:
            body = await reader.readexactly(int(fields.get("Content-Length", 0)))
        whole = True
    return Answer(int(lines[0].split()[1]), fields, body, whole)


@asynccontextmanager
async def running(*, instances=1, engines=1, first_start=False):
    """Run instances with a stand-in store and engines.

    The fleet started before, so its layout is stored: a first start first waits for
    seconds until no more engines appear.
    """
    store = RowStoreState()
    listener = listen(row_store_application(store), host="127.0.0.1")
    rig = Rig(store, first_start, listeners=[listener])
    store.put_json("op", "config", configuration())
    if not first_start:
        store.put(CELLS_TABLE, LAYOUT_KEY, encode(LayoutRow(cells=CELLS)))
    for number in range(engines):
        rig.add_engine(
            PlatformEngineState(
                f"engine-{number}", born=1, adapter_slots=4, models={MODEL}
            )
        )
    try:
        for number in range(instances):
            await rig.start_instance(number, f"127.0.0.1:{listener.port}")
        await rig.until(lambda: all(is_settled(daemon) for daemon in rig.daemons))
        yield rig
    finally:
        for daemon in rig.daemons:
            await close(daemon)
        for item in rig.listeners:
            item.server.stop()
        await asyncio.sleep(0)


def is_settled(daemon):
    """Return whether an instance knows both tables, and all owners answer it."""
    members = daemon.cells.members.values()
    knows_tables = daemon.view.routes is not None and daemon.view.lists_servers
    alive = all(item.link.is_alive for item in members)
    return knows_tables and bool(members) and alive


async def close(daemon):
    """Stop an instance at once without a drain, as a kill does."""
    await daemon.tasks.cancel()
    for listener in daemon.listeners:
        listener.server.stop()
        await asyncio.wait([asyncio.ensure_future(listener.close())], timeout=0.5)
    daemon.pool.close()


def model(adapter=""):
    """Return the headers of a request for an adapter."""
    return {
        "Magnoliatrail-Model": f"{MODEL}/{adapter}" if adapter else MODEL,
        "Magnoliatrail-Token-Counts": "100,20",
    }


def decoded(row):
    """Decode a row's JSON value."""
    return json.loads(row)
