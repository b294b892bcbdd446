"""One instance: its parts, its tasks, and its graceful shutdown."""

from datetime import timedelta
from typing import Any

from expression import Ok, Result
from statsd import StatsClient

from magnoliatrail.clock import Clock, SystemClock
from magnoliatrail.config.in_force import ConfigurationInForce
from magnoliatrail.config.spread import ConfigurationSpread
from magnoliatrail.config.store import ConfigurationStore
from magnoliatrail.engines.client import EngineClient
from magnoliatrail.engines.owned import OwnedEngines
from magnoliatrail.engines.owner import EngineOwner
from magnoliatrail.engines.permits import PermitHolder
from magnoliatrail.entry.application import caller_application
from magnoliatrail.entry.body_limit import BodyLimit
from magnoliatrail.entry.dispatch import Dispatcher
from magnoliatrail.entry.engine_call import EngineCaller
from magnoliatrail.entry.lifecycle import Lifecycle
from magnoliatrail.entry.parts import EntryParts
from magnoliatrail.entry.service_call import ServiceCaller
from magnoliatrail.errors import Failure
from magnoliatrail.generated.membership import (
    Heartbeat,
    InstanceStatus,
    OwnerRow,
    SessionRow,
)
from magnoliatrail.generated.permits import PermitRecall, PermitRequest
from magnoliatrail.generated.platform import ListedInstance
from magnoliatrail.generated.settings import Settings
from magnoliatrail.ids import FencingNumber, InstanceId, new_incarnation
from magnoliatrail.listeners import Listener, listen
from magnoliatrail.logs import EventLog
from magnoliatrail.membership.fleet import Fleet
from magnoliatrail.membership.ownership import OwnershipTable
from magnoliatrail.membership.refresh import FleetRefresh
from magnoliatrail.membership.session import SessionLease
from magnoliatrail.metrics import Metrics, metrics_from
from magnoliatrail.operations.parts import operation_parts
from magnoliatrail.peers.client import PeerClient
from magnoliatrail.peers.configuration import (
    configuration_links,
    configuration_routes,
)
from magnoliatrail.peers.heartbeats import Heartbeats
from magnoliatrail.peers.permit_calls import PermitCalls
from magnoliatrail.peers.server import PeerRoute, peer_application
from magnoliatrail.periodic import PeriodicTasks
from magnoliatrail.placement.catalogue import AdapterCatalogue
from magnoliatrail.platform.instance_list import HttpInstanceList
from magnoliatrail.platform.objects import HttpObjects
from magnoliatrail.platform.table import HttpTable
from magnoliatrail.platform.weights import HttpWeightStore
from magnoliatrail.routing.permit_search import PermitSearch
from magnoliatrail.settings import check_settings, control_limits, load_limits
from magnoliatrail.wire import new_http_client

log = EventLog("daemon")

CATALOGUE_SECONDS = 30.0
FIRST_CATALOGUE_INTERVAL = timedelta(seconds=1)


