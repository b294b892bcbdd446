"""What the head of a request decides, and each answer of the order of checks."""

from datetime import timedelta

import pytest
from tornado.httputil import HTTPHeaders

from magnoliatrail.accounts.accounts import AccountTable, ClientAccount, digest_of
from magnoliatrail.accounts.keys import KeyProblem
from magnoliatrail.forwarding.head_check import (
    ENDS_TOO_SOON,
    NO_CONFIGURATION,
    OUTDATED,
    SHUTTING_DOWN,
    UNCHECKED,
    check_key,
    from_head,
)
from magnoliatrail.forwarding.request import CallerRequest, RelayOrigin
from magnoliatrail.routes import Route, RouteKind, RouteTable, ServiceShare

ALICE, BOB = ClientAccount("alice"), ClientAccount("bob")


def table(**keys):
    """Return accounts by their keys."""
    accounts = {item.name: item for item in keys.values()}
    return AccountTable(
        accounts, {digest_of(key): item.name for key, item in keys.items()}
    )


KNOWN = table(alpha=ALICE, beta=BOB)


def route(prefix, *, public=False):
    return Route(
        name=prefix,
        host="h",
        prefix=prefix,
        kind=RouteKind.SAFE,
        shares=(ServiceShare("desk", 1.0),),
        time_limit=timedelta(seconds=1),
        goal=timedelta(seconds=1),
        priority=0,
        attempts=1,
        resumable=False,
        public=public,
    )


CLOSED, PUBLIC = route("/closed"), route("/public", public=True)


def routes(accounts=KNOWN):
    return RouteTable(1, (CLOSED, PUBLIC), {}, 1000, accounts)


def request(*keys, target="/closed", **more):
    headers = HTTPHeaders({"Host": "h"})
    for key in keys:
        headers.add("Api-Key", key)
    return CallerRequest(None, "POST", target, headers, timedelta(), **more)


def answer(sent, table=None, **more):
    options = {
        "is_fresh": True,
        "is_isolated": lambda: False,
        "shutting_down": False,
        "answered_in_time": lambda request, route: True,
        **more,
    }
    return from_head(sent, table or routes(), **options)


def checked(sent, accounts=KNOWN, on=CLOSED, *, isolated=False):
    return check_key(sent, on, accounts, may_be_outdated=lambda: isolated)


REFUSED = [
    ((), KeyProblem.MISSING),
    (("alpha", "alpha"), KeyProblem.REPEATED),
    (("",), KeyProblem.MALFORMED),
    (("x" * 201,), KeyProblem.MALFORMED),
    (("alphä",), KeyProblem.MALFORMED),
    (("gamma",), KeyProblem.UNKNOWN),
    (("alpha,beta",), KeyProblem.UNKNOWN),
    (("Bearer alpha",), KeyProblem.UNKNOWN),
    (("Alpha",), KeyProblem.UNKNOWN),
]


@pytest.mark.parametrize(("keys", "problem"), REFUSED)
def test_a_request_without_a_known_key_is_refused_with_its_reason(keys, problem):
    sent = request(*keys)
    refusal = checked(sent)
    assert (refusal.status, refusal.key_problem) == (401, problem)
    assert refusal.retry_after is None
    assert sent.account is None
    assert not any(key and key in refusal.reason for key in keys)


def test_a_known_key_names_the_account():
    sent = request("beta")
    assert checked(sent) is None
    assert sent.account is BOB


# Guards against a quota that is evaded, or a name that is not sent, on public routes.
@pytest.mark.parametrize(
    ("keys", "account"), [*((keys, None) for keys, _ in REFUSED), (("alpha",), ALICE)]
)
def test_a_public_route_needs_no_key_and_knows_a_valid_one(keys, account):
    sent = request(*keys)
    assert checked(sent, on=PUBLIC) is None
    assert sent.account is account


def test_without_accounts_no_key_is_looked_at():
    sent = request()
    assert checked(sent, accounts=None, isolated=True) is None
    assert sent.account is None


def test_with_an_empty_list_of_accounts_every_key_is_unknown():
    assert checked(request("alpha"), table()).key_problem is KeyProblem.UNKNOWN


# Guards against a request that is sent though its key was withdrawn while it waited.
def test_a_key_that_was_withdrawn_since_the_last_look_up_is_refused():
    sent = request("alpha")
    assert checked(sent) is None
    refusal = checked(sent, table(beta=BOB))
    assert (refusal.status, refusal.key_problem) == (401, KeyProblem.WITHDRAWN)


def test_on_a_public_route_a_withdrawn_key_names_no_account_any_more():
    sent = request("alpha")
    assert checked(sent, on=PUBLIC) is None
    assert checked(sent, table(beta=BOB), on=PUBLIC) is None
    assert sent.account is None


def test_accounts_that_come_in_force_hold_for_a_request_that_waits():
    sent = request("gamma")
    assert checked(sent, accounts=None) is None
    assert checked(sent).key_problem is KeyProblem.UNKNOWN


# Guards against a 401 by an instance that may not know the key yet.
@pytest.mark.parametrize("keys", [("alpha",), ("gamma",), ()])
def test_an_isolated_instance_cannot_check_a_key(keys):
    refusal = checked(request(*keys), isolated=True)
    assert (refusal.status, refusal.reason) == (503, UNCHECKED)
    assert refusal.retry_after > timedelta()


def test_an_isolated_instance_serves_public_routes_without_a_key_only():
    assert checked(request(), on=PUBLIC, isolated=True) is None
    assert checked(request("alpha"), on=PUBLIC, isolated=True).status == 503


# Guards against a relayed request that is refused, as no key is sent with it.
def test_the_account_of_a_relayed_request_is_not_checked_again():
    sent = request(origin=RelayOrigin("", 1, "alice"), account=ALICE)
    assert checked(sent, isolated=True) is None
    assert sent.account is ALICE


@pytest.mark.parametrize("keys", [("alpha",), ("gamma",), ()])
def test_the_checks_have_an_order(keys):
    """Lift one reason after the other; the next one of the order answers."""
    sent = request(*keys, target="/none")
    reasons = {"is_fresh": False, "shutting_down": True}
    options = {"is_isolated": lambda: False}
    in_time = lambda request, route: True  # noqa: E731
    unknown = from_head(sent, None, **options, **reasons, answered_in_time=in_time)
    assert (unknown.status, unknown.reason) == (503, NO_CONFIGURATION)
    assert unknown.retry_after > timedelta()
    outdated = answer(sent, **reasons)
    assert (outdated.status, outdated.reason) == (503, OUTDATED)
    assert outdated.retry_after > timedelta()
    ending = answer(sent, shutting_down=True)
    assert (ending.status, ending.reason) == (503, SHUTTING_DOWN)
    assert ending.retry_after > timedelta()
    assert answer(sent).status == 404
    sent.target = "/closed/x?y=1"
    late = answer(sent, answered_in_time=lambda request, route: route is not CLOSED)
    assert (late.status, late.reason) == (503, ENDS_TOO_SOON)
    assert late.retry_after > timedelta()
    key = answer(sent)
    assert key is None if "alpha" in keys else key.status == 401


def test_a_request_to_a_public_route_is_not_answered_from_its_head():
    assert answer(request(target="/public/x")) is None
