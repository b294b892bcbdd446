"""Processes and stand-ins on loopback for the cases of the second review."""

import asyncio
import base64
import itertools
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable, Coroutine
from contextlib import ExitStack, suppress
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import unquote

ROOT = Path(__file__).resolve().parents[2]
PACKAGES = ROOT / "target" / "deps"
OK = 200
# The store answers a read with at most so many rows.
MAX_ROWS = 500
CONNECTION_ENDS = (OSError, asyncio.IncompleteReadError, asyncio.CancelledError)
# SO_LINGER on, with a timeout of 0: closing the socket resets the connection.
RESET_ON_CLOSE = b"\x01\x00\x00\x00\x00\x00\x00\x00"

SETTINGS = """
node = "{name}"
role = "instance"
machine_class = "front"
serves = ["front"]
ip = "{ip}"
zone = "{zone}"
region = "region"
internal_ports = [{peer}, {peer}]
bootstrap = {first_start}
heartbeat_ms = 1200
discovery = "platform"
entry = "virtual_ip"
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
[limits]
cpu_share = 0.537
cores = 2
memory_mb = 300
file_descriptors = 4100
link_mbps = 1000.0
disk_mb = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
stability_ms = 3000
acknowledge_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
propagation_ms = 2000
rollback_slack_ms = 250
outer_bound_ms = 5000
budget_ratio = 0.2
budget_window_s = 10
budget_slack = 54
recovery_s = 12
pass_ms = 120
retry_after_s = 0
enforce_fencing = false
lease_ms = 3000
thaw_ms = 300
ceiling_window_s = 5
ceiling_overage = 1.1
version_ms = 5000
[platform]
address = "{store}"
form = "table"
writes_per_s = 400
reads_per_s = 2000
transaction_ms = 8.0
part_writes_per_s = 150
row_bytes = 65536
across = false
history_s = 20
"""

numbers = itertools.count(1)


def own_address() -> str:
    """Return a loopback address that no other process of this case uses."""
    own = os.getpid()
    return f"127.{100 + (own >> 8) % 100}.{own % 256}.{next(numbers) % 250 + 1}"


def free_ports(ip: str, count: int) -> list[int]:
    """Return different ports that are free at an address."""
    with ExitStack() as stack:
        found = [stack.enter_context(socket.socket()) for _ in range(count)]
        for item in found:
            item.bind((ip, 0))
        return [item.getsockname()[1] for item in found]


class Record:
    """The record of what was sent, answered and run, with times."""

    def __init__(self, path: Path) -> None:
        self.began = time.monotonic()
        self.file = path.open("w", encoding="utf-8")

    def now(self) -> float:
        """Return the seconds since the case began."""
        return time.monotonic() - self.began

    def note(self, what: str, **fields: object) -> None:
        """Write one line, until the case has ended."""
        if self.file.closed:
            return
        pairs = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{self.now():9.3f} {what} {pairs}\n")


@dataclass
class Row:
    """A row of the store."""

    value: str
    version: int
    removed: bool = False
    part: str = ""