class Daemon:
    """Run one instance."""

    def __init__(
        self,
        settings: Settings,
        *,
        clock: Clock | None = None,
        metrics: Metrics | None = None,
    ) -> None:
        check_settings(settings)
        self.settings = settings
        self.clock = clock or SystemClock()
        self.metrics = metrics or metrics_from(settings, StatsClient)
        self.instance = InstanceId(settings.instance_id)
        self.incarnation = new_incarnation()
        self.limits = control_limits(settings)
        self.tasks = PeriodicTasks(self.clock)
        self.connect_platform()
        self.configuration = ConfigurationInForce(self.clock)
        self.fleet = Fleet()
        self.catalogue = AdapterCatalogue()
        self.permits = PermitHolder()
        self.peers = PeerClient(settings.peer_token)
        self.spread = self.new_spread()
        self.join_parts()
        self.lifecycle = Lifecycle(self.configuration)
        self.operations = operation_parts(
            table=self.table,
            objects=self.objects,
            clock=self.clock,
            holder=self.incarnation,
        )
        self.entry = self.new_entry()
        self.caller_listener: Listener | None = None
        self.peer_listener: Listener | None = None
        self.session: SessionLease | None = None

    def connect_platform(self) -> None:
        """Create the clients of the platform's services."""
        settings, limits = self.settings, self.limits
        self.client = new_http_client()
        self.table = HttpTable(self.client, settings.table_url, limits)
        self.objects = HttpObjects(self.client, settings.objects_url, limits)
        self.instance_list = HttpInstanceList(
            self.client, settings.instance_list_url, limits
        )
        self.weights = HttpWeightStore(self.client, settings.weights_url, limits)

    def new_spread(self) -> ConfigurationSpread:
        """Return the part that keeps the configuration up to date."""
        links = configuration_links(
            self.other_instances,
            lambda peer: self.fleet.sessions[peer].peer_url,
            self.peers,
            self.limits,
        )
        return ConfigurationSpread(
            instance=self.instance,
            store=ConfigurationStore(self.table, self.clock),
            in_force=self.configuration,
            links=links,
            metrics=self.metrics,
        )

    def other_instances(self) -> list[InstanceId]:
        """Return the peers that are known to live."""
        return [peer for peer in self.fleet.sessions if peer != self.instance]

    def join_parts(self) -> None:
        """Create the parts by which instances act together."""
        self.ownership = OwnershipTable(self.table, self.instance, self.incarnation)
        self.refresh = FleetRefresh(
            fleet=self.fleet,
            table=self.table,
            instance_list=self.instance_list,
            ownership=self.ownership,
        )
        self.permit_calls = PermitCalls(
            instance=self.instance,
            fleet=self.fleet,
            permits=self.permits,
            peers=self.peers,
            limits=self.limits,
        )
        self.owned = OwnedEngines(
            instance=self.instance,
            fleet=self.fleet,
            ownership=self.ownership,
            new_owner=self.new_owner,
        )
        self.permit_calls.answer_permit = self.owned.answer_permit
        self.heartbeats = Heartbeats(
            instance=self.instance,
            incarnation=self.incarnation,
            fleet=self.fleet,
            peers=self.peers,
            limits=self.limits,
            tasks=self.tasks,
            revision=lambda: self.spread.in_force.revision,
            catch_up=self.spread.catch_up,
        )

    def new_owner(self, listed: ListedInstance, row: OwnerRow) -> EngineOwner:
        """Return the owner's task for one engine."""
        return EngineOwner(
            listed=listed,
            fencing_number=FencingNumber(row.fencing_number),
            client=EngineClient(self.client, listed.url, load_limits(self.settings)),
            recall=self.permit_calls.recall,
            clock=self.clock,
            metrics=self.metrics,
        )

    def new_entry(self) -> EntryParts:
        """Return the parts that the caller's listener uses."""
        return EntryParts(
            settings=self.settings,
            clock=self.clock,
            metrics=self.metrics,
            client=self.client,
            fleet=self.fleet,
            configuration=self.configuration,
            catalogue=self.catalogue,
            dispatcher=self.new_dispatcher(),
            ledger=self.operations.ledger,
            settler=self.operations.settler,
            services=self.new_service_caller(),
            lifecycle=self.lifecycle,
        )

    def new_dispatcher(self) -> Dispatcher:
        """Return the part that answers completions."""
        search = PermitSearch(
            instance=self.instance,
            clock=self.clock,
            metrics=self.metrics,
            fleet=self.fleet,
            catalogue=self.catalogue,
            permits=self.permits,
            ask_owner=self.permit_calls.ask_owner,
        )
        caller = EngineCaller(
            settings=self.settings,
            clock=self.clock,
            client=self.client,
            permits=self.permits,
        )
        return Dispatcher(
            clock=self.clock, metrics=self.metrics, search=search, caller=caller
        )

    def new_service_caller(self) -> ServiceCaller:
        """Return the part that calls plain services."""
        return ServiceCaller(
            settings=self.settings,
            clock=self.clock,
            client=self.client,
            fleet=self.fleet,
            metrics=self.metrics,
            retry_share=lambda: self.configuration.configuration.defaults.retry_share,
            generator=self.operations.generator,
        )

    async def start(self) -> None:
        """Open the listeners, join the fleet and start the tasks."""
        settings = self.settings
        self.peer_listener = listen(
            peer_application(self.peer_routes(), settings.peer_token),
            host=settings.host,
            port=settings.peer_port,
        )
        self.session = SessionLease(self.table, self.session_row(self.peer_listener))
        self.caller_listener = listen(
            BodyLimit(caller_application(self.entry), settings.max_body_bytes),
            host=settings.host,
            port=settings.port,
            max_body_bytes=settings.max_body_bytes,
        )
        await self.renew_session()
        await self.refresh_catalogue()
        await self.refresh_fleet()
        await self.spread.start()
        self.start_tasks()
        self.lifecycle.ready = True
        log.info(
            "started",
            instance=self.instance,
            callers=self.caller_listener.url,
            peers=self.peer_listener.url,
        )

    def start_tasks(self) -> None:
        """Start the tasks that repeat."""
        settings = self.settings
        self.tasks.every(settings.renewal_seconds, self.renew_session)
        self.tasks.every(settings.instance_list_seconds, self.refresh_fleet)
        self.tasks.every(settings.load_report_seconds, self.owned.refresh)
        self.tasks.every(settings.configuration_poll_seconds, self.spread.poll)
        self.tasks.every(settings.heartbeat_seconds, self.heartbeats.send_all)
        self.tasks.every(CATALOGUE_SECONDS, self.refresh_catalogue)
        self.tasks.once(self.read_first_catalogue)
        self.tasks.once(self.forget_operations)

    async def shutdown(self) -> None:
        """Refuse new requests, end those in flight, and leave the fleet."""
        self.lifecycle.ready = False
        self.lifecycle.stopping = True
        log.info("stopping", in_flight=self.lifecycle.in_flight)
        await self.lifecycle.idle.wait()
        await self.operations.drain()
        await self.tasks.cancel()
        if self.session:
            await self.session.release()
        for listener in (self.caller_listener, self.peer_listener):
            if listener:
                await listener.close()
        self.client.close()
        self.peers.close()
        log.info("stopped", instance=self.instance)

    async def forget_operations(self) -> None:
        """Forget this instance's share of the operations past the retention."""
        await self.operations.forget_forever(
            lambda: self.configuration.configuration.defaults,
            lambda: list(self.fleet.sessions),
            self.instance,
        )

    def session_row(self, listener: Listener) -> SessionRow:
        """Return the session row of this instance before its first renewal."""
        host = self.settings.advertised_host or self.settings.host
        return SessionRow(
            instance=self.instance,
            incarnation=self.incarnation,
            failure_domain=self.settings.failure_domain,
            region=self.settings.region,
            peer_url=f"http://{host}:{listener.port}",
            renewals=0,
        )

    async def renew_session(self) -> None:
        """Renew the session lease."""
        assert self.session is not None
        result = await self.session.renew()
        self.metrics.gauge("lease.renewed", int(result.is_ok()))
        if result.is_error():
            log.warning("lease_not_renewed", reason=result.error.message)

    async def read_first_catalogue(self) -> None:
        """Try more often until a first catalogue is known."""
        while not self.catalogue.known:
            await self.clock.sleep(FIRST_CATALOGUE_INTERVAL)
            await self.refresh_catalogue()

    async def refresh_catalogue(self) -> None:
        """Read the adapter catalogue."""
        match await self.weights.catalogue():
            case Result(tag="ok", ok=catalogue):
                self.catalogue.replace(catalogue)
            case Result(error=failure):
                log.warning("catalogue_missing", reason=failure.message)

    async def refresh_fleet(self) -> None:
        """Read who lives and who owns, and claim what nobody owns."""
        await self.refresh.refresh()
        await self.owned.claim_all()

    async def answer_status(self, request: object) -> Result[InstanceStatus, Failure]:
        """Describe this instance to operators."""
        assert self.caller_listener is not None
        assert self.peer_listener is not None
        return Ok(
            InstanceStatus(
                instance=self.instance,
                failure_domain=self.settings.failure_domain,
                ready=self.lifecycle.ready,
                configuration_revision=self.spread.in_force.revision,
                engines_owned=sorted(self.owned.owners),
                peers=sorted(self.fleet.sessions),
                in_flight=self.lifecycle.in_flight,
                caller_url=self.caller_listener.url,
                peer_url=self.peer_listener.url,
            )
        )

    def peer_routes(self) -> list[PeerRoute[Any]]:
        """Return what the peer listener serves."""
        return [
            PeerRoute("/peer/permits", PermitRequest, self.owned.answer_permit),
            PeerRoute("/peer/recalls", PermitRecall, self.permit_calls.answer_recall),
            PeerRoute("/peer/heartbeat", Heartbeat, self.heartbeats.answer),
            PeerRoute("/peer/status", object, self.answer_status),
            *configuration_routes(self.spread),
        ]
