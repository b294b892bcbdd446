"""Admission of requests to engines by batch slots, with a fair queue per engine."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

from expression import Error, Ok, Result

from magnoliatrail.clock import Clock
from magnoliatrail.errors import ErrorKind, Failure
from magnoliatrail.ids import CallerId, EngineId
from magnoliatrail.placement.batch_slot_shares import HolderDemand
from magnoliatrail.requests import RequestContext
from magnoliatrail.routing.fair_queue import FairQueue

# Used until the owner of an engine has assigned batch slots to this instance.
INITIAL_BATCH_SLOTS = 8
SERVICE_TIME_EWMA_WEIGHT = 0.1
MIN_RETRY_AFTER = timedelta(seconds=1)

SlotFuture = asyncio.Future[None]
QueueLimit = Callable[[CallerId], int]


@dataclass
class EngineBatchSlots:
    """Track the batch slots of this instance on one engine, and their use."""

    queue: FairQueue[SlotFuture]
    batch_slots: int = INITIAL_BATCH_SLOTS
    in_flight: int = 0
    started: dict[str, timedelta] = field(default_factory=dict)


class EntryBatchSlots:
    """Admit requests to engines while batch slots are free, and queue the others."""

    def __init__(self, *, clock: Clock, queue_limit: QueueLimit) -> None:
        self.clock = clock
        self.queue_limit = queue_limit
        self.engines: dict[EngineId, EngineBatchSlots] = {}
        self.mean_service_seconds = 0.0
        self.on_queued: Callable[[EngineId], None] = lambda engine: None

    def slots_of(self, engine: EngineId) -> EngineBatchSlots:
        """Return the state of an engine, created on first use."""
        if engine not in self.engines:
            self.engines[engine] = EngineBatchSlots(FairQueue())
        return self.engines[engine]

    def refusal(self, engine: EngineId, context: RequestContext) -> Failure | None:
        """Return a failure if the queue is full or too long for the deadline."""
        state = self.slots_of(engine)
        limit = self.queue_limit(context.caller)
        queued_per_slot = len(state.queue) / state.batch_slots
        expected_wait = timedelta(seconds=self.mean_service_seconds * queued_per_slot)
        if state.queue.waiting(context.caller, context.request_class) >= limit:
            message = f"{context.caller} has {limit} requests waiting for {engine}"
            return Failure(
                ErrorKind.QUEUE_FULL, message, max(expected_wait, MIN_RETRY_AFTER)
            )
        if expected_wait >= context.time_left(self.clock):
            message = f"the queue for {engine} is longer than the time left"
            retry_after = max(expected_wait, MIN_RETRY_AFTER)
            return Failure(ErrorKind.DEADLINE_UNREACHABLE, message, retry_after)
        return None

    async def acquire(
        self, engine: EngineId, context: RequestContext
    ) -> Result[None, Failure]:
        """Wait for a batch slot on an engine."""
        state = self.slots_of(engine)
        if state.in_flight >= state.batch_slots or len(state.queue):
            refusal = self.refusal(engine, context)
            if refusal:
                return Error(refusal)
            if not await self.wait_for_slot(engine, context):
                message = f"no batch place on {engine} came free in time"
                return Error(Failure(ErrorKind.DEADLINE_UNREACHABLE, message))
        else:
            state.in_flight += 1
        state.started[context.request_id] = self.clock.monotonic()
        return Ok(None)

    async def wait_for_slot(self, engine: EngineId, context: RequestContext) -> bool:
        """Queue for a batch slot, and return whether it was granted in time."""
        state = self.slots_of(engine)
        granted: SlotFuture = asyncio.get_running_loop().create_future()
        state.queue.push(
            granted,
            request_id=context.request_id,
            caller=context.caller,
            request_class=context.request_class,
            deadline=context.deadline,
        )
        self.on_queued(engine)
        seconds = context.time_left(self.clock).total_seconds()
        try:
            await asyncio.wait_for(asyncio.shield(granted), seconds)
            return True
        except TimeoutError:
            return self.leave_queue(state, granted, context)
        except asyncio.CancelledError:
            if self.leave_queue(state, granted, context):
                self.return_slot(state)
            raise

    def leave_queue(
        self, state: EngineBatchSlots, granted: SlotFuture, context: RequestContext
    ) -> bool:
        """Leave the queue, and return whether a slot had been granted already."""
        if granted.done():
            return True
        state.queue.remove(context.request_id, context.caller, context.request_class)
        return False

    def release(self, engine: EngineId, context: RequestContext) -> None:
        """Release a batch slot, and update the mean service time."""
        state = self.slots_of(engine)
        started = state.started.pop(context.request_id, None)
        if started is not None:
            seconds = (self.clock.monotonic() - started).total_seconds()
            self.mean_service_seconds += SERVICE_TIME_EWMA_WEIGHT * (
                seconds - self.mean_service_seconds
            )
        self.return_slot(state)

    def return_slot(self, state: EngineBatchSlots) -> None:
        """Return a slot and grant it to the next queued request."""
        state.in_flight -= 1
        self.grant_free_slots(state)

    def grant_free_slots(self, state: EngineBatchSlots) -> None:
        """Grant free slots to queued requests."""
        while state.in_flight < state.batch_slots and len(state.queue):
            granted = state.queue.pop()
            assert granted is not None
            state.in_flight += 1
            granted.set_result(None)

    def set_batch_slots(self, engine: EngineId, batch_slots: int) -> None:
        """Set the number of slots that an engine's owner assigned to this instance."""
        state = self.slots_of(engine)
        state.batch_slots = max(1, batch_slots)
        self.grant_free_slots(state)

    def demand(self) -> dict[EngineId, HolderDemand]:
        """Return the number of requests in flight and queued for each engine."""
        return {
            engine: HolderDemand(state.in_flight, len(state.queue))
            for engine, state in self.engines.items()
        }

    def remove_unused_engines(self, live: Callable[[EngineId], bool]) -> None:
        """Remove engines that are neither live nor in use."""
        for engine, state in list(self.engines.items()):
            if not (live(engine) or state.in_flight or len(state.queue)):
                del self.engines[engine]
