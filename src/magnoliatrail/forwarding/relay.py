"""Requests that another instance sends to servers, as this one reaches none.

A relayed request goes one hop: the instance that gets it sends it to servers itself, or
refuses it. Its answer passes through this instance as it arrives, and its connection is
closed if the caller leaves.
"""

from collections import Counter
from dataclasses import dataclass
from datetime import timedelta

from tornado.httputil import HTTPHeaders

from magnoliatrail.accounts.accounts import ClientAccount
from magnoliatrail.backends import BackendServer, ServerNotice, ServerState
from magnoliatrail.forwarding.attempt import Attempt, AttemptOutcome
from magnoliatrail.forwarding.context import (
    NOT_RUN_STATUSES,
    ForwardingContext,
    RoutedRequest,
    break_off,
)
from magnoliatrail.forwarding.head_check import HeadAnswer
from magnoliatrail.forwarding.held_answers import (
    AnswerNotHeld,
    attempt_without_room,
    hold_answer,
)
from magnoliatrail.forwarding.request import RELAY_SERVER, RelayOrigin
from magnoliatrail.forwarding.send_check import send_check
from magnoliatrail.forwarding.server_call import (
    ForwardedRequest,
    OutdatedChoice,
    SendCheck,
    send_attempt,
)
from magnoliatrail.ids import AccountName, InstanceId, ServerId
from magnoliatrail.logs import EventLog
from magnoliatrail.memory_budget import HeldKind, Holding
from magnoliatrail.peers.reach_monitor import Helper
from magnoliatrail.platform.request_headers import (
    headers_for_relay,
    is_signed,
    server_notice,
)

log = EventLog("relay")

# Headers between instances; no caller or server gets them.
TOKEN = "Relay-Token"
FINGERPRINT = "Relay-Fingerprint"
CONFIGURATION = "Relay-Configuration"
# The name of the caller's account, whose key and quota the sender has checked.
ACCOUNT = "Relay-Account"
SERVER = RELAY_SERVER
REFUSED = "Relay-Refused"
HEADERS = (TOKEN, FINGERPRINT, CONFIGURATION, ACCOUNT, SERVER, REFUSED)

# Instances that are tried for one request.
MAX_HELPERS = 3
MIN_TIME_LEFT = timedelta(milliseconds=30)
# Requests of other instances that one instance serves at a time.
MAX_RELAYED = 128


@dataclass(slots=True)
class Relay:
    """Let other instances serve requests."""

    context: ForwardingContext
    token: str
    in_flight: Counter[InstanceId]

    async def serve(self, routed: RoutedRequest) -> bool:
        """Answer through another instance; return False if none takes the request."""
        with Holding(self.context.memory, HeldKind.ANSWERS) as holding:
            return await self.serve_holding(routed, holding)

    async def serve_holding(self, routed: RoutedRequest, holding: Holding) -> bool:
        """Answer through another instance, with kept answers in a holding."""
        tried: set[InstanceId] = set()
        while len(tried) < MAX_HELPERS:
            left = routed.ends_at - self.context.clock.monotonic()
            helper = self.choose(tried)
            if helper is None or left < MIN_TIME_LEFT:
                return False
            tried.add(helper.instance)
            attempt = await self.attempt(routed, helper, left, holding)
            refused = (
                attempt.outcome is AttemptOutcome.INVALID and REFUSED in attempt.headers
            )
            log.info(
                "relayed",
                request=routed.request.id,
                instance=helper.instance,
                failure_domain=helper.failure_domain,
                outcome="refused" if refused else attempt.outcome,
                status=attempt.status,
                reason=attempt.reason,
            )
            if attempt.withheld is not None:
                await attempt.withheld.send(routed.request)
                return True
            if attempt.sent and (refused or is_refusal(attempt)):
                routed.request.runs -= 1
            if not attempt.sent or refused:
                self.context.reach.forget_helper(helper)
                continue
            await self.answer(routed, attempt)
            return True
        return False

    def choose(self, tried: set[InstanceId]) -> Helper | None:
        """Return the least loaded helper, of the own failure domain if there is one."""
        own = self.context.reach.failure_domain
        return min(
            (item for item in self.context.reach.helpers if item.instance not in tried),
            key=lambda item: (
                item.failure_domain != own,
                item.relayed + self.in_flight[item.instance],
            ),
            default=None,
        )

    async def attempt(
        self,
        routed: RoutedRequest,
        helper: Helper,
        left: timedelta,
        holding: Holding,
    ) -> Attempt:
        """Send a request to another instance, and pass a successful answer on."""
        request = routed.request

        async def head(status: int, headers: HTTPHeaders) -> None:
            self.apply_notice(status, headers)
            await request.start(status, without_relay_headers(headers))

        async def body(chunk: bytes) -> None:
            await request.write(chunk)

        async def hold(size: int) -> None:
            await hold_answer(self.context.clock, holding, size)

        routes = self.context.view.routes
        fields = headers_for_relay(request.headers, left)
        fields[TOKEN] = self.token
        fields[FINGERPRINT] = request.fingerprint
        fields[CONFIGURATION] = str(routes.version if routes else 0)
        self.in_flight[helper.instance] += 1
        try:
            attempt = await send_attempt(
                self.context.pool,
                as_server(helper),
                ForwardedRequest(
                    request.id, request.method, request.target, fields, request.body
                ),
                time_left=left,
                only_recently_used=True,
                head=head,
                body=body,
                hold=hold,
                # Errors and refusals of the other instance are passed on too.
                keeps_body=lambda status, headers: True,
                notice=ignore_notice,
                max_relayed_bytes=None,
                check=relay_check(self.context, routed),
                progress=routed.event_progress(self.context.clock),
            )
        except AnswerNotHeld:
            return attempt_without_room(as_server(helper))
        finally:
            self.in_flight[helper.instance] -= 1
        if not request.answer_started and is_signed(attempt.headers):
            self.apply_notice(attempt.status, attempt.headers)
        return attempt

    def apply_notice(self, status: int, headers: HTTPHeaders) -> None:
        """Apply what a server said of itself in a relayed answer."""
        name, _, born = headers.get(SERVER, "").partition(" ")
        server = self.context.view.servers.get(ServerId(name))
        if server is not None and str(server.born) == born:
            notice = server_notice(server, status, headers, to_request=True)
            self.context.view.apply_notice(server, notice)

    async def answer(self, routed: RoutedRequest, attempt: Attempt) -> None:
        """Finish the caller's answer according to the outcome of the attempt."""
        request = routed.request
        whole = attempt.status and attempt.outcome in (
            AttemptOutcome.ANSWERED,
            AttemptOutcome.NOT_RUN,
            # A refusal or an error of the other instance.
            AttemptOutcome.INVALID,
        )
        if request.answer_started:
            if attempt.outcome is AttemptOutcome.ANSWERED:
                request.finish()
                return
            break_off(request, attempt)
        elif whole:
            fields = without_relay_headers(attempt.headers)
            await request.answer_complete(attempt.status, fields, attempt.body)
        elif attempt.outcome is AttemptOutcome.TIMED_OUT:
            await request.answer_error(504, attempt.reason)
        else:
            await request.answer_error(502, attempt.reason)


