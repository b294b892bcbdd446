"""Assembly, background tasks and shutdown of one instance on the users' platform."""

import asyncio
import random
from collections import Counter
from contextlib import suppress
from datetime import timedelta
from functools import partial

from tornado.httputil import HTTPServerConnectionDelegate

from magnoliatrail.cells.claim_turn import resource_claim_delay
from magnoliatrail.cells.fleet_cells import FIRST_OWNER_READ, FleetCells
from magnoliatrail.cells.lease import Identity
from magnoliatrail.cells.member import CellMember
from magnoliatrail.cells.quota_cells import QuotaCells, client_accounts, quota_terms
from magnoliatrail.cells.table_requests import TableRequests
from magnoliatrail.cells.table_updates import TableUpdateSender
from magnoliatrail.clock import BootClock, Clock
from magnoliatrail.connections import ConnectionPool
from magnoliatrail.forwarding.context import ForwardingContext
from magnoliatrail.forwarding.engine_path import EnginePath
from magnoliatrail.forwarding.engine_slots import EngineSlots
from magnoliatrail.forwarding.guards import ListenerGuards
from magnoliatrail.forwarding.handler import ForwardingHandler
from magnoliatrail.forwarding.plain_path import PlainPath
from magnoliatrail.forwarding.planned_stop import PlannedStop
from magnoliatrail.forwarding.quotas import QuotaEntry
from magnoliatrail.forwarding.relay import Relay
from magnoliatrail.forwarding.relay_listener import RelayListener
from magnoliatrail.forwarding.request_paces import RequestPaces
from magnoliatrail.forwarding.server import ForwardingServer
from magnoliatrail.forwarding.stream_versions import StreamVersions
from magnoliatrail.ids import CellId, InstanceId, new_incarnation
from magnoliatrail.inbound.server import Guard
from magnoliatrail.listeners import Listener, listen, text_application
from magnoliatrail.logs import EventLog
from magnoliatrail.membership.fleet_view import FleetView
from magnoliatrail.membership.recent_instances import RecentInstances
from magnoliatrail.membership.server_reach import ServerReach
from magnoliatrail.membership.start_check import StartCheck
from magnoliatrail.membership.store_reader import (
    KEYS_TABLE,
    StoreReader,
)
from magnoliatrail.membership.stream_records import (
    StreamRecordReader,
    StreamRecordWriter,
)
from magnoliatrail.membership.table_bounds import table_bounds
from magnoliatrail.memory_budget import budget_of
from magnoliatrail.metrics_text import TextMetrics
from magnoliatrail.open_connections import OpenConnections
from magnoliatrail.peers.client import PeerClient
from magnoliatrail.peers.connections import PersistentConnections
from magnoliatrail.peers.quarantine_exchange import QuarantineExchange
from magnoliatrail.peers.quota_exchange import QuotaExchange
from magnoliatrail.peers.reach_monitor import ReachMonitor
from magnoliatrail.peers.server import TokenCheck, peer_application
from magnoliatrail.periodic import PeriodicTasks
from magnoliatrail.platform.protocol import READY_PATH
from magnoliatrail.platform.rows import RowStore
from magnoliatrail.platform.settings_file import InstanceSettings
from magnoliatrail.wire import CallLimits

log = EventLog("daemon")

STORE_LIMITS = CallLimits(timedelta(milliseconds=400), timedelta(milliseconds=1200))
METRICS_PATH = "/metrics"
# The coordinators learn by themselves, later, that an instance has ended.
QUOTA_LEAVE_TIMEOUT_SECONDS = 0.2


