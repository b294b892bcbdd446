"""Instances of the build that landed last and of this one, side by side."""

import asyncio
import io
import json
import os
import signal
import subprocess
import sys
import tarfile
from contextlib import asynccontextmanager
from datetime import timedelta
from functools import partial
from pathlib import Path
from random import Random

import pytest

from magnoliatrail.cells.fleet_layout import LAYOUT_KEY
from magnoliatrail.cells.lease import Identity
from magnoliatrail.cells.table_requests import TableRequests
from magnoliatrail.clock import SystemClock
from magnoliatrail.connections import ConnectionPool
from magnoliatrail.generated import quarantine
from magnoliatrail.generated.cells import LayoutRow
from magnoliatrail.ids import InstanceId, new_incarnation
from magnoliatrail.listeners import listen
from magnoliatrail.membership.fleet_view import FleetView
from magnoliatrail.metrics import NoMetrics
from magnoliatrail.peers.client import PeerClient
from magnoliatrail.peers.connections import PersistentConnections
from magnoliatrail.platform.protocol import (
    CELLS_TABLE,
    OPERATOR_TABLE,
    SERVERS_TABLE,
)
from magnoliatrail.standins.platform_engine import (
    PlatformEngineState,
    platform_engine_application,
)
from magnoliatrail.standins.row_store import RowStoreState, row_store_application
from magnoliatrail.wire import decode, encode
from tests.platform.rig import BOUNDS, MODEL, configuration, model, read_answer, route
from tests.soak.processes import Instance

ROOT = Path(__file__).resolve().parents[2]
# The commit that the platform runs while this one is introduced.
LAST_LANDED = "7061dc2"
INSTANCES = 3
WAIT_SECONDS = 30
EXIT_SECONDS = 20
# Enough for a row that is sent in a compact form.
ROUTES = 200
EVENTS = 400
# Lines that a message or a row of the other build must not cause.
FAULTS = (b"event=task_failed", b"unreadable", b"unusable", b"Traceback")


@pytest.fixture(scope="module")
def last_build(tmp_path_factory):
    """Return the folder of the package of the build that landed last."""
    return build_of(LAST_LANDED, tmp_path_factory.mktemp("last-build"))


def build_of(commit, folder):
    """Return the folder of the package of a build that has landed."""
    found = subprocess.run(
        ["git", "archive", commit, "src"],
        cwd=ROOT,
        capture_output=True,
        check=False,
    )
    if found.returncode:
        pytest.skip(f"{commit} is not in this clone's history")
    with tarfile.open(fileobj=io.BytesIO(found.stdout)) as archive:
        archive.extractall(folder, filter="data")
    source = folder / "src"
    imported = subprocess.run(
        [sys.executable, "-c", "import magnoliatrail; print(magnoliatrail.__file__)"],
        env={**os.environ, "PYTHONPATH": str(source)},
        capture_output=True,
        check=True,
        text=True,
    )
    assert imported.stdout.startswith(str(source))
    return source


