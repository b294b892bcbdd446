"""Backend servers of a soak run, behind links, which can restart."""

import asyncio
import hashlib
import json
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, cast

from tornado.http1connection import HTTP1Connection
from tornado.iostream import IOStream
from tornado.web import Application, RequestHandler

from magnoliatrail.listeners import Listener, listen
from magnoliatrail.standins.platform_engine import (
    PlatformEngineState,
    platform_engine_application,
)
from magnoliatrail.standins.row_store import RowStoreState, drop_connection
from tests.soak.links import FaultyLink

MODEL = "base"
EVENTS = 12
EVENT_SECONDS = 0.01
FENCED = 412
CRASH_SECONDS = 0.5
HEARTBEAT_SECONDS = 1.0
# What another writer may leave among the rows of the servers.
ODD_ROW = {"service": "desk", "zone": "zone-a", "state": "ready", "born": 1}
ODD_ROWS = [
    b"\xff",
    b"[" * 100_000,
    b'{"x": ' + b"[" * 100_000 + b"]" * 100_000 + b"}",
    json.dumps({**ODD_ROW, "address": "127.0.0.1:99999"}).encode(),
    json.dumps({**ODD_ROW, "address": "no\0host:80"}).encode(),
    json.dumps({**ODD_ROW, "address": "127.0.0.1:1", "remaining_ms": 1e300}).encode(),
    json.dumps({**ODD_ROW, "address": "127.0.0.1:1", "slots": -5}).encode(),
]


class Departure(Enum):
    """How the rows of a server say that it leaves."""

    DRAINING = "draining"
    # The row is removed while the server still serves.
    REMOVED = "removed"
    # The row has another field that can't be used.
    ODD_ROW = "odd_row"
    # A row from before comes late, until the next heartbeat.
    LATE_HEARTBEAT = "late_heartbeat"
    EARLIER_RUN = "earlier_run"


@dataclass(frozen=True)
class OrderSeen:
    """One order as it arrived at an engine."""

    at: float
    holder: str
    fencing_number: int


@dataclass
class CheckedEngine(PlatformEngineState):
    """An engine that records who orders, and refuses falling fencing numbers."""

    orders_seen: list[OrderSeen] = field(default_factory=list)
    # When the engine crashed by a part of a prompt, and what restarts it then.
    crashed_by_part_at: float | None = None
    on_crash: Callable[[], None] = lambda: None

    def event_data(self, number: int, body: bytes) -> bytes:
        """Return data that tells the engine's software version."""
        return event_data(self.version, number, body)

    def crash(self) -> None:
        """Crash by a part of a prompt, and let the engine be restarted."""
        if not self.ended:
            self.crashed_by_part_at = asyncio.get_running_loop().time()
            self.on_crash()
        super().crash()

    def apply_order(self, order: dict[str, Any]) -> int:
        """Record an order, and apply it unless a newer owner has ordered."""
        now = asyncio.get_running_loop().time()
        seen = OrderSeen(now, order["holder"], int(order["fencing_token"]))
        newest = max((item.fencing_number for item in self.orders_seen), default=0)
        self.orders_seen.append(seen)
        if seen.fencing_number < newest:
            return FENCED
        return super().apply_order(order)


@dataclass
class PlainState:
    """State of a plain server."""

    id: str
    born: int
    ran: list[str] = field(default_factory=list)
    seconds: float = 0.1
    # Runs requests, then closes their connections without an answer.
    loses_answers: bool = False
    # Refuses every third request, and writes refusals once more on their connections.
    repeats_refusals: bool = False
    # Says in all answers that it leaves.
    leaving: bool = False
    received: int = 0
    # When which requests arrived.
    arrivals: list[tuple[float, str]] = field(default_factory=list)
    # The last refusal that each connection carried.
    refusals: dict[IOStream, bytes] = field(default_factory=dict)

    @property
    def row(self) -> dict[str, object]:
        """Return the server's row in the store, without its address."""
        return {
            "service": "desk",
            "zone": "zone-a",
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "born": self.born,
        }


