"""Request handler: match a route, choose a service, and forward the request."""

from datetime import timedelta

from magnoliatrail.forwarding.context import ForwardingContext, RoutedRequest
from magnoliatrail.forwarding.engine_path import EnginePath
from magnoliatrail.forwarding.head_check import (
    OUTDATED,
    SHUTDOWN_RETRY_AFTER,
    SHUTTING_DOWN,
    HeadAnswer,
    from_head,
)
from magnoliatrail.forwarding.plain_path import PlainPath
from magnoliatrail.forwarding.quotas import QuotaEntry
from magnoliatrail.forwarding.relay import REFUSED, account_of, refusal_of
from magnoliatrail.forwarding.request import CallerRequest
from magnoliatrail.forwarding.service_choice import NoService, choose_service
from magnoliatrail.logs import EventLog
from magnoliatrail.routes import RouteTable

log = EventLog("forwarding")


class ForwardingHandler:
    """Forward callers' requests to engines and plain services."""

    def __init__(
        self, context: ForwardingContext, engines: EnginePath, plain: PlainPath
    ) -> None:
        self.context = context
        self.engines = engines
        self.plain = plain
        # Refuse all new requests, because the process is shutting down.
        self.refuses_all = False
        # The same for requests of other instances.
        self.refuses_relayed = False
        # Admission by the accounts' quotas, None without.
        self.quotas: QuotaEntry | None = None
        # Requests of other instances in progress.
        self.relayed = 0

    def from_head(self, request: CallerRequest) -> HeadAnswer | None:
        """Return the answer to a request that its head decides, None if there is none.

        None too if the tables are too old, as `handle` reads them first, and for a
        relayed request, whose sender has checked it.
        """
        if request.origin is not None:
            return None
        if self.context.view.routes is not None and not self.context.is_fresh():
            return None
        return self.checked(request, is_fresh=True)

    def record_from_head(self, request: CallerRequest) -> None:
        """Record the answer to a request that the listener has answered itself."""
        self.record_answer(request, self.context.view.routes)

    def checked(self, request: CallerRequest, *, is_fresh: bool) -> HeadAnswer | None:
        """Return the answer to a request that its head decides, and log a bad key."""
        answer = from_head(
            request,
            self.context.view.routes,
            is_fresh=is_fresh,
            is_isolated=self.context.is_isolated,
            shutting_down=self.refuses_all,
            answered_in_time=self.context.answered_in_time,
        )
        if answer is not None:
            self.context.record_refused_key(request, answer)
        return answer

    async def handle(self, request: CallerRequest) -> None:
        """Answer one request."""
        if request.origin is None:
            await self.route(request)
            return
        request.account = account_of(request.origin, self.context)
        self.relayed += 1
        try:
            fresh = await self.context.ensure_fresh()
            reason = None if fresh else OUTDATED
            if self.refuses_relayed:
                reason = SHUTTING_DOWN
            reason = reason or refusal_of(
                request.origin, self.context, relayed=self.relayed
            )
            if reason is None:
                await self.route(request)
            else:
                request.answer_fields[REFUSED] = "1"
                await request.answer_error(503, reason, SHUTDOWN_RETRY_AFTER)
        finally:
            self.relayed -= 1

    async def route(self, request: CallerRequest) -> None:
        """Match the route of a request, and let it be served."""
        fresh = await self.context.ensure_fresh()
        routes, table_age = self.context.view.routes, self.context.view.age()
        answer = self.checked(request, is_fresh=fresh)
        if answer is not None or routes is None:
            assert answer is not None, "without a configuration there is an answer"
            await answer.send(request)
        else:
            await self.admit(request, routes)
        self.record_answer(request, routes, table_age)

    async def admit(self, request: CallerRequest, routes: RouteTable) -> None:
        """Charge a request to its account, and let it be served."""
        route = routes.match(request.host, request.path)
        assert route is not None, "the route was matched by the same table"
        charge = await self.quotas.admit(request, route) if self.quotas else None
        if isinstance(charge, HeadAnswer):
            await charge.send(request)
            return
        try:
            routed = await choose_service(self.context, request, route)
            if isinstance(routed, NoService):
                await routed.refuse(request)
            else:
                await self.serve(routed, routes)
        finally:
            if self.quotas:
                self.quotas.settle(request, charge)

    async def serve(self, routed: RoutedRequest, routes: RouteTable) -> None:
        """Let the path of the service answer a request."""
        spec = routes.services.get(routed.service)
        if not (spec and spec.engine):
            await self.plain.serve(routed)
        else:
            await self.engines.serve(routed)

    def record_answer(
        self,
        request: CallerRequest,
        routes: RouteTable | None,
        table_age: timedelta | None = None,
    ) -> None:
        """Log and count the answer to a request."""
        took = self.context.clock.monotonic() - request.received_at
        self.context.metrics.count(f"answers.{request.status}")
        self.context.metrics.timing("answer.time", took)
        if table_age is None:
            table_age = self.context.view.age()
        if routes is not None:
            self.context.metrics.timing("answer.table_age", table_age)
        log.info(
            "answered",
            request=request.id,
            status=request.status,
            whole=request.answer_finished,
            took=took,
            configuration=routes.version if routes else 0,
            table_age=table_age if routes else "",
            relayed=request.origin is not None,
            account=request.account.name if request.account else "",
        )
