"""A planned stop of a `forward` process under load: every accepted request is answered.

The balancer sends no new connection from 2.6 s after SIGTERM on, when it has seen two
failed probes; connections that are kept by then stay in use.
"""

import asyncio
import itertools
import signal
import time
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from functools import partial

import pytest

from magnoliatrail.listeners import listen
from magnoliatrail.standins.row_store import RowStoreState, row_store_application
from tests.platform.rig import Rig, configuration, read_answer, route
from tests.soak.processes import Instance

pytestmark = pytest.mark.processes

GRACE_SECONDS = 8.0
BALANCER_SECONDS = 2.6
# The load runs this long before SIGTERM.
LOAD_SECONDS = 1.0
SERVED, REFUSED = 200, 503


SHORT_WORK_SECONDS, LONG_WORK_SECONDS = 0.06, 2.4
LONG_ROUTE_TIMEOUT_MS = 4_000
SHORT_ROUTE_TIMEOUT_MS = 1_400
# Answers of each route before the stop, all of them short.
KNOWN_ANSWERS = 30


async def plain_server(reader, writer, ran=None):
    """Answer each request after its work; add the ids of requests to `ran`."""
    try:
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                fields = dict(line.split(": ", 1) for line in head.split("\r\n")[1:-2])
                fields = {name.title(): value for name, value in fields.items()}
                await reader.readexactly(int(fields.get("Content-Length", 0)))
                name = fields["Magnoliatrail-Request-Id"]
                if ran is not None:
                    ran.add(name)
                is_long = " /long/work" in head.partition("\r\n")[0]
                await asyncio.sleep(
                    LONG_WORK_SECONDS if is_long else SHORT_WORK_SECONDS
                )
                writer.write(
                    b"HTTP/1.1 200 OK\r\nMagnoliatrail-Response-Signature: s\r\n"
                    b"Magnoliatrail-Request-Id: %s\r\nContent-Length: 2\r\n\r\nok"
                    % name.encode()
                )
                await writer.drain()
    finally:
        writer.close()


