"""Requests that wait for a place on an engine, and how long they may."""

import asyncio
from collections import deque
from dataclasses import dataclass, field
from datetime import timedelta

from magnoliatrail.backends import LoadedAdapter
from magnoliatrail.cells.answers import slot_answer
from magnoliatrail.generated.cells import SlotAnswer, SlotDecision, SlotRequest

# A request waits for a place at most this share of the time that its caller has.
MAX_WAIT_SHARE = 0.7
# For an engine that has its adapter a request waits this share of its longest wait
# before a second copy is brought from the weight store, less if the adapter is used
# often, so that one engine may be too few.
COPY_WAIT_SHARE = 0.3
COPY_WAIT_SHARE_FREQUENT = 0.05
FREQUENT_USES_PER_SECOND = 1.5
# Head start in the queue of each step in priority.
PRIORITY_STEP = timedelta(milliseconds=150)
# Grants of this long tell how fast the queue moves.
DRAIN_RATE_WINDOW = timedelta(seconds=2)
MIN_RETRY_AFTER = timedelta(milliseconds=300)
# Callers come back only within this share of the time they have left.
RETRY_AFTER_SHARE = 0.3
# A queue that moved less than this many times in the window tells no rate.
MIN_GRANTS_FOR_RATE = 4


@dataclass
class WaitingRequest:
    """A request without a place yet."""

    message: SlotRequest
    adapter: LoadedAdapter
    asked_at: timedelta
    goal_at: timedelta
    # The caller gives up without a first event by then, and with one at the latter.
    deadline: timedelta
    caller_until: timedelta
    answer: asyncio.Future[SlotAnswer] = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )

    def awaits_copy(self, now: timedelta, uses_per_second: float) -> bool:
        """Return whether to wait for an engine that has the adapter, or had it."""
        often = uses_per_second >= FREQUENT_USES_PER_SECOND
        share = COPY_WAIT_SHARE_FREQUENT if often else COPY_WAIT_SHARE
        return now - self.asked_at < self.max_wait * share

    @property
    def max_wait(self) -> timedelta:
        """Return how long the request may wait."""
        return (self.deadline - self.asked_at) * MAX_WAIT_SHARE


def waiting_request(message: SlotRequest, now: timedelta) -> WaitingRequest:
    """Return a request that begins to wait."""
    return WaitingRequest(
        message=message,
        adapter=LoadedAdapter(message.model, message.adapter, message.version),
        asked_at=now,
        goal_at=now + timedelta(milliseconds=message.goal_left_ms),
        deadline=now + timedelta(milliseconds=message.time_left_ms),
        caller_until=now + timedelta(milliseconds=message.deadline_left_ms),
    )


def urgency(request: WaitingRequest, now: timedelta) -> tuple[bool, timedelta]:
    """Return the sort key of the queue, the most urgent first.

    What can still be on time goes before what is late already; within both, the time
    of the goal decides, with a head start for the more urgent routes.
    """
    head_start = PRIORITY_STEP * request.message.priority
    return request.goal_at < now, request.goal_at + head_start


class DrainRate:
    """Forecast how long a queue takes, from how fast it moved of late."""

    def __init__(self) -> None:
        self.granted_at: deque[timedelta] = deque()

    def record_grant(self, now: timedelta) -> None:
        """Count a grant to a request that had waited."""
        self.granted_at.append(now)
        self.trim(now)

    def trim(self, now: timedelta) -> None:
        """Forget grants before the window."""
        while self.granted_at and self.granted_at[0] < now - DRAIN_RATE_WINDOW:
            self.granted_at.popleft()

    def forecast(self, ahead: int, now: timedelta) -> timedelta | None:
        """Return how long a request waits behind others; None if nothing tells."""
        self.trim(now)
        if len(self.granted_at) < MIN_GRANTS_FOR_RATE:
            return None
        per_second = len(self.granted_at) / DRAIN_RATE_WINDOW.total_seconds()
        return timedelta(seconds=ahead / per_second)


def refusal(
    request: WaitingRequest, now: timedelta, wait: timedelta, reason: str, point: float
) -> SlotAnswer:
    """Return the refusal of a request, with a time to come back.

    `point` of 0 to 1 spreads those who are refused together.
    """
    left = request.caller_until - now
    longest = max(MIN_RETRY_AFTER, left * RETRY_AFTER_SHARE)
    back = min(longest, max(MIN_RETRY_AFTER, wait * (0.75 + 0.5 * point)))
    return slot_answer(SlotDecision.REFUSED, reason=reason, retry_after=back)
