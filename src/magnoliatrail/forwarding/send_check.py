"""The last check of a request, right before it is sent to a server."""

from tornado.httputil import HTTPHeaders

from magnoliatrail.forwarding.attempt import Attempt
from magnoliatrail.forwarding.context import ForwardingContext, RoutedRequest
from magnoliatrail.forwarding.head_check import (
    ENDING,
    OUTDATED,
    HeadAnswer,
    check_key,
)
from magnoliatrail.forwarding.server_call import OutdatedChoice, SendCheck
from magnoliatrail.platform.request_headers import set_account

LEFT = "the server leaves or is gone since it was chosen"


def server_check(context: ForwardingContext, routed: RoutedRequest) -> SendCheck:
    """Return the check of a request to a backend server, which must still be usable."""
    check = send_check(context, routed)

    def checked(
        attempt: Attempt, fields: HTTPHeaders
    ) -> HeadAnswer | OutdatedChoice | None:
        if not context.view.is_usable(attempt.server):
            return OutdatedChoice(LEFT)
        if not context.is_list_fresh():
            return OutdatedChoice(OUTDATED)
        return check(attempt, fields)

    return checked


def send_check(context: ForwardingContext, routed: RoutedRequest) -> SendCheck:
    """Return the check of a request, which also sets the headers about its account.

    It decides by the configuration in force when the request is written, after the
    wait for a batch slot and for a connection.
    """

    def check(attempt: Attempt, fields: HTTPHeaders) -> HeadAnswer | None:
        request = routed.request
        attempt.list_age = context.view.list_age()
        attempt.list_source = context.view.list_source
        attempt.written_after = context.clock.monotonic() - request.received_at
        if not context.answered_in_time(request, routed.route):
            return ENDING
        routes = context.view.routes
        accounts = routes.accounts if routes else None
        refusal = check_key(
            request,
            routed.route,
            accounts,
            may_be_outdated=lambda: not context.is_fresh() or context.is_isolated(),
        )
        if refusal is not None:
            context.record_refused_key(request, refusal)
            return refusal
        account = request.account
        set_account(
            fields,
            account.name if account else None,
            in_force=accounts is not None or account is not None,
        )
        request.runs += 1
        return None

    return check
