"""Dispatch of completions: permit, batch slot, engine call and bounded retries."""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from random import Random

from expression import Error, Ok, Result

from magnoliatrail.clock import Clock
from magnoliatrail.engines.permits import Permit
from magnoliatrail.entry.answer_sink import AnswerSink
from magnoliatrail.entry.batch_slots import EntryBatchSlots
from magnoliatrail.entry.engine_call import EngineCaller
from magnoliatrail.entry.retry_budget import RetryBudget
from magnoliatrail.errors import ErrorKind, Failure
from magnoliatrail.ids import CallerId, EngineId
from magnoliatrail.logs import EventLog
from magnoliatrail.membership.pause import PauseGate
from magnoliatrail.metrics import Metrics
from magnoliatrail.operations.backoff import Backoff, backoff_delays
from magnoliatrail.peers.quarantine_exchange import QuarantineExchange
from magnoliatrail.requests import CompletionCall
from magnoliatrail.routing.circuit import Circuits, CircuitSettings
from magnoliatrail.routing.permit_search import PermitSearch
from magnoliatrail.routing.quarantine import REASON

log = EventLog("dispatch")

RETRY_BACKOFF = Backoff(
    first=timedelta(milliseconds=20),
    longest=timedelta(seconds=1),
    total=timedelta(hours=1),
)
# A lease takeover gives an engine a new owner within this time; after it, no owner
# is expected.
MAX_TAKEOVER_WAIT = timedelta(seconds=10)
DEFAULT_RETRY_SHARE = 0.1
DEFAULT_MAX_QUEUED_REQUESTS = 256

ENGINE_AT_FAULT = {
    ErrorKind.BACKEND_UNREACHABLE,
    ErrorKind.BACKEND_FAILED,
    ErrorKind.ANSWER_INTERRUPTED,
    ErrorKind.ANSWER_INVALID,
}


def default_queue_limit(caller: CallerId) -> int:
    """Return the default queue limit per caller, request class and engine."""
    return DEFAULT_MAX_QUEUED_REQUESTS


def is_final(failure: Failure) -> bool:
    """Return whether a queue limit, the deadline or a quarantine rules out a retry."""
    if failure.kind is ErrorKind.QUEUE_FULL:
        return failure.retry_after is not None
    return failure.kind in {
        ErrorKind.DEADLINE_UNREACHABLE,
        ErrorKind.PROMPT_QUARANTINED,
    }


