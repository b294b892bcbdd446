"""Checks that the head of a request decides: configuration, route and key."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from magnoliatrail.accounts.accounts import AccountTable
from magnoliatrail.accounts.keys import KeyProblem
from magnoliatrail.forwarding.request import CallerRequest
from magnoliatrail.platform.request_headers import api_key_of
from magnoliatrail.routes import Route, RouteTable

NO_CONFIGURATION = "no configuration is known yet"
OUTDATED = "the routes or servers known here are too old"
SHUTTING_DOWN = "the instance ends"
ENDS_TOO_SOON = "the instance ends before the request would be answered"
NO_ROUTE = "no route for this host and path"
UNCHECKED = "the key cannot be checked: the configuration known here is too old"
STARTUP_RETRY_AFTER = timedelta(milliseconds=500)
OUTDATED_RETRY_AFTER = timedelta(milliseconds=300)
SHUTDOWN_RETRY_AFTER = timedelta(milliseconds=100)
# Another instance can check the key; this one finds out within about this time.
UNCHECKED_RETRY_AFTER = timedelta(milliseconds=500)


@dataclass(frozen=True, slots=True)
class HeadAnswer:
    """An answer that follows from the head of a request."""

    status: int
    reason: str
    retry_after: timedelta | None = None
    # Set with status 401.
    key_problem: KeyProblem | None = None

    async def send(self, request: CallerRequest) -> None:
        """Answer a request with it."""
        await request.answer_error(self.status, self.reason, self.retry_after)


ENDING = HeadAnswer(503, ENDS_TOO_SOON, SHUTDOWN_RETRY_AFTER)
# A configuration that came between the head and the end of a request allows it.
BODY_DISCARDED = HeadAnswer(
    503,
    "the request is allowed now, but its body was not kept; send it again",
    OUTDATED_RETRY_AFTER,
)


def from_head(
    request: CallerRequest,
    routes: RouteTable | None,
    *,
    is_fresh: bool,
    is_isolated: Callable[[], bool],
    shutting_down: bool,
    answered_in_time: Callable[[CallerRequest, Route], bool],
) -> HeadAnswer | None:
    """Return the answer to a caller's request that its head decides, if it does.

    Looks the key up, and sets the account of the request.
    """
    if routes is None:
        return HeadAnswer(503, NO_CONFIGURATION, STARTUP_RETRY_AFTER)
    if not is_fresh:
        return HeadAnswer(503, OUTDATED, OUTDATED_RETRY_AFTER)
    if shutting_down:
        return HeadAnswer(503, SHUTTING_DOWN, SHUTDOWN_RETRY_AFTER)
    route = routes.match(request.host, request.path)
    if route is None:
        return HeadAnswer(404, NO_ROUTE)
    if not answered_in_time(request, route):
        return ENDING
    return check_key(request, route, routes.accounts, may_be_outdated=is_isolated)


def check_key(
    request: CallerRequest,
    route: Route,
    accounts: AccountTable | None,
    *,
    may_be_outdated: Callable[[], bool],
) -> HeadAnswer | None:
    """Look up the key of a request and set its account; return the refusal, if any.

    While the accounts may be outdated, no key is accepted or called unknown. The
    account of a relayed request is known from the instance that relays it.
    """
    if request.origin is not None:
        return None
    if accounts is None:
        request.account = None
        return None
    key = api_key_of(request.headers)
    if route.public and isinstance(key, KeyProblem):
        request.account = None
        return None
    if may_be_outdated():
        return HeadAnswer(503, UNCHECKED, UNCHECKED_RETRY_AFTER)
    account = None if isinstance(key, KeyProblem) else accounts.find(key)
    if account is not None or route.public:
        request.account = account
        return None
    if isinstance(key, KeyProblem):
        problem = key
    else:
        # An earlier look-up found the account that the request still has.
        was_known = request.account is not None
        problem = KeyProblem.WITHDRAWN if was_known else KeyProblem.UNKNOWN
    return HeadAnswer(401, f"the key is {problem.value}", key_problem=problem)
