"""Streams that are taken up after the faults of a soak run and a kill of all instances.

While faults are injected too few streams are taken up at undisturbed instances to tell
whether enough of them go on.
"""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from tests.soak.checks import STABILITY_SECONDS
from tests.soak.events import last_event, version_of
from tests.soak.servers import Server
from tests.soak.traffic import HTTP_OK, Caller, Ending, Exchange, RequestKind

# Fewer streams prove nothing.
MIN_STREAMS = 12
STREAMS = 24
MIN_ENGINES = 2
# Streams of this pace are still going on when all instances are killed.
EVENT_SECONDS = 0.3
BEGUN_SECONDS = 2.0


@dataclass(frozen=True)
class TakenUp:
    """How many streams were taken up while engines of their version served."""

    streams: int
    went_on: int

    @property
    def is_evaluated(self) -> bool:
        """Return whether there were enough streams to tell anything."""
        return self.streams >= MIN_STREAMS

    def violations(self) -> list[str]:
        """Return whether fewer than half of the streams went on, as a line."""
        if not self.is_evaluated or self.went_on * 2 >= self.streams:
            return []
        return [f"{self.went_on} of {self.streams} streams went on after all restarted"]


def taken_up(tries: list[tuple[Exchange, Exchange]], servers: list[Server]) -> TakenUp:
    """Count the streams that began at a version which at least two engines have."""
    engines = Counter(server.version for server in servers if server.is_engine)
    counted = [
        again
        for first, again in tries
        if engines[version_of(first.body)] >= MIN_ENGINES
    ]
    went_on = [
        again
        for again in counted
        if again.status == HTTP_OK and again.ending is Ending.WHOLE
    ]
    return TakenUp(len(counted), len(went_on))


async def take_up_after_restart(
    callers: list[Caller], restart: Callable[[], Awaitable[None]]
) -> list[tuple[Exchange, Exchange]]:
    """Begin streams, restart all instances, and take the streams up a while later."""
    await asyncio.sleep(STABILITY_SECONDS)
    begun = [
        asyncio.create_task(
            caller.send(caller.generator.choice(caller.instances), RequestKind.STREAM)
        )
        for caller in callers
    ]
    await asyncio.sleep(BEGUN_SECONDS)
    await restart()
    await asyncio.sleep(STABILITY_SECONDS)
    broken = [
        (caller, first)
        for caller, first in zip(callers, await asyncio.gather(*begun), strict=True)
        if first.ending is Ending.TRUNCATED and last_event(first.body)
    ]
    again = await asyncio.gather(
        *(
            caller.send(
                caller.generator.choice(caller.instances),
                RequestKind.STREAM,
                first=first,
                after=last_event(first.body),
            )
            for caller, first in broken
        )
    )
    for caller in callers:
        caller.close()
    return [(first, item) for (_, first), item in zip(broken, again, strict=True)]