class PlatformDaemon:
    """Run one instance on the users' platform."""

    def __init__(
        self, settings: InstanceSettings, *, clock: Clock | None = None
    ) -> None:
        self.settings = settings
        self.clock = clock or BootClock()
        self.metrics = TextMetrics()
        self.memory = budget_of(settings.memory_mb)
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
        self.quarantine = QuarantineExchange(
            clock=self.clock,
            metrics=self.metrics,
            peers=self.peers,
            instance=settings.instance,
            urls=self.other_peer_urls,
        )
        self.reach = ReachMonitor(
            clock=self.clock,
            metrics=self.metrics,
            peers=self.peers,
            pool=self.pool,
            signals=ServerReach(self.clock),
            failure_domain=settings.failure_domain,
            generator=self.generator,
            servers=self.view.server_addresses,
            addresses=self.other_peer_addresses,
        )
        self.cells = FleetCells(
            clock=self.clock,
            store=self.store,
            view=self.view,
            generator=self.generator,
            new_member=self.new_member,
            max_update_age=min(settings.bounds.propagation, settings.bounds.drain),
            identity=self.identity,
            first_start=settings.first_start,
            restore_quarantine=self.quarantine.restore,
        )
        self.reader = StoreReader(
            clock=self.clock,
            store=self.store,
            view=self.view,
            read_due_in=self.cells.read_due_in,
        )
        self.recent_instances = RecentInstances(self.clock, self.cells.addresses)
        self.table_requests = TableRequests(
            clock=self.clock,
            metrics=self.metrics,
            view=self.view,
            peers=self.peers,
            identity=self.identity,
            generator=self.generator,
            addresses=self.other_peer_addresses,
            max_update_age=min(settings.bounds.propagation, settings.bounds.drain),
            store_answers=lambda: not self.reader.failing,
            leaving=lambda: self.stopping,
        )
        quota_cells = QuotaCells(self.cells, listed=self.recent_instances.addresses)
        self.quotas = QuotaExchange(
            clock=self.clock,
            metrics=self.metrics,
            peers=self.peers,
            instance=settings.instance,
            incarnation=self.identity.incarnation,
            generator=self.generator,
            terms=quota_terms(settings.bounds),
            accounts=partial(client_accounts, self.view),
            cells=quota_cells,
            tasks=self.tasks,
            urls=self.other_peer_urls,
        )
        self.stream_versions = self.new_stream_versions()
        bounds = table_bounds(settings.bounds)
        self.start_check = StartCheck(
            clock=self.clock,
            view=self.view,
            confirmed=self.cells.hears_owner,
            ensure_fresh=partial(self.reader.ensure_fresh, bounds),
        )
        self.forwarding_context = ForwardingContext(
            clock=self.clock,
            metrics=self.metrics,
            view=self.view,
            pool=self.pool,
            bounds=settings.bounds,
            generator=self.generator,
            ensure_fresh=self.start_check.ensure_fresh,
            is_fresh=partial(self.reader.is_fresh, bounds),
            ensure_list_fresh=partial(self.reader.ensure_list_fresh, bounds),
            is_list_fresh=partial(self.reader.is_list_fresh, bounds),
            store_answers=lambda: KEYS_TABLE not in self.reader.failing,
            hears_others=self.cells.hears_others,
            stream_versions=self.stream_versions,
            quarantine=self.quarantine,
            reach=self.reach,
            memory=self.memory,
            paces=RequestPaces(
                clock=self.clock,
                limits=self.view.request_limits,
                instance=settings.instance,
                recent_instances=self.recent_instances,
            ),
        )
        slots = EngineSlots(self.forwarding_context, self.cells, self.identity)
        engines = EnginePath(self.forwarding_context, slots)
        self.handler = ForwardingHandler(
            self.forwarding_context, engines, PlainPath(self.forwarding_context)
        )
        self.handler.quotas = QuotaEntry(self.clock, self.quotas)
        self.server = ForwardingServer(
            self.clock,
            self.handler.handle,
            from_head=self.handler.from_head,
            record=self.handler.record_from_head,
        )
        self.guards = ListenerGuards(
            settings=settings,
            clock=self.clock,
            metrics=self.metrics,
            memory=self.memory,
            view=self.view,
            token=self.token,
        )
        relay = Relay(self.forwarding_context, self.token, Counter())
        self.forwarding_context.relay = relay.serve
        self.reach.relayed = lambda: self.handler.relayed
        self.listeners: list[Listener] = []
        self.callers = OpenConnections(self.server)
        self.peer_connections = OpenConnections(
            RelayListener(self.peer_messages(), self.server, self.token)
        )
        self.stopping = False

    def other_peer_urls(self) -> dict[InstanceId, str]:
        """Return the URLs of the peer listeners of the other instances."""
        addresses = self.other_peer_addresses()
        return {name: f"http://{address}" for name, address in addresses.items()}

    def other_peer_addresses(self) -> dict[InstanceId, str]:
        """Return the addresses of the peer listeners of the other instances."""
        return {
            InstanceId(name): address
            for name, address in self.recent_instances.addresses().items()
            if name != self.settings.instance
        }

    def new_stream_versions(self) -> StreamVersions:
        """Return the record of the software versions that began streams."""
        writer = StreamRecordWriter(
            clock=self.clock,
            metrics=self.metrics,
            store=self.store,
            instance=self.settings.instance,
            incarnation=self.identity.incarnation,
            generator=self.generator,
        )
        return StreamVersions(
            clock=self.clock,
            peers=self.peers,
            instance=self.settings.instance,
            recent_instances=self.recent_instances,
            writer=writer,
            reader=StreamRecordReader(self.store, self.clock),
        )

    def new_member(self, cell: CellId, cells: int) -> CellMember:
        """Return this instance's membership of one cell."""
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
            owner_claim_delay=self.owner_claim_delay,
            store_answers=lambda: not self.reader.failing,
            confirm_layout=self.cells.layout.confirm,
            quarantined=self.quarantine.rules.rows,
            may_own=lambda: not self.reach.is_cut,
            update_sender=TableUpdateSender(
                self.view,
                self.clock,
                self.metrics,
                link_mbps=self.settings.link_mbps,
            ),
        )

    def owner_claim_delay(self) -> timedelta:
        """Return how long this instance delays its claims behind those of others."""
        delay = resource_claim_delay(self.settings)
        if delay and self.cells.layout.discovers:
            # The others read the rows of a starting fleet later.
            delay += FIRST_OWNER_READ
        return self.cells.owner_claim_delay() + delay

    async def start(self) -> None:
        """Open the listeners and start the tasks.

        Raises OSError if an address is in use.
        """
        settings = self.settings
        self.listen_at(
            self.identity.address, self.peer_connections, self.guards.peers()
        )
        self.listen_at(
            settings.ready_address,
            text_application(READY_PATH, self.readiness),
            self.guards.text("readiness"),
        )
        self.listen_at(
            f"{settings.ip}:{settings.metrics_port}",
            text_application(METRICS_PATH, lambda: (200, self.metrics.text())),
            self.guards.text("metrics"),
        )
        for work in (
            self.reader.run,
            self.cells.watch_rows,
            self.table_requests.run,
            self.update_instance_count,
            self.stream_versions.send_periodically,
            self.stream_versions.writer.run,
            self.quarantine.run,
            self.reach.run,
            self.quotas.run,
        ):
            self.tasks.forever(work)
        self.listen_at(settings.callers_address, self.callers, self.guards.callers())
        log.info(
            "started",
            instance=settings.instance,
            incarnation=self.identity.incarnation,
            callers=settings.callers_address,
            peers=self.identity.address,
            first_start=settings.first_start,
        )

    def peer_messages(self) -> TokenCheck:
        """Return the application that answers the messages of other instances."""
        routes = [
            *self.cells.peer_routes(),
            *self.stream_versions.peer_routes(),
            *self.quarantine.peer_routes(),
            *self.reach.peer_routes(),
            *self.quotas.peer_routes(),
        ]
        return TokenCheck(peer_application(routes, self.token), self.token)

    def listen_at(
        self, address: str, application: HTTPServerConnectionDelegate, guard: Guard
    ) -> None:
        """Serve an application at an address."""
        host, _, port = address.rpartition(":")
        listener = listen(application, host=host, port=int(port), guard=guard)
        self.listeners.append(listener)

    async def update_instance_count(self) -> None:
        """Update the number of instances among which budgets are divided."""
        while True:
            self.forwarding_context.record_instances(self.cells.instances)
            await self.clock.sleep(timedelta(seconds=1))

    def readiness(self) -> tuple[int, bytes]:
        """Return the status and text of the readiness probe."""
        if self.stopping:
            return 503, b"stopping"
        if self.view.routes is None:
            return 503, b"no configuration is known yet"
        if not self.start_check.passed():
            return 503, b"no other instance has confirmed the tables yet"
        return 200, b"ready"

    def reload(self, settings: InstanceSettings) -> None:
        """Apply the settings that may change while the process runs."""
        self.settings = settings
        self.forwarding_context.bounds = settings.bounds
        self.quotas.use_terms(quota_terms(settings.bounds))
        log.info("settings_reloaded", instance=settings.instance)

    def log_invalid_settings(self, reason: str) -> None:
        """Log that a reload failed and the current settings stay in force."""
        log.error("settings_unreadable", reason=reason)

    async def stop(self) -> None:
        """Become unready, drain the requests in flight, and close."""
        self.stopping = True
        stop = PlannedStop(
            clock=self.clock,
            grace=self.settings.bounds.grace,
            server=self.server,
            handler=self.handler,
            callers=self.callers,
            peers=self.peer_connections,
            leave=self.cells.leave,
        )
        await stop.drain()
        with suppress(TimeoutError):
            async with asyncio.timeout(QUOTA_LEAVE_TIMEOUT_SECONDS):
                await self.quotas.leave()
        await stop.close(self.listeners)
        await self.tasks.cancel()
        await self.forwarding_context.spares.close()
        self.pool.close()
