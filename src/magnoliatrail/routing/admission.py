"""Early refusal of requests that cannot end before their deadline."""

from dataclasses import dataclass
from datetime import timedelta

from magnoliatrail.ids import CallerId, RequestId
from magnoliatrail.placement.load_queue import LoadQueue, Waiter

LONGEST_WAIT_SHARE = 0.4
LEAST_RETRY_AFTER = timedelta(seconds=1)


@dataclass(frozen=True, slots=True)
class Refusal:
    """Name a request that cannot be served in time, and when to come back."""

    request_id: RequestId
    retry_after: timedelta


def expected_load_wait(
    loads_ahead: int, loads_per_second: float, load_time: timedelta
) -> timedelta:
    """Return the time until an adapter is loaded, with some loads before it."""
    return timedelta(seconds=loads_ahead / loads_per_second) + load_time


def waits_too_long(waiter: Waiter, now: timedelta) -> bool:
    """Return whether a request has used up the time that it may wait for a load."""
    allowed = (waiter.deadline - waiter.since) * LONGEST_WAIT_SHARE
    return now - waiter.since >= allowed


def longest_queue(queue: LoadQueue) -> CallerId:
    """Return the caller with the most requests that wait for loads."""
    counts = queue.waiting_by_caller()
    return max(counts, key=lambda caller: (counts[caller], caller))


def retry_after(queue: LoadQueue, loads_per_second: float) -> timedelta:
    """Return when the loads that wait now will have started."""
    drained = timedelta(seconds=len(queue.pending) / loads_per_second)
    return max(drained, LEAST_RETRY_AFTER)
