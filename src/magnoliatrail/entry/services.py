"""Handler for requests to plain services."""

import asyncio

from expression import Error, Ok, Result
from tornado.web import stream_request_body

from magnoliatrail.config.resolve import Scopes, setting_of
from magnoliatrail.entry.handlers import CallerHandler
from magnoliatrail.entry.paths import ServicePath, check_query, service_path
from magnoliatrail.entry.service_call import Answer, CallProgress, ServiceRequest
from magnoliatrail.errors import ErrorKind, Failure
from magnoliatrail.generated.configuration import Configuration, ScopeKind
from magnoliatrail.operations.rows import Claim, Operation, RecordedAnswer
from magnoliatrail.requests import RequestContext

BODILESS_STATUSES = {204, 304}


@stream_request_body
class ServiceHandler(CallerHandler):
    """Serve `/services/<name>/<path>`."""

    async def prepare(self) -> None:
        """Prepare to collect the raw body, without form parsing."""
        self.body = bytearray()
        await super().prepare()

    def data_received(self, chunk: bytes) -> None:
        """Append to the body; the listener limits its size."""
        self.body += chunk

    def compute_etag(self) -> None:
        """Set no ETag, as the service handles conditional requests."""

    async def serve(self, *_: str) -> None:
        """Handle a request of any method."""
        refusal = self.parts.lifecycle.refusal()
        if refusal:
            self.refuse(refusal)
            return
        with self.parts.lifecycle.track_request():
            match await self.answer():
                case Result(tag="ok", ok=answer):
                    self.write_answer(answer)
                case Result(error=failure):
                    self.refuse(failure)

    get = head = post = put = patch = delete = options = serve

    async def answer(self) -> Answer:
        """Validate the request and run it."""
        match self.read_context():
            case Result(tag="ok", ok=context):
                pass
            case Result(error=failure):
                return Error(failure)
        match service_path(self.request.path):
            case Result(tag="ok", ok=path):
                pass
            case Result(error=failure):
                return Error(failure)
        query_failure = check_query(self.request.query)
        if query_failure:
            return Error(query_failure)
        return await self.run(self.service_request(context, path), path)

    def service_request(
        self, context: RequestContext, path: ServicePath
    ) -> ServiceRequest:
        """Return the request to send to the service."""
        return ServiceRequest(
            context=context,
            service=path.service,
            method=self.request.method or "",
            path=path.upstream_path,
            query=self.request.query,
            headers=self.request.headers,
            body=bytes(self.body),
        )

    async def run(self, request: ServiceRequest, path: ServicePath) -> Answer:
        """Run an operation, through the ledger unless it is idempotent."""
        refusal = self.parts.services.refusal(request)
        if refusal:
            return Error(refusal)
        configuration = self.parts.configuration.configuration
        if is_idempotent(configuration, request, path):
            return await self.parts.services.call_idempotent(request)
        if not request.context.idempotency_key:
            message = (
                f"operation {request.method} {path.operation_name} is not idempotent"
            )
            return Error(Failure(ErrorKind.KEY_REQUIRED, message))
        return await self.run_once(request, path)

    async def run_once(self, request: ServiceRequest, path: ServicePath) -> Answer:
        """Run a non-idempotent operation once, under a claim in the ledger."""
        match await self.claim(request, path):
            case Result(tag="ok", ok=Claim() as claim):
                pass
            case Result(tag="ok", ok=RecordedAnswer() as recorded):
                self.parts.metrics.count("operations.repeats")
                return Ok(recorded)
            case Result(error=failure):
                return Error(failure)
        progress = CallProgress()
        # The attempt continues after an OPERATION_RUNNING answer or a disconnect.
        attempt = self.parts.settler.start(self.attempt(claim, request, progress))
        return await self.wait_for_attempt(attempt, progress)

    async def claim(
        self, request: ServiceRequest, path: ServicePath
    ) -> Result[Claim | RecordedAnswer, Failure]:
        """Claim the operation in the ledger."""
        context = request.context
        target = (
            f"{path.upstream_path}?{request.query}"
            if request.query
            else path.upstream_path
        )
        operation = Operation(
            caller=context.caller,
            service=path.service,
            operation=f"{request.method} {path.service}/{target}",
            key=context.idempotency_key,
            body=request.body,
        )
        allowed = context.time_left(self.parts.clock)
        return await self.parts.ledger.claim(operation, allowed)

    async def attempt(
        self, claim: Claim, request: ServiceRequest, progress: CallProgress
    ) -> Answer:
        """Send a claimed operation and settle its claim."""
        ledger = self.parts.ledger
        with self.parts.lifecycle.track_request():
            try:
                answer = await self.parts.services.call_non_idempotent(
                    request, progress
                )
            except BaseException:
                ledger.abandon(claim)
                raise
            if answer.is_ok():
                progress.answer = answer.ok
                await ledger.complete(claim, answer.ok)
            elif answer.error.not_run:
                await ledger.release(claim)
            else:
                ledger.abandon(claim)
            return answer

    async def wait_for_attempt(
        self, attempt: asyncio.Task[Answer], progress: CallProgress
    ) -> Answer:
        """Wait for an attempt; answer OPERATION_RUNNING after the idle timeout.

        The wait is doubled if the replica still accepts connections.
        """
        services = self.parts.services
        if await services.done_within(attempt, services.idle_limit):
            return attempt.result()
        replica = progress.replica
        if replica and await services.is_reachable(replica):
            await services.done_within(attempt, services.idle_limit)
        if attempt.done():
            return attempt.result()
        if progress.answer:
            return Ok(progress.answer)
        self.parts.metrics.count("services.silent")
        message = "the service has not answered yet; its answer is still awaited"
        return Error(Failure(ErrorKind.OPERATION_RUNNING, message))

    def write_answer(self, answer: RecordedAnswer) -> None:
        """Write the answer of the service to the caller."""
        self.set_status(answer.status)
        self.clear_header("Content-Type")
        for name in {name for name, _ in answer.headers}:
            self.clear_header(name)
        for name, value in answer.headers:
            self.add_header(name, value)
        if answer.content_type:
            self.set_header("Content-Type", answer.content_type)
        self.set_header("X-Request-Id", self.request_id)
        self.finish(None if answer.status in BODILESS_STATUSES else answer.body)


def is_idempotent(
    configuration: Configuration, request: ServiceRequest, path: ServicePath
) -> bool:
    """Return whether the configuration declares an operation idempotent.

    An exception for `POST bookings/confirm` overrides one for `bookings/confirm`.
    """
    declared = {
        exception.name
        for exception in configuration.exceptions
        if exception.scope is ScopeKind.OPERATION and exception.setting == "idempotent"
    }
    with_method = f"{request.method} {path.operation_name}"
    operation = with_method if with_method in declared else path.operation_name
    scopes = Scopes(
        caller=request.context.caller, operation=operation, service=path.service
    )
    return setting_of(configuration, "idempotent", bool, scopes)