class Dispatcher:
    """Dispatch completions to engines, and retry those that may run again."""

    def __init__(
        self,
        *,
        clock: Clock,
        metrics: Metrics,
        search: PermitSearch,
        caller: EngineCaller,
        quarantine: QuarantineExchange,
        gate: PauseGate | None = None,
        is_live: Callable[[EngineId], bool] = lambda engine: True,
        batch_slots: EntryBatchSlots | None = None,
        circuits: Circuits | None = None,
        retry_share: Callable[[], float] = lambda: DEFAULT_RETRY_SHARE,
        generator: Random | None = None,
    ) -> None:
        self.clock = clock
        self.metrics = metrics
        self.search = search
        self.caller = caller
        self.quarantine = quarantine
        self.gate = gate
        self.is_live = is_live
        self.slots = batch_slots or EntryBatchSlots(
            clock=clock, queue_limit=default_queue_limit
        )
        self.circuits = circuits or Circuits(CircuitSettings())
        self.budget = RetryBudget(retry_share)
        self.generator = generator or Random()

    async def dispatch(
        self, request: CompletionCall, sink: AnswerSink
    ) -> Result[None, Failure]:
        """Run a request, and retry it within its deadline and the retry budget."""
        self.budget.earn()
        delays = backoff_delays(RETRY_BACKOFF, self.generator)
        without_engine_since = request.context.started
        while True:
            match await self.try_once(request, sink):
                case Result(tag="ok"):
                    return Ok(None)
                case Result(error=failure):
                    pass
            if failure.kind in ENGINE_AT_FAULT:
                without_engine_since = self.clock.monotonic()
            delay = next(delays, timedelta.max)
            if not self.may_retry(request, failure, delay, without_engine_since):
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
        self,
        request: CompletionCall,
        failure: Failure,
        delay: timedelta,
        without_engine_since: timedelta,
    ) -> bool:
        """Return whether a failed request may be retried after `delay`."""
        if not failure.may_run_again or is_final(failure):
            return False
        if delay >= request.context.time_left(self.clock):
            return False
        waited = self.clock.monotonic() - without_engine_since
        if failure.kind is ErrorKind.NO_BACKEND_SERVER and waited > MAX_TAKEOVER_WAIT:
            return False
        return failure.kind not in ENGINE_AT_FAULT or self.budget.spend()

    async def try_once(
        self, request: CompletionCall, sink: AnswerSink
    ) -> Result[None, Failure]:
        """Obtain a permit and run the request under it."""
        if self.quarantine.refuses(request.parts):
            return Error(self.quarantined(request))
        try:
            async with asyncio.timeout(None) as timeout:
                with self.quarantine.rules.waiting_request(timeout, request.parts):
                    found = await self.find_slot(request)
        except TimeoutError:
            if not timeout.expired():
                raise
            return Error(self.quarantined(request))
        match found:
            case Result(tag="ok", ok=permit):
                return await self.run_in_batch_slot(request, permit, sink)
            case Result(error=failure):
                return Error(failure)

    def quarantined(self, request: CompletionCall) -> Failure:
        """Return the failure of a request whose prompt is quarantined, and log it."""
        log.info(
            "prompt_quarantined",
            request=request.context.request_id,
            parts=",".join(request.parts),
        )
        retry_after = self.quarantine.rules.retry_after(request.parts)
        return Failure(ErrorKind.PROMPT_QUARANTINED, REASON, retry_after)

    async def find_slot(self, request: CompletionCall) -> Result[Permit, Failure]:
        """Obtain a permit, and wait for a batch slot of its engine."""
        match await self.search.obtain(request):
            case Result(tag="ok", ok=permit):
                pass
            case Result(error=failure):
                return Error(failure)
        permit.waiting += 1
        try:
            acquired = await self.slots.acquire(permit.engine, request.context)
        finally:
            permit.waiting -= 1
        return acquired.map(lambda _: permit)

    async def run_in_batch_slot(
        self, request: CompletionCall, permit: Permit, sink: AnswerSink
    ) -> Result[None, Failure]:
        """Run a request in its batch slot."""
        changed = await self.recheck_permit(permit)
        if changed is None and self.quarantine.refuses(request.parts, sending=True):
            changed = self.quarantined(request)
        if changed:
            self.slots.release(permit.engine, request.context)
            return Error(changed)
        self.circuits.started(permit.engine, self.clock.monotonic())
        try:
            result = await self.caller.run(request, permit, sink)
        finally:
            self.slots.release(permit.engine, request.context)
            self.circuits.ended(permit.engine)
        self.update_circuit(permit, result)
        return result

    async def recheck_permit(self, permit: Permit) -> Failure | None:
        """Return a failure if the permit became unusable while the request waited."""
        if self.gate and not self.gate.is_open:
            await self.gate.wait_until_open()
            message = "this instance was paused while a request waited"
            return Failure(ErrorKind.STALE_FENCING_NUMBER, message)
        if not self.is_live(permit.engine):
            message = f"engine {permit.engine} began to leave"
            return Failure(ErrorKind.NO_BACKEND_SERVER, message)
        return None

    def update_circuit(self, permit: Permit, result: Result[None, Failure]) -> None:
        """Record the result of a request in the engine's circuit breaker."""
        if result.is_ok():
            self.circuits.succeeded(permit.engine)
        elif result.error.kind in ENGINE_AT_FAULT:
            self.circuits.failed(permit.engine, self.clock.monotonic())
