"""The call to an engine under a permit, and checks of its answer."""

from datetime import timedelta
from typing import Protocol

import msgspec
from expression import Error, Ok, Result
from tornado.httpclient import AsyncHTTPClient, HTTPRequest, HTTPResponse

from magnoliatrail.clock import Clock
from magnoliatrail.engines.client import HTTP_OK, refusal_of
from magnoliatrail.engines.permits import Permit, PermitHolder
from magnoliatrail.entry.answer_check import AnswerCheck, check_names
from magnoliatrail.errors import ErrorKind, Failure
from magnoliatrail.generated.engine import Completion
from magnoliatrail.generated.permits import RequestClass
from magnoliatrail.generated.settings import Settings
from magnoliatrail.requests import CompletionCall
from magnoliatrail.wire import JSON_TYPE, CallFailed, CallLimits, call, decode, encode

PRIORITIES = {RequestClass.INTERACTIVE: 0, RequestClass.BATCH: 1}


class AnswerSink(Protocol):
    """Take an answer for a caller."""

    async def write_events(self, data: bytes) -> None:
        """Pass checked events of a stream on."""

    async def write_whole(self, body: bytes) -> None:
        """Pass a checked whole answer on."""


class EngineCaller:
    """Run requests on engines and pass their checked answers on."""

    def __init__(
        self,
        *,
        settings: Settings,
        clock: Clock,
        client: AsyncHTTPClient,
        permits: PermitHolder,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.client = client
        self.permits = permits

    async def run(
        self, request: CompletionCall, permit: Permit, sink: AnswerSink
    ) -> Result[None, Failure]:
        """Run a request under a permit."""
        permit.in_flight += 1
        try:
            if request.stream:
                return await self.run_stream(request, permit, sink)
            return await self.run_whole(request, permit, sink)
        finally:
            permit.in_flight -= 1

    def engine_request(self, request: CompletionCall, permit: Permit) -> HTTPRequest:
        """Return the request that the engine gets."""
        priority = PRIORITIES[request.context.request_class]
        fields = {
            **request.fields,
            "model": msgspec.Raw(encode(permit.handle)),
            "priority": msgspec.Raw(encode(priority)),
        }
        headers = {
            "Content-Type": JSON_TYPE,
            "X-Request-Id": request.context.request_id,
        }
        url = permit.grant.engine_url + request.path
        return HTTPRequest(url, method="POST", headers=headers, body=encode(fields))

    def limits(self, request: CompletionCall) -> CallLimits:
        """Return the limits of a request's call to an engine."""
        connect = timedelta(seconds=self.settings.connect_timeout_seconds)
        return CallLimits(connect, request.context.time_left(self.clock))

    async def run_whole(
        self, request: CompletionCall, permit: Permit, sink: AnswerSink
    ) -> Result[None, Failure]:
        """Run a request and pass its whole answer on."""
        engine_request = self.engine_request(request, permit)
        try:
            response = await call(self.client, engine_request, self.limits(request))
        except CallFailed as error:
            return Error(broken(error))
        if response.code != HTTP_OK:
            return Error(self.refused(permit, response))
        match decode(response.body, Completion):
            case Result(tag="ok", ok=message):
                wrong = check_names(message, request.context.request_id, permit.handle)
            case Result(error=failure):
                wrong = Failure(ErrorKind.ANSWER_INVALID, failure.message)
        if wrong:
            return Error(wrong)
        engine_name = b'"model":"%s"' % permit.handle.encode()
        caller_name = b'"model":"%s"' % str(request.model).encode()
        await sink.write_whole(response.body.replace(engine_name, caller_name, 1))
        return Ok(None)

    async def run_stream(
        self, request: CompletionCall, permit: Permit, sink: AnswerSink
    ) -> Result[None, Failure]:
        """Run a request and pass its events on as they come."""
        check = AnswerCheck(request.context.request_id, permit.handle, request.model)
        refusal = bytearray()
        failures: list[Failure] = []
        statuses: list[int] = []

        def on_header(line: str) -> None:
            if line.startswith("HTTP/"):
                statuses.append(int(line.split(" ")[1]))

        async def on_data(data: bytes) -> None:
            if statuses[-1] != HTTP_OK:
                refusal.extend(data)
                return
            match check.take(data):
                case Result(tag="ok", ok=events):
                    await sink.write_events(events)
                case Result(error=failure):
                    failures.append(failure)

        engine_request = self.engine_request(request, permit)
        engine_request.header_callback = on_header
        engine_request.streaming_callback = on_data
        try:
            response = await call(self.client, engine_request, self.limits(request))
        except CallFailed as error:
            return Error(broken(error))
        if response.code != HTTP_OK:
            return Error(self.refused(permit, response, bytes(refusal)))
        if failures:
            return Error(failures[0])
        if not check.finished:
            message = f"the stream ended at position {check.next_position}"
            return Error(Failure(ErrorKind.ANSWER_INVALID, message))
        return Ok(None)

    def refused(
        self, permit: Permit, response: HTTPResponse, body: bytes | None = None
    ) -> Failure:
        """Return the failure for an engine's refusal, and drop a dead permit."""
        failure = refusal_of(
            body if body is not None else response.body,
            response.code,
            ErrorKind.BACKEND_FAILED,
        )
        if failure.kind is ErrorKind.ADAPTER_NOT_LOADED:
            self.permits.drop(permit)
        return failure


def broken(error: CallFailed) -> Failure:
    """Return the failure for a call to an engine that got no answer."""
    kind = ErrorKind.BACKEND_FAILED if error.sent else ErrorKind.BACKEND_UNREACHABLE
    return Failure(kind, str(error))
