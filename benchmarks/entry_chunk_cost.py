"""Compare the entry's processor time per streamed chunk with that of a plain relay."""

import argparse
import asyncio
import json
import random
import statistics
import subprocess
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path
from typing import Any
from urllib.parse import urlsplit

import msgspec
from expression import Ok, Result
from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httpclient import HTTPRequest
from tornado.httputil import HTTPHeaders, HTTPMessageDelegate, RequestStartLine
from tornado.tcpclient import TCPClient
from tornado.web import Application, RequestHandler

from magnoliatrail.clock import SystemClock
from magnoliatrail.config.in_force import ConfigurationInForce
from magnoliatrail.engines.permits import Permit, PermitHolder
from magnoliatrail.entry.answer_check import AnswerCheck
from magnoliatrail.entry.application import caller_application
from magnoliatrail.entry.batch_slots import EntryBatchSlots
from magnoliatrail.entry.dispatch import Dispatcher
from magnoliatrail.entry.engine_call import EngineCaller
from magnoliatrail.entry.lifecycle import Lifecycle
from magnoliatrail.entry.parts import EntryParts
from magnoliatrail.errors import Failure
from magnoliatrail.generated.permits import PermitGrant
from magnoliatrail.generated.platform import Catalogue, CatalogueEntry
from magnoliatrail.generated.settings import Settings
from magnoliatrail.ids import AdapterVersion, EngineId, Handle, InstanceId, RequestId
from magnoliatrail.listeners import listen
from magnoliatrail.membership.servers import ServerView
from magnoliatrail.metrics import RecordedMetrics
from magnoliatrail.peers.client import PeerClient
from magnoliatrail.peers.quarantine_exchange import QuarantineExchange
from magnoliatrail.placement.catalogue import AdapterCatalogue
from magnoliatrail.requests import CompletionCall
from magnoliatrail.wire import new_http_client

HOST = "127.0.0.1"
MODEL = AdapterVersion("adapter-0000", "1")
ENTRY = CatalogueEntry(adapter=MODEL.adapter, version=MODEL.version, base_model="base")
HANDLE = Handle("adapter-0000@1~17")
PATH = "/v1/completions"
STREAMS = 100
CHUNKS_PER_STREAM = 200
TOKEN_GAP = timedelta(milliseconds=62)
TARGET_RATIO = 0.4
# Time between two chunks of a stream. A negative gap sends the answer without a pause;
# zero lets the streams take turns as fast as the source can send; `spread` has the
# spacing of real tokens.
CHUNK_GAPS = {
    "burst": timedelta(seconds=-1),
    "saturated": timedelta(),
    "spread": TOKEN_GAP,
}
RESULTS = Path(__file__).parent / "entry_chunk_cost.json"


class SourceHandler(RequestHandler):
    """Stream an answer as an engine does, with one event per chunk."""

    async def post(self) -> None:
        """Write the events of one answer."""
        fields = msgspec.json.decode(self.request.body)
        request_id = self.request.headers["X-Request-Id"]
        gap = float(fields["gap"])
        self.set_header("Content-Type", "text/event-stream")
        await asyncio.sleep(random.random() * max(gap, 0.0))
        for position in range(fields["max_tokens"]):
            last = position + 1 == fields["max_tokens"]
            self.write(event(request_id, fields["model"], position, last=last))
            await self.flush()
            if gap >= 0:
                # An engine's batch produces one token per stream in each step.
                await asyncio.sleep(gap)
        self.write(b"data: [DONE]\n\n")


def event(request_id: str, model: str, position: int, *, last: bool) -> bytes:
    """Return one event of an answer."""
    reason = "length" if last else None
    choice = {"index": 0, "text": f" token-{position}", "finish_reason": reason}
    message = {
        "id": request_id,
        "object": "text_completion",
        "created": 1_700_000_000,
        "model": model,
        "choices": [choice],
    }
    return b"id: %d\ndata: %s\n\n" % (position, msgspec.json.encode(message))


async def run_source() -> None:
    """Serve streams, and call each relay that standard input names, until it ends."""
    listener = listen(Application([(PATH, SourceHandler)]), host=HOST)
    print(listener.url, flush=True)
    while line := await asyncio.to_thread(sys.stdin.readline):
        url, gap = line.split()
        streams = [call_relay(url, float(gap)) for _ in range(STREAMS)]
        complete = await asyncio.gather(*streams)
        print(sum(complete), flush=True)