@dataclass
class Load:
    """Callers of one instance, and what became of their requests."""

    instance: Instance
    stopped_at: float | None = None
    numbers: itertools.count = field(default_factory=itertools.count)
    # Requests without an answer, with the time since SIGTERM and the cause.
    lost: list[str] = field(default_factory=list)
    statuses: list[int] = field(default_factory=list)
    # Answers during the stop without `Connection: close`.
    kept_open: list[str] = field(default_factory=list)
    # The paths of kinds of requests that are not for `/plain/x`.
    paths: dict[str, str] = field(default_factory=dict)
    # The ids of the requests that a server has run.
    ran: set[str] = field(default_factory=set)

    @property
    def since_stop(self) -> float:
        """Return the seconds since SIGTERM, negative before it."""
        return time.monotonic() - self.stopped_at if self.stopped_at else -1.0

    @property
    def balanced(self) -> bool:
        """Return whether the balancer still sends new connections."""
        return self.since_stop < BALANCER_SECONDS

    def request(self, kind, body=b"x", length=None):
        """Return the bytes of a new request."""
        head = (
            f"POST {self.paths.get(kind, '/plain/x')} HTTP/1.1\r\nHost: app.example\r\n"
            f"Magnoliatrail-Request-Id: {kind}-{next(self.numbers)}\r\n"
            "Magnoliatrail-Deadline-Milliseconds: 5000\r\n"
            f"Content-Length: {len(body) if length is None else length}\r\n\r\n"
        )
        return head.encode() + body

    async def connect(self):
        """Open a connection, None if the instance doesn't listen any more."""
        with suppress(ConnectionRefusedError):
            return await asyncio.open_connection(
                self.instance.ip, self.instance.callers_port
            )
        return None

    async def read(self, reader, kind):
        """Read an answer; return whether the connection goes on."""
        sent = self.since_stop
        try:
            async with asyncio.timeout(10):
                answer = await read_answer(reader)
        except (asyncio.IncompleteReadError, OSError, ValueError) as error:
            self.lost.append(f"{kind} read from {sent:.2f} s on: {error!r}")
            return False
        self.statuses.append(answer.status)
        if not answer.whole:
            self.lost.append(f"{kind} read from {sent:.2f} s on: incomplete")
            return False
        if answer.status == REFUSED and b"ends" not in answer.body:
            self.lost.append(f"{kind} at {sent:.2f} s: {answer.body}")
        closes = answer.headers.get("Connection") == "close"
        if sent > 0.1 and not closes:
            self.kept_open.append(f"{kind} at {sent:.2f} s")
        return not closes

    async def ask(self, connection, kind, count=1):
        """Send requests at once; return whether the connection goes on."""
        reader, writer = connection
        goes_on = True
        try:
            writer.write(b"".join(self.request(kind) for _ in range(count)))
            await writer.drain()
        except ConnectionError as error:
            self.lost.append(f"{kind} sent at {self.since_stop:.2f} s: {error!r}")
            return False
        for number in range(count):
            if not goes_on:
                self.lost.append(f"{kind}: closed before answer {number}")
                break
            goes_on = await self.read(reader, kind)
        if not goes_on:
            writer.close()
        return goes_on

    async def keep_asking(self, kind, *, pause, count=1):
        """Use connections again until an answer closes one; open new ones."""
        while self.balanced:
            connection = await self.connect()
            while connection and await self.ask(connection, kind, count):
                await asyncio.sleep(pause)

    async def ask_on_new(self):
        """Open a connection for each request."""
        while self.balanced and (connection := await self.connect()):
            await self.ask(connection, "new")
            connection[1].close()
            await asyncio.sleep(0.02)

    async def idle_connection(self):
        """Return a connection that has carried a request and goes on."""
        connection = await self.connect()
        assert await self.ask(connection, "idle")
        return connection

    async def ask_after_pause(self, connection, seconds):
        """Use a connection again that was idle since before SIGTERM."""
        while self.since_stop < seconds:
            await asyncio.sleep(0.02)
        await self.ask(connection, "idle")
        connection[1].close()

    async def status_after(self, connection, kind, seconds):
        """Use an idle connection some time after SIGTERM; return the status."""
        while self.since_stop < seconds:
            await asyncio.sleep(0.02)
        reader, writer = connection
        writer.write(self.request(kind))
        sent = self.since_stop
        try:
            return (await read_answer(reader)).status
        except (asyncio.IncompleteReadError, OSError) as error:
            self.lost.append(f"{kind} sent at {sent:.2f} s: {error!r}")

    async def ask_late(self):
        """Open connections until the instance doesn't listen any more."""
        while self.balanced:
            await asyncio.sleep(0.02)
        while connection := await self.connect():
            await self.ask(connection, "late")
            connection[1].close()
            await asyncio.sleep(0.02)

    async def send_slowly(self, seconds):
        """Send a body in parts whose last comes after the grace period."""
        connection = await self.connect()
        while self.since_stop < seconds:
            await asyncio.sleep(0.02)
        reader, writer = connection
        writer.write(self.request("slow", length=1000))
        parts = asyncio.create_task(self.send_parts(writer))
        await self.read(reader, "slow")
        parts.cancel()
        writer.close()

    async def send_parts(self, writer):
        """Send a byte of a body every 50 ms."""
        with suppress(ConnectionError):
            for _ in range(999):
                writer.write(b"x")
                await writer.drain()
                await asyncio.sleep(0.05)


@asynccontextmanager
async def forwarding_process(directory):
    """Run one `forward` process that serves; yield its load."""
    store = RowStoreState()
    listener = listen(row_store_application(store), host="127.0.0.1")
    routes = [
        route("plain", "/plain/", "unsafe", "desk"),
        route("short", "/short/", "unsafe", "desk", timeout_ms=SHORT_ROUTE_TIMEOUT_MS),
        route("long", "/long/", "unsafe", "desk", timeout_ms=LONG_ROUTE_TIMEOUT_MS),
    ]
    store.put_json("op", "config", configuration(routes=routes))
    ran = set()
    server = await Rig(store).add_plain("p0", partial(plain_server, ran=ran))
    instance = Instance(0, f"127.0.0.1:{listener.port}", directory)
    try:
        instance.start()
        async with asyncio.timeout(20):
            while not instance.has_started:
                await asyncio.sleep(0.02)
            paths = {"short": "/short/x", "brief": "/long/x", "long": "/long/work"}
            load = Load(instance, paths=paths, ran=ran)
            while load.statuses[-1:] != [SERVED]:
                await asyncio.sleep(0.05)
                load.lost.clear()
                if connection := await load.connect():
                    await load.ask(connection, "first")
                    connection[1].close()
        load.lost.clear()
        load.statuses.clear()
        yield load
    finally:
        instance.kill()
        server.close()
        listener.server.stop()


