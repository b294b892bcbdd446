"""A stand-in for an engine of the platform: accepts orders and streams events."""

import asyncio
import json
from dataclasses import dataclass, field
from typing import Any

from tornado.httputil import HTTPServerRequest
from tornado.iostream import StreamClosedError
from tornado.web import Application, RequestHandler

from magnoliatrail.standins.row_store import drop_connection

NOT_EXECUTED_HEADER = "Magnoliatrail-Not-Executed"


@dataclass
class PlatformEngineState:
    """State of an engine; tests set its faults."""

    id: str
    born: int
    service: str = "models"
    adapter_slots: int = 16
    models: set[str] = field(default_factory=set)
    # MODEL/NAME@VERSION of the loaded adapters, then of those still loading.
    adapters: set[str] = field(default_factory=set)
    loading_adapters: set[str] = field(default_factory=set)
    orders_accepted: int = 0
    load_seconds: float = 0.02
    event_seconds: float = 0.001
    events: int = 3
    # Ids of the executed requests, in order of execution.
    ran: list[str] = field(default_factory=list)
    orders: list[dict[str, Any]] = field(default_factory=list)
    # Set when a load order exceeds the adapter slots.
    crashed: bool = False
    # A part of a prompt on which the engine crashes when it begins an answer.
    crashing_part: str = ""
    # The body of requests on which it crashes then.
    crashing_body: bytes | None = None
    # Set by such a crash.
    ended: bool = False
    # The requests that are being served.
    serving: list[HTTPServerRequest] = field(default_factory=list)
    # Number of events after which streams are cut off; None for no fault.
    break_after_events: int | None = None
    # Whether streams have neither a length nor chunks and end with their connection.
    unframed: bool = False
    # Whether streams have the length of what is written of them, also if that is less
    # than all events.
    sized: bool = False
    # Whether all answers say that the engine leaves.
    leaving: bool = False
    # Time that refusals of all requests, orders and reports ask for; 0 for no refusal.
    refuses_for_seconds: int = 0
    # Number of these refusals.
    refused: int = 0
    # Requests a second that all answers name as the engine's limit; None for none.
    request_limit: float | None = None
    # When each request arrived, on the event loop's clock, and its id.
    arrivals: list[tuple[float, str]] = field(default_factory=list)
    # Version of the engine's software.
    version: str = "v1"
    # Whether a stream that is cut off ends in the middle of its next event.
    break_inside_event: bool = False
    # Ids of requests whose caller disconnected before the end.
    abandoned: list[str] = field(default_factory=list)

    @property
    def row(self) -> dict[str, object]:
        """Return the engine's row in the store, without its address."""
        return {
            "service": self.service,
            "zone": "zone-a",
            "version": self.version,
            "slots": 8,
            "state": "ready",
            "born": self.born,
            "sequence": self.orders_accepted,
            "models": self.listed_models(),
        }

    def crashes_on(self, request: HTTPServerRequest) -> bool:
        """Return whether the engine crashes when it begins to answer a request."""
        if self.crashing_part and self.crashing_part in prompt_parts(request):
            return True
        return request.body == self.crashing_body

    def listed_models(self) -> list[dict[str, object]]:
        """Return the models and adapters that can be used."""
        return [
            {
                "name": model,
                "version": 1,
                "adapters": sorted(
                    name.partition("/")[2]
                    for name in self.adapters
                    if name.startswith(f"{model}/")
                ),
            }
            for model in sorted(self.models)
        ]

    def apply_order(self, order: dict[str, Any]) -> int:
        """Apply an order and return the HTTP status of its answer."""
        self.orders.append(order)
        if order.get("precondition", self.orders_accepted) != self.orders_accepted:
            return 409
        self.orders_accepted += 1
        if "adapter" not in order:
            self.models.add(order["model"])
            return 202
        name = f"{order['model']}/{order['adapter']}"
        if order["operation"] == "unload":
            self.adapters = {
                item for item in self.adapters if adapter_key(item) != name
            }
            return 200
        used_slots = len(self.adapters) + len(self.loading_adapters)
        if used_slots >= self.adapter_slots:
            self.crashed = True
            return 500
        self.loading_adapters.add(f"{name}@{order.get('version', 1)}")
        loop = asyncio.get_running_loop()
        loop.call_later(
            self.load_seconds, self.finish_load, f"{name}@{order.get('version', 1)}"
        )
        return 202

    def event_data(self, number: int, body: bytes) -> bytes:
        """Return the data of an event of the stream for a body."""
        del number
        return body

    def breaks_before(self, number: int) -> bool:
        """Return whether streams are cut off before an event."""
        return self.break_after_events is not None and number > self.break_after_events

    def crash(self) -> None:
        """Break off all answers; later requests find no server."""
        self.ended = True
        for request in self.serving:
            drop_connection(request)

    def finish_load(self, adapter: str) -> None:
        """Mark an adapter as loaded."""
        self.loading_adapters.discard(adapter)
        self.adapters.add(adapter)


def adapter_key(adapter: str) -> str:
    """Return MODEL/NAME of MODEL/NAME@VERSION."""
    return adapter.partition("@")[0]


