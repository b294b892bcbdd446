"""Admission of callers' requests by the quota of their account."""

import math
from collections import defaultdict
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any, Protocol, runtime_checkable

from magnoliatrail.accounts.accounts import ClientAccount
from magnoliatrail.clock import Clock
from magnoliatrail.forwarding.head_check import HeadAnswer
from magnoliatrail.forwarding.request import CallerRequest
from magnoliatrail.logs import EventLog
from magnoliatrail.platform.request_headers import token_count_of
from magnoliatrail.routes import Route

log = EventLog("accounts")

# Share of its latency goal for which a request waits for the coordinator.
WAIT_SHARE = 0.8
# Lines of refusals a second, for each reason.
MAX_LINES = 20


@runtime_checkable
class Refusal(Protocol):
    """Why an account gets no more now: 429, or 503 if its quota cannot be checked."""

    @property
    def status(self) -> int:
        """Return the status of the answer."""

    @property
    def reason(self) -> str:
        """Return the reason for the caller."""

    @property
    def retry_after(self) -> timedelta:
        """Return when the caller may try again."""


class Quotas(Protocol):
    """The quotas of all accounts, over all instances."""

    async def admit(
        self,
        account: ClientAccount,
        cost: float,
        *,
        priority: int,
        wait_until: timedelta,
    ) -> Any:
        """Return what was charged, or a refusal."""

    def give_back(self, charge: Any) -> None:
        """Give the cost of a request back that has not run."""


@dataclass
class LineLimit:
    """Count the log lines of each reason within a second, and those left out."""

    clock: Clock
    began_at: dict[str, timedelta] = field(default_factory=dict)
    lines: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    omitted: dict[str, int] = field(default_factory=lambda: defaultdict(int))

    def take(self, reason: str) -> int | None:
        """Return how many lines were left out before this one, None to leave it out."""
        now = self.clock.monotonic()
        began_at = self.began_at.get(reason)
        if began_at is None or now - began_at >= timedelta(seconds=1):
            self.began_at[reason], self.lines[reason] = now, 0
        if self.lines[reason] >= MAX_LINES:
            self.omitted[reason] += 1
            return None
        self.lines[reason] += 1
        return self.omitted.pop(reason, 0)


class QuotaEntry:
    """Charge requests to their accounts before they are routed."""

    def __init__(self, clock: Clock, quotas: Quotas) -> None:
        self.quotas = quotas
        self.line_limit = LineLimit(clock)

    async def admit(self, request: CallerRequest, route: Route) -> Any:
        """Return the charge of a request, None without a quota, or a HeadAnswer."""
        account = request.account
        if account is None or account.quota is None or request.origin is not None:
            return None
        cost = account.quota.cost(token_count_of(request.headers))
        outcome = await self.quotas.admit(
            account,
            cost,
            priority=route.priority,
            wait_until=request.received_at + route.goal * WAIT_SHARE,
        )
        if not isinstance(outcome, Refusal):
            return outcome
        self.log_refusal(request, account, cost, outcome)
        return HeadAnswer(outcome.status, outcome.reason, rounded_up(outcome))

    def log_refusal(
        self,
        request: CallerRequest,
        account: ClientAccount,
        cost: float,
        refusal: Refusal,
    ) -> None:
        """Log a refusal, unless many were logged within a second."""
        omitted = self.line_limit.take(refusal.reason)
        if omitted is None:
            return
        log.info(
            "quota_refused",
            request=request.id,
            account=account.name,
            cost=cost,
            status=refusal.status,
            reason=refusal.reason,
            retry_after=refusal.retry_after,
            omitted=omitted,
        )

    def settle(self, request: CallerRequest, charge: Any) -> None:
        """Give a charge back if no server has run the request."""
        if charge is not None and request.runs == 0:
            self.quotas.give_back(charge)


def rounded_up(refusal: Refusal) -> timedelta:
    """Return when to try again, in the hundredths of a second that the header has."""
    hundredths = math.ceil(refusal.retry_after / timedelta(milliseconds=10))
    return timedelta(milliseconds=10) * hundredths