async def call_relay(url: str, gap: float) -> bool:
    """Read one stream from a relay, and return whether it was complete."""
    fields = {"model": str(MODEL), "prompt": "p", "stream": True, "gap": gap}
    body = msgspec.json.encode({**fields, "max_tokens": CHUNKS_PER_STREAM})
    address = urlsplit(url)
    reader, writer = await asyncio.open_connection(address.hostname, address.port)
    head = f"POST {PATH} HTTP/1.1\r\nHost: relay\r\nX-Request-Id: r\r\n"
    writer.write(head.encode() + b"Content-Length: %d\r\n\r\n%s" % (len(body), body))
    received = bytearray()
    while not received.endswith(b"0\r\n\r\n"):
        data = await reader.read(65536)
        if not data:
            return False
        received += data
    writer.close()
    return received.count(b"id: ") == CHUNKS_PER_STREAM and b"data: [DONE]" in received


class NaiveRelay(RequestHandler):
    """Relay with tornado's fetch and a streaming callback that writes and flushes."""

    def initialize(self, source: str) -> None:
        """Store the URL of the source."""
        self.source = source
        self.client = new_http_client()

    async def post(self) -> None:
        """Relay one stream."""

        def on_chunk(data: bytes) -> None:
            self.write(data)
            self.flush()

        request = HTTPRequest(
            self.source + PATH,
            method="POST",
            body=self.request.body,
            headers={"X-Request-Id": self.request.headers["X-Request-Id"]},
            streaming_callback=on_chunk,
            request_timeout=600,
        )
        await self.client.fetch(request)


class CheckedBody(HTTPMessageDelegate):
    """Check a body that tornado has decoded, and write it to the caller."""

    def __init__(self, connection: HTTP1Connection) -> None:
        self.connection = connection
        self.check = AnswerCheck(RequestId("r"), HANDLE, MODEL)

    def data_received(self, chunk: bytes) -> None:
        """Check one part of the body and write it."""
        self.connection.write(self.check.feed(chunk))


class LibraryBodyRelay(RequestHandler):
    """Relay with the entry's answer check, but with tornado's decoding of the body."""

    def initialize(self, source: str) -> None:
        """Store the URL of the source."""
        self.source = source

    async def post(self) -> None:
        """Relay one stream."""
        address = urlsplit(self.source)
        stream = await TCPClient().connect(address.hostname or "", address.port or 0)
        connection = HTTP1Connection(stream, True, HTTP1ConnectionParameters())
        fields = msgspec.json.decode(self.request.body)
        body = msgspec.json.encode({**fields, "model": HANDLE})
        headers = HTTPHeaders({"Host": "x", "Connection": "close", "X-Request-Id": "r"})
        headers["Content-Length"] = str(len(body))
        start = RequestStartLine("POST", PATH, "HTTP/1.1")
        connection.write_headers(start, headers, body)
        connection.finish()
        self.write(b"\n")
        await self.flush()
        caller = self.request.connection
        assert isinstance(caller, HTTP1Connection)
        await connection.read_response(CheckedBody(caller))


class FixedPermitSearch:
    """Stand-in for the permit search that always returns the same permit."""

    def __init__(self, permits: PermitHolder, source: str) -> None:
        grant = PermitGrant(
            engine="engine",
            engine_url=source,
            handle=HANDLE,
            adapter=MODEL.adapter,
            version=MODEL.version,
            fencing_number=17,
            places=STREAMS,
        )
        self.permit = permits.put(grant)

    async def obtain(self, request: CompletionCall) -> Result[Permit, Failure]:
        """Return the permit."""
        return Ok(self.permit)