def relay_check(context: ForwardingContext, routed: RoutedRequest) -> SendCheck:
    """Return the check of a request that is relayed, which names its account."""
    check = send_check(context, routed)

    def named(
        attempt: Attempt, fields: HTTPHeaders
    ) -> HeadAnswer | OutdatedChoice | None:
        refusal = check(attempt, fields)
        fields.pop(ACCOUNT, None)
        if refusal is None and routed.request.account is not None:
            fields[ACCOUNT] = routed.request.account.name
        return refusal

    return named


def is_refusal(attempt: Attempt) -> bool:
    """Return whether another instance answered that a request has not run."""
    whole = attempt.outcome not in (AttemptOutcome.BROKEN, AttemptOutcome.TIMED_OUT)
    return whole and attempt.status in NOT_RUN_STATUSES


def ignore_notice(server: BackendServer, notice: ServerNotice) -> None:
    """Ignore the notice of a server, whose sender is another instance."""
    del server, notice


def as_server(helper: Helper) -> BackendServer:
    """Return an instance as the server of a request."""
    return BackendServer(
        id=ServerId(helper.instance),
        born=0,
        service="",
        address=helper.address,
        failure_domain=helper.failure_domain,
        batch_slots=MAX_RELAYED,
        state=ServerState.READY,
        models=(),
        orders_accepted=0,
    )


def without_relay_headers(headers: HTTPHeaders) -> HTTPHeaders:
    """Return headers without those between instances."""
    kept = headers.copy()
    for name in HEADERS:
        kept.pop(name, None)
    return kept


def relay_origin(headers: HTTPHeaders) -> RelayOrigin:
    """Return what the sender of a relayed request says of it."""
    version = headers.get(CONFIGURATION, "")
    return RelayOrigin(
        fingerprint=headers.get(FINGERPRINT, ""),
        configuration=int(version) if version.isdecimal() else 0,
        account=headers.get(ACCOUNT, ""),
    )


def account_of(origin: RelayOrigin, context: ForwardingContext) -> ClientAccount | None:
    """Return the account that the sender of a relayed request names, if it does.

    The sender has checked the key; this instance may not know the account any more.
    """
    if not origin.account:
        return None
    name = AccountName(origin.account)
    routes = context.view.routes
    table = routes.accounts if routes else None
    return (table.accounts.get(name) if table else None) or ClientAccount(name)


def refusal_of(
    request: RelayOrigin, context: ForwardingContext, *, relayed: int
) -> str | None:
    """Return why this instance does not serve a relayed request, None if it does."""
    routes = context.view.routes
    if routes is None or routes.version < request.configuration:
        return "the configuration is not known here yet"
    if context.reach.is_cut:
        return "this instance reaches no server either"
    if relayed > MAX_RELAYED:
        return "too many requests of other instances"
    return None
