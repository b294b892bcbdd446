"""Instances in one process, connected by direct calls that can fail."""

import asyncio
from datetime import timedelta

from expression import Error, Ok

from magnoliatrail.clock import ManualClock
from magnoliatrail.coordination import Coordination
from magnoliatrail.engines.owner import EngineOwner
from magnoliatrail.engines.permits import PermitHolder
from magnoliatrail.errors import ErrorKind, Failure
from magnoliatrail.generated.engine import CompletionOrder
from magnoliatrail.generated.permits import PermitRequest, RequestClass
from magnoliatrail.generated.platform import (
    InstanceList,
    ListedInstance,
    ListedKind,
    ListedState,
)
from magnoliatrail.generated.settings import Settings
from magnoliatrail.ids import AdapterVersion, EngineId, FencingNumber, InstanceId
from magnoliatrail.metrics import RecordedMetrics
from magnoliatrail.periodic import PeriodicTasks
from magnoliatrail.standins.engine import EngineLimits, FakeEngine, Refused
from magnoliatrail.standins.instance_list import FakeInstanceList
from magnoliatrail.standins.table import FakeTable
from magnoliatrail.wire import CallLimits

ENGINE = EngineId("engine-0")
LIMITS = CallLimits(timedelta(seconds=1), timedelta(seconds=1))


async def no_fetch(source):
    pass


class DirectEngineClient:
    """Send orders to an engine stand-in without HTTP."""

    limits = LIMITS

    def __init__(self, engine):
        self.engine = engine

    async def load(self, handle, model, fencing_number):
        try:
            await self.engine.load(handle, str(model), fencing_number)
        except Refused as refused:
            return Error(Failure(ErrorKind.LOAD_FAILED, str(refused)))
        return Ok(None)

    async def unload(self, handle, fencing_number):
        try:
            self.engine.unload(handle, fencing_number)
        except Refused as refused:
            return Error(Failure(ErrorKind.STALE_FENCING_NUMBER, str(refused)))
        return Ok(None)

    async def report(self):
        return Ok(self.engine.fresh_report())


class DirectPeers:
    """Call the peer routes of another instance without HTTP."""

    def __init__(self, network, sender):
        self.network = network
        self.sender = sender

    async def ask(self, url, message, answer_type, limits):
        name, _, path = url.removeprefix("http://").partition("/")
        node = self.network.nodes.get(name)
        if node is None or node.paused or self.network.nodes[self.sender].paused:
            return Error(Failure(ErrorKind.PEER_UNAVAILABLE, f"{name} is silent"))
        routes = {route.path: route for route in node.coordination.peer_routes()}
        return await routes[f"/{path}"].answer(message)


class Node:
    """One instance with its permits and its engine owner."""

    def __init__(self, network, name):
        self.network = network
        self.name = name
        self.paused = False
        self.permits = PermitHolder()
        self.tasks = PeriodicTasks(network.clock)
        settings = Settings(
            instance_id=name,
            failure_domain="domain-0",
            peer_token="token-for-tests-only",
            table_url="http://table",
            objects_url="http://objects",
            weights_url="http://weights",
            instance_list_url="http://list",
        )
        self.coordination = Coordination(
            settings=settings,
            clock=network.clock,
            metrics=RecordedMetrics(),
            table=network.table,
            instance_list=network.list,
            permits=self.permits,
            peers=DirectPeers(network, name),
            tasks=self.tasks,
            limits=LIMITS,
            new_owner=self.new_owner,
            checks_fencing=lambda owner: network.engine.limits.checks_fencing,
        )
        self.coordination.connect(
            peer_url=f"http://{name}",
            revision=lambda: 0,
            catch_up=self.catch_up,
            poll_configuration=self.poll_configuration,
        )

    async def catch_up(self, revision, peer):
        pass

    async def poll_configuration(self):
        pass

    def new_owner(self, listed, row):
        return EngineOwner(
            listed=listed,
            fencing_number=FencingNumber(row.fencing_number),
            client=DirectEngineClient(self.network.engine),
            recall=self.coordination.permit_calls.recall,
            clock=self.network.clock,
            metrics=RecordedMetrics(),
        )

    @property
    def owner(self):
        return self.coordination.owned.owners.get(ENGINE)

    async def permit(self, model):
        """Return a held permit, or request one from the engine's owner."""
        held = self.permits.usable(model, lambda engine: True)
        if held:
            return held[0]
        fleet = self.coordination.fleet
        owner = fleet.owner_of(ENGINE)
        if owner is None:
            return None
        request = PermitRequest(
            holder=self.name,
            engine=ENGINE,
            adapter=model.adapter,
            version=model.version,
            request_id="r",
            request_class=RequestClass.INTERACTIVE,
            waiting=1,
            deadline_seconds=1.0,
            rate=0.0,
            caller="caller",
        )
        result = await self.coordination.permit_calls.ask_owner(owner, request)
        return self.permits.put(result.ok) if result.is_ok() else None