def entry_application(source: str) -> Application:
    """Return the application that the daemon serves to callers, with one engine."""
    settings = Settings(
        instance_id="one",
        failure_domain="domain-0",
        peer_token="token-for-benchmarks-only",
        table_url=source,
        objects_url=source,
        weights_url=source,
        instance_list_url=source,
    )
    clock = SystemClock()
    metrics = RecordedMetrics()
    permits = PermitHolder()
    client = new_http_client()
    quarantine = QuarantineExchange(
        clock=clock,
        metrics=metrics,
        peers=PeerClient(settings.peer_token),
        instance=InstanceId(settings.instance_id),
        urls=dict,
    )
    caller = EngineCaller(
        settings=settings,
        clock=clock,
        client=client,
        permits=permits,
        quarantine=quarantine,
        servers=ServerView(clock),
    )
    search: Any = FixedPermitSearch(permits, source)
    configuration = ConfigurationInForce(clock)
    configuration.apply_if_newer(configuration.configuration)
    catalogue = AdapterCatalogue()
    catalogue.replace(Catalogue(adapters=[ENTRY]))
    batch_slots = EntryBatchSlots(clock=clock, queue_limit=lambda caller: STREAMS)
    batch_slots.set_batch_slots(EngineId("engine"), STREAMS)
    unused: Any = None
    parts = EntryParts(
        settings=settings,
        clock=clock,
        metrics=metrics,
        client=client,
        fleet=unused,
        configuration=configuration,
        catalogue=catalogue,
        dispatcher=Dispatcher(
            clock=clock,
            metrics=metrics,
            search=search,
            caller=caller,
            quarantine=quarantine,
            batch_slots=batch_slots,
        ),
        ledger=unused,
        settler=unused,
        services=unused,
        lifecycle=Lifecycle(configuration),
    )
    return caller_application(parts)


@dataclass
class Source:
    """The process that acts as both the engine and the callers."""

    popen: subprocess.Popen[str]
    url: str

    async def run_streams(self, url: str, gap: timedelta) -> int:
        """Run all streams through a relay, and return how many were complete."""
        assert self.popen.stdin
        assert self.popen.stdout
        self.popen.stdin.write(f"{url} {gap.total_seconds()}\n")
        self.popen.stdin.flush()
        return int(await asyncio.to_thread(self.popen.stdout.readline))


def start_source() -> Source:
    """Start the process that is both the engine and the callers."""
    command = [sys.executable, str(Path(__file__).resolve()), "--source"]
    popen = subprocess.Popen(
        command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
    )
    assert popen.stdout
    return Source(popen, popen.stdout.readline().strip())


async def measure(
    source: Source, application: Application, gap: timedelta
) -> tuple[float, int]:
    """Return processor microseconds per chunk, and the number of complete streams."""
    listener = listen(application, host=HOST)
    started = time.process_time()
    complete = await source.run_streams(listener.url, gap)
    spent = time.process_time() - started
    await listener.close()
    return spent / (STREAMS * CHUNKS_PER_STREAM) * 1e6, complete


Relays = dict[str, Callable[[], Application]]


async def measure_all(
    source: Source, relays: Relays, gap: timedelta, rounds: int
) -> dict[str, object]:
    """Return the median cost of each relay and its ratio to the plain relay."""
    costs: dict[str, list[float]] = {name: [] for name in relays}
    for _ in range(rounds):
        for name, application in relays.items():
            cost, complete = await measure(source, application(), gap)
            assert complete == STREAMS, (
                f"{name}: {complete} of {STREAMS} streams were complete"
            )
            costs[name].append(cost)
    medians = {name: statistics.median(values) for name, values in costs.items()}
    return {
        "microseconds_per_chunk": {key: round(medians[key], 1) for key in medians},
        "ratio": {key: round(medians[key] / medians["naive"], 3) for key in medians},
        "met": medians["entry"] <= TARGET_RATIO * medians["naive"],
    }


async def run_benchmark(rounds: int) -> dict[str, object]:
    """Measure all relays with each gap between chunks."""
    source = start_source()
    relays: Relays = {
        "naive": lambda: Application([(PATH, NaiveRelay, {"source": source.url})]),
        "library_body": lambda: Application(
            [(PATH, LibraryBodyRelay, {"source": source.url})]
        ),
        "entry": lambda: entry_application(source.url),
    }
    try:
        return {
            "streams": STREAMS,
            "chunks": STREAMS * CHUNKS_PER_STREAM,
            "rounds": rounds,
            "target_ratio": TARGET_RATIO,
            **{
                arrival: await measure_all(source, relays, gap, rounds)
                for arrival, gap in CHUNK_GAPS.items()
            },
        }
    finally:
        source.popen.terminate()
        source.popen.wait()


def main() -> None:
    """Run the benchmark or, with `--source`, the process that drives it."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--source", action="store_true")
    parser.add_argument("--rounds", type=int, default=3)
    arguments = parser.parse_args()
    if arguments.source:
        asyncio.run(run_source())
        return
    figures = asyncio.run(run_benchmark(arguments.rounds))
    text = json.dumps(figures, indent=2)
    RESULTS.write_text(text + "\n")
    print(text)


if __name__ == "__main__":
    main()