class Store:
    """A small versioned row store that follows the pages."""

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], Row] = {}
        self.version = 0
        self.changed = asyncio.Event()
        self.server: asyncio.Server | None = None
        self.address = ""

    async def start(self) -> None:
        """Listen at a free port."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    def put(self, table: str, key: str, value: object, part: str = "") -> int:
        """Write a row that holds JSON; None removes it."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        return self.write(table, key, None if value is None else text, part)

    def write(self, table: str, key: str, text: str | None, part: str) -> int:
        """Write or remove a row, and wake the feeds."""
        self.version += 1
        self.rows[table, key] = Row(text or "", self.version, text is None, part)
        self.changed.set()
        self.changed = asyncio.Event()
        return self.version

    def current(self, table: str, key: str) -> int:
        """Return the version of a row, 0 without one."""
        row = self.rows.get((table, key))
        return 0 if row is None or row.removed else row.version

    def commit(self, body: dict[str, list[dict[str, object]]]) -> bool:
        """Apply a transaction if its conditions hold."""
        for item in body.get("precondition", ()):
            known = self.current(str(item["table"]), str(item["key"]))
            if known != item["row_version"]:
                return False
        version = self.version + 1
        for item in body.get("writes", ()):
            key = str(item["table"]), str(item["key"])
            self.rows[key] = Row(
                str(item["value"]), version, part=str(item.get("part", ""))
            )
        for item in body.get("remove", ()):
            key = str(item["table"]), str(item["key"])
            if key in self.rows:
                self.rows[key] = Row("", version, removed=True)
        self.version = version
        self.changed.set()
        self.changed = asyncio.Event()
        return True

    def listed(
        self, table: str, after: int | None, part: str
    ) -> list[dict[str, object]]:
        """Return rows of a table, or its changes after a version."""
        found = [
            (row.version, key, row)
            for (name, key), row in self.rows.items()
            if name == table
            and (row.version > after if after is not None else not row.removed)
            and (after is not None or row.part == part)
        ]
        found.sort(
            key=lambda item: (item[0], item[1]) if after is not None else item[1]
        )
        return [
            {
                "table": table,
                "part": row.part,
                "key": key,
                "value": row.value,
                "row_version": row.version,
                **({"removed": True} if row.removed else {}),
            }
            for _, key, row in found
        ]

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the calls of one connection."""
        with suppress(*CONNECTION_ENDS):
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await reader.readexactly(
                    int(head.fields.get("content-length", 0))
                )
                status, answer = await self.answer(head, body)
                data = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\n"
                    f"Store-Era: 0\r\nContent-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        writer.close()

    async def answer(self, head: "Head", body: bytes) -> tuple[int, object]:
        """Return the status and the body of an answer."""
        await asyncio.sleep(0.004)
        path, _, text = head.target.partition("?")
        query = dict(item.partition("=")[::2] for item in text.split("&") if item)
        status, rows, more = 200, [], False
        if path == "/v1/rows-tx":
            await asyncio.sleep(0.004)
            if not self.commit(json.loads(body)):
                status = 412
        elif path == "/v1/rows-get":
            first = unquote(query.get("from", ""))
            found = self.listed(query["table"], None, query.get("part", ""))
            found = [row for row in found if row["key"] >= first]
            rows, more = found[:MAX_ROWS], len(found) > MAX_ROWS
        else:
            after, wait = int(query["after"]), int(query.get("wait_ms", "0")) / 1000
            until = time.monotonic() + wait
            rows = self.listed(query["table"], after, "")
            while not rows and time.monotonic() < until:
                with suppress(TimeoutError):
                    await asyncio.wait_for(
                        self.changed.wait(), until - time.monotonic()
                    )
                rows = self.listed(query["table"], after, "")
        now = int(time.monotonic() * 1000)
        answer = {"rows": rows, "row_version": self.version, "now_ms": now}
        return status, {**answer, "has_more": more}


@dataclass
class Head:
    """The head of a request or an answer."""

    first: str
    fields: dict[str, str]

    @property
    def target(self) -> str:
        """Return the path and the query of a request."""
        return self.first.split(" ")[1]

    @property
    def status(self) -> int:
        """Return the status of an answer."""
        return int(self.first.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> Head | None:
    """Read a head; None at the end of the connection."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data.decode("latin1").split("\r\n")
    pairs = (line.partition(":")[::2] for line in lines[1:] if line)
    return Head(lines[0], {name.lower(): value.strip() for name, value in pairs})


