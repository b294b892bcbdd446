"""Permit search: reuse a held permit, or request one from an engine's owner."""

from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from datetime import timedelta

from expression import Error, Ok, Result

from magnoliatrail.clock import Clock
from magnoliatrail.engines.demand import EngineDirectory
from magnoliatrail.engines.permits import Permit, PermitHolder
from magnoliatrail.errors import ErrorKind, Failure
from magnoliatrail.generated.permits import PermitGrant, PermitRequest
from magnoliatrail.generated.platform import ListedInstance
from magnoliatrail.ids import AdapterVersion, EngineId, InstanceId
from magnoliatrail.logs import EventLog
from magnoliatrail.membership.fleet import Fleet
from magnoliatrail.metrics import Metrics
from magnoliatrail.placement.batch_slot_shares import HolderDemand
from magnoliatrail.placement.catalogue import AdapterCatalogue
from magnoliatrail.placement.popularity import Popularity, PopularitySettings
from magnoliatrail.requests import AnswerOrigin, CompletionCall
from magnoliatrail.routing.answer_origin import may_go_on
from magnoliatrail.routing.candidates import CandidateIndex
from magnoliatrail.routing.circuit import Circuits, CircuitSettings
from magnoliatrail.routing.engine_choice import (
    AdapterDemand,
    Choice,
    EngineView,
    PlacementWeights,
    Residency,
    choose_engine,
)

log = EventLog("routing")

AskOwner = Callable[
    [InstanceId, PermitRequest], Awaitable[Result[PermitGrant, Failure]]
]

MAX_CANDIDATES = 12
DEFAULT_BATCH_SLOTS = 8
EXPECTED_LOAD_WAIT = timedelta(seconds=0.5)
NON_RETRYABLE_KINDS = {ErrorKind.DEADLINE_UNREACHABLE}


@dataclass
class RoutingState:
    """The inputs of the routing decisions of one instance."""

    popularity: Popularity[AdapterVersion] = field(
        default_factory=lambda: Popularity(PopularitySettings())
    )
    directory: EngineDirectory = field(default_factory=EngineDirectory)
    circuits: Circuits = field(default_factory=lambda: Circuits(CircuitSettings()))
    demand: Callable[[], dict[EngineId, HolderDemand]] = dict
    service_time: Callable[[], timedelta] = timedelta
    weights: Callable[[], PlacementWeights] = PlacementWeights
    instances: Callable[[], int] = lambda: 1


