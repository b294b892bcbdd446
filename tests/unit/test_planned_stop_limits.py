"""Requests that a planned stop passes on, by their time limits."""

from datetime import timedelta
from types import SimpleNamespace

from hypothesis import given
from hypothesis import strategies as st
from tornado.httputil import HTTPHeaders

from magnoliatrail.forwarding.context import ForwardingContext, end_of
from magnoliatrail.forwarding.planned_stop import ANSWERS_END_BEFORE_KILL, stop_step
from magnoliatrail.forwarding.request import CallerRequest
from magnoliatrail.routes import Route, RouteKind, ServiceShare

# What is sent to an instance later than this after SIGTERM must not be cut off.
SENT_EARLY = timedelta(seconds=3)
# Requests that have time are accepted until this long before the kill.
ACCEPTED_UNTIL_BEFORE_KILL = timedelta(seconds=2)


def seconds(lowest, highest):
    return st.floats(lowest, highest).map(lambda value: timedelta(seconds=value))


def route_with(time_limit, kind):
    return Route(
        name="r",
        host="h",
        prefix="/",
        kind=kind,
        shares=(ServiceShare("desk", 1.0),),
        time_limit=time_limit,
        goal=time_limit / 10,
        priority=0,
        attempts=2,
        resumable=False,
    )


def is_passed_on(request, route, sent_at, grace):
    """Return whether a request is sent to a server, a time after SIGTERM."""
    step = stop_step(sent_at, grace, leaving=False, requests=1, connections=1)
    if step.refuses_all:
        return False
    answers_end_at = grace - ANSWERS_END_BEFORE_KILL if step.refuses_late else None
    context = SimpleNamespace(answers_end_at=answers_end_at)
    return ForwardingContext.answered_in_time(context, request, route)


# Guards against a request that is passed on in a planned stop, and cut off at its end
# while its server is at work.
@given(
    grace=seconds(4, 20),
    arrived_at=seconds(0, 20),
    waited=seconds(0, 6),
    limit=seconds(0.05, 30),
    deadline=seconds(0.05, 30),
    kind=st.sampled_from(RouteKind),
    share=st.floats(0, 1),
)
def test_no_late_request_outlasts_the_instance_however_long_its_server_works(
    grace, arrived_at, waited, limit, deadline, kind, share
):
    route = route_with(limit, kind)
    request = CallerRequest(
        None, "POST", "/x", HTTPHeaders({"Host": "h"}), arrived_at + deadline
    )
    request.received_at = arrived_at
    sent_at = arrived_at + waited
    ends_at = end_of(request, route)
    if ends_at <= sent_at or not is_passed_on(request, route, sent_at, grace):
        return
    answered_at = sent_at + (ends_at - sent_at) * share
    in_time = answered_at <= grace - ANSWERS_END_BEFORE_KILL
    assert in_time or arrived_at <= SENT_EARLY


# Guards against a stop that refuses everybody early.
@given(
    grace=seconds(4, 20),
    sent_at=seconds(0, 20),
    limit=seconds(0.05, 30),
    kind=st.sampled_from(RouteKind),
)
def test_a_request_whose_limit_ends_in_time_is_passed_on(grace, sent_at, limit, kind):
    route = route_with(limit, kind)
    request = CallerRequest(
        None, "POST", "/x", HTTPHeaders({"Host": "h"}), sent_at + limit
    )
    request.received_at = sent_at
    fits = sent_at + limit <= grace - ANSWERS_END_BEFORE_KILL
    if fits and sent_at <= grace - ACCEPTED_UNTIL_BEFORE_KILL:
        assert is_passed_on(request, route, sent_at, grace)
