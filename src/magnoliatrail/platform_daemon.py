"""One instance on the users' platform: its parts, its tasks and its end."""

import asyncio
import random
import time
from collections.abc import Callable
from datetime import timedelta
from functools import partial

from tornado.web import Application, RequestHandler

from magnoliatrail.cells.fleet_cells import FleetCells
from magnoliatrail.cells.lease import Identity
from magnoliatrail.cells.member import CellMember
from magnoliatrail.clock import Clock, SystemClock
from magnoliatrail.connections import ConnectionPool
from magnoliatrail.forwarding.context import ForwardingContext
from magnoliatrail.forwarding.engine_path import EnginePath
from magnoliatrail.forwarding.engine_slots import EngineSlots
from magnoliatrail.forwarding.handler import ForwardingHandler
from magnoliatrail.forwarding.plain_path import PlainPath
from magnoliatrail.forwarding.server import ForwardingServer
from magnoliatrail.ids import CellId, new_incarnation
from magnoliatrail.listeners import Listener, listen
from magnoliatrail.logs import EventLog
from magnoliatrail.membership.fleet_view import FleetView
from magnoliatrail.membership.store_reader import StoreReader
from magnoliatrail.metrics_text import TextMetrics
from magnoliatrail.peers.client import PeerClient
from magnoliatrail.peers.connections import PersistentConnections
from magnoliatrail.peers.server import peer_application
from magnoliatrail.periodic import PeriodicTasks
from magnoliatrail.platform.protocol import READY_PATH
from magnoliatrail.platform.rows import RowStore
from magnoliatrail.platform.settings_file import InstanceSettings
from magnoliatrail.wire import CallLimits

log = EventLog("daemon")

STORE_LIMITS = CallLimits(timedelta(milliseconds=400), timedelta(milliseconds=1200))
METRICS_PATH = "/metrics"
MAX_BODY_BYTES = 8 * 1024 * 1024
# The balancer asks once a second and takes an instance out after two misses.
OUT_OF_ROTATION = timedelta(seconds=2.6)
# After SIGTERM, streams are taken on for this long, as later ones could not end in
# time; other requests until so long before the process would be killed.
LAST_STREAMS = timedelta(seconds=2.4)
LAST_REQUESTS_BEFORE = timedelta(seconds=2)
CLOSING_SECONDS = 0.3
END_MARGIN = timedelta(seconds=0.7)


# Share of the bounds on news up to which a request is decided on it; the rest is for
# the way to the server.
OLDEST_NEWS_SHARE = 0.85
# Processor and link that an owner should have; weaker instances claim later.
OWNER_CORES = 1.0
OWNER_LINK_MBPS = 50.0
WEAK_HANDICAP = timedelta(milliseconds=400)


def weakness(settings: InstanceSettings) -> timedelta:
    """Return how much later an instance claims a lease for lack of means."""
    cores = max(0.0, 1 - settings.cores / OWNER_CORES)
    link = max(0.0, 1 - settings.link_mbps / OWNER_LINK_MBPS)
    return WEAK_HANDICAP * (cores + link)


def oldest_news(settings: InstanceSettings) -> timedelta:
    """Return how old news may be when a request is decided on it."""
    bounds = settings.bounds
    return min(bounds.propagation, bounds.drain) * OLDEST_NEWS_SHARE


class BootClock(SystemClock):
    """Tell a steady time that goes on while the machine is suspended."""

    def monotonic(self) -> timedelta:
        """Return the time since the machine started, suspension included."""
        return timedelta(seconds=time.clock_gettime(time.CLOCK_BOOTTIME))


class TextHandler(RequestHandler):
    """Answer a path with what a function returns."""

    def initialize(self, answer: Callable[[], tuple[int, bytes]]) -> None:
        """Take the function."""
        self.answer = answer

    def get(self) -> None:
        """Answer."""
        status, body = self.answer()
        self.set_status(status)
        self.set_header("Content-Type", "text/plain")
        self.write(body)


def text_application(path: str, answer: Callable[[], tuple[int, bytes]]) -> Application:
    """Return an application with one path."""
    return Application(
        [(path, TextHandler, {"answer": answer})], log_function=lambda handler: None
    )