class Network:
    """Several instances that share one engine."""

    def __init__(self, names, *, checks_fencing, slots=2):
        self.clock = ManualClock()
        self.table = FakeTable()
        self.list = FakeInstanceList(self.clock)
        limits = EngineLimits(
            adapter_slots=slots, checks_fencing=checks_fencing, report_lag=timedelta()
        )
        self.engine = FakeEngine(self.clock, limits, no_fetch)
        self.put(ENGINE, ListedKind.ENGINE, "base")
        self.nodes = {}
        self.requests = 0
        for name in names:
            self.put(name, ListedKind.INSTANCE, "")
            self.nodes[name] = Node(self, name)

    def put(self, name, kind, base_model):
        self.list.put(
            ListedInstance(
                id=name,
                kind=kind,
                name=base_model,
                url=f"http://{name}",
                failure_domain="domain-0",
                state=ListedState.LIVE,
            )
        )

    async def join_all(self):
        for node in self.nodes.values():
            await node.coordination.join()
        await self.gossip()

    async def gossip(self):
        """Exchange gossip between the running instances and reconcile ownership."""
        for _ in range(2):
            for node in self.nodes.values():
                if not node.paused:
                    await node.coordination.heartbeats.send_round()
        for node in self.nodes.values():
            if not node.paused:
                await node.coordination.claims.reconcile()
                await node.coordination.owned.refresh()
        await self.run_ready_tasks()

    async def drive(self, work):
        """Run a coroutine, and advance the clock whenever it waits."""
        task = asyncio.ensure_future(work)
        while not task.done():
            await self.run_ready_tasks()
            if not task.done():
                self.clock.advance(timedelta(milliseconds=50))
        return task.result()

    async def run_ready_tasks(self):
        """Run the tasks that are ready."""
        for _ in range(20):
            await asyncio.sleep(0)

    def start_request(self, node, permit):
        """Start a request under a permit; return None if the engine refuses it."""
        self.requests += 1
        order = CompletionOrder(
            model=permit.handle, prompt="p", max_tokens=1000, stream=True
        )
        request_id = f"request-{self.requests}"
        try:
            self.engine.start(request_id, order)
        except Refused:
            node.permits.drop(permit)
            return None
        permit.in_flight += 1
        return request_id, permit

    async def end_request(self, request):
        """End a request that runs."""
        request_id, permit = request
        self.engine.cancel(request_id)
        self.clock.advance(self.engine.limits.token_time)
        await self.run_ready_tasks()
        permit.in_flight -= 1

    async def close(self):
        for node in self.nodes.values():
            await node.tasks.cancel()
        for task in list(self.engine.tasks):
            task.cancel()
        await self.run_ready_tasks()


def listing(*items):
    return InstanceList(instances=list(items))


MODELS = [AdapterVersion(f"adapter-{number}", "1") for number in range(4)]
NAMES = [InstanceId(name) for name in ("one", "two", "three")]
