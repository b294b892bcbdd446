"""Assembly, background tasks and graceful shutdown of one instance."""

import asyncio
from datetime import timedelta
from typing import Any

from expression import Ok, Result
from statsd import StatsClient

from magnoliatrail.clock import Clock, SystemClock
from magnoliatrail.config.in_force import ConfigurationInForce
from magnoliatrail.config.propagation import ConfigurationPropagation
from magnoliatrail.config.resolve import Scopes, setting_of
from magnoliatrail.config.store import ConfigurationStore
from magnoliatrail.coordination import Coordination
from magnoliatrail.engines.client import EngineClient
from magnoliatrail.engines.owner import EngineOwner
from magnoliatrail.engines.permits import PermitHolder
from magnoliatrail.entry.application import caller_application
from magnoliatrail.entry.dispatch import Dispatcher
from magnoliatrail.entry.engine_call import EngineCaller
from magnoliatrail.entry.guards import budget_for, caller_guard, peer_guard
from magnoliatrail.entry.lifecycle import Lifecycle
from magnoliatrail.entry.parts import EntryParts
from magnoliatrail.entry.service_call import ServiceCaller
from magnoliatrail.errors import Failure
from magnoliatrail.generated.membership import InstanceStatus, OwnerRow
from magnoliatrail.generated.platform import ListedInstance
from magnoliatrail.generated.settings import Settings
from magnoliatrail.ids import FencingNumber, InstanceId
from magnoliatrail.listeners import Listener, listen
from magnoliatrail.logs import EventLog
from magnoliatrail.metrics import Metrics, metrics_from
from magnoliatrail.open_connections import OpenConnections, accept_queued
from magnoliatrail.operations.parts import operation_parts
from magnoliatrail.peers.client import PeerClient
from magnoliatrail.peers.configuration import (
    configuration_links,
    configuration_routes,
)
from magnoliatrail.peers.placement_messages import PeerDirectory
from magnoliatrail.peers.placement_parts import PlacementParts
from magnoliatrail.peers.quarantine_exchange import QuarantineExchange
from magnoliatrail.peers.server import PeerRoute, TokenCheck, peer_application
from magnoliatrail.periodic import PeriodicTasks
from magnoliatrail.placement.catalogue import AdapterCatalogue
from magnoliatrail.platform.instance_list import HttpInstanceList
from magnoliatrail.platform.objects import HttpObjects
from magnoliatrail.platform.table import HttpTable
from magnoliatrail.platform.weights import HttpWeightStore
from magnoliatrail.routing.permit_search import PermitSearch
from magnoliatrail.settings import check_settings, control_limits, load_limits
from magnoliatrail.wire import MAX_ENGINE_RESPONSE_BYTES, new_http_client

log = EventLog("daemon")