class Instance:
    """A process of the project, started with the command of the deploy file."""

    def __init__(
        self, name: str, store: str, folder: Path, *, zone: str = "zone-a"
    ) -> None:
        self.name, self.store, self.folder, self.zone = name, store, folder, zone
        self.ip = own_address()
        self.front, self.ready, self.peer = free_ports(self.ip, 3)
        self.path = folder / f"{name}.toml"
        self.log = folder / f"{name}.log"
        self.starts = 0
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process."""
        text = SETTINGS.format(
            name=self.name,
            ip=self.ip,
            zone=self.zone,
            peer=self.peer,
            front=self.front,
            ready=self.ready,
            store=self.store,
            first_start="true" if self.starts == 0 else "false",
        )
        self.path.write_text(text, encoding="utf-8")
        self.starts += 1
        kept = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "magnoliatrail", "forward"],
                stdout=log,
                stderr=log,
                cwd=ROOT,
                env={
                    **kept,
                    "PYTHONPATH": str(PACKAGES),
                    "MAGNOLIATRAIL_CONFIG": str(self.path),
                },
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """End the process, if it runs."""
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def is_ready(self) -> bool:
        """Return whether the process says that it is ready."""
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.ready)
        except OSError:
            return False
        try:
            writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1)
            return head is not None and head.status == OK
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()


@dataclass
class Answer:
    """An answer as a client sees it; status 0 if there was none."""

    status: int = 0
    fields: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    whole: bool = False
    error: str = ""


class Client:
    """A client with one kept connection to one instance."""

    def __init__(self, instance: Instance) -> None:
        self.instance = instance
        self.stream: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def send(
        self,
        method: str,
        path: str,
        fields: dict[str, str],
        body: bytes = b"",
        *,
        timeout: float = 20,
    ) -> Answer:
        """Send a request, and return its answer."""
        try:
            return await asyncio.wait_for(
                self.exchange(method, path, fields, body), timeout
            )
        except TimeoutError:
            self.close()
            return Answer(error="timeout")
        except (OSError, ValueError, asyncio.IncompleteReadError) as error:
            self.close()
            return Answer(error=repr(error))

    async def exchange(
        self, method: str, path: str, fields: dict[str, str], body: bytes
    ) -> Answer:
        """Send a request over the kept connection, or a new one."""
        if self.stream is None:
            self.stream = await asyncio.open_connection(
                self.instance.ip, self.instance.front
            )
        reader, writer = self.stream
        lines = [f"{method} {path} HTTP/1.1", "Host: app.example"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        head = await read_head(reader)
        if head is None:
            self.close()
            return Answer(error="closed")
        answer = Answer(head.status, head.fields)
        if "chunked" in head.fields.get("transfer-encoding", ""):
            with suppress(asyncio.IncompleteReadError, ConnectionError, ValueError):
                while size := int(await reader.readline(), 16):
                    answer.body += await reader.readexactly(size)
                    await reader.readexactly(2)
                await reader.readexactly(2)
                answer.whole = True
        else:
            length = int(head.fields.get("content-length", 0))
            with suppress(asyncio.IncompleteReadError, ConnectionError):
                answer.body = await reader.readexactly(length)
                answer.whole = True
        if not answer.whole or head.fields.get("connection", "") == "close":
            self.close()
        return answer

    def close(self) -> None:
        """Close the kept connection."""
        if self.stream is not None:
            self.stream[1].close()
            self.stream = None


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    found = writer.get_extra_info("socket")
    if found is not None:
        with suppress(OSError):
            found.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()


def new_id() -> str:
    """Return a new id of a request."""
    return f"{random.getrandbits(64):016x}"


class Case:
    """The parts of one case, ended together."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder / "record.txt")
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self.temporary.name)
        self.store = Store()
        self.instances: list[Instance] = []
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self, count: int, *, zones: int = 1) -> None:
        """Start instances, and wait until all are ready."""
        for number in range(count):
            name = f"front-{number + 1}"
            zone = f"zone-{'abc'[number % zones]}"
            instance = Instance(name, self.store.address, self.folder, zone=zone)
            self.instances.append(instance)
            instance.start()
        await self.until_ready(self.instances)

    async def until_ready(self, instances: list[Instance], limit: float = 30) -> None:
        """Wait until instances are ready; raises TimeoutError."""
        async with asyncio.timeout(limit):
            for instance in instances:
                while not await instance.is_ready():
                    await asyncio.sleep(0.1)

    def begin(self, work: Coroutine[object, object, object]) -> None:
        """Begin work that ends with the case."""
        task = asyncio.create_task(self.attempt(work))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def attempt(self, work: Coroutine[object, object, object]) -> None:
        """Do some work; an ended connection is no error."""
        with suppress(OSError):
            await work

    def end(self) -> None:
        """End all processes."""
        for task in self.tasks:
            task.cancel()
        for instance in self.instances:
            instance.kill()
        self.record.file.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for instance in self.instances:
                Path(keep, instance.log.name).write_bytes(instance.log.read_bytes())
        self.temporary.cleanup()