class PlainHandler(RequestHandler):
    """Run one request, and answer with a digest of its body."""

    def initialize(self, state: PlainState) -> None:
        """Set the server's state."""
        self.state = state
        if state.leaving:
            self.set_header("Server-Leaving", "1")

    async def post(self, path: str) -> None:
        """Answer a request after it has run."""
        del path
        request = self.request.headers.get("Magnoliatrail-Request-Id", "")
        now = asyncio.get_running_loop().time()
        self.state.arrivals.append((now, request))
        if self.state.repeats_refusals and await self.refuse(request):
            return
        self.state.ran.append(request)
        await asyncio.sleep(self.state.seconds)
        if self.state.loses_answers:
            drop_connection(self.request)
            return
        self.set_header("Magnoliatrail-Request-Id", request)
        self.set_header("Magnoliatrail-Response-Signature", f"signed-{request}")
        self.finish(plain_answer(self.request.body))

    async def refuse(self, request: str) -> bool:
        """Write the connection's last refusal again; refuse every third request."""
        stream = cast(HTTP1Connection, self.request.connection).stream
        earlier = self.state.refusals.get(stream)
        if earlier:
            await stream.write(earlier)
        self.state.received += 1
        if self.state.received % 3:
            return False
        head = f"Magnoliatrail-Request-Id: {request}\r\nMagnoliatrail-Not-Executed: 1"
        refusal = f"HTTP/1.1 503 Busy\r\n{head}\r\nContent-Length: 0\r\n\r\n"
        self.state.refusals[stream] = refusal.encode()
        self.set_status(503)
        self.set_header("Magnoliatrail-Request-Id", request)
        self.set_header("Magnoliatrail-Not-Executed", "1")
        self.finish()
        return True


def plain_answer(body: bytes) -> bytes:
    """Return the answer of a plain server to a body."""
    return hashlib.sha256(body).hexdigest().encode()


def event_data(version: str, number: int, body: bytes) -> bytes:
    """Return the data of one event of the stream for a body."""
    return b"%s %d %s" % (version.encode(), number, body)


def stream_answer(body: bytes, version: str = "v1", *, after: int = 0) -> bytes:
    """Return the stream that an engine sends for a body after an event."""
    return b"".join(
        b"id: %d\ndata: %s\n\n" % (number, event_data(version, number, body))
        for number in range(after + 1, EVENTS + 1)
    )


