"""Tasks that repeat some work for as long as an instance runs."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from datetime import timedelta

from magnoliatrail.clock import Clock
from magnoliatrail.logs import EventLog

log = EventLog("tasks")

# Endless work that ended by an error begins again after this time.
RESTART_DELAY_AFTER_ERROR = timedelta(milliseconds=200)

Work = Callable[[], Awaitable[None]]


class PeriodicTasks:
    """Run the periodic and the one-time tasks of one instance."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.tasks: set[asyncio.Task[None]] = set()

    def every(self, seconds: float, work: Work, *, jitter: float = 0.0) -> None:
        """Start a task that repeats some work; jitter is a share of the interval."""
        interval = timedelta(seconds=seconds)
        self.track(asyncio.create_task(self.repeat(interval, work, jitter)))

    def once(self, work: Work) -> None:
        """Start a task that does some work one time."""
        self.track(asyncio.create_task(self.attempt(work)))

    def forever(self, work: Work) -> None:
        """Start a task of endless work that begins again after an error."""

        async def restart_forever() -> None:
            while True:
                await self.attempt(work)
                await self.clock.sleep(RESTART_DELAY_AFTER_ERROR)

        self.track(asyncio.create_task(restart_forever()))

    def track(self, task: asyncio.Task[None]) -> None:
        """Hold a task until it ends."""
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def repeat(self, interval: timedelta, work: Work, jitter: float) -> None:
        """Repeat some work, and outlive its errors."""
        while True:
            await self.clock.sleep(interval * (1 + random.uniform(-jitter, jitter)))
            await self.attempt(work)

    async def attempt(self, work: Work) -> None:
        """Do some work, and log its error."""
        try:
            await work()
        except Exception as error:
            name = getattr(work, "__name__", repr(work))
            log.error("task_failed", work=name, reason=repr(error))

    async def cancel(self) -> None:
        """End all tasks."""
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