class PermitSearch:
    """Find permits for the requests of one instance."""

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
        state: RoutingState | None = None,
    ) -> None:
        self.instance = instance
        self.clock = clock
        self.metrics = metrics
        self.fleet = fleet
        self.catalogue = catalogue
        self.permits = permits
        self.ask_owner = ask_owner
        self.state = state or RoutingState()
        self.pending_requests: dict[AdapterVersion, Counter[EngineId]] = {}
        self.indexes: dict[tuple[str, ...], CandidateIndex] = {}

    async def obtain(self, request: CompletionCall) -> Result[Permit, Failure]:
        """Return a held permit, or request one from the candidates' owners in turn."""
        started = self.clock.monotonic()
        self.state.popularity.record(request.model, started)
        candidates = self.candidates(request.model, request.origin)
        message = "no live engine answers"
        if request.origin.version:
            message = "no live engine of the software version of the answer"
        failure = Failure(ErrorKind.NO_BACKEND_SERVER, message)
        while candidates:
            choice = self.choose(request.model, candidates)
            permit = self.held_permit(request.model, choice.engine)
            if permit:
                self.record_choice(request, choice, started)
                return Ok(permit)
            match await self.ask(request, choice.engine):
                case Result(tag="ok", ok=grant):
                    self.record_choice(request, choice, started)
                    return Ok(self.permits.put(grant))
                case Result(error=failure):
                    self.log_refusal(request, choice.engine, failure)
                    if failure.kind in NON_RETRYABLE_KINDS:
                        break
            candidates.remove(choice.engine)
        return Error(failure)

    def candidates(self, model: AdapterVersion, origin: AnswerOrigin) -> list[EngineId]:
        """Return the live engines that may serve a request, best first.

        Engines with an open circuit are left out, unless all circuits are open.
        """
        # The adapter may have been removed from the catalogue since the request came.
        base_model = self.catalogue.base_models.get(model, "")
        engines = self.fleet.live_engines(base_model)
        names = self.index(base_model, engines, origin).candidates(
            str(model), MAX_CANDIDATES
        )
        now = self.clock.monotonic()
        usable = [name for name in names if self.state.circuits.allows(name, now)]
        return usable or names

    def index(
        self, base_model: str, engines: list[ListedInstance], origin: AnswerOrigin
    ) -> CandidateIndex:
        """Return the index of the engines that may run a request."""
        if origin.version:
            # Answers that broke off are rare, so the usual index stays the kept one.
            servers = self.fleet.servers
            return CandidateIndex(
                item
                for item in engines
                if may_go_on(servers, origin, EngineId(item.id))
            )
        key = (base_model, *(item.id for item in engines))
        if key not in self.indexes:
            self.indexes = {
                known: index
                for known, index in self.indexes.items()
                if known[0] != base_model
            }
            self.indexes[key] = CandidateIndex(engines)
        return self.indexes[key]

    def choose(self, model: AdapterVersion, candidates: list[EngineId]) -> Choice:
        """Choose an engine by the known state of the candidates."""
        demand = self.state.demand()
        views = [self.view(model, engine, demand) for engine in candidates]
        rate = self.state.popularity.value(model, self.clock.monotonic())
        adapter_demand = AdapterDemand(
            rate=rate * self.state.instances(),
            service_time=self.state.service_time(),
            load_wait=EXPECTED_LOAD_WAIT,
        )
        return choose_engine(views, adapter_demand, self.state.weights())

    def view(
        self,
        model: AdapterVersion,
        engine: EngineId,
        demand: dict[EngineId, HolderDemand],
    ) -> EngineView:
        """Return the state of a candidate engine, from local counts and digests."""
        directory = self.state.directory
        digest = directory.digests.get(engine)
        own = demand.get(engine, HolderDemand(0, 0))
        return EngineView(
            engine=engine,
            residency=self.residency(model, engine),
            batch_slots=digest.batch_slots if digest else DEFAULT_BATCH_SLOTS,
            in_flight=max(own.in_flight, digest.in_flight if digest else 0),
            waiting=max(own.waiting, digest.waiting if digest else 0),
            free_slots=digest.free_slots if digest else 0,
            slot_value=directory.slot_value(engine),
        )

    def residency(self, model: AdapterVersion, engine: EngineId) -> Residency:
        """Return an adapter's residency, from permits, pending requests and digests."""
        if self.held_permit(model, engine):
            return Residency.LOADED
        if engine in self.pending_requests.get(model, ()):
            return Residency.LOADING
        if str(model) in self.state.directory.loaded.get(engine, ()):
            return Residency.LOADED
        return Residency.ABSENT

    def held_permit(self, model: AdapterVersion, engine: EngineId) -> Permit | None:
        """Return the held permit for an adapter on an engine, None if there is none."""
        usable = self.permits.usable(model, lambda name: name == engine)
        return usable[0] if usable else None

    async def ask(
        self, request: CompletionCall, engine: EngineId
    ) -> Result[PermitGrant, Failure]:
        """Request a permit from the owner of an engine."""
        owner = self.fleet.owner_of(engine)
        if owner is None:
            message = f"engine {engine} has no owner"
            return Error(Failure(ErrorKind.NO_BACKEND_SERVER, message))
        pending = self.pending_requests.setdefault(request.model, Counter())
        pending[engine] += 1
        try:
            return await self.ask_owner(owner, self.permit_request(request, engine))
        finally:
            pending[engine] -= 1
            if not pending[engine]:
                del pending[engine]
            if not pending:
                self.pending_requests.pop(request.model, None)

    def permit_request(
        self, request: CompletionCall, engine: EngineId
    ) -> PermitRequest:
        """Build the permit request for an engine's owner."""
        time_left = request.context.time_left(self.clock)
        rate = self.state.popularity.value(request.model, self.clock.monotonic())
        return PermitRequest(
            holder=self.instance,
            engine=engine,
            adapter=request.model.adapter,
            version=request.model.version,
            request_id=request.context.request_id,
            request_class=request.context.request_class,
            waiting=1,
            deadline_seconds=time_left.total_seconds(),
            rate=rate * self.state.instances(),
            caller=request.context.caller,
        )

    def record_choice(
        self, request: CompletionCall, choice: Choice, started: timedelta
    ) -> None:
        """Record the metrics of a routing decision and log it."""
        stall = self.clock.monotonic() - started
        self.metrics.timing("load_stall", stall)
        self.state.directory.record_use(choice.engine, request.model)
        log.info(
            "routed",
            request=request.context.request_id,
            model=request.model,
            engine=choice.engine,
            reason=choice.reason,
            stall_ms=round(stall.total_seconds() * 1000),
        )

    def log_refusal(
        self, request: CompletionCall, engine: EngineId, failure: Failure
    ) -> None:
        """Log a candidate's refusal of a request."""
        log.info(
            "candidate_refused",
            request=request.context.request_id,
            engine=engine,
            kind=failure.kind,
            reason=failure.message,
        )
