"""The fleet's pace of adapter loads, kept by one live instance at a time."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from magnoliatrail.clock import Clock
from magnoliatrail.placement.load_pace import LoadLimits, LoadPacer

ACQUIRE_TIMEOUT = timedelta(seconds=1)


@dataclass(eq=False, slots=True)
class PendingAcquire:
    """Hold one instance's wish to load."""

    value: float
    granted: asyncio.Future[bool]


class LoadRateLimiter:
    """Give out turns to load at the pace of the weight store, best value first.

    The state is soft: two keepers at once make the store's own queue longer for a
    moment, and a lost keeper costs at most the wait for its answer.
    """

    def __init__(self, clock: Clock, limits: Callable[[], LoadLimits]) -> None:
        self.clock = clock
        self.limits = limits
        self.pacer = LoadPacer(limits())
        self.pending: list[PendingAcquire] = []
        self.queue_task: asyncio.Task[None] | None = None

    async def take(self, value: float) -> bool:
        """Wait for a turn; False means that the caller should ask again."""
        ask = PendingAcquire(value, asyncio.get_running_loop().create_future())
        self.pending.append(ask)
        if self.queue_task is None or self.queue_task.done():
            self.queue_task = asyncio.create_task(self.process_queue())
        expiry = asyncio.create_task(self.expire(ask))
        try:
            return await ask.granted
        finally:
            expiry.cancel()
            if ask in self.pending:
                self.pending.remove(ask)

    async def expire(self, ask: PendingAcquire) -> None:
        """Let an ask return, so that it comes back with its newest value."""
        await self.clock.sleep(ACQUIRE_TIMEOUT)
        if not ask.granted.done():
            self.pending.remove(ask)
            ask.granted.set_result(False)

    async def process_queue(self) -> None:
        """Grant turns while anyone asks."""
        while self.pending:
            self.pacer.limits = self.limits()
            now = self.clock.monotonic()
            wait = max(self.pacer.next_start - now, timedelta())
            if wait:
                await self.clock.sleep(wait)
                continue
            best = max(self.pending, key=lambda ask: ask.value)
            self.pending.remove(best)
            self.pacer.start(now)
            best.granted.set_result(True)
