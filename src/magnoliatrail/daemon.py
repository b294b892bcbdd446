"""One instance: its parts, its tasks, and its graceful shutdown."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from datetime import timedelta
from typing import Any

from expression import Error, Ok, Result
from statsd import StatsClient

from magnoliatrail.clock import Clock, SystemClock
from magnoliatrail.config.store import ConfigurationInForce, ConfigurationStore
from magnoliatrail.engines.client import EngineClient
from magnoliatrail.engines.owner import EngineOwner
from magnoliatrail.engines.permits import PermitHolder
from magnoliatrail.entry.application import caller_application
from magnoliatrail.entry.dispatch import Dispatcher
from magnoliatrail.entry.engine_call import EngineCaller
from magnoliatrail.entry.lifecycle import Lifecycle
from magnoliatrail.entry.parts import EntryParts
from magnoliatrail.entry.service_call import ServiceCaller
from magnoliatrail.errors import ErrorKind, Failure
from magnoliatrail.generated.membership import (
    Heartbeat,
    HeartbeatAnswer,
    InstanceStatus,
    OwnerRow,
    SessionRow,
)
from magnoliatrail.generated.permits import (
    PermitGrant,
    PermitRecall,
    PermitRequest,
    RecallAnswer,
    RecallState,
)
from magnoliatrail.generated.platform import ListedInstance
from magnoliatrail.generated.settings import Settings
from magnoliatrail.ids import (
    EngineId,
    FencingNumber,
    InstanceId,
    new_incarnation,
)
from magnoliatrail.listeners import Listener, listen
from magnoliatrail.logs import EventLog
from magnoliatrail.membership.fleet import Fleet
from magnoliatrail.membership.ownership import OwnershipTable, preferred_owner
from magnoliatrail.membership.session import SessionLease, read_sessions
from magnoliatrail.metrics import Metrics, metrics_from
from magnoliatrail.operations.parts import operation_parts
from magnoliatrail.peers.client import PeerClient
from magnoliatrail.peers.server import PeerRoute, peer_application
from magnoliatrail.placement.catalogue import AdapterCatalogue
from magnoliatrail.platform.instance_list import HttpInstanceList
from magnoliatrail.platform.objects import HttpObjects
from magnoliatrail.platform.table import HttpTable
from magnoliatrail.platform.weights import HttpWeightStore
from magnoliatrail.routing.permit_search import PermitSearch
from magnoliatrail.settings import check_settings, control_limits, load_limits
from magnoliatrail.wire import CallLimits, new_http_client

log = EventLog("daemon")

CATALOGUE_SECONDS = 30.0


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
        self.client = new_http_client()
        self.table = HttpTable(self.client, settings.table_url, self.limits)
        self.objects = HttpObjects(self.client, settings.objects_url, self.limits)
        self.instance_list = HttpInstanceList(
            self.client, settings.instance_list_url, self.limits
        )
        self.weights = HttpWeightStore(self.client, settings.weights_url, self.limits)
        self.configuration_store = ConfigurationStore(self.table)
        self.configuration = ConfigurationInForce()
        self.fleet = Fleet()
        self.catalogue = AdapterCatalogue()
        self.permits = PermitHolder()
        self.owned: dict[EngineId, EngineOwner] = {}
        self.ownership = OwnershipTable(self.table, self.instance, self.incarnation)
        self.peers = PeerClient(self.client, settings.peer_token)
        self.lifecycle = Lifecycle(self.configuration)
        self.tasks: list[asyncio.Task[None]] = []
        self.operations = operation_parts(
            table=self.table,
            objects=self.objects,
            clock=self.clock,
            holder=self.incarnation,
        )
        self.entry = EntryParts(
            settings=settings,
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
        self.caller_listener: Listener | None = None
        self.peer_listener: Listener | None = None
        self.session: SessionLease | None = None

    def new_dispatcher(self) -> Dispatcher:
        """Return the part that answers completions."""
        search = PermitSearch(
            instance=self.instance,
            clock=self.clock,
            metrics=self.metrics,
            fleet=self.fleet,
            catalogue=self.catalogue,
            permits=self.permits,
            ask_owner=self.ask_owner,
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
            caller_application(self.entry),
            host=settings.host,
            port=settings.port,
            max_body_bytes=settings.max_body_bytes,
        )
        await self.renew_session()
        await self.refresh_catalogue()
        await self.refresh_configuration()
        await self.refresh_fleet()
        self.every(settings.renewal_seconds, self.renew_session)
        self.every(settings.instance_list_seconds, self.refresh_fleet)
        self.every(settings.load_report_seconds, self.refresh_engines)
        self.every(settings.configuration_poll_seconds, self.refresh_configuration)
        self.every(settings.heartbeat_seconds, self.send_heartbeats)
        self.every(CATALOGUE_SECONDS, self.refresh_catalogue)
        self.tasks.append(asyncio.create_task(self.forget_operations()))
        self.lifecycle.ready = True
        log.info(
            "started",
            instance=self.instance,
            callers=self.caller_listener.url,
            peers=self.peer_listener.url,
        )

    async def shutdown(self) -> None:
        """Refuse new requests, end those in flight, and leave the fleet."""
        self.lifecycle.ready = False
        self.lifecycle.stopping = True
        log.info("stopping", in_flight=self.lifecycle.in_flight)
        await self.lifecycle.idle.wait()
        await self.operations.drain()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        if self.session:
            await self.session.release()
        for listener in (self.caller_listener, self.peer_listener):
            if listener:
                await listener.close()
        self.client.close()
        log.info("stopped", instance=self.instance)

    def every(self, seconds: float, work: Callable[[], Awaitable[None]]) -> None:
        """Start a task that repeats some work."""
        task = asyncio.create_task(self.repeat(timedelta(seconds=seconds), work))
        self.tasks.append(task)

    async def repeat(
        self, interval: timedelta, work: Callable[[], Awaitable[None]]
    ) -> None:
        """Repeat some work, and outlive its errors."""
        while True:
            await self.clock.sleep(interval)
            try:
                await work()
            except Exception as error:
                log.error("task_failed", work=work.__name__, reason=repr(error))

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

    async def refresh_catalogue(self) -> None:
        """Read the adapter catalogue."""
        match await self.weights.catalogue():
            case Result(tag="ok", ok=catalogue):
                self.catalogue.replace(catalogue)
            case Result(error=failure):
                log.warning("catalogue_missing", reason=failure.message)

    async def refresh_configuration(self) -> None:
        """Read the configuration head."""
        match await self.configuration_store.read():
            case Result(tag="ok", ok=configuration):
                if self.configuration.offer(configuration):
                    log.info("configuration", revision=configuration.revision)
            case Result(error=failure):
                log.warning("configuration_missing", reason=failure.message)
        revision = self.configuration.configuration.revision
        self.metrics.gauge("configuration.revision", revision)

    async def forget_operations(self) -> None:
        """Forget this instance's share of the operations past the retention."""
        await self.operations.forget_forever(
            lambda: self.configuration.configuration.defaults,
            lambda: list(self.fleet.sessions),
            self.instance,
        )

    async def refresh_fleet(self) -> None:
        """Read the instance list, the sessions and the owners."""
        match await self.instance_list.read():
            case Result(tag="ok", ok=instances):
                self.fleet.listed = {item.id: item for item in instances.instances}
            case Result(error=failure):
                log.warning("instance_list_missing", reason=failure.message)
        match await read_sessions(self.table):
            case Result(tag="ok", ok=sessions):
                self.fleet.sessions = {
                    InstanceId(row.instance): row for row in sessions
                }
            case Result(error=failure):
                log.warning("sessions_missing", reason=failure.message)
        match await self.ownership.read_all():
            case Result(tag="ok", ok=owners):
                self.fleet.owners = owners
                await self.claim_engines()
            case Result(error=failure):
                log.warning("owners_missing", reason=failure.message)

    async def claim_engines(self) -> None:
        """Claim the engines that this instance should own and nobody owns."""
        for listed in self.fleet.engines():
            engine = EngineId(listed.id)
            if engine in self.owned:
                continue
            if self.fleet.owner_of(engine) not in (None, self.instance):
                continue
            if preferred_owner(engine, self.fleet.sessions) != self.instance:
                continue
            match await self.ownership.claim(engine):
                case Result(tag="ok", ok=row):
                    await self.own(listed, row)
                case Result(error=failure):
                    log.info("claim_lost", engine=engine, reason=failure.message)

    async def own(self, listed: ListedInstance, row: OwnerRow) -> None:
        """Become the owner of an engine."""
        owner = EngineOwner(
            listed=listed,
            fencing_number=FencingNumber(row.fencing_number),
            client=EngineClient(self.client, listed.url, load_limits(self.settings)),
            recall=self.recall,
            clock=self.clock,
            metrics=self.metrics,
        )
        self.owned[owner.engine] = owner
        self.fleet.owners[owner.engine] = row
        log.info("engine_owned", engine=owner.engine, fencing=row.fencing_number)
        await owner.refresh()

    async def refresh_engines(self) -> None:
        """Read the load reports of the engines that this instance owns."""
        await asyncio.gather(*(owner.refresh() for owner in self.owned.values()))

    async def send_heartbeats(self) -> None:
        """Send a heartbeat to every peer."""
        peers = [row for name, row in self.fleet.sessions.items()]
        await asyncio.gather(
            *(
                self.send_heartbeat(row)
                for row in peers
                if row.instance != self.instance
            )
        )

    async def send_heartbeat(self, peer: SessionRow) -> None:
        """Send a heartbeat to one peer, and catch up with its configuration."""
        heartbeat = Heartbeat(
            instance=self.instance,
            incarnation=self.incarnation,
            configuration_revision=self.configuration.configuration.revision,
        )
        url = f"{peer.peer_url}/peer/heartbeat"
        match await self.peers.ask(url, heartbeat, HeartbeatAnswer, self.limits):
            case Result(tag="ok", ok=answer):
                await self.catch_up(answer.configuration_revision)
            case Result(error=failure):
                log.warning("peer_silent", peer=peer.instance, reason=failure.message)

    async def catch_up(self, revision: int) -> None:
        """Read the configuration head if a peer knows a newer revision."""
        if revision > self.configuration.configuration.revision:
            await self.refresh_configuration()

    async def ask_owner(
        self, owner: InstanceId, request: PermitRequest
    ) -> Result[PermitGrant, Failure]:
        """Ask an engine's owner, here or at a peer, for a permit."""
        if owner == self.instance:
            return await self.answer_permit(request)
        url = f"{self.fleet.sessions[owner].peer_url}/peer/permits"
        limits = CallLimits(
            self.limits.connect, timedelta(seconds=request.deadline_seconds)
        )
        return await self.peers.ask(url, request, PermitGrant, limits)

    async def answer_permit(
        self, request: PermitRequest
    ) -> Result[PermitGrant, Failure]:
        """Grant a permit on an engine that this instance owns."""
        owner = self.owned.get(EngineId(request.engine))
        if owner is None:
            message = f"{self.instance} does not own {request.engine}"
            return Error(Failure(ErrorKind.NOT_OWNER, message))
        return await owner.permit(request)

    async def recall(self, holder: InstanceId, recall: PermitRecall) -> RecallState:
        """Ask a holder, here or at a peer, to give a handle back."""
        if holder == self.instance:
            return self.permits.recall(recall).state
        peer = self.fleet.sessions.get(holder)
        if peer is None:
            return RecallState.BUSY
        url = f"{peer.peer_url}/peer/recalls"
        match await self.peers.ask(url, recall, RecallAnswer, self.limits):
            case Result(tag="ok", ok=answer):
                return answer.state
            case _:
                return RecallState.BUSY

    async def answer_recall(
        self, recall: PermitRecall
    ) -> Result[RecallAnswer, Failure]:
        """Give a handle back that no request uses."""
        return Ok(self.permits.recall(recall))

    async def answer_heartbeat(
        self, heartbeat: Heartbeat
    ) -> Result[HeartbeatAnswer, Failure]:
        """Answer a peer's heartbeat."""
        self.tasks_of_heartbeat(heartbeat.configuration_revision)
        return Ok(
            HeartbeatAnswer(
                instance=self.instance,
                incarnation=self.incarnation,
                configuration_revision=self.configuration.configuration.revision,
            )
        )

    def tasks_of_heartbeat(self, revision: int) -> None:
        """Catch up with a peer's configuration without delaying its answer."""
        start: Coroutine[Any, Any, None] = self.catch_up(revision)
        task = asyncio.create_task(start)
        task.add_done_callback(lambda done: done.exception())

    async def answer_status(self, request: object) -> Result[InstanceStatus, Failure]:
        """Describe this instance to operators."""
        assert self.caller_listener is not None
        assert self.peer_listener is not None
        return Ok(
            InstanceStatus(
                instance=self.instance,
                failure_domain=self.settings.failure_domain,
                ready=self.lifecycle.ready,
                configuration_revision=self.configuration.configuration.revision,
                engines_owned=sorted(self.owned),
                peers=sorted(self.fleet.sessions),
                in_flight=self.lifecycle.in_flight,
                caller_url=self.caller_listener.url,
                peer_url=self.peer_listener.url,
            )
        )

    def peer_routes(self) -> list[PeerRoute[Any]]:
        """Return what the peer listener serves."""
        return [
            PeerRoute("/peer/permits", PermitRequest, self.answer_permit),
            PeerRoute("/peer/recalls", PermitRecall, self.answer_recall),
            PeerRoute("/peer/heartbeat", Heartbeat, self.answer_heartbeat),
            PeerRoute("/peer/status", object, self.answer_status),
        ]
