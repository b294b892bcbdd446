"""Queue of pending adapter loads, each with the requests that wait for it."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from datetime import timedelta

from magnoliatrail.generated.permits import RequestClass
from magnoliatrail.ids import AdapterVersion, CallerId, EngineId, RequestId
from magnoliatrail.placement.popularity import Popularity, PopularitySettings

MIN_SLACK_SECONDS = 0.5
CALLER_USE_SETTINGS = PopularitySettings(memory=timedelta(seconds=60))


@dataclass(frozen=True, slots=True)
class ClassWeights:
    """Weight of the waiting time of each request class."""

    interactive: float = 1.0
    batch: float = 0.1

    def of(self, request_class: RequestClass) -> float:
        """Return the weight of a class."""
        if request_class is RequestClass.INTERACTIVE:
            return self.interactive
        return self.batch


@dataclass(frozen=True, slots=True)
class Waiter:
    """A request that waits for an adapter."""

    request_id: RequestId
    caller: CallerId
    request_class: RequestClass
    since: timedelta
    deadline: timedelta


@dataclass(frozen=True, slots=True)
class LoadKey:
    """An adapter and the engine that is to load it."""

    engine: EngineId
    model: AdapterVersion


@dataclass(slots=True)
class PendingLoad:
    """A queued load of one adapter, with the requests that wait for it."""

    key: LoadKey
    waiters: dict[RequestId, Waiter] = field(default_factory=dict)
    not_before: timedelta = timedelta()


LoadValue = Callable[[PendingLoad, timedelta], float]


def urgency(weights: ClassWeights) -> LoadValue:
    """Return a function that values a load by the urgency of its waiters.

    Each waiter adds its class weight divided by the time left to its deadline.
    """

    def value(load: PendingLoad, now: timedelta) -> float:
        total = 0.0
        for waiter in load.waiters.values():
            slack = (waiter.deadline - now).total_seconds()
            weight = weights.of(waiter.request_class)
            total += weight / max(slack, MIN_SLACK_SECONDS)
        return total

    return value


class LoadQueue:
    """Queue adapter loads, one for each engine and adapter."""

    def __init__(self, value: LoadValue) -> None:
        self.value = value
        self.pending: dict[LoadKey, PendingLoad] = {}
        self.use_by_caller: Popularity[CallerId] = Popularity(CALLER_USE_SETTINGS)

    def join(self, key: LoadKey, waiter: Waiter) -> PendingLoad:
        """Add a request to the load of an adapter, creating the load if necessary."""
        load = self.pending.setdefault(key, PendingLoad(key))
        load.waiters[waiter.request_id] = waiter
        self.use_by_caller.record(waiter.caller, waiter.since)
        return load

    def leave(self, key: LoadKey, request_id: RequestId) -> None:
        """Remove a request, and its load if no other request waits for it."""
        load = self.pending.get(key)
        if load is None:
            return
        load.waiters.pop(request_id, None)
        if not load.waiters:
            del self.pending[key]

    def take(
        self, now: timedelta, can_start: Callable[[LoadKey], bool]
    ) -> PendingLoad | None:
        """Remove and return the most valuable load that may start."""
        for load in self.ordered(now):
            if load.not_before <= now and can_start(load.key):
                return self.pending.pop(load.key)
        return None

    def ordered(self, now: timedelta) -> list[PendingLoad]:
        """Return all loads, the most valuable first."""
        return sorted(
            self.pending.values(),
            key=lambda load: self.value(load, now),
            reverse=True,
        )

    def put_back(self, load: PendingLoad, not_before: timedelta) -> None:
        """Return a load to the queue, merging waiters that joined in the meantime."""
        load.not_before = not_before
        joined = self.pending.pop(load.key, None)
        if joined:
            load.waiters.update(joined.waiters)
        self.pending[load.key] = load

    def waiters(self) -> Iterator[tuple[LoadKey, Waiter]]:
        """Return every request that waits for a load."""
        for load in self.pending.values():
            for waiter in load.waiters.values():
                yield load.key, waiter

    def best_value(self, now: timedelta) -> float:
        """Return the value of the most valuable load."""
        values = (self.value(load, now) for load in self.pending.values())
        return max(values, default=0.0)
