"""The fleet's pace of adapter loads, kept by one live instance at a time."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from magnoliatrail.clock import Clock
from magnoliatrail.placement.load_rate_limiter import LoadLimits, LoadRateLimiter

PATIENCE = timedelta(seconds=1)


@dataclass(eq=False, slots=True)
class Ask:
    """Hold one instance's wish to load."""

    value: float
    granted: asyncio.Future[bool]


class LoadTurns:
    """Give out turns to load at the pace of the weight store, best value first.

    The state is soft: two keepers at once make the store's own queue longer for a
    moment, and a lost keeper costs at most the wait for its answer.
    """

    def __init__(self, clock: Clock, limits: Callable[[], LoadLimits]) -> None:
        self.clock = clock
        self.limits = limits
        self.pacer = LoadRateLimiter(limits())
        self.asks: list[Ask] = []
        self.pumping: asyncio.Task[None] | None = None

    async def take(self, value: float) -> bool:
        """Wait for a turn; False means that the caller should ask again."""
        ask = Ask(value, asyncio.get_running_loop().create_future())
        self.asks.append(ask)
        if self.pumping is None or self.pumping.done():
            self.pumping = asyncio.create_task(self.pump())
        expiry = asyncio.create_task(self.expire(ask))
        try:
            return await ask.granted
        finally:
            expiry.cancel()
            if ask in self.asks:
                self.asks.remove(ask)

    async def expire(self, ask: Ask) -> None:
        """Let an ask return, so that it comes back with its newest value."""
        await self.clock.sleep(PATIENCE)
        if not ask.granted.done():
            self.asks.remove(ask)
            ask.granted.set_result(False)

    async def pump(self) -> None:
        """Grant turns while anyone asks."""
        while self.asks:
            self.pacer.limits = self.limits()
            now = self.clock.monotonic()
            wait = max(self.pacer.next_start - now, timedelta())
            if wait:
                await self.clock.sleep(wait)
                continue
            best = max(self.asks, key=lambda ask: ask.value)
            self.asks.remove(best)
            self.pacer.start(now)
            best.granted.set_result(True)
