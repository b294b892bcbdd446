"""Admission control: load shedding for requests whose adapter would load too late."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from datetime import timedelta

from magnoliatrail.generated.permits import RequestClass
from magnoliatrail.ids import CallerId
from magnoliatrail.placement.load_queue import LoadKey, LoadQueue, PendingLoad, Waiter

MAX_WAIT_FRACTION = 0.4
MIN_RETRY_AFTER = timedelta(seconds=1)


@dataclass(frozen=True, slots=True)
class Refusal:
    """A waiting request that is refused, and when its caller may retry."""

    key: LoadKey
    waiter: Waiter
    retry_after: timedelta


@dataclass(frozen=True, slots=True)
class LoadForecast:
    """The expected start rate of queued loads, and the duration of one load."""

    loads_per_second: float
    load_time: timedelta

    def wait(self, loads_ahead: int) -> timedelta:
        """Return the expected time until a load ends, behind `loads_ahead` others."""
        return timedelta(seconds=loads_ahead / self.loads_per_second) + self.load_time


def allowed_wait(waiter: Waiter) -> timedelta:
    """Return how long a request may wait for a load: a fraction of its time limit."""
    return (waiter.deadline - waiter.since) * MAX_WAIT_FRACTION


def overloaded_classes(
    ordered: Sequence[PendingLoad], now: timedelta, forecast: LoadForecast
) -> list[RequestClass]:
    """Return the request classes in which some request would wait too long."""
    found: set[RequestClass] = set()
    for ahead, load in enumerate(ordered):
        wait = forecast.wait(ahead)
        for waiter in load.waiters.values():
            if now - waiter.since + wait > allowed_wait(waiter):
                found.add(waiter.request_class)
    return sorted(found)


def request_to_shed(
    ordered: Sequence[PendingLoad],
    request_class: RequestClass,
    use: Callable[[CallerId], float],
) -> tuple[LoadKey, Waiter]:
    """Return the least valuable waiting request of the caller with the highest use."""
    waiting = [
        (load.key, waiter)
        for load in ordered
        for waiter in load.waiters.values()
        if waiter.request_class is request_class
    ]
    callers = {waiter.caller for _, waiter in waiting}
    busiest = max(callers, key=lambda caller: (use(caller), caller))
    return next(item for item in reversed(waiting) if item[1].caller == busiest)


def shed(queue: LoadQueue, now: timedelta, forecast: LoadForecast) -> list[Refusal]:
    """Remove requests that cannot be served in time, and return their refusals.

    Each step removes one request of the busiest caller, until every request left is
    expected to get its adapter within its allowed wait.
    """
    refusals: list[Refusal] = []
    while queue.pending:
        ordered = queue.ordered(now)
        classes = overloaded_classes(ordered, now, forecast)
        if not classes:
            break
        key, waiter = request_to_shed(
            ordered,
            classes[0],
            lambda caller: queue.use_by_caller.rate(caller, now),
        )
        queue.leave(key, waiter.request_id)
        queue.use_by_caller.record(waiter.caller, now, uses=-1.0)
        retry_after = max(forecast.wait(len(ordered)), MIN_RETRY_AFTER)
        refusals.append(Refusal(key, waiter, retry_after))
    return refusals
