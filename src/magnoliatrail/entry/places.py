"""The batch places of one instance, and the requests that wait for them."""

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

PLACES_UNTIL_TOLD = 8
SMOOTHING = 0.1
LEAST_RETRY_AFTER = timedelta(seconds=1)

Wake = asyncio.Future[None]
QueueLimit = Callable[[CallerId], int]


@dataclass
class EnginePlaces:
    """Count the places on one engine."""

    queue: FairQueue[Wake]
    places: int = PLACES_UNTIL_TOLD
    in_flight: int = 0
    started: dict[str, timedelta] = field(default_factory=dict)


class EntryPlaces:
    """Let requests through to the engines while there are batch places."""

    def __init__(self, *, clock: Clock, queue_limit: QueueLimit) -> None:
        self.clock = clock
        self.queue_limit = queue_limit
        self.engines: dict[EngineId, EnginePlaces] = {}
        self.service_seconds = 0.0
        self.on_short: Callable[[EngineId], None] = lambda engine: None

    def on(self, engine: EngineId) -> EnginePlaces:
        """Return the places on an engine."""
        if engine not in self.engines:
            self.engines[engine] = EnginePlaces(FairQueue())
        return self.engines[engine]

    def refusal(self, engine: EngineId, context: RequestContext) -> Failure | None:
        """Return why a request should not queue, if so."""
        state = self.on(engine)
        limit = self.queue_limit(context.caller)
        rounds = len(state.queue) / state.places
        wait = timedelta(seconds=self.service_seconds * rounds)
        if state.queue.waiting(context.caller, context.request_class) >= limit:
            message = f"{context.caller} has {limit} requests waiting for {engine}"
            return Failure(ErrorKind.QUEUE_FULL, message, max(wait, LEAST_RETRY_AFTER))
        if wait >= context.time_left(self.clock):
            message = f"the queue for {engine} is longer than the time left"
            retry_after = max(wait, LEAST_RETRY_AFTER)
            return Failure(ErrorKind.DEADLINE_UNREACHABLE, message, retry_after)
        return None

    async def acquire(
        self, engine: EngineId, context: RequestContext
    ) -> Result[None, Failure]:
        """Wait for a place on an engine."""
        state = self.on(engine)
        if state.in_flight >= state.places or len(state.queue):
            refusal = self.refusal(engine, context)
            if refusal:
                return Error(refusal)
            if not await self.wait(engine, context):
                message = f"no batch place on {engine} came free in time"
                return Error(Failure(ErrorKind.DEADLINE_UNREACHABLE, message))
        else:
            state.in_flight += 1
        state.started[context.request_id] = self.clock.monotonic()
        return Ok(None)

    async def wait(self, engine: EngineId, context: RequestContext) -> bool:
        """Queue for a place, and return whether one came in time."""
        state = self.on(engine)
        wake: Wake = asyncio.get_running_loop().create_future()
        state.queue.push(
            wake,
            request_id=context.request_id,
            caller=context.caller,
            request_class=context.request_class,
            deadline=context.deadline,
        )
        self.on_short(engine)
        seconds = context.time_left(self.clock).total_seconds()
        try:
            await asyncio.wait_for(asyncio.shield(wake), seconds)
            return True
        except TimeoutError:
            return self.give_up(state, wake, context)
        except asyncio.CancelledError:
            if self.give_up(state, wake, context):
                self.free(state)
            raise

    def give_up(self, state: EnginePlaces, wake: Wake, context: RequestContext) -> bool:
        """Leave the queue, and return whether a place came at the last moment."""
        if wake.done():
            return True
        state.queue.remove(context.request_id, context.caller, context.request_class)
        return False

    def release(self, engine: EngineId, context: RequestContext) -> None:
        """Give a place to the next request that waits."""
        state = self.on(engine)
        started = state.started.pop(context.request_id, None)
        if started is not None:
            seconds = (self.clock.monotonic() - started).total_seconds()
            self.service_seconds += SMOOTHING * (seconds - self.service_seconds)
        self.free(state)

    def free(self, state: EnginePlaces) -> None:
        """Count a place as free and use it."""
        state.in_flight -= 1
        self.fill(state)

    def fill(self, state: EnginePlaces) -> None:
        """Wake requests while there are places."""
        while state.in_flight < state.places and len(state.queue):
            wake = state.queue.pop()
            assert wake is not None
            state.in_flight += 1
            wake.set_result(None)

    def set_places(self, engine: EngineId, places: int) -> None:
        """Use the places that an engine's owner gives this instance."""
        state = self.on(engine)
        state.places = max(1, places)
        self.fill(state)

    def demand(self) -> dict[EngineId, HolderDemand]:
        """Return the requests in flight and waiting on each engine."""
        return {
            engine: HolderDemand(state.in_flight, len(state.queue))
            for engine, state in self.engines.items()
        }

    def forget(self, live: Callable[[EngineId], bool]) -> None:
        """Forget engines that are gone and unused."""
        for engine, state in list(self.engines.items()):
            if not (live(engine) or state.in_flight or len(state.queue)):
                del self.engines[engine]
