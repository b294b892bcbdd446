"""Request handler: match a route, choose a service, and forward the request."""

from datetime import timedelta

from magnoliatrail.forwarding.context import (
    OUTDATED,
    SHUTDOWN_RETRY_AFTER,
    SHUTTING_DOWN,
    ForwardingContext,
    RoutedRequest,
)
from magnoliatrail.forwarding.engine_path import EnginePath
from magnoliatrail.forwarding.head_check import NO_ROUTE, HeadAnswer, answer_from_head
from magnoliatrail.forwarding.plain_path import PlainPath
from magnoliatrail.forwarding.relay import REFUSED, refusal_of
from magnoliatrail.forwarding.request import CallerRequest
from magnoliatrail.logs import EventLog
from magnoliatrail.routes import RouteTable

log = EventLog("forwarding")

STARTUP_RETRY_AFTER = timedelta(milliseconds=500)
OUTDATED_RETRY_AFTER = timedelta(milliseconds=300)


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
        # Requests of other instances in progress.
        self.relayed = 0

    def from_head(self, request: CallerRequest) -> HeadAnswer | None:
        """Return the answer that the head of a request determines, if any."""
        return answer_from_head(request, self.context, refuses_all=self.refuses_all)

    async def handle(self, request: CallerRequest) -> None:
        """Answer one request."""
        if request.origin is None:
            await self.route(request)
            return
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
        if routes is None:
            await request.answer_error(
                503, "no configuration is known yet", STARTUP_RETRY_AFTER
            )
        elif not fresh:
            await request.answer_error(503, OUTDATED, OUTDATED_RETRY_AFTER)
        elif self.refuses_all:
            await request.answer_error(503, SHUTTING_DOWN, SHUTDOWN_RETRY_AFTER)
        else:
            route = routes.match(request.host, request.path)
            if route is None:
                await request.answer_error(404, NO_ROUTE)
            else:
                service = route.service_for(self.context.generator.random())
                routed = RoutedRequest(request, route, service)
                spec = routes.services.get(service)
                if not (spec and spec.engine):
                    await self.plain.serve(routed)
                else:
                    await self.engines.serve(routed)
        self.record(request, routes, table_age)

    def record_from_head(self, request: CallerRequest) -> None:
        """Record the answer to a request that the listener has answered itself."""
        self.record(request, self.context.view.routes, self.context.view.age())

    def record(
        self, request: CallerRequest, routes: RouteTable | None, table_age: timedelta
    ) -> None:
        """Record an answer in the metrics and the log."""
        took = self.context.clock.monotonic() - request.received_at
        self.context.metrics.count(f"answers.{request.status}")
        self.context.metrics.timing("answer.time", took)
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
        )