# Guards against a planned stop that ends connections with requests that were accepted:
# in the queue of the listener, on kept connections, sent ahead, or half read.
def test_a_planned_stop_under_load_leaves_no_request_without_an_answer(run, tmp_path):
    async def scenario():
        async with forwarding_process(tmp_path) as load:
            # Before the load, so that SIGTERM doesn't come before their first answers.
            idle = [await load.idle_connection() for _ in range(3)]
            callers = [
                *(load.keep_asking("kept", pause=0.03) for _ in range(8)),
                *(load.keep_asking("pausing", pause=0.7) for _ in range(4)),
                *(load.keep_asking("ahead", pause=0.05, count=3) for _ in range(4)),
                *(load.ask_on_new() for _ in range(4)),
                *map(load.ask_after_pause, idle, (3.0, 5.0, 6.8)),
                load.ask_late(),
                load.send_slowly(3.0),
                load.send_slowly(6.5),
            ]
            tasks = [asyncio.create_task(caller) for caller in callers]
            await asyncio.sleep(LOAD_SECONDS)
            load.stopped_at = time.monotonic()
            load.instance.signal(signal.SIGTERM)
            code = await load.instance.wait(GRACE_SECONDS)
            await asyncio.gather(*tasks)
        assert load.lost == []
        # A caller that sent ahead learns of the close from the last answer.
        assert [item for item in load.kept_open if "ahead" not in item] == []
        assert code == 0
        assert set(load.statuses) == {SERVED, REFUSED}
        assert load.statuses.count(SERVED) > 200

    run(scenario())


# Guards against a request that comes late in a planned stop, is passed on because the
# answers before it were short, and is cut off at the end; and against refusals of
# requests whose time limit ends before that.
def test_late_requests_are_answered_or_refused_unrun(run, tmp_path):
    async def scenario():
        async with forwarding_process(tmp_path) as load:
            idle = [await load.idle_connection() for _ in range(KNOWN_ANSWERS)]
            for kind in ("short", "brief"):
                for connection in idle:
                    assert await load.ask(connection, kind)
            load.statuses.clear()
            load.stopped_at = time.monotonic()
            load.instance.signal(signal.SIGTERM)
            asked = [("long", seconds) for seconds in (3.0, 4.0, 5.3, 5.7, 5.9)]
            asked += [("short", seconds) for seconds in (3.0, 4.0, 5.0, 5.8)]
            asked += [("brief", seconds) for seconds in (3.0, 4.0, 5.0)]
            statuses = await asyncio.gather(
                *(
                    load.status_after(connection, kind, seconds)
                    for connection, (kind, seconds) in zip(idle, asked, strict=False)
                )
            )
            for _, writer in idle:
                writer.close()
            code = await load.instance.wait(GRACE_SECONDS)
        assert load.lost == []
        long, short, brief = statuses[:5], statuses[5:9], statuses[9:]
        assert long == [SERVED, *[REFUSED] * 4]
        assert short == [SERVED] * 4
        assert brief == [SERVED, REFUSED, REFUSED]
        assert len([name for name in load.ran if "long" in name]) == 1
        assert code == 0

    run(scenario())


# Guards against an instance without callers that waits for its whole grace period.
def test_a_planned_stop_without_connections_ends_early(run, tmp_path):
    async def scenario():
        async with forwarding_process(tmp_path) as load:
            load.instance.signal(signal.SIGTERM)
            return await load.instance.wait(GRACE_SECONDS / 2)

    assert run(scenario()) == 0