class MixedFleet:
    """Instances of two builds before a stand-in store and engines."""

    def __init__(self, directory, builds):
        self.store = RowStoreState()
        self.listener = listen(row_store_application(self.store), host="127.0.0.1")
        self.version = 0
        self.requests = 0
        self.change_configuration()
        self.store.put(CELLS_TABLE, LAYOUT_KEY, encode(LayoutRow(cells=1)))
        self.engines = [
            PlatformEngineState(f"engine-{n}", born=1, models={MODEL}, events=EVENTS)
            for n in range(2)
        ]
        self.listeners = [self.listener]
        for engine in self.engines:
            served = listen(platform_engine_application(engine), host="127.0.0.1")
            self.listeners.append(served)
            address = f"127.0.0.1:{served.port}"
            self.store.put_json(
                "servers", engine.id, {**engine.row, "address": address}
            )
        address = f"127.0.0.1:{self.listener.port}"
        self.instances = [Instance(n, address, directory) for n in range(INSTANCES)]
        for instance, build in zip(self.instances, builds, strict=True):
            instance.source = build

    def change_configuration(self):
        """Add a route."""
        self.version += 1
        routes = [
            route("stream", "/stream/", "streaming", "models", resumable=True),
            route("plain", "/plain/", "unsafe", "desk"),
            *(
                route(f"added-{n}", f"/added-{n}/", "streaming", "models")
                for n in range(ROUTES + self.version)
            ),
        ]
        value = configuration(self.version, routes)
        self.store.put_json("op", "config", value)

    async def until(self, condition):
        """Wait until an awaited condition holds."""
        async with asyncio.timeout(WAIT_SECONDS):
            while not await condition():
                await asyncio.sleep(0.05)

    async def connect(self, instance):
        return await asyncio.open_connection(instance.ip, instance.callers_port)

    async def ask(self, instance, path, *, headers=None):
        """Send a request and return its answer, None if there is none."""
        self.requests += 1
        try:
            reader, writer = await self.connect(instance)
        except OSError:
            return None
        try:
            writer.write(self.request(path, f"request-{self.requests}", headers))
            return await read_answer(reader)
        except (OSError, asyncio.IncompleteReadError):
            return None
        finally:
            writer.close()

    def request(self, path, request_id, headers=None):
        """Return the bytes of a request."""
        fields = {
            "Host": "app.example",
            "Magnoliatrail-Request-Id": request_id,
            "Magnoliatrail-Deadline-Milliseconds": "15000",
            "Content-Length": "1",
            **model(),
            **(headers or {}),
        }
        head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        return f"POST {path} HTTP/1.1\r\n{head}\r\nx".encode()

    async def serves_newest_route(self, instances=INSTANCES):
        """Return whether the first instances serve the route that was added last."""
        path = f"/added-{ROUTES + self.version - 1}/x"
        answers = [await self.ask(item, path) for item in self.instances[:instances]]
        return all(answer is not None and answer.status == 200 for answer in answers)

    async def begin_stream(self, instance, request_id):
        """Begin a stream, and leave it after its first events."""
        reader, writer = await self.connect(instance)
        writer.write(self.request("/stream/x", request_id))
        received = b""
        async with asyncio.timeout(WAIT_SECONDS):
            while b"id: 2" not in received:
                part = await reader.read(4096)
                assert part, received
                received += part
        writer.close()

    async def take_up(self, instance, begun):
        """Take a stream up until it goes on, and return its answer."""
        headers = {"Last-Event-Id": "2", "Resumes": begun}
        answer = None

        async def went_on():
            nonlocal answer
            answer = await self.ask(instance, "/stream/x", headers=headers)
            return answer is not None and answer.status == 200

        await self.until(went_on)
        return answer

    async def replace(self, instance, build):
        """Stop an instance as the platform does, and start it with another build."""
        instance.signal(signal.SIGTERM)
        assert await instance.wait(EXIT_SECONDS) == 0
        instance.source = build
        instance.start()

    def close(self):
        for instance in self.instances:
            instance.kill()
        for listener in self.listeners:
            listener.server.stop()


@asynccontextmanager
async def mixed_fleet(directory, builds, *, one_by_one=False):
    """Run a fleet whose instances start with these builds.

    If they start one by one, the first of them reads the store for all.
    """
    fleet = MixedFleet(directory, builds)
    try:
        for number, instance in enumerate(fleet.instances):
            instance.starts = 1
            instance.start()
            if one_by_one:
                await fleet.until(partial(fleet.serves_newest_route, number + 1))
        yield fleet
    finally:
        fleet.close()


async def check_side_by_side(fleet, label):
    """Check that changes and streams pass between all instances as they are now."""
    for _ in range(3):
        fleet.change_configuration()
    await fleet.until(fleet.serves_newest_route)
    for number, instance in enumerate(fleet.instances):
        begun = f"{label}-{number}"
        await fleet.begin_stream(instance, begun)
        other = fleet.instances[(number + 1) % INSTANCES]
        answer = await fleet.take_up(other, begun)
        assert answer.whole
        assert b"id: 2\n" not in answer.body
        assert b"id: 3\n" in answer.body
        assert b"id: %d\n" % (EVENTS - 1) in answer.body