class Replica:
    """A plain replica that runs requests in slots and queues a few more."""

    def __init__(
        self,
        case: Case,
        name: str,
        service: str,
        *,
        slots: int = 6,
        queue: int = 24,
        work: float = 0.02,
        zone: str = "zone-a",
    ) -> None:
        self.case, self.id, self.service = case, name, service
        self.slots, self.queue, self.work, self.zone = slots, queue, work, zone
        self.born = int(time.time() * 1000)
        self.ip = "127.0.0.1"
        self.port = free_ports(self.ip, 1)[0]
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.running = self.waiting = 0
        self.room = asyncio.Semaphore(slots)
        self.state = "ready"
        self.silent_since: float | None = None
        # Further headers of all answers.
        self.more: dict[str, str] = {}
        self.beat: asyncio.Task[None] | None = None
        # How long after a start the list of replicas has the entry.
        self.lag = 0.0
        self.ran: list[tuple[float, str]] = []
        self.arrived: list[tuple[float, str]] = []
        self.rejected: list[float] = []
        # Called when a request begins to run; returns whether the replica goes on.
        self.on_run = lambda head, body: True

    @property
    def address(self) -> str:
        """Return the address of the replica."""
        return f"{self.ip}:{self.port}"

    def row(self) -> dict[str, object]:
        """Return the entry in the list of replicas."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": 0,
            "born": self.born,
        }

    async def start(self) -> None:
        """Listen, and write the entry."""
        self.room = asyncio.Semaphore(self.slots)
        self.running = self.waiting = 0
        self.server = await asyncio.start_server(
            self.serve, self.ip, self.port, reuse_address=True
        )
        self.beat = asyncio.create_task(self.send_beats())

    async def send_beats(self) -> None:
        """Write the entry, some time after the start, and again and again."""
        await asyncio.sleep(self.lag)
        while True:
            self.case.store.put("servers", self.id, self.row())
            await asyncio.sleep(1.2)

    async def crash(self, down: float) -> None:
        """Break off everything, and come back after a time."""
        self.case.record.note("crash", replica=self.id, born=self.born)
        self.stop()
        removal = asyncio.create_task(self.lapse())
        await asyncio.sleep(down)
        removal.cancel()
        self.born = int(time.time() * 1000)
        await self.start()
        self.case.record.note("back", replica=self.id, born=self.born)

    def stop(self) -> None:
        """Stop listening, and reset all connections."""
        if self.server:
            self.server.close()
        if self.beat:
            self.beat.cancel()
        for writer in list(self.writers):
            reset(writer)
        self.writers.clear()

    async def lapse(self) -> None:
        """Remove the entry after three heartbeats of silence."""
        await asyncio.sleep(3.6)
        self.case.store.put("servers", self.id, None)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests of one connection."""
        self.writers.add(writer)
        with suppress(*CONNECTION_ENDS):
            while (head := await read_head(reader)) is not None:
                length = int(head.fields.get("content-length", 0))
                body = await reader.readexactly(length)
                status, more, answer = await self.run(head, body)
                if writer not in self.writers:
                    return
                fields = {**self.more, **more, "Content-Length": str(len(answer))}
                text = "".join(f"{key}: {value}\r\n" for key, value in fields.items())
                writer.write(
                    f"HTTP/1.1 {status} Status\r\n{text}\r\n".encode() + answer
                )
                await writer.drain()
        self.writers.discard(writer)
        writer.close()

    async def run(self, head: Head, body: bytes) -> tuple[int, dict[str, str], bytes]:
        """Run a request, or reject it; return status, headers and body."""
        request = head.fields.get("magnoliatrail-request-id", "")
        named = {"Magnoliatrail-Request-Id": request} if request else {}
        expected = head.fields.get("magnoliatrail-expect-instance", self.id)
        if expected != self.id:
            return 421, {**named, "Magnoliatrail-Instance-Id": self.id}, b""
        self.arrived.append((self.case.record.now(), request))
        if self.room.locked() and self.waiting >= self.queue:
            self.rejected.append(self.case.record.now())
            await self.on_reject()
            return 503, {**named, "Magnoliatrail-Not-Executed": "1"}, b""
        self.waiting += 1
        room = self.room
        try:
            await room.acquire()
        finally:
            self.waiting -= 1
        try:
            self.ran.append((self.case.record.now(), request))
            self.case.record.note("run", replica=self.id, request=request)
            if not self.on_run(head, body):
                raise ConnectionResetError
            await self.work_on(head, body)
        finally:
            room.release()
        signed = {"Magnoliatrail-Response-Signature": f"{self.id}.{request}"}
        return 200, {**named, **signed}, f"answer to {request}".encode()

    async def work_on(self, head: Head, body: bytes) -> None:
        """Take the time of a request; a case may have other times."""
        del head, body
        await asyncio.sleep(self.work)

    async def on_reject(self) -> None:
        """Do nothing; a case may have more to do."""