CATALOGUE_POLL_SECONDS = 5.0
# A stopping instance answers on kept connections for this long at least. Balancers
# that probe once a second have removed it by then.
KEPT_CONNECTION_TIME = timedelta(seconds=3)
STOP_POLL_SECONDS = 0.05


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
        self.limits = control_limits(settings)
        self.memory = budget_for(settings)
        self.tasks = PeriodicTasks(self.clock)
        self.create_platform_clients()
        self.configuration = ConfigurationInForce(self.clock)
        self.catalogue = AdapterCatalogue()
        self.permits = PermitHolder()
        self.peers = PeerClient(settings.peer_token)
        self.coordination = Coordination(
            settings=settings,
            clock=self.clock,
            metrics=self.metrics,
            table=self.table,
            instance_list=self.instance_list,
            permits=self.permits,
            peers=self.peers,
            tasks=self.tasks,
            limits=self.limits,
            new_owner=self.new_owner,
            checks_fencing=self.checks_fencing,
        )
        self.fleet = self.coordination.fleet
        self.gate = self.coordination.gate
        self.quarantine = QuarantineExchange(
            clock=self.clock,
            metrics=self.metrics,
            peers=self.peers,
            instance=self.instance,
            urls=self.other_peer_urls,
        )
        self.propagation = self.new_propagation()
        self.placement = self.new_placement()
        self.lifecycle = Lifecycle(self.configuration)
        self.lifecycle.gate = self.gate
        self.operations = operation_parts(
            table=self.table,
            objects=self.objects,
            clock=self.clock,
            holder=self.coordination.incarnation,
        )
        self.entry = self.new_entry()
        self.caller_listener: Listener | None = None
        self.callers = OpenConnections(caller_application(self.entry))
        self.peer_listener: Listener | None = None

    def create_platform_clients(self) -> None:
        """Create the clients of the platform's services."""
        settings, limits = self.settings, self.limits
        self.client = new_http_client()
        self.engine_client = new_http_client(MAX_ENGINE_RESPONSE_BYTES)
        self.table = HttpTable(self.client, settings.table_url, limits)
        self.objects = HttpObjects(self.client, settings.objects_url, limits)
        self.instance_list = HttpInstanceList(
            self.client, settings.instance_list_url, limits
        )
        self.weights = HttpWeightStore(self.client, settings.weights_url, limits)

    def new_propagation(self) -> ConfigurationPropagation:
        """Return the component that keeps the configuration up to date."""
        links = configuration_links(
            self.fleet.members.peers,
            lambda peer: self.fleet.members.records[peer].peer_url,
            self.peers,
            self.limits,
        )
        return ConfigurationPropagation(
            instance=self.instance,
            store=ConfigurationStore(self.table, self.clock),
            in_force=self.configuration,
            links=links,
            metrics=self.metrics,
        )

    def checks_fencing(self, owner: EngineOwner) -> bool:
        """Return whether an engine refuses orders with an old fencing number."""
        listed = self.fleet.listed.get(owner.engine)
        if listed is None:
            return False
        scopes = Scopes(base_model=listed.name, failure_domain=listed.failure_domain)
        configuration = self.configuration.configuration
        return setting_of(configuration, "engine_checks_fencing", bool, scopes)

    def new_placement(self) -> PlacementParts:
        """Return the components that decide on batch slots, loads and evictions."""
        peer_directory = PeerDirectory(
            instance=self.instance,
            live_instances=lambda: [self.instance, *self.fleet.members.peers()],
            url_of=lambda peer: self.fleet.members.records[peer].peer_url,
            peers=self.peers,
            limits=self.limits,
        )
        return PlacementParts(
            settings=self.settings,
            clock=self.clock,
            metrics=self.metrics,
            configuration=self.configuration,
            fleet=self.fleet,
            peer_directory=peer_directory,
            owners=lambda: self.coordination.owned.owners,
        )

    def new_owner(self, listed: ListedInstance, row: OwnerRow) -> EngineOwner:
        """Return the object that owns one engine."""
        return EngineOwner(
            listed=listed,
            fencing_number=FencingNumber(row.fencing_number),
            client=EngineClient(
                self.engine_client,
                listed.url,
                load_limits(self.settings),
                self.gate.wait_until_open,
            ),
            recall=self.coordination.permit_calls.recall,
            clock=self.clock,
            metrics=self.metrics,
            loads=self.placement.loads,
            popularity=self.placement.new_popularity(),
        )

    def new_entry(self) -> EntryParts:
        """Return the components behind the callers' listener."""
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
        """Return the component that dispatches completions to engines."""
        search = PermitSearch(
            instance=self.instance,
            clock=self.clock,
            metrics=self.metrics,
            fleet=self.fleet,
            catalogue=self.catalogue,
            permits=self.permits,
            ask_owner=self.coordination.permit_calls.ask_owner,
            state=self.placement.state,
        )
        caller = EngineCaller(
            settings=self.settings,
            clock=self.clock,
            client=self.engine_client,
            permits=self.permits,
            quarantine=self.quarantine,
            servers=self.fleet.servers,
            memory=self.memory,
        )
        return Dispatcher(
            clock=self.clock,
            metrics=self.metrics,
            search=search,
            caller=caller,
            quarantine=self.quarantine,
            gate=self.gate,
            is_live=self.fleet.is_live,
            batch_slots=self.placement.batch_slots,
            circuits=self.placement.state.circuits,
            retry_share=lambda: self.configuration.configuration.defaults.retry_share,
            generator=self.operations.generator,
        )

    def new_service_caller(self) -> ServiceCaller:
        """Return the component that calls plain services."""
        return ServiceCaller(
            settings=self.settings,
            clock=self.clock,
            client=self.client,
            fleet=self.fleet,
            metrics=self.metrics,
            quarantine=self.quarantine,
            retry_share=lambda: self.configuration.configuration.defaults.retry_share,
            generator=self.operations.generator,
            memory=self.memory,
        )

    async def start(self) -> None:
        """Open the listeners, join the fleet and start the tasks."""
        settings = self.settings
        messages = peer_application(self.peer_routes(), settings.peer_token)
        self.peer_listener = listen(
            TokenCheck(messages, settings.peer_token),
            host=settings.host,
            port=settings.peer_port,
            guard=peer_guard(settings, self.clock, self.metrics, self.memory),
        )
        self.caller_listener = listen(
            self.callers,
            host=settings.host,
            port=settings.port,
            guard=caller_guard(settings, self.clock, self.metrics, self.memory),
        )
        self.coordination.connect(
            peer_url=self.advertised_url(self.peer_listener),
            revision=lambda: self.configuration.revision,
            catch_up=self.propagation.catch_up,
            poll_configuration=self.propagation.poll,
        )
        await self.refresh_catalogue()
        await self.coordination.join()
        await self.propagation.start()
        self.coordination.start_tasks()
        self.tasks.every(settings.configuration_poll_seconds, self.propagation.poll)
        self.tasks.every(settings.heartbeat_seconds, self.placement.demand.report_due)
        self.tasks.every(CATALOGUE_POLL_SECONDS, self.refresh_catalogue)
        self.tasks.forever(self.quarantine.run)
        self.tasks.once(self.sweep_operations)
        self.lifecycle.ready = True
        log.info(
            "started",
            instance=self.instance,
            callers=self.caller_listener.url,
            peers=self.peer_listener.url,
        )

    async def shutdown(self) -> None:
        """Refuse new requests, hand engines over, drain, and leave the fleet."""
        began = self.clock.monotonic()
        self.lifecycle.ready = False
        self.lifecycle.stopping = True
        log.info("stopping", in_flight=self.lifecycle.in_flight)
        await self.coordination.hand_over_engines()
        if self.caller_listener:
            accept_queued(self.caller_listener.server)
            self.caller_listener.server.stop()
        await self.answer_kept_connections(began)
        await self.lifecycle.idle.wait()
        await self.operations.drain()
        await self.coordination.announce_departure()
        await self.tasks.cancel()
        for listener in (self.caller_listener, self.peer_listener):
            if listener:
                await listener.close()
        self.client.close()
        self.engine_client.close()
        self.peers.close()
        log.info("stopped", instance=self.instance)

    async def answer_kept_connections(self, began: timedelta) -> None:
        """Let callers use their kept connections once more, to learn of the stop."""
        while (
            self.callers.has_unread_input
            or self.lifecycle.in_flight
            or (
                self.callers.count
                and self.clock.monotonic() - began < KEPT_CONNECTION_TIME
            )
        ):
            await asyncio.sleep(STOP_POLL_SECONDS)

    def other_peer_urls(self) -> dict[InstanceId, str]:
        """Return the URLs of the peer listeners of the other instances."""
        members = self.fleet.members
        return {peer: members.records[peer].peer_url for peer in members.peers()}

    def advertised_url(self, listener: Listener) -> str:
        """Return the address by which peers reach a listener."""
        host = self.settings.advertised_host or self.settings.host
        return f"http://{host}:{listener.port}"

    async def refresh_catalogue(self) -> None:
        """Replace the adapter catalogue by the weight store's."""
        match await self.weights.catalogue():
            case Result(tag="ok", ok=catalogue) if catalogue:
                self.catalogue.replace(catalogue)
            case Result(tag="error", error=failure):
                log.warning("catalogue_missing", reason=failure.message)

    async def sweep_operations(self) -> None:
        """Delete this instance's share of the operations past their retention."""
        await self.operations.run_sweeps(
            lambda: self.configuration.configuration.defaults,
            lambda: [self.instance, *self.fleet.members.peers()],
            self.instance,
        )

    async def answer_status(self, request: object) -> Result[InstanceStatus, Failure]:
        """Answer an operator's status request."""
        assert self.caller_listener is not None
        assert self.peer_listener is not None
        return Ok(
            InstanceStatus(
                instance=self.instance,
                failure_domain=self.settings.failure_domain,
                ready=self.lifecycle.ready,
                configuration_revision=self.configuration.revision,
                engines_owned=sorted(self.coordination.owned.owners),
                peers=sorted(self.fleet.members.reachable()),
                in_flight=self.lifecycle.in_flight,
                leaving=sorted(self.fleet.servers.leaving),
                paused=not self.gate.is_open,
                caller_url=self.caller_listener.url,
                peer_url=self.peer_listener.url,
            )
        )

    def peer_routes(self) -> list[PeerRoute[Any]]:
        """Return the routes of the peer listener."""
        return [
            *self.coordination.peer_routes(),
            PeerRoute("/peer/status", object, self.answer_status),
            *configuration_routes(self.propagation),
            *self.placement.routes(),
            *self.quarantine.peer_routes(),
        ]
