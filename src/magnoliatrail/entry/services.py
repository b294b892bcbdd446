"""The paths of plain services."""

import random
from datetime import timedelta

from expression import Error, Ok, Result
from tornado.httpclient import HTTPRequest, HTTPResponse

from magnoliatrail.config.resolve import Scopes, setting_of
from magnoliatrail.entry.context import KEY_HEADER
from magnoliatrail.entry.handlers import CallerHandler
from magnoliatrail.errors import ErrorKind, Failure
from magnoliatrail.generated.platform import ListedInstance
from magnoliatrail.logs import EventLog
from magnoliatrail.operations.rows import Claim, Operation, RecordedAnswer
from magnoliatrail.requests import RequestContext
from magnoliatrail.wire import CallFailed, CallLimits, call

log = EventLog("services")

BODY_METHODS = {"POST", "PUT", "PATCH"}


class ServiceHandler(CallerHandler):
    """Serve `/services/<name>/<path>`."""

    async def serve(self, name: str, path: str) -> None:
        """Route one call to a live replica of a plain service."""
        refusal = self.parts.lifecycle.refusal()
        if refusal:
            self.refuse(refusal)
            return
        match self.read_context():
            case Result(tag="ok", ok=context):
                pass
            case Result(error=failure):
                self.refuse(failure)
                return
        with self.parts.lifecycle.request():
            match await self.run(context, name, path):
                case Result(tag="ok", ok=answer):
                    self.pass_on(answer)
                case Result(error=failure):
                    self.refuse(failure)

    get = post = put = delete = serve

    async def run(
        self, context: RequestContext, name: str, path: str
    ) -> Result[RecordedAnswer, Failure]:
        """Run an operation, through the ledger unless it is idempotent."""
        operation_name = f"{name}/{path}"
        scopes = Scopes(caller=context.caller, operation=operation_name, service=name)
        configuration = self.parts.configuration.configuration
        if setting_of(configuration, "idempotent", bool, scopes):
            return await self.send(context, name, path)
        if not context.idempotency_key:
            message = f"operation {operation_name} is not idempotent"
            return Error(Failure(ErrorKind.KEY_REQUIRED, message))
        operation = Operation(
            caller=context.caller,
            service=name,
            operation=f"{self.request.method} {operation_name}",
            key=context.idempotency_key,
            body=self.request.body,
        )
        return await self.run_once(context, operation, name, path)

    async def run_once(
        self, context: RequestContext, operation: Operation, name: str, path: str
    ) -> Result[RecordedAnswer, Failure]:
        """Run a non-idempotent operation under a claim."""
        ledger = self.parts.ledger
        match await ledger.claim(operation):
            case Result(tag="ok", ok=Claim() as claim):
                pass
            case Result(tag="ok", ok=recorded):
                self.parts.metrics.count("operations.repeats")
                assert isinstance(recorded, RecordedAnswer)
                return Ok(recorded)
            case Result(error=failure):
                return Error(failure)
        match await self.send(context, name, path):
            case Result(tag="ok", ok=answer):
                await ledger.complete(claim, answer)
                return Ok(answer)
            case Result(error=failure):
                if failure.not_run:
                    await ledger.release(claim)
                else:
                    ledger.abandon(claim)
                return Error(failure)

    async def send(
        self, context: RequestContext, name: str, path: str
    ) -> Result[RecordedAnswer, Failure]:
        """Send a call to a live replica."""
        replicas = self.parts.fleet.live_services(name)
        if not replicas:
            message = f"no replica of service {name!r} is live"
            return Error(Failure(ErrorKind.UNKNOWN_SERVICE, message))
        replica = random.choice(replicas)
        log.info(
            "routed",
            request=self.request_id,
            service=name,
            replica=replica.id,
            reason="random",
        )
        limits = CallLimits(
            timedelta(seconds=self.parts.settings.connect_timeout_seconds),
            context.time_left(self.parts.clock),
        )
        request = self.replica_request(context, replica, path)
        try:
            response = await call(self.parts.client, request, limits)
        except CallFailed as error:
            kind = (
                ErrorKind.BACKEND_FAILED
                if error.sent
                else ErrorKind.BACKEND_UNREACHABLE
            )
            return Error(Failure(kind, str(error)))
        return Ok(recorded_answer(response))

    def replica_request(
        self, context: RequestContext, replica: ListedInstance, path: str
    ) -> HTTPRequest:
        """Return the request that a replica gets."""
        method = self.request.method or ""
        headers = {
            "Content-Type": self.request.headers.get("Content-Type", ""),
            "X-Request-Id": self.request_id,
        }
        if context.idempotency_key:
            headers[KEY_HEADER] = context.idempotency_key
        query = f"?{self.request.query}" if self.request.query else ""
        body = self.request.body if method in BODY_METHODS else None
        url = f"{replica.url}/{path}{query}"
        return HTTPRequest(url, method=method, headers=headers, body=body)

    def pass_on(self, answer: RecordedAnswer) -> None:
        """Answer with what the service answered."""
        self.set_status(answer.status)
        self.set_header("Content-Type", answer.content_type)
        self.set_header("X-Request-Id", self.request_id)
        self.finish(answer.body)


def recorded_answer(response: HTTPResponse) -> RecordedAnswer:
    """Return what a repeat of the call would receive again."""
    content_type = response.headers.get("Content-Type", "application/octet-stream")
    return RecordedAnswer(response.code, content_type, response.body)
