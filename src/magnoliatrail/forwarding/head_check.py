"""Answers that the head of a caller's request determines."""

from dataclasses import dataclass
from datetime import timedelta

from magnoliatrail.forwarding.context import (
    SHUTDOWN_RETRY_AFTER,
    SHUTTING_DOWN,
    ForwardingContext,
)
from magnoliatrail.forwarding.request import CallerRequest

NO_ROUTE = "no route for this host and path"
# Older tables are read before a request is routed, so that they don't decide yet.
MAX_AGE_SHARE = 0.8


@dataclass(frozen=True, slots=True)
class HeadAnswer:
    """An error that answers a request whose body is not kept."""

    status: int
    reason: str
    retry_after: timedelta | None = None


BODY_DISCARDED = HeadAnswer(
    503, "the configuration changed while the request was read", timedelta()
)


def answer_from_head(
    request: CallerRequest, context: ForwardingContext, *, refuses_all: bool
) -> HeadAnswer | None:
    """Return the answer that the head of a request determines, None if there is none.

    Other instances check the requests that they relay.
    """
    routes = context.view.routes
    bounds = context.bounds
    max_age = min(bounds.propagation, bounds.drain) * MAX_AGE_SHARE
    if request.origin is not None or routes is None or context.view.age() > max_age:
        return None
    if refuses_all:
        return HeadAnswer(503, SHUTTING_DOWN, SHUTDOWN_RETRY_AFTER)
    if routes.match(request.host, request.path) is None:
        return HeadAnswer(404, NO_ROUTE)
    return None
