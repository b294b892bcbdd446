"""Callers' requests after parsing."""

from dataclasses import dataclass
from datetime import timedelta

import msgspec

from magnoliatrail.clock import Clock
from magnoliatrail.generated.permits import RequestClass
from magnoliatrail.ids import AdapterVersion, CallerId, PartId, RequestId


@dataclass(frozen=True, slots=True)
class RequestContext:
    """The caller, class, deadline and ids of a request."""

    request_id: RequestId
    caller: CallerId
    request_class: RequestClass
    started: timedelta
    deadline: timedelta
    idempotency_key: str

    def time_left(self, clock: Clock) -> timedelta:
        """Return the time left until the deadline, never negative."""
        return max(self.deadline - clock.monotonic(), timedelta())


@dataclass(frozen=True, slots=True)
class CompletionCall:
    """A caller's request for a completion."""

    context: RequestContext
    model: AdapterVersion
    path: str
    stream: bool
    fields: dict[str, msgspec.Raw]
    # Parts of the prompt that other requests may have too.
    parts: tuple[PartId, ...] = ()