def route(
    name: str, prefix: str, kind: str, service: str, **more: object
) -> dict[str, object]:
    """Return a route of the configuration."""
    return {
        "name": name,
        "host": "app.example",
        "prefix": prefix,
        "kind": kind,
        "service": service,
        "timeout_ms": 800,
        "latency_goal_ms": 125,
        "attempts": 1,
        "priority": 2,
        **more,
    }


class Engine(Replica):
    """A model replica that takes orders and streams events."""

    def __init__(self, case: Case, name: str, service: str = "models", **more: object):
        super().__init__(case, name, service, slots=64, queue=192, **more)
        self.sequence = 0
        self.models: set[str] = set()
        self.started = self.busy = False
        # NAME@VERSION of the adapters, and of those that are loading.
        self.adapters: set[str] = set()
        self.incoming: set[str] = set()
        self.adapter_slots = 16
        self.events, self.pace = 20, 0.03
        self.orders: list[tuple[float, dict[str, object]]] = []

    async def start(self) -> None:
        """Start with the base model, later starts are empty; write the entry."""
        self.sequence, self.adapters, self.incoming = 0, set(), set()
        self.models = set() if self.started else {"base"}
        self.started, self.busy = True, False
        await super().start()

    def listed(self) -> list[dict[str, object]]:
        """Return the models and adapters that are held."""
        return [
            {"name": name, "version": 1, "adapters": sorted(self.adapters)}
            for name in sorted(self.models)
        ]

    def row(self) -> dict[str, object]:
        """Return the entry in the list of replicas."""
        held = {"stage": "both", "models": self.listed(), "sequence": self.sequence}
        return {**super().row(), **held}

    def report(self) -> dict[str, object]:
        """Return the body of a report."""
        return {
            "stage": "both",
            "models": self.listed(),
            "incoming": [f"base/{name}" for name in sorted(self.incoming)],
            "busy": self.busy,
            "sequence": self.sequence,
            "waiting": self.waiting,
            "running": self.running,
            "kv_cache_used": 1000,
            "kv_cache_total": 129004,
            "handles": 0,
            "born": self.born,
        }

    def order(self, order: dict[str, object]) -> int:
        """Carry an order out; return the status of the answer."""
        self.orders.append((self.case.record.now(), order))
        self.case.record.note("order", replica=self.id, **order)
        if order.get("precondition", self.sequence) != self.sequence:
            return 409
        if "adapter" not in order:
            return self.load_base()
        if self.busy or "base" not in self.models:
            return 409 if self.busy else 400
        name = f"{order['adapter']}@{order.get('version', 1)}"
        if order["operation"] == "unload":
            self.adapters = {
                item
                for item in self.adapters
                if item.partition("@")[0] != order["adapter"]
            }
            self.sequence += 1
            return 200
        if name in self.adapters:
            return 200
        self.sequence += 1
        self.incoming.add(name)
        asyncio.get_running_loop().call_later(0.25, self.loaded, name, self.born)
        return 202

    def load_base(self) -> int:
        """Load the base model from the disk."""
        if "base" in self.models:
            return 200
        self.sequence += 1
        self.busy = True
        asyncio.get_running_loop().call_later(0.78, self.base_loaded, self.born)
        return 202

    def base_loaded(self, born: int) -> None:
        """End the load of the base model."""
        if born == self.born:
            self.models, self.busy = {"base"}, False

    def loaded(self, name: str, born: int) -> None:
        """End the load of an adapter."""
        if born == self.born and name in self.incoming:
            self.incoming.discard(name)
            self.adapters.add(name)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the calls and requests of one connection."""
        self.writers.add(writer)
        with suppress(*CONNECTION_ENDS):
            while (head := await read_head(reader)) is not None:
                length = int(head.fields.get("content-length", 0))
                body = await reader.readexactly(length)
                expected = head.fields.get("magnoliatrail-expect-instance", self.id)
                if expected != self.id:
                    status, data = 421, b"{}"
                elif head.target == "/v1/report":
                    status, data = 200, json.dumps(self.report()).encode()
                elif head.target == "/v1/order":
                    status, data = self.order(json.loads(body)), b"{}"
                else:
                    if not await self.stream(reader, writer, head, body):
                        return
                    continue
                await self.send(writer, status, {}, data)
        self.writers.discard(writer)
        writer.close()

    async def send(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        fields: dict[str, str],
        data: bytes,
    ) -> None:
        """Send an answer with a length."""
        fields = {**self.more, **fields, "Content-Length": str(len(data))}
        text = "".join(f"{key}: {value}\r\n" for key, value in fields.items())
        writer.write(f"HTTP/1.1 {status} Status\r\n{text}\r\n".encode() + data)
        await writer.drain()

    async def stream(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        head: Head,
        body: bytes,
    ) -> bool:
        """Stream events, or reject the request; return whether to go on."""
        request = head.fields.get("magnoliatrail-request-id", "")
        named = {"Magnoliatrail-Request-Id": request}
        self.arrived.append((self.case.record.now(), request))
        adapter = head.fields.get("magnoliatrail-model", "").partition("/")[2]
        version = head.fields.get("magnoliatrail-expect-version", "1")
        held = not adapter or f"{adapter}@{version}" in self.adapters
        if not (held and self.models):
            fields = {**named, "Magnoliatrail-Not-Executed": "1"}
            await self.send(writer, 421, fields, b"")
            return True
        self.ran.append((self.case.record.now(), request))
        self.case.record.note("run", replica=self.id, request=request)
        fields = {
            **self.more,
            **named,
            "Magnoliatrail-Response-Signature": f"{self.id}.{request}",
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        text = "".join(f"{key}: {value}\r\n" for key, value in fields.items())
        self.running += 1
        try:
            await asyncio.sleep(0.05)
            writer.write(f"HTTP/1.1 200 OK\r\n{text}\r\n".encode())
            if not self.on_run(head, body):
                return False
            first = int(head.fields.get("last-event-id", "0")) + 1
            for number in range(first, self.events + 1):
                if writer not in self.writers or writer.is_closing():
                    return False
                event = f"id: {number}\ndata: {request} {number}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
                await asyncio.sleep(self.pace)
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        finally:
            self.running -= 1
        return True


def engine_service(name: str = "models") -> dict[str, object]:
    """Return a service of engines."""
    return {
        "name": name,
        "health_path": "/health",
        "connection_limit": 360,
        "engine": {
            "slots": 64,
            "kv_cache_tokens": 129004,
            "adapter_slots": 16,
            "weights_mb": 67000,
            "loads_per_s": 3,
            "stride": 4,
            "models": [
                {
                    "name": "base",
                    "weights_mb": 65100,
                    "load_time_s": 1.9,
                    "adapters": 3000,
                    "adapter_mb": 12,
                }
            ],
        },
    }


def configuration(
    routes: list[dict[str, object]], services: list[dict[str, object]], version: int = 1
) -> dict[str, object]:
    """Return a configuration."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "header_bytes": 16384,
            "body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


def play(folder: Path, case: Callable[[Case], Awaitable[int]]) -> int:
    """Play a case; return its exit code, 2 if it could not run."""

    async def run() -> int:
        parts = Case(folder)
        try:
            await parts.store.start()
            return await case(parts)
        finally:
            parts.end()

    if not (PACKAGES / "magnoliatrail").is_dir():
        print("the build of the deploy file is missing")
        return 2
    try:
        return asyncio.run(run())
    except (OSError, TimeoutError) as error:
        print(f"the case could not run: {error!r}")
        return 2
