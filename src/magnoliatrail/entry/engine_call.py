"""Calls to engines under a permit, streamed or not."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta

from expression import Error, Ok, Result
from tornado.httpclient import AsyncHTTPClient

from magnoliatrail.clock import Clock
from magnoliatrail.engines.client import refusal_of
from magnoliatrail.engines.permits import Permit, PermitHolder
from magnoliatrail.entry.answer_check import AnswerCheck, StreamProgress
from magnoliatrail.entry.answer_sink import AnswerSink
from magnoliatrail.entry.engine_cancel import EngineCanceller
from magnoliatrail.entry.engine_run import EngineRun, run_id
from magnoliatrail.entry.engine_stream import (
    EngineRequest,
    EngineStream,
    StreamLimits,
    open_stream,
)
from magnoliatrail.entry.stream_relay import RelayFailure, relay_events
from magnoliatrail.entry.whole_answer import read_whole, with_caller_identity
from magnoliatrail.errors import ErrorKind, Failure
from magnoliatrail.generated.settings import Settings
from magnoliatrail.logs import EventLog
from magnoliatrail.membership.servers import ServerView
from magnoliatrail.memory_budget import HeldKind, Holding, MemoryBudget
from magnoliatrail.peers.quarantine_exchange import QuarantineExchange
from magnoliatrail.requests import AnswerOrigin, CompletionCall, RunVersion
from magnoliatrail.routing.answer_origin import listed_run_version, may_go_on
from magnoliatrail.settings import control_limits
from magnoliatrail.wire import CallFailed

log = EventLog("entry")

HTTP_OK = 200
HTTP_SERVER_ERROR = 500
MAX_INTERRUPTIONS = 3
MAX_RESUMES_WITHOUT_PROGRESS = 2

# Failures after which the engine may have crashed.
BROKEN_OFF = {ErrorKind.ANSWER_INTERRUPTED, ErrorKind.ANSWER_INVALID}

RelayAnswer = Callable[[EngineStream], Awaitable[RelayFailure | None]]


class EngineCaller:
    """Run requests on engines and relay their checked answers."""

    def __init__(
        self,
        *,
        settings: Settings,
        clock: Clock,
        client: AsyncHTTPClient,
        permits: PermitHolder,
        quarantine: QuarantineExchange,
        servers: ServerView,
        memory: MemoryBudget,
    ) -> None:
        self.settings = settings
        self.memory = memory
        self.clock = clock
        self.quarantine = quarantine
        self.permits = permits
        self.servers = servers
        self.limits = StreamLimits(
            connect=timedelta(seconds=settings.connect_timeout_seconds),
            idle=timedelta(seconds=settings.idle_timeout_seconds),
        )
        self.canceller = EngineCanceller(
            clock=clock, client=client, limits=control_limits(settings)
        )

    async def run(
        self, request: CompletionCall, permit: Permit, sink: AnswerSink
    ) -> Result[None, Failure]:
        """Run a request under a permit, or continue an answer from another engine."""
        context = request.context
        if not may_go_on(self.servers, request.origin, permit.engine):
            return Error(other_version(permit))
        request_id = run_id(context.request_id, sink.progress.runs)
        run = EngineRun(
            request,
            permit,
            request_id,
            listed_run_version(self.servers, permit.engine, request_id),
            sent_at=self.clock.monotonic(),
        )
        sink.progress.runs += 1
        permit.in_flight += 1
        try:
            async with asyncio.timeout(context.time_left(self.clock).total_seconds()):
                result = await self.run_with_interruption_limit(run, sink)
        except TimeoutError:
            message = "the deadline passed while the engine generated"
            return Error(Failure(ErrorKind.DEADLINE_EXCEEDED, message))
        finally:
            if run.may_be_running:
                self.canceller.cancel_in_background(permit, run.request_id, context)
            else:
                permit.in_flight -= 1
        self.record_run(run, result)
        return result

    def record_run(self, run: EngineRun, result: Result[None, Failure]) -> None:
        """Record what a run says of its engine and of the parts of its prompt."""
        parts = run.request.parts
        match result:
            case Result(tag="ok"):
                self.quarantine.record_answered(run.server_run, run.sent_at)
                self.quarantine.record_sound(parts)
            case Result(error=failure) if failure.kind in BROKEN_OFF:
                if run.is_known_sound:
                    self.quarantine.record_sound(parts)
                else:
                    self.quarantine.record_broken(run.server_run, parts)

    async def run_with_interruption_limit(
        self, run: EngineRun, sink: AnswerSink
    ) -> Result[None, Failure]:
        """Run a request, and limit how often interruptions allow another run."""
        if run.request.stream:
            result = await self.run_stream(run, sink)
        else:
            result = await self.run_whole(run, sink)
        match result:
            case Result(tag="error", error=failure):
                origin = run.request.origin
                return Error(limit_interruptions(failure, sink.progress, origin))
            case _:
                return result

    async def run_stream(
        self, run: EngineRun, sink: AnswerSink
    ) -> Result[None, Failure]:
        """Run a request and relay its events as they arrive."""
        check = AnswerCheck(
            run.request_id,
            run.permit.handle,
            run.request.model,
            caller_request_id=run.request.context.request_id,
            progress=sink.progress,
        )

        def record_events() -> None:
            run.last_event_at = self.clock.monotonic()
            run.began_at = run.began_at or run.last_event_at
            run.request.origin.version = run.version

        async def relay_answer(stream: EngineStream) -> RelayFailure | None:
            return await relay_events(stream, check, sink, on_events=record_events)

        return await self.run_until_complete(
            run, relay_answer, lambda: check.next_position
        )

    async def run_whole(
        self, run: EngineRun, sink: AnswerSink
    ) -> Result[None, Failure]:
        """Run a request and relay its answer once it is complete."""

        async def relay_answer(stream: EngineStream) -> RelayFailure | None:
            with Holding(self.memory, HeldKind.ANSWERS) as holding:
                body = await read_whole(
                    stream, run.request_id, run.permit.handle, holding
                )
                if isinstance(body, RelayFailure):
                    return body
                request = run.request
                renamed = with_caller_identity(
                    body, request.context.request_id, request.model
                )
                await sink.write_whole(renamed)
                return None

        return await self.run_until_complete(run, relay_answer, lambda: 0)

    async def run_until_complete(
        self, run: EngineRun, relay_answer: RelayAnswer, position: Callable[[], int]
    ) -> Result[None, Failure]:
        """Start a run, and resume it over new connections until it is complete."""
        resumes_without_progress = 0
        reason = ""
        request = run.first_request()
        while resumes_without_progress <= MAX_RESUMES_WITHOUT_PROGRESS:
            before = position()
            match await self.open(run, request):
                case Result(tag="ok", ok=stream) if stream is not None:
                    relay_failure = await relay_and_close(stream, relay_answer)
                case Result(tag="ok"):
                    relay_failure = RelayFailure(
                        "the connection broke before the answer"
                    )
                case Result(error=failure):
                    return Error(failure)
            if relay_failure is None:
                run.may_be_running = False
                return Ok(None)
            if relay_failure.final:
                return Error(relay_failure.final)
            # A connection reaches the idle timeout here only after the engine has sent
            # the response headers, so it counts as still running the request.
            progressed = position() > before or relay_failure.idle_timeout
            resumes_without_progress = 0 if progressed else resumes_without_progress + 1
            reason = relay_failure.reason
            request = run.resume_request(position())
            log.warning(
                "answer_broken",
                **run.log_fields(),
                position=position(),
                reason=reason,
            )
        return Error(interrupted(reason))

    async def open(
        self, run: EngineRun, request: EngineRequest
    ) -> Result[EngineStream | None, Failure]:
        """Open a stream, or return None if the run may exist and can be resumed."""
        starting = not run.may_be_running
        run.may_be_running = True
        try:
            stream = await open_stream(request, self.limits)
        except CallFailed as error:
            if starting and not error.sent:
                run.may_be_running = False
                return Error(Failure(ErrorKind.BACKEND_UNREACHABLE, str(error)))
            return Ok(None) if error.sent else Error(interrupted(str(error)))
        if stream.status == HTTP_OK:
            if run.request.stream and not stream.is_event_stream:
                stream.close()
                return Error(interrupted("the engine's answer is no event stream"))
            failure = self.version_failure(run, stream)
            if failure is None:
                return Ok(stream)
            stream.close()
            return Error(failure)
        stream.close()
        run.may_be_running = stream.status >= HTTP_SERVER_ERROR
        return Error(self.refusal_failure(run, stream, starting=starting))

    def version_failure(self, run: EngineRun, stream: EngineStream) -> Failure | None:
        """Return a failure if an answer is of another version than its beginning.

        The head of an answer is newer than the list.
        """
        named = stream.software_version
        if run.head_seen:
            if named in ("", run.version.name):
                return None
            # Another program has taken the place of the one that ran the request.
            self.refuse_version(run, named)
            return interrupted(f"the engine answers with software version {named}")
        run.head_seen = True
        engine = run.permit.engine
        if named:
            run.version = RunVersion(named)
        elif engine in self.servers.listed and run.version != listed_run_version(
            self.servers, engine, run.request_id
        ):
            # The list changed meanwhile: either version may have answered.
            run.version = RunVersion(only_run=run.request_id)
        if run.request.origin.version in (None, run.version):
            return None
        self.refuse_version(run, run.version.name)
        return other_version(run.permit)

    def refuse_version(self, run: EngineRun, version: str) -> None:
        """Ask an engine no more for the rest of an answer."""
        origin = run.request.origin
        origin.refused.add(run.permit.engine)
        log.warning(
            "software_version_differs",
            **run.log_fields(),
            version=version,
            began=origin.version.name if origin.version else "",
        )

    def refusal_failure(
        self, run: EngineRun, stream: EngineStream, *, starting: bool
    ) -> Failure:
        """Map a refusal to a failure; drop the permit if the adapter is not loaded."""
        failure = refusal_of(stream.refusal, stream.status, ErrorKind.BACKEND_FAILED)
        if failure.kind is ErrorKind.ADAPTER_NOT_LOADED:
            self.permits.drop(run.permit)
        if not starting or stream.status >= HTTP_SERVER_ERROR:
            return interrupted(failure.message)
        if failure.kind is ErrorKind.BACKEND_FAILED and stream.status in {400, 422}:
            return Failure(ErrorKind.MALFORMED_REQUEST, failure.message)
        return failure


async def relay_and_close(
    stream: EngineStream, relay_answer: RelayAnswer
) -> RelayFailure | None:
    """Relay the answer of one connection, and always close the connection."""
    try:
        return await relay_answer(stream)
    finally:
        stream.close()


def interrupted(message: str) -> Failure:
    """Return a failure that lets another engine continue the answer."""
    return Failure(ErrorKind.ANSWER_INTERRUPTED, message)


def other_version(permit: Permit) -> Failure:
    """Return the failure of an engine that cannot go on with an answer."""
    message = f"engine {permit.engine} has not the software version of the answer"
    return Failure(ErrorKind.NO_BACKEND_SERVER, message)


def limit_interruptions(
    failure: Failure, progress: StreamProgress, origin: AnswerOrigin
) -> Failure:
    """Count an interruption, and make it final if no other run may go on."""
    if failure.kind is not ErrorKind.ANSWER_INTERRUPTED:
        return failure
    progress.interruptions += 1
    if origin.version and origin.version.only_run:
        message = f"{failure.message}; its software version is not known"
        return Failure(ErrorKind.ANSWER_INVALID, message)
    if progress.interruptions < MAX_INTERRUPTIONS:
        return failure
    return Failure(ErrorKind.ANSWER_INVALID, failure.message)