# Guards against messages and rows that the build before or after cannot read: changes
# of the configuration, streams and take-ups pass while instances are replaced in turn.
@pytest.mark.parametrize("direction", ["upgrade", "rollback"])
def test_two_builds_run_side_by_side(run, tmp_path, last_build, direction):
    first, second = (last_build, None) if direction == "upgrade" else (None, last_build)

    async def scenario():
        async with mixed_fleet(tmp_path, [first] * INSTANCES) as fleet:
            await check_side_by_side(fleet, "before")
            for number, instance in enumerate(fleet.instances):
                await fleet.replace(instance, second)
                await check_side_by_side(fleet, f"replaced-{number}")
            for instance in fleet.instances:
                log = instance.log.read_bytes()
                lines = [ln for ln in log.splitlines() if any(f in ln for f in FAULTS)]
                assert not lines, lines[:5]

    run(scenario())


def table_requests(fleet):
    """Return a sender of requests for tables that knows none."""
    clock = SystemClock()
    pool = ConnectionPool(clock.monotonic)
    token = f"peers-of-127.0.0.1:{fleet.listener.port}"
    return TableRequests(
        clock=clock,
        metrics=NoMetrics(),
        view=FleetView(clock),
        peers=PeerClient(token, PersistentConnections(pool)),
        identity=Identity(InstanceId("asking"), new_incarnation(), "127.0.0.1:1"),
        generator=Random(0),
        addresses=dict,
        max_update_age=timedelta(seconds=2),
        store_answers=lambda: False,
        leaving=lambda: False,
    )


# Guards against requests for tables that instances of one of the two builds don't
# answer, or only the one that owns a cell.
def test_all_instances_of_both_builds_send_their_tables(run, tmp_path, last_build):
    async def scenario():
        async with mixed_fleet(tmp_path, [last_build, last_build, None]) as fleet:
            await fleet.until(fleet.serves_newest_route)
            for instance in fleet.instances:
                requests = table_requests(fleet)
                address = f"{instance.ip}:{instance.peer_port}"
                await requests.ask_one(InstanceId(instance.name), address)
                assert requests.view.routes.version == fleet.version
                assert set(requests.view.servers) == {item.id for item in fleet.engines}
                now = requests.clock.monotonic()
                ages = {
                    name: item.age(now) for name, item in requests.view.tables.items()
                }
                assert ages[OPERATOR_TABLE] < BOUNDS.drain
                # An earlier release may leave out rows of servers, and doesn't say so.
                dates_list = instance.source is None
                assert (ages[SERVERS_TABLE] < BOUNDS.drain) is dates_list

    run(scenario())


# Reads messages in the other build, and writes what it has read.
READ_MESSAGES = """
import sys, msgspec
from magnoliatrail.generated import quarantine
for line in sys.stdin.buffer:
    name, _, body = line.partition(b" ")
    kind = getattr(quarantine, name.decode())
    sys.stdout.buffer.write(msgspec.json.encode(msgspec.json.decode(body, type=kind)))
    sys.stdout.buffer.write(b"\\n")
"""
MESSAGES = [
    quarantine.CrashReports(
        crashes=[
            quarantine.CrashReport(
                server="s",
                born=1,
                age_ms=1.0,
                alive_age_ms=2.0,
                connected_age_ms=3.0,
                prompts=[["first", "bad"]],
            )
        ],
        lifted=[],
    ),
    quarantine.SoundAnswers(
        parts=[quarantine.PartAnswered(part="first", age_ms=1.0)],
        runs=[
            quarantine.RunAnswered(server="s", born=1, age_ms=1.0, connected_age_ms=2.0)
        ],
    ),
    quarantine.QuarantineUpdate(
        groups=[
            quarantine.QuarantinedParts(
                parts=["bad"], age_ms=1.0, trial=True, suspected=True
            )
        ],
        lifted=[["first"]],
    ),
]


# Guards against crash reports and quarantines that one of the two builds can't read.
def test_the_build_before_reads_messages_about_crashes_and_this_one_reads_its(
    last_build,
):
    lines = [
        type(item).__name__.encode() + b" " + encode(item) + b"\n" for item in MESSAGES
    ]
    read = subprocess.run(
        [sys.executable, "-c", READ_MESSAGES],
        env={**os.environ, "PYTHONPATH": str(last_build)},
        input=b"".join(lines),
        capture_output=True,
        check=True,
    )
    answers = read.stdout.splitlines()
    assert len(answers) == len(MESSAGES)
    for message, answer in zip(MESSAGES, answers, strict=True):
        assert json.loads(answer) == json.loads(encode(message))
        assert decode(answer, type(message)).is_ok()
