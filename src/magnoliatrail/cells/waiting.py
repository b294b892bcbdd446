"""Requests waiting for a batch slot: maximum wait, urgency and retry time."""

import asyncio
from collections.abc import Collection
from dataclasses import dataclass, field
from datetime import timedelta

from magnoliatrail.backends import LoadedAdapter
from magnoliatrail.cells.answers import slot_answer
from magnoliatrail.generated.cells import SlotAnswer, SlotDecision, SlotRequest
from magnoliatrail.ids import AccountName
from magnoliatrail.routing.account_shares import AccountShares, Standing, work_of

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
    # Time of the goal, with the head start of more urgent routes.
    route_due_at: timedelta
    # Account that the request belongs to, None if none is known.
    account: AccountName | None = None
    account_level: int = 0
    account_rate: float = 0.0
    # How much later the request is due because of what its account has used.
    lag: timedelta = timedelta()
    # When the request is due, with the lag and the head start of more urgent accounts.
    due_at: timedelta = field(init=False)
    # From when the request counts as late: its goal, or before it by the lag. Without
    # the lag, the new requests of an account that has used more than its share would go
    # before those of others that are late.
    late_at: timedelta = field(init=False)
    # Whether the request resumes a stream.
    is_resumed: bool = field(init=False)
    # Work that the account is charged with.
    work: int = field(init=False)
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
        # Surplus work of an account must not keep engines from the other accounts.
        return (
            not self.lag and now - self.enqueued_at > self.max_wait * RESERVE_WAIT_SHARE
        )

    def __post_init__(self) -> None:
        """Set what follows from the message, and when the request is due."""
        message = self.message
        self.is_resumed = bool(message.software_version)
        self.work = work_of(message.prompt_tokens, message.output_tokens)
        self.due_at, self.late_at = self.route_due_at, self.goal_at

    def apply_standing(self, standing: Standing, ahead: float) -> None:
        """Set when the request is due, behind so much waiting work of its account."""
        self.lag = standing.lag(ahead)
        level_delay = standing.level_delay(self.account_level, ahead)
        self.due_at = self.route_due_at + (level_delay + self.lag)
        self.late_at = self.goal_at - self.lag

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
    goal_at = now + timedelta(milliseconds=message.goal_left_ms)
    return WaitingRequest(
        message=message,
        adapter=LoadedAdapter(message.model, message.adapter, message.version),
        enqueued_at=now,
        goal_at=goal_at,
        deadline=now + timedelta(milliseconds=message.time_left_ms),
        caller_deadline=now + timedelta(milliseconds=message.deadline_left_ms),
        route_due_at=goal_at + PRIORITY_STEP * message.priority,
        account=AccountName(message.account) if message.account else None,
        account_level=message.account_priority or 0,
        account_rate=message.account_rate or 0.0,
    )


def urgency(request: WaitingRequest, now: timedelta) -> tuple[bool, bool, timedelta]:
    """Return the sort key of the queue, the most urgent first.

    Resumed streams come first, because their callers have waited before and have a part
    of the answer. Of the others, those that can still meet their latency goal come
    before late ones. All groups are sorted by the time of the goal, with a head start
    for more urgent accounts and routes, and with the lag of the account.
    """
    return not request.is_resumed, request.late_at < now, request.due_at


def account_fields(request: WaitingRequest) -> dict[str, object]:
    """Return what log lines name of a request's account, nothing without one."""
    if request.account is None:
        return {}
    return {"account": request.account, "lag": request.lag}


def update_lags(
    waiting: Collection[WaitingRequest], shares: AccountShares, now: timedelta
) -> None:
    """Set the lag of each waiting request anew, from what its account was granted."""
    if not shares.waiting:
        return
    standings: dict[AccountName, Standing] = {}
    ahead: dict[AccountName, int] = {}
    # The requests of one account keep the order that they have without a lag.
    ordered = sorted(
        (request for request in waiting if request.account),
        key=lambda item: (not item.is_resumed, item.goal_at < now, item.route_due_at),
    )
    for request in ordered:
        account = request.account
        assert account is not None, "a request without an account was sorted"
        standing = standings.get(account)
        if standing is None:
            standing = shares.standing(account, request.account_rate, now)
            standings[account] = standing
        before = ahead.get(account, 0)
        request.apply_standing(standing, before)
        ahead[account] = before + request.work


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