class PlatformDaemon:
    """Run one instance on the platform."""

    def __init__(
        self, settings: InstanceSettings, *, clock: Clock | None = None
    ) -> None:
        self.settings = settings
        self.clock = clock or BootClock()
        self.metrics = TextMetrics()
        self.generator = random.Random()
        self.pool = ConnectionPool(self.clock.monotonic)
        self.view = FleetView(self.clock)
        self.store = RowStore(self.pool, settings.store_address, STORE_LIMITS)
        self.tasks = PeriodicTasks(self.clock)
        self.token = f"peers-of-{settings.store_address}"
        self.identity = Identity(
            settings.instance,
            new_incarnation(),
            f"{settings.ip}:{settings.peer_ports[0]}",
        )
        self.peers = PeerClient(self.token, PersistentConnections(self.pool))
        self.cells = FleetCells(
            clock=self.clock,
            store=self.store,
            view=self.view,
            generator=self.generator,
            new_member=self.new_member,
            max_update_age=min(settings.bounds.propagation, settings.bounds.drain),
        )
        self.reader = StoreReader(
            clock=self.clock,
            store=self.store,
            view=self.view,
            should_read=self.cells.should_read_store,
        )
        self.parts = ForwardingContext(
            clock=self.clock,
            metrics=self.metrics,
            view=self.view,
            pool=self.pool,
            bounds=settings.bounds,
            generator=self.generator,
            ensure_fresh=partial(self.reader.ensure_fresh, oldest_news(settings)),
        )
        places = EngineSlots(self.parts, self.cells, self.identity)
        engines = EnginePath(self.parts, places)
        self.handler = ForwardingHandler(self.parts, engines, PlainPath(self.parts))
        self.server = ForwardingServer(self.clock, self.handler.handle)
        self.listeners: list[Listener] = []
        self.stopping = False

    def new_member(self, cell: CellId, cells: int) -> CellMember:
        """Return this instance's part in one cell."""
        return CellMember(
            clock=self.clock,
            metrics=self.metrics,
            store=self.store,
            view=self.view,
            pool=self.pool,
            peers=self.peers,
            identity=self.identity,
            generator=self.generator,
            tasks=self.tasks,
            cell=cell,
            cells=cells,
            owner_claim_delay=lambda: (
                self.cells.owner_claim_delay() + weakness(self.settings)
            ),
            store_answers=lambda: not self.reader.failing,
        )

    async def start(self) -> None:
        """Open the listeners and start the tasks; raises OSError."""
        settings = self.settings
        self.listen_at(
            self.identity.address,
            peer_application(self.cells.peer_routes(), self.token),
        )
        self.listen_at(
            settings.ready_address, text_application(READY_PATH, self.readiness)
        )
        metrics = text_application(METRICS_PATH, lambda: (200, self.metrics.text()))
        self.listen_at(f"{settings.ip}:{settings.metrics_port}", metrics)
        for work in (self.reader.run, self.cells.watch_rows, self.watch_instances):
            self.tasks.forever(work)
        self.listen_at(settings.callers_address, self.server)
        log.info(
            "started",
            instance=settings.instance,
            incarnation=self.identity.incarnation,
            callers=settings.callers_address,
            peers=self.identity.address,
            first_start=settings.first_start,
        )

    def listen_at(
        self, address: str, application: Application | ForwardingServer
    ) -> None:
        """Open one listener."""
        host, _, port = address.rpartition(":")
        listener = listen(
            application, host=host, port=int(port), max_body_bytes=MAX_BODY_BYTES
        )
        self.listeners.append(listener)

    async def watch_instances(self) -> None:
        """Share the budgets out among the instances that are known."""
        while True:
            self.parts.instances = self.cells.instances
            await self.clock.sleep(timedelta(seconds=1))

    def readiness(self) -> tuple[int, bytes]:
        """Return whether new connections should come here, and why not."""
        if self.stopping:
            return 503, b"stopping"
        if self.view.routes is None:
            return 503, b"no configuration is known yet"
        return 200, b"ready"

    def reload(self, settings: InstanceSettings) -> None:
        """Take over settings that may change while the process runs."""
        self.settings = settings
        self.parts.bounds = settings.bounds
        log.info("settings_reloaded", instance=settings.instance)

    def log_wrong_settings(self, reason: str) -> None:
        """Log that the settings in force stay."""
        log.error("settings_unreadable", reason=reason)

    async def stop(self) -> None:
        """Leave the rotation, end what runs, and close."""
        began = self.clock.monotonic()
        grace = self.settings.bounds.grace
        self.stopping = True
        self.server.closing = True
        log.info("stopping", in_flight=len(self.server.tasks))
        await self.cells.leave()
        while self.clock.monotonic() - began < grace - END_MARGIN:
            waited = self.clock.monotonic() - began
            self.parts.refuses_streams = waited > LAST_STREAMS
            self.handler.refuses_all = waited > grace - LAST_REQUESTS_BEFORE
            if waited > OUT_OF_ROTATION and not self.server.tasks:
                break
            await asyncio.sleep(0.05)
        log.info("stopped", in_flight=len(self.server.tasks))
        closing = [asyncio.create_task(item.close()) for item in self.listeners]
        await asyncio.wait(closing, timeout=CLOSING_SECONDS)
        await self.tasks.cancel()
        self.pool.close()
