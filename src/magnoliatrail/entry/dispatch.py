"""Dispatch of a completion: permit, batch place, engine, and retries in bounds."""

from collections.abc import Callable
from datetime import timedelta
from random import Random

from expression import Error, Ok, Result

from magnoliatrail.clock import Clock
from magnoliatrail.engines.permits import Permit
from magnoliatrail.entry.answer_sink import AnswerSink
from magnoliatrail.entry.engine_call import EngineCaller
from magnoliatrail.entry.places import EntryPlaces
from magnoliatrail.entry.retry_budget import RetryBudget
from magnoliatrail.errors import ErrorKind, Failure
from magnoliatrail.ids import CallerId, EngineId
from magnoliatrail.logs import EventLog
from magnoliatrail.membership.pause import PauseGate
from magnoliatrail.metrics import Metrics
from magnoliatrail.operations.backoff import Backoff, backoff_delays
from magnoliatrail.requests import CompletionCall
from magnoliatrail.routing.circuit import Circuits, CircuitSettings
from magnoliatrail.routing.permit_search import PermitSearch

log = EventLog("dispatch")

RETRY = Backoff(
    first=timedelta(milliseconds=20),
    longest=timedelta(seconds=1),
    total=timedelta(hours=1),
)
# An engine whose owner is gone has a new one by then; later nobody is to come.
TAKEOVER_PATIENCE = timedelta(seconds=10)
RETRY_SHARE = 0.1
QUEUE_LIMIT = 256

ENGINE_AT_FAULT = {
    ErrorKind.BACKEND_UNREACHABLE,
    ErrorKind.BACKEND_FAILED,
    ErrorKind.ANSWER_INTERRUPTED,
    ErrorKind.ANSWER_INVALID,
}


def default_queue_limit(caller: CallerId) -> int:
    """Return how many requests of a caller and class may wait for an engine."""
    return QUEUE_LIMIT


def is_final(failure: Failure) -> bool:
    """Return whether a request was refused for its limits or its time."""
    if failure.kind is ErrorKind.QUEUE_FULL:
        return failure.retry_after is not None
    return failure.kind is ErrorKind.DEADLINE_UNREACHABLE


class Dispatcher:
    """Answer completions, again on another engine where they did not run."""

    def __init__(
        self,
        *,
        clock: Clock,
        metrics: Metrics,
        search: PermitSearch,
        caller: EngineCaller,
        gate: PauseGate | None = None,
        is_live: Callable[[EngineId], bool] = lambda engine: True,
        places: EntryPlaces | None = None,
        circuits: Circuits | None = None,
        retry_share: Callable[[], float] = lambda: RETRY_SHARE,
        generator: Random | None = None,
    ) -> None:
        self.clock = clock
        self.metrics = metrics
        self.search = search
        self.caller = caller
        self.gate = gate
        self.is_live = is_live
        self.places = places or EntryPlaces(
            clock=clock, queue_limit=default_queue_limit
        )
        self.circuits = circuits or Circuits(CircuitSettings())
        self.budget = RetryBudget(retry_share)
        self.generator = generator or Random()

    async def dispatch(
        self, request: CompletionCall, sink: AnswerSink
    ) -> Result[None, Failure]:
        """Answer a request, again on another engine where it did not run."""
        self.budget.earn()
        delays = backoff_delays(RETRY, self.generator)
        while True:
            match await self.try_once(request, sink):
                case Result(tag="ok"):
                    return Ok(None)
                case Result(error=failure):
                    pass
            delay = next(delays, timedelta.max)
            if not self.may_retry(request, failure, delay):
                return Error(failure)
            self.metrics.count("retries")
            log.info(
                "retry",
                request=request.context.request_id,
                kind=failure.kind,
                reason=failure.message,
                delay_ms=round(delay.total_seconds() * 1000),
            )
            await self.clock.sleep(delay)

    def may_retry(
        self, request: CompletionCall, failure: Failure, delay: timedelta
    ) -> bool:
        """Return whether a failed attempt may be followed by another."""
        if not failure.may_run_again or is_final(failure):
            return False
        if delay >= request.context.time_left(self.clock):
            return False
        waited = self.clock.monotonic() - request.context.started
        if failure.kind is ErrorKind.NO_BACKEND_SERVER and waited > TAKEOVER_PATIENCE:
            return False
        return failure.kind not in ENGINE_AT_FAULT or self.budget.spend()

    async def try_once(
        self, request: CompletionCall, sink: AnswerSink
    ) -> Result[None, Failure]:
        """Get a permit and run the request under it."""
        match await self.search.obtain(request):
            case Result(tag="ok", ok=permit):
                return await self.run_in_place(request, permit, sink)
            case Result(error=failure):
                return Error(failure)

    async def run_in_place(
        self, request: CompletionCall, permit: Permit, sink: AnswerSink
    ) -> Result[None, Failure]:
        """Wait for a batch place, and run the request in it."""
        permit.waiting += 1
        try:
            place = await self.places.acquire(permit.engine, request.context)
        finally:
            permit.waiting -= 1
        if place.is_error():
            return place
        unfit = await self.unfit(permit)
        if unfit:
            self.places.release(permit.engine, request.context)
            return Error(unfit)
        self.circuits.started(permit.engine, self.clock.monotonic())
        try:
            result = await self.caller.run(request, permit, sink)
        finally:
            self.places.release(permit.engine, request.context)
            self.circuits.ended(permit.engine)
        self.judge(permit, result)
        return result

    async def unfit(self, permit: Permit) -> Failure | None:
        """Return what has changed while a request waited, None if nothing has."""
        if self.gate and not self.gate.is_open:
            await self.gate.passed()
            message = "this instance was paused while a request waited"
            return Failure(ErrorKind.STALE_FENCING_NUMBER, message)
        if not self.is_live(permit.engine):
            message = f"engine {permit.engine} began to leave"
            return Failure(ErrorKind.NO_BACKEND_SERVER, message)
        return None

    def judge(self, permit: Permit, result: Result[None, Failure]) -> None:
        """Open or close an engine's circuit by what came of a request."""
        if result.is_ok():
            self.circuits.succeeded(permit.engine)
        elif result.error.kind in ENGINE_AT_FAULT:
            self.circuits.failed(permit.engine, self.clock.monotonic())
