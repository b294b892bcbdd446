"""Dispatch of a completion: pick an engine, get a permit, pass the answer on."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

import msgspec
from expression import Error, Ok, Result
from tornado.httpclient import AsyncHTTPClient, HTTPRequest, HTTPResponse

from magnoliatrail.clock import Clock
from magnoliatrail.engines.client import HTTP_OK, refusal_of
from magnoliatrail.engines.permits import Permit, PermitHolder
from magnoliatrail.entry.answer_check import AnswerCheck, check_names
from magnoliatrail.entry.catalogue import AdapterCatalogue
from magnoliatrail.entry.context import RequestContext
from magnoliatrail.errors import ErrorKind, Failure
from magnoliatrail.generated.engine import Completion
from magnoliatrail.generated.permits import PermitGrant, PermitRequest, RequestClass
from magnoliatrail.generated.settings import Settings
from magnoliatrail.ids import AdapterVersion, EngineId, InstanceId
from magnoliatrail.logs import EventLog
from magnoliatrail.membership.fleet import Fleet
from magnoliatrail.metrics import Metrics
from magnoliatrail.routing.rendezvous import ranked
from magnoliatrail.wire import JSON_TYPE, CallFailed, CallLimits, call, decode, encode

log = EventLog("dispatch")

RETRY_DELAY = timedelta(milliseconds=50)
PRIORITIES = {RequestClass.INTERACTIVE: 0, RequestClass.BATCH: 1}

AskOwner = Callable[
    [InstanceId, PermitRequest], Awaitable[Result[PermitGrant, Failure]]
]


class AnswerSink(Protocol):
    """Take an answer for a caller."""

    async def write_events(self, data: bytes) -> None:
        """Pass checked events of a stream on."""

    async def write_whole(self, body: bytes) -> None:
        """Pass a checked whole answer on."""


@dataclass(frozen=True, slots=True)
class CompletionCall:
    """Hold one caller's request for a completion."""

    context: RequestContext
    model: AdapterVersion
    path: str
    stream: bool
    fields: dict[str, msgspec.Raw]


class Dispatcher:
    """Dispatch completions to engines under permits."""

    def __init__(
        self,
        *,
        settings: Settings,
        clock: Clock,
        metrics: Metrics,
        client: AsyncHTTPClient,
        fleet: Fleet,
        catalogue: AdapterCatalogue,
        permits: PermitHolder,
        ask_owner: AskOwner,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.metrics = metrics
        self.client = client
        self.fleet = fleet
        self.catalogue = catalogue
        self.permits = permits
        self.ask_owner = ask_owner

    async def dispatch(
        self, request: CompletionCall, sink: AnswerSink
    ) -> Result[None, Failure]:
        """Answer a request, again on another engine where it did not run."""
        failure = Failure(ErrorKind.NO_BACKEND_SERVER, "no engine is live")
        while request.context.time_left(self.clock) > RETRY_DELAY:
            match await self.try_once(request, sink):
                case Result(tag="ok"):
                    return Ok(None)
                case Result(error=failure):
                    if not failure.not_run:
                        break
            self.metrics.count("retries")
            await self.clock.sleep(RETRY_DELAY)
        return Error(failure)

    async def try_once(
        self, request: CompletionCall, sink: AnswerSink
    ) -> Result[None, Failure]:
        """Get a permit and run the request under it."""
        match await self.obtain(request):
            case Result(tag="ok", ok=permit):
                pass
            case Result(error=failure):
                return Error(failure)
        permit.in_flight += 1
        try:
            if request.stream:
                return await self.run_stream(request, permit, sink)
            return await self.run_whole(request, permit, sink)
        finally:
            permit.in_flight -= 1

    async def obtain(self, request: CompletionCall) -> Result[Permit, Failure]:
        """Return a permit that is held, or ask the candidates' owners for one."""
        held = self.permits.usable(request.model, self.fleet.is_live)
        if held:
            chosen = max(held, key=lambda permit: permit.free_places)
            self.log_route(request, chosen.engine, "permit_held")
            return Ok(chosen)
        started = self.clock.monotonic()
        base_model = self.catalogue.base_models[request.model]
        engines = [item.id for item in self.fleet.live_engines(base_model)]
        failure = Failure(ErrorKind.NO_BACKEND_SERVER, f"no engine for {base_model}")
        for engine in ranked(str(request.model), engines):
            match await self.ask(request, EngineId(engine)):
                case Result(tag="ok", ok=grant):
                    stall = self.clock.monotonic() - started
                    self.metrics.timing("load_stall", stall)
                    self.log_route(request, EngineId(engine), "permit_granted")
                    return Ok(self.permits.put(grant))
                case Result(error=failure):
                    log.info(
                        "candidate_refused",
                        request=request.context.request_id,
                        engine=engine,
                        reason=failure.message,
                    )
        return Error(failure)

    async def ask(
        self, request: CompletionCall, engine: EngineId
    ) -> Result[PermitGrant, Failure]:
        """Ask the owner of an engine for a permit."""
        owner = self.fleet.owner_of(engine)
        if owner is None:
            message = f"engine {engine} has no owner"
            return Error(Failure(ErrorKind.NO_BACKEND_SERVER, message))
        time_left = request.context.time_left(self.clock)
        permit_request = PermitRequest(
            holder=self.settings.instance_id,
            engine=engine,
            adapter=request.model.adapter,
            version=request.model.version,
            request_id=request.context.request_id,
            request_class=request.context.request_class,
            waiting=1,
            deadline_seconds=time_left.total_seconds(),
        )
        return await self.ask_owner(owner, permit_request)

    def log_route(self, request: CompletionCall, engine: EngineId, reason: str) -> None:
        """Log a routing decision."""
        log.info(
            "routed",
            request=request.context.request_id,
            model=request.model,
            engine=engine,
            reason=reason,
        )

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
