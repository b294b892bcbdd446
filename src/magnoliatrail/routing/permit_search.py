"""Search for a permit: one that is held, or one from an engine's owner."""

from collections.abc import Awaitable, Callable

from expression import Error, Ok, Result

from magnoliatrail.clock import Clock
from magnoliatrail.engines.permits import Permit, PermitHolder
from magnoliatrail.errors import ErrorKind, Failure
from magnoliatrail.generated.permits import PermitGrant, PermitRequest
from magnoliatrail.ids import EngineId, InstanceId
from magnoliatrail.logs import EventLog
from magnoliatrail.membership.fleet import Fleet
from magnoliatrail.metrics import Metrics
from magnoliatrail.placement.catalogue import AdapterCatalogue
from magnoliatrail.requests import CompletionCall
from magnoliatrail.routing.rendezvous import ranked

log = EventLog("routing")

AskOwner = Callable[
    [InstanceId, PermitRequest], Awaitable[Result[PermitGrant, Failure]]
]


class PermitSearch:
    """Find a permit for each request of one instance."""

    def __init__(
        self,
        *,
        instance: InstanceId,
        clock: Clock,
        metrics: Metrics,
        fleet: Fleet,
        catalogue: AdapterCatalogue,
        permits: PermitHolder,
        ask_owner: AskOwner,
    ) -> None:
        self.instance = instance
        self.clock = clock
        self.metrics = metrics
        self.fleet = fleet
        self.catalogue = catalogue
        self.permits = permits
        self.ask_owner = ask_owner

    async def obtain(self, request: CompletionCall) -> Result[Permit, Failure]:
        """Return a permit that is held, or ask the candidates' owners for one."""
        held = self.permits.usable(request.model, self.fleet.is_live)
        if held:
            chosen = max(held, key=lambda permit: permit.free_places)
            self.log_route(request, chosen.engine, "permit_held")
            return Ok(chosen)
        started = self.clock.monotonic()
        base_model = self.catalogue.base_models[request.model]
        engines = [item.id for item in self.fleet.live_engines(base_model)]
        failure = Failure(ErrorKind.NO_BACKEND_SERVER, f"no engine for {base_model}")
        for engine in ranked(str(request.model), engines):
            match await self.ask(request, EngineId(engine)):
                case Result(tag="ok", ok=grant):
                    stall = self.clock.monotonic() - started
                    self.metrics.timing("load_stall", stall)
                    self.log_route(request, EngineId(engine), "permit_granted")
                    return Ok(self.permits.put(grant))
                case Result(error=failure):
                    log.info(
                        "candidate_refused",
                        request=request.context.request_id,
                        engine=engine,
                        reason=failure.message,
                    )
        return Error(failure)

    async def ask(
        self, request: CompletionCall, engine: EngineId
    ) -> Result[PermitGrant, Failure]:
        """Ask the owner of an engine for a permit."""
        owner = self.fleet.owner_of(engine)
        if owner is None:
            message = f"engine {engine} has no owner"
            return Error(Failure(ErrorKind.NO_BACKEND_SERVER, message))
        time_left = request.context.time_left(self.clock)
        permit_request = PermitRequest(
            holder=self.instance,
            engine=engine,
            adapter=request.model.adapter,
            version=request.model.version,
            request_id=request.context.request_id,
            request_class=request.context.request_class,
            waiting=1,
            deadline_seconds=time_left.total_seconds(),
        )
        return await self.ask_owner(owner, permit_request)

    def log_route(self, request: CompletionCall, engine: EngineId, reason: str) -> None:
        """Log a routing decision."""
        log.info(
            "routed",
            request=request.context.request_id,
            model=request.model,
            engine=engine,
            reason=reason,
        )