class PlatformEngineHandler(RequestHandler):
    """Base handler that checks which engine the caller expects."""

    def initialize(self, state: PlatformEngineState) -> None:
        """Set the engine's state."""
        self.state = state
        self.caller_disconnected = False
        if state.leaving:
            self.set_header("Server-Leaving", "1")
        if state.request_limit is not None:
            self.set_header("Server-Limit", str(state.request_limit))

    def prepare(self) -> None:
        """Refuse the call if the engine refuses all calls."""
        if not self.state.refuses_for_seconds:
            return
        self.state.refused += 1
        self.set_status(503)
        self.set_header(NOT_EXECUTED_HEADER, "1")
        self.set_header("Retry-After", str(self.state.refuses_for_seconds))
        self.finish()

    def check_expected_instance(self) -> bool:
        """Return whether the caller expects this engine; set status 421 if not."""
        expected = self.request.headers.get("Magnoliatrail-Expect-Instance")
        if expected in (None, self.state.id):
            return True
        self.set_status(421)
        self.set_header("Magnoliatrail-Instance-Id", self.state.id)
        return False

    def on_connection_close(self) -> None:
        """Record that the caller disconnected."""
        self.caller_disconnected = True


class OrderHandler(PlatformEngineHandler):
    """Serve `POST /v1/order`."""

    def post(self) -> None:
        """Apply an order."""
        if self.check_expected_instance():
            self.set_status(self.state.apply_order(json.loads(self.request.body)))


class ReportHandler(PlatformEngineHandler):
    """Serve `GET /v1/report`."""

    def get(self) -> None:
        """Send the engine's state."""
        if self.check_expected_instance():
            self.write(
                {
                    "models": self.state.listed_models(),
                    "incoming": sorted(self.state.loading_adapters),
                    "sequence": self.state.orders_accepted,
                    "busy": False,
                    "born": self.state.born,
                }
            )


class RunHandler(PlatformEngineHandler):
    """Serve requests on all other paths."""

    async def post(self, path: str) -> None:
        """Stream some events, or answer 421 if the request cannot run here."""
        del path
        request = self.request.headers.get("Magnoliatrail-Request-Id", "")
        self.state.arrivals.append((asyncio.get_running_loop().time(), request))
        if self.state.ended:
            drop_connection(self.request)
            return
        self.state.serving.append(self.request)
        try:
            await self.run_request()
        finally:
            self.state.serving.remove(self.request)

    async def run_request(self) -> None:
        """Stream some events, unless the request cannot run here."""
        request = self.request.headers.get("Magnoliatrail-Request-Id", "")
        self.set_header("Magnoliatrail-Request-Id", request)
        if not self.check_expected_instance():
            return
        model = self.request.headers.get("Magnoliatrail-Model", "")
        version = self.request.headers.get("Magnoliatrail-Expect-Version", "1")
        if "/" in model and f"{model}@{version}" not in self.state.adapters:
            self.set_status(421)
            self.set_header(NOT_EXECUTED_HEADER, "1")
            return
        self.state.ran.append(request)
        self.set_header("Magnoliatrail-Response-Signature", f"signed-{request}")
        self.set_header("Content-Type", "text/event-stream")
        if self.state.crashes_on(self.request):
            # The head is sent before the engine crashes.
            await self.flush()
            await asyncio.sleep(self.state.event_seconds)
            self.state.crash()
            return
        if self.state.unframed or self.state.sized:
            await self.write_unframed()
            return
        for number in self.event_numbers():
            if self.caller_disconnected:
                self.state.abandoned.append(request)
                return
            if self.state.ended:
                return
            if self.state.breaks_before(number):
                if self.state.break_inside_event:
                    self.write(self.event(number)[:-1])
                    await self.flush()
                drop_connection(self.request)
                return
            self.write(self.event(number))
            await self.flush()
            await asyncio.sleep(self.state.event_seconds)

    def event(self, number: int) -> bytes:
        """Return one event of a stream."""
        data = self.state.event_data(number, self.request.body)
        return b"id: %d\ndata: %s\n\n" % (number, data)

    def event_numbers(self) -> range:
        """Return the numbers of the events that the caller does not have yet."""
        last = int(self.request.headers.get("Last-Event-Id", "0"))
        return range(last + 1, self.state.events + 1)

    async def write_unframed(self) -> None:
        """Write a stream that ends with its connection, and perhaps has a length."""
        if self.state.sized:
            self.set_header("Content-Length", str(len(self.sized_body())))
        fields = "".join(f"{name}: {value}\r\n" for name, value in self.headers_sent())
        stream = self.detach()
        try:
            await stream.write(f"HTTP/1.1 200 OK\r\n{fields}\r\n".encode())
            for number in self.event_numbers():
                if self.state.breaks_before(number):
                    if self.state.break_inside_event:
                        await stream.write(self.event(number)[:-1])
                    return
                await stream.write(self.event(number))
                await asyncio.sleep(self.state.event_seconds)
        except StreamClosedError:
            self.state.abandoned.append(
                self.request.headers.get("Magnoliatrail-Request-Id", "")
            )
        finally:
            stream.close()

    def sized_body(self) -> bytes:
        """Return the events up to the one before which the stream is cut off."""
        body = b""
        for number in self.event_numbers():
            if self.state.breaks_before(number):
                return body + self.event(number)[:-1] * self.state.break_inside_event
            body += self.event(number)
        return body

    def headers_sent(self) -> list[tuple[str, str]]:
        """Return the headers of an answer that the handler writes itself."""
        return list(self._headers.get_all())


def prompt_parts(request: HTTPServerRequest) -> list[str]:
    """Return the ids of the parts of a request's prompt."""
    prefix = request.headers.get("Magnoliatrail-Prompt-Prefix", "")
    return [part.partition(":")[0] for part in prefix.split(",")]


def platform_engine_application(state: PlatformEngineState) -> Application:
    """Return the HTTP application of an engine."""
    shared = {"state": state}
    return Application(
        [
            ("/v1/order", OrderHandler, shared),
            ("/v1/report", ReportHandler, shared),
            ("/(.*)", RunHandler, shared),
        ],
        log_function=lambda handler: None,
    )