class Server:
    """A backend server with a fixed address, whose runs follow each other."""

    def __init__(
        self, name: str, store: RowStoreState, *, engine: bool, version: str = "v1"
    ) -> None:
        self.name = name
        self.store = store
        self.is_engine = engine
        self.version = version
        self.event_seconds = EVENT_SECONDS
        self.link = FaultyLink()
        self.runs: list[CheckedEngine | PlainState] = []
        self.listener: Listener | None = None
        self.listed = "ready"
        # When rows first said that runs leave or are gone, and when runs first said so.
        self.unlisted_at: dict[str, float] = {}
        self.said_at: dict[str, float] = {}
        self.breaks = False
        self.crashing_part = ""
        self.restarts: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Start the first run behind the link."""
        await self.link.open(0)
        self.start_run()

    def start_run(self) -> None:
        """Start a run with nothing loaded, and list it."""
        born = len(self.runs) + 1
        if self.is_engine:
            state: CheckedEngine | PlainState = CheckedEngine(
                self.name,
                born=born,
                adapter_slots=4,
                models={MODEL},
                events=EVENTS,
                event_seconds=self.event_seconds,
                version=self.version,
                crashing_part=self.crashing_part,
                on_crash=self.restart_crashed,
            )
            assert isinstance(state, CheckedEngine)
            application = platform_engine_application(state)
        else:
            state = PlainState(self.name, born)
            application = Application(
                [("/(.*)", PlainHandler, {"state": state})],
                log_function=lambda handler: None,
            )
        self.runs.append(state)
        self.listener = listen(application, host="127.0.0.1")
        self.link.target_port = self.listener.port
        self.list_as("ready")

    def set_crashing_part(self, part: str) -> None:
        """Let this and later runs of an engine crash on a part, or on none."""
        self.crashing_part = part
        state = self.runs[-1]
        if isinstance(state, CheckedEngine):
            state.crashing_part = part

    def set_repeating_refusals(self, repeats: bool) -> None:
        """Let this run of a plain server refuse and repeat its refusals, or not."""
        state = self.runs[-1]
        if isinstance(state, PlainState):
            state.repeats_refusals = repeats

    def set_event_seconds(self, seconds: float) -> None:
        """Set the time between events of this and later runs of an engine."""
        self.event_seconds = seconds
        state = self.runs[-1]
        if isinstance(state, CheckedEngine):
            state.event_seconds = seconds

    def restart_crashed(self) -> None:
        """End the crashed run, and start the next one after a while."""
        task = asyncio.create_task(self.restart_after(CRASH_SECONDS))
        self.restarts.add(task)
        task.add_done_callback(self.restarts.discard)

    async def restart_after(self, seconds: float) -> None:
        """End a run, and start another one unless something else does."""
        self.stop_run()
        await asyncio.sleep(seconds)
        if self.listener is None and self.listed == "ready":
            self.start_run()

    def break_answers(self, variant: int) -> None:
        """Let the answers of the current run break off, in one of several ways."""
        self.breaks = True
        state = self.runs[-1]
        if isinstance(state, PlainState):
            state.loses_answers = True
            return
        state.break_after_events = variant % EVENTS
        state.break_inside_event = variant % 2 == 0
        # Without framing, only a break inside an event can be told from the end.
        state.unframed = variant % 4 == 0

    def mend_answers(self) -> None:
        """Let the answers of the current run be complete again."""
        self.breaks = False
        state = self.runs[-1]
        if isinstance(state, PlainState):
            state.loses_answers = False
            return
        state.break_after_events = None
        state.break_inside_event = state.unframed = False

    def stop_run(self) -> None:
        """End the current run as a crash does."""
        if self.listener:
            self.listener.server.stop()
        self.listener = None
        self.link.target_port = 0
        self.link.reset()

    @property
    def run_name(self) -> str:
        """Return the name of the current run."""
        return f"{self.name} run {self.runs[-1].born}"

    def say_leaving(self) -> None:
        """Let all further answers of the current run say that it leaves."""
        self.runs[-1].leaving = True
        self.said_at.setdefault(self.run_name, asyncio.get_running_loop().time())

    def list_as(self, listed: str, **fields: object) -> None:
        """Write the server's row, or remove it if it is not listed."""
        self.listed = listed
        if listed != "ready":
            now = asyncio.get_running_loop().time()
            self.unlisted_at.setdefault(self.run_name, now)
        if not listed:
            self.store.put("servers", self.name, None)
            return
        self.write_row(state=listed, **fields)

    def write_row(self, **fields: object) -> None:
        """Write a row with some other fields, whatever the server was listed as."""
        row = {**self.runs[-1].row, "address": self.link.address, **fields}
        self.store.put("servers", self.name, json.dumps(row).encode())

    async def write_departure(self, departure: Departure) -> None:
        """Write that the current run leaves, in one of several ways."""
        if departure is Departure.REMOVED:
            self.list_as("")
            return
        odd = {"remaining_ms": -1} if departure is Departure.ODD_ROW else {}
        self.list_as("draining", **odd)
        match departure:
            case Departure.LATE_HEARTBEAT:
                self.write_row(state="ready")
            case Departure.EARLIER_RUN:
                self.write_row(state="ready", born=self.runs[-1].born - 1)
        await asyncio.sleep(HEARTBEAT_SECONDS)
        self.list_as("draining", **odd)

    def close(self) -> None:
        """End the server."""
        for task in self.restarts:
            task.cancel()
        self.stop_run()
        self.link.close()
