"""Which bodies of requests are read, and which are refused, if memory is short."""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from datetime import timedelta

from magnoliatrail.clock import Clock
from magnoliatrail.memory_budget import HeldKind, Holding, MemoryBudget

# Longest wait of a body for memory, in which reading from its client stops.
MAX_WAIT = timedelta(seconds=1)
# Younger bodies are not refused for the sake of others, as their rate is not known.
MIN_AGE = timedelta(seconds=1)
# A body whose client sent nothing for this long counts as the slowest.
SILENCE = timedelta(seconds=1)
# How often bodies that wait look for silent ones.
SILENCE_CHECK_SECONDS = 0.1
# Bodies of unknown length come after those whose end is known.
UNKNOWN_LENGTH = 1 << 40
# Bodies up to this size may use the spare part, so that ordinary requests need not wait
# behind large ones; and the spare part of the budget for each kind.
SMALL_BODY_BYTES = 64 * 1024
SPARE_SHARES = {HeldKind.BODIES: 0.1, HeldKind.MESSAGES: 0.02}


@dataclass(eq=False, slots=True)
class OpenBody:
    """A body that is being read."""

    holding: Holding
    began_at: timedelta
    # Refuses the request and closes its connection.
    refuse: Callable[[], None]
    # None if it comes in chunks.
    length: int | None = None
    last_at: timedelta = timedelta()
    # Time in which nothing was read from the client, as memory was short.
    paused: timedelta = timedelta()
    waiting_since: timedelta | None = None

    @property
    def missing(self) -> int:
        """Return how many bytes are missing, many if that is not known."""
        return (self.length or UNKNOWN_LENGTH) - self.holding.size

    def rate(self, now: timedelta) -> float:
        """Return the bytes a second that the client sends; 0 if it is silent."""
        paused = self.paused
        if self.waiting_since is not None:
            paused += now - self.waiting_since
        elif now - max(self.last_at, self.began_at) >= SILENCE:
            return 0.0
        age = max(now - self.began_at - paused, MIN_AGE)
        return self.holding.size / age.total_seconds()


def new_future() -> "asyncio.Future[bool]":
    """Return a future of the running event loop."""
    return asyncio.get_running_loop().create_future()


@dataclass(eq=False, slots=True)
class Waiting:
    """A body that waits for memory."""

    body: OpenBody
    size: int
    # Set to whether the body got the memory.
    granted: "asyncio.Future[bool]" = field(default_factory=new_future)


def body_to_refuse(
    bodies: Iterable[OpenBody], waiting: OpenBody, now: timedelta
) -> OpenBody | None:
    """Return the body to refuse for one that waits; None to refuse that one.

    It is the slowest of those that are read. The rate of one that waits for memory
    itself is not its client's; of these, the one that misses most gives way.
    """
    old = [
        body
        for body in bodies
        if body is not waiting and body.holding.size and now - body.began_at >= MIN_AGE
    ]
    read = [body for body in old if body.waiting_since is None]
    slowest = min(read, key=lambda body: body.rate(now), default=None)
    if slowest is not None:
        rate = slowest.rate(now)
        if rate == 0 or rate < waiting.rate(now):
            return slowest
    largest = max(
        (body for body in old if body.waiting_since is not None),
        key=lambda body: body.missing,
        default=None,
    )
    if largest is not None and largest.missing > waiting.missing:
        return largest
    return None


class BodyAdmission:
    """Let the bodies of one kind take memory, in turn if it is short."""

    def __init__(self, *, clock: Clock, budget: MemoryBudget, kind: HeldKind) -> None:
        self.clock = clock
        self.budget = budget
        self.kind = kind
        self.spare = int(budget.size * SPARE_SHARES[kind])
        self.bodies: set[OpenBody] = set()
        self.waiting: list[Waiting] = []
        # Looks for silent bodies while others wait.
        self.checking: asyncio.Task[None] | None = None
        budget.released.append(self.grant)

    def open(self, refuse: Callable[[], None], length: int | None = None) -> OpenBody:
        """Return a new body, which holds nothing yet."""
        now = self.clock.monotonic()
        holding = Holding(self.budget, self.kind)
        body = OpenBody(holding, now, refuse, length, last_at=now)
        self.bodies.add(body)
        return body

    def spare_for(self, body: OpenBody, size: int) -> int:
        """Return how much room more bytes of a body must leave to others."""
        alone = self.budget.held[self.kind] == body.holding.size
        small = (body.length or body.holding.size + size) <= SMALL_BODY_BYTES
        return 0 if small or alone else self.spare

    def has_room_for_whole(self, size: int) -> bool:
        """Return whether a body that came in one piece need not wait."""
        spare = 0 if size <= SMALL_BODY_BYTES else self.spare
        return size + spare <= self.budget.room(self.kind)

    def try_take(self, body: OpenBody, size: int) -> bool:
        """Hold more bytes of a body if there is room; return whether."""
        body.last_at = self.clock.monotonic()
        return body.holding.try_grow(size, spare=self.spare_for(body, size))

    async def take(self, body: OpenBody, size: int) -> bool:
        """Hold more bytes of a body, waiting for room; return False to refuse it."""
        if self.try_take(body, size):
            return True
        body.waiting_since = self.clock.monotonic()
        entry = Waiting(body, size)
        self.waiting.append(entry)
        if self.checking is None or self.checking.done():
            self.checking = asyncio.create_task(self.refuse_silent_ones())
        try:
            async with asyncio.timeout(MAX_WAIT.total_seconds()):
                return await entry.granted
        except TimeoutError:
            # The timeout has cancelled the future.
            entry.granted = new_future()
            return self.take_from_others(entry)
        finally:
            if entry in self.waiting:
                self.waiting.remove(entry)
            now = self.clock.monotonic()
            body.paused += now - (body.waiting_since or now)
            body.waiting_since, body.last_at = None, now

    def take_from_others(self, entry: Waiting) -> bool:
        """Refuse slower bodies until a waiting one has room; return whether it has."""
        while not entry.granted.done():
            found = body_to_refuse(self.bodies, entry.body, self.clock.monotonic())
            if found is None:
                return False
            # This releases memory, which is granted in turn.
            found.refuse()
        return entry.granted.result()

    async def refuse_silent_ones(self) -> None:
        """Refuse the bodies whose clients are silent while others wait."""
        while self.waiting:
            now = self.clock.monotonic()
            for body in list(self.bodies):
                old = now - body.began_at >= MIN_AGE
                if self.waiting and old and body.holding.size and not body.rate(now):
                    body.refuse()
            await asyncio.sleep(SILENCE_CHECK_SECONDS)

    def grant(self) -> None:
        """Let the bodies that wait go on while there is room.

        Those that miss least come first: if all got a part, none would be complete.
        """
        if not self.waiting:
            return
        for entry in sorted(self.waiting, key=lambda item: item.body.missing):
            if entry.granted.done():
                continue
            if self.try_take(entry.body, entry.size):
                self.waiting.remove(entry)
                entry.granted.set_result(True)

    def close(self, body: OpenBody) -> None:
        """Forget a body that is complete or refused; what it holds is not released."""
        self.bodies.discard(body)
        for entry in list(self.waiting):
            if entry.body is body:
                self.waiting.remove(entry)
                if not entry.granted.done():
                    entry.granted.set_result(False)
