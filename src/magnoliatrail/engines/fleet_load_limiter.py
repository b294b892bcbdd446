"""Rate limiter of the fleet's adapter loads, run by one live instance at a time."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from magnoliatrail.clock import Clock
from magnoliatrail.placement.load_rate_limiter import LoadLimits, LoadRateLimiter

ACQUIRE_TIMEOUT = timedelta(seconds=1)


@dataclass(eq=False, slots=True)
class PendingAcquire:
    """One instance's pending request to start a load."""

    value: float
    granted: asyncio.Future[bool]


class FleetLoadLimiter:
    """Grant load starts at the rate of the weight store, highest value first.

    The state is not stored: two coordinators at once make the store's own queue
    longer for a moment, and a lost coordinator costs at most the wait for its answer.
    """

    def __init__(self, clock: Clock, limits: Callable[[], LoadLimits]) -> None:
        self.clock = clock
        self.limits = limits
        self.rate_limiter = LoadRateLimiter(limits())
        self.pending: list[PendingAcquire] = []
        self.queue_task: asyncio.Task[None] | None = None

    async def acquire(self, value: float) -> bool:
        """Wait until a load may start; on False, the caller should ask again."""
        request = PendingAcquire(value, asyncio.get_running_loop().create_future())
        self.pending.append(request)
        if self.queue_task is None or self.queue_task.done():
            self.queue_task = asyncio.create_task(self.process_queue())
        expiry = asyncio.create_task(self.expire(request))
        try:
            return await request.granted
        finally:
            expiry.cancel()
            if request in self.pending:
                self.pending.remove(request)

    async def expire(self, request: PendingAcquire) -> None:
        """Answer False after the timeout, so that the caller sends its newest value."""
        await self.clock.sleep(ACQUIRE_TIMEOUT)
        if not request.granted.done():
            self.pending.remove(request)
            request.granted.set_result(False)

    async def process_queue(self) -> None:
        """Grant load starts while requests are pending."""
        while self.pending:
            self.rate_limiter.limits = self.limits()
            now = self.clock.monotonic()
            wait = max(self.rate_limiter.next_start - now, timedelta())
            if wait:
                await self.clock.sleep(wait)
                continue
            best = max(self.pending, key=lambda request: request.value)
            self.pending.remove(best)
            self.rate_limiter.start(now)
            best.granted.set_result(True)
