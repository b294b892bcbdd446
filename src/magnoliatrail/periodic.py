"""Background tasks that run for the lifetime of an instance."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from datetime import timedelta

from magnoliatrail.clock import Clock
from magnoliatrail.logs import EventLog

log = EventLog("tasks")

RESTART_DELAY_AFTER_ERROR = timedelta(milliseconds=200)

Work = Callable[[], Awaitable[None]]


class PeriodicTasks:
    """Run the periodic, one-time and endless tasks of one instance."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.tasks: set[asyncio.Task[None]] = set()

    def every(self, seconds: float, work: Work, *, jitter: float = 0.0) -> None:
        """Run some work periodically; jitter is a fraction of the interval."""
        interval = timedelta(seconds=seconds)
        self.track(asyncio.create_task(self.repeat(interval, work, jitter)))

    def once(self, work: Work) -> None:
        """Run some work once in the background."""
        self.track(asyncio.create_task(self.attempt(work)))

    def forever(self, work: Work) -> asyncio.Task[None]:
        """Run endless work, and restart it after an error; return its task."""

        async def restart_forever() -> None:
            while True:
                await self.attempt(work)
                await self.clock.sleep(RESTART_DELAY_AFTER_ERROR)

        task = asyncio.create_task(restart_forever())
        self.track(task)
        return task

    def track(self, task: asyncio.Task[None]) -> None:
        """Hold a reference to a task until it is done."""
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def repeat(self, interval: timedelta, work: Work, jitter: float) -> None:
        """Run some work at an interval, also after errors."""
        while True:
            await self.clock.sleep(interval * (1 + random.uniform(-jitter, jitter)))
            await self.attempt(work)

    async def attempt(self, work: Work) -> None:
        """Run some work, and log an error instead of raising it."""
        try:
            await work()
        except Exception as error:
            name = getattr(work, "__name__", repr(work))
            log.error("task_failed", work=name, reason=repr(error))

    async def cancel(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
