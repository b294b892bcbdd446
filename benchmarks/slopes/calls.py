"""Processor time of both ends, and bytes on the wire, of HTTP calls."""

import asyncio
import threading
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from datetime import timedelta

from expression import Ok, Result
from tornado.web import Application, RequestHandler

from benchmarks.slopes.fit import Slope, fit_slope
from benchmarks.slopes.messages import heartbeat, permit_grant, permit_request
from benchmarks.slopes.wire_bytes import CountingProxy
from magnoliatrail.engines.client import EngineClient
from magnoliatrail.errors import Failure
from magnoliatrail.generated.engine import LoadedHandle, LoadReport
from magnoliatrail.generated.membership import Heartbeat, HeartbeatAnswer
from magnoliatrail.generated.permits import PermitGrant, PermitRequest
from magnoliatrail.listeners import Listener, listen
from magnoliatrail.peers.client import PeerClient
from magnoliatrail.peers.server import PeerRoute, peer_application
from magnoliatrail.wire import CallLimits, encode, new_http_client

HOST = "127.0.0.1"
TOKEN = "token-for-slopes-only"
CALL_LIMITS = CallLimits(timedelta(seconds=5), timedelta(seconds=30))
CALL_COUNTS = (50, 200, 800)
ADAPTER_SLOTS = 8

PeerCall = Callable[[str], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class CallCosts:
    """Cost of a number of calls: microseconds at both ends, and bytes on the wire."""

    asking: float
    answering: float
    wire: float


class ServingThread:
    """Serve an application in a thread with its own event loop."""

    def __init__(self, application: Application) -> None:
        self.application = application
        self.listener: Listener | None = None
        self.loop = asyncio.new_event_loop()
        self.ready = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)

    def run(self) -> None:
        """Run the event loop until it is stopped."""
        asyncio.set_event_loop(self.loop)
        self.loop.run_until_complete(self.open())
        self.loop.run_forever()

    async def open(self) -> None:
        """Open the listener."""
        self.listener = listen(self.application, host=HOST)
        self.ready.set()

    def start(self) -> Listener:
        """Start the thread, and return its listener."""
        self.thread.start()
        self.ready.wait()
        assert self.listener is not None
        return self.listener

    def stop(self) -> None:
        """Stop the event loop, and join the thread."""
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()


def heartbeat_answer(message: Heartbeat) -> HeartbeatAnswer:
    """Return the answer to a heartbeat."""
    return HeartbeatAnswer(
        instance="instance-002",
        incarnation=message.incarnation,
        configuration_revision=message.configuration_revision,
        renewals=100_000,
        through=10_000,
        members=[],
        owners=[],
        leaving=[],
        list_age_seconds=0.5,
    )


def stub_peer_application() -> Application:
    """Return a peer that answers with fixed messages."""

    async def answer_heartbeat(message: Heartbeat) -> Result[HeartbeatAnswer, Failure]:
        return Ok(heartbeat_answer(message))

    async def answer_permit(message: PermitRequest) -> Result[PermitGrant, Failure]:
        return Ok(permit_grant())

    routes = [
        PeerRoute("/peer/heartbeat", Heartbeat, answer_heartbeat),
        PeerRoute("/peer/permits", PermitRequest, answer_permit),
    ]
    return peer_application(routes, TOKEN)


def load_report() -> LoadReport:
    """Return a load report of an engine."""
    return LoadReport(
        boot_id="0123456789abcdef",
        batch_slots=8,
        adapter_slots=ADAPTER_SLOTS,
        running=6,
        waiting=2,
        loaded=[
            LoadedHandle(
                lora_name=f"adapter-{number:06d}@1~17",
                lora_path=f"adapter-{number:06d}@1",
                running=1,
            )
            for number in range(ADAPTER_SLOTS)
        ],
        fencing_number=17,
        age_seconds=0.1,
    )


class ReportHandler(RequestHandler):
    """Answer with a load report."""

    def get(self) -> None:
        """Send a fixed load report."""
        self.finish(encode(load_report()))


async def measure_calls(
    application: Callable[[], Application], new_call: Callable[[], PeerCall], calls: int
) -> CallCosts:
    """Measure a number of calls, directly for time and through a proxy for bytes."""
    serving = ServingThread(application())
    listener = serving.start()
    proxy = await CountingProxy.in_front_of(listener.port)
    call = new_call()
    await call(listener.url)
    process, thread = time.process_time(), time.thread_time()
    for _ in range(calls):
        await call(listener.url)
    asking = time.thread_time() - thread
    answering = time.process_time() - process - asking
    for _ in range(calls):
        await call(proxy.url)
    await proxy.close()
    serving.stop()
    return CallCosts(asking * 1e6, answering * 1e6, float(proxy.bytes_relayed))


def heartbeat_call() -> PeerCall:
    """Return a function that sends a heartbeat to a peer."""
    peers = PeerClient(TOKEN)

    async def call(url: str) -> None:
        path = f"{url}/peer/heartbeat"
        result = await peers.ask(path, heartbeat(), HeartbeatAnswer, CALL_LIMITS)
        assert result.is_ok(), result

    return call


def permit_call() -> PeerCall:
    """Return a function that requests a permit from a peer."""
    peers = PeerClient(TOKEN)

    async def call(url: str) -> None:
        path = f"{url}/peer/permits"
        result = await peers.ask(path, permit_request(), PermitGrant, CALL_LIMITS)
        assert result.is_ok(), result

    return call


def load_report_call() -> PeerCall:
    """Return a function that reads an engine's load report."""
    client = new_http_client()

    async def call(url: str) -> None:
        result = await EngineClient(client, url, CALL_LIMITS).report()
        assert result.is_ok(), result

    return call


def stub_engine_application() -> Application:
    """Return an engine that only serves its load report."""
    return Application([("/load", ReportHandler)], log_function=lambda handler: None)


def call_slopes() -> list[Slope]:
    """Measure whole calls: heartbeats, permits and load reports."""
    kinds = [
        ("heartbeat", stub_peer_application, heartbeat_call),
        ("permit", stub_peer_application, permit_call),
        ("load report", stub_engine_application, load_report_call),
    ]
    slopes = []
    for name, application, new_call in kinds:
        measured = {
            calls: asyncio.run(measure_calls(application, new_call, calls))
            for calls in CALL_COUNTS
        }
        for part, unit in (("asking", "us"), ("answering", "us"), ("wire", "B")):
            slopes.append(
                fit_slope(
                    f"{name} calls, {part}",
                    "call",
                    unit,
                    CALL_COUNTS,
                    lambda n, part=part, measured=measured: getattr(measured[n], part),
                )
            )
    return slopes
