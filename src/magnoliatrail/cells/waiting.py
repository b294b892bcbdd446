"""Requests waiting for a batch slot: maximum wait, urgency and retry time."""

import asyncio
from dataclasses import dataclass, field
from datetime import timedelta

from magnoliatrail.backends import LoadedAdapter
from magnoliatrail.cells.answers import slot_answer
from magnoliatrail.generated.cells import SlotAnswer, SlotDecision, SlotRequest

# A request waits for a slot at most this share of the time until its caller gives up.
MAX_WAIT_SHARE = 0.7
# A request waits this share of its maximum wait for an engine that holds its adapter
# before a second copy is loaded from the weight store. The share is smaller for a
# frequently used adapter, as one engine may be too few for it.
COPY_WAIT_SHARE = 0.3
COPY_WAIT_SHARE_FREQUENT = 0.05
FREQUENT_USES_PER_SECOND = 1.5
# An engine may be kept for a request that waited this share of its maximum wait.
RESERVE_WAIT_SHARE = 0.2
# Head start in the queue for each priority level.
PRIORITY_STEP = timedelta(milliseconds=150)
MIN_RETRY_AFTER = timedelta(milliseconds=300)
# A retry is proposed within this share of the caller's remaining time.
RETRY_AFTER_SHARE = 0.3


@dataclass
class WaitingRequest:
    """A request without a slot yet."""

    message: SlotRequest
    adapter: LoadedAdapter
    enqueued_at: timedelta
    goal_at: timedelta
    # The caller gives up at `deadline` if no event came, at `caller_deadline` anyway.
    deadline: timedelta
    caller_deadline: timedelta
    # When the wait was last forecast.
    forecast_at: timedelta = timedelta()
    answer: asyncio.Future[SlotAnswer] = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )

    def should_wait_for_copy(self, now: timedelta, uses_per_second: float) -> bool:
        """Return whether the time to wait for an existing copy has not passed yet."""
        frequent = uses_per_second >= FREQUENT_USES_PER_SECOND
        share = COPY_WAIT_SHARE_FREQUENT if frequent else COPY_WAIT_SHARE
        return now - self.enqueued_at < self.max_wait * share

    def was_passed_over(self, now: timedelta) -> bool:
        """Return whether an engine may be kept for the request, so long did it wait."""
        return now - self.enqueued_at > self.max_wait * RESERVE_WAIT_SHARE

    @property
    def is_resumed(self) -> bool:
        """Return whether the request resumes a stream."""
        return bool(self.message.software_version)

    def competes_with(self, other: "WaitingRequest") -> bool:
        """Return whether some engine may have the software version for both."""
        versions = {self.message.software_version, other.message.software_version}
        return len(versions - {""}) <= 1

    @property
    def max_wait(self) -> timedelta:
        """Return the longest time that the request may wait."""
        return (self.deadline - self.enqueued_at) * MAX_WAIT_SHARE


def waiting_request(message: SlotRequest, now: timedelta) -> WaitingRequest:
    """Build a waiting request from a slot request."""
    return WaitingRequest(
        message=message,
        adapter=LoadedAdapter(message.model, message.adapter, message.version),
        enqueued_at=now,
        goal_at=now + timedelta(milliseconds=message.goal_left_ms),
        deadline=now + timedelta(milliseconds=message.time_left_ms),
        caller_deadline=now + timedelta(milliseconds=message.deadline_left_ms),
    )


def urgency(request: WaitingRequest, now: timedelta) -> tuple[bool, bool, timedelta]:
    """Return the sort key of the queue, the most urgent first.

    Resumed streams come first, because their callers have waited before and have a part
    of the answer. Of the others, those that can still meet their latency goal come
    before late ones. All groups are sorted by the time of the goal, with a head start
    for more urgent routes.
    """
    head_start = PRIORITY_STEP * request.message.priority
    late = request.goal_at < now
    return not request.is_resumed, late, request.goal_at + head_start


def refusal(
    request: WaitingRequest, now: timedelta, wait: timedelta, reason: str, jitter: float
) -> SlotAnswer:
    """Build the refusal of a request, with a time after which to retry.

    `jitter`, from 0 to 1, spreads the retries of requests that are refused together.
    """
    remaining = request.caller_deadline - now
    longest = max(MIN_RETRY_AFTER, remaining * RETRY_AFTER_SHARE)
    retry_after = min(longest, max(MIN_RETRY_AFTER, wait * (0.75 + 0.5 * jitter)))
    return slot_answer(SlotDecision.REFUSED, reason=reason, retry_after=retry_after)
