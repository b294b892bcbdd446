"""Which software began each resumable stream, known by several instances."""

import asyncio
from collections import OrderedDict, defaultdict
from collections.abc import Coroutine
from dataclasses import dataclass
from datetime import timedelta
from itertools import islice
from typing import Any
from zlib import crc32

from expression import Ok, Result
from msgspec import UNSET

from magnoliatrail.clock import Clock
from magnoliatrail.errors import Failure
from magnoliatrail.forwarding.stream_origin import (
    AMBIGUOUS_SOFTWARE,
    UNKNOWN_ORIGIN,
    RecordedStream,
    StreamOrigin,
    VersionSource,
    first_found,
)
from magnoliatrail.generated.cells import (
    BegunStream,
    BegunStreams,
    BegunStreamsAnswer,
    StreamVersionAnswer,
    StreamVersionRequest,
)
from magnoliatrail.ids import InstanceId
from magnoliatrail.logs import EventLog
from magnoliatrail.membership.recent_instances import RecentInstances
from magnoliatrail.membership.stream_records import (
    MAX_STREAMS,
    STREAM_LIFETIME,
    StreamRecordReader,
    StreamRecordWriter,
    StreamSoftware,
    common_software,
    software_of,
)
from magnoliatrail.peers.client import PeerClient
from magnoliatrail.peers.server import PeerRoute
from magnoliatrail.rendezvous import ranked
from magnoliatrail.wire import CallLimits

log = EventLog("forwarding")

BEGUN_STREAMS_PATH = "/stream/begun"
STREAM_VERSION_PATH = "/stream/version"
PEER_LIMITS = CallLimits(timedelta(milliseconds=200), timedelta(milliseconds=400))
# Other instances that know the version of a stream. More are asked, as instances may
# differ in which instances they know.
COPIES = 2
INSTANCES_ASKED = 6
# One of so many instances writes the streams that the others begin, so that the number
# of writes does not grow with the number of instances; but at least some do.
INSTANCES_PER_WRITER = 50
MIN_WRITERS = 2
# Instances that a stream is sent to before the one that began it writes it itself.
WRITERS_TRIED = 3
# The store is read if no other instance knows a stream by then.
STORE_READ_DELAY = timedelta(milliseconds=100)
MAX_LOOKUP_TIME = timedelta(seconds=1)
UNSENT_RETRY_DELAY = timedelta(milliseconds=500)
# Streams that begin within this time are sent to another instance in one message.
BATCHING_TIME = timedelta(milliseconds=5)


UNKNOWN_STREAM = StreamVersionAnswer(
    known=False, software_version="", instance="", age_ms=0.0
)


@dataclass(frozen=True, slots=True)
class UnsentStream:
    """A stream to send to other instances."""

    stream: BegunStream
    # How many writers did not take it yet; None if it need not be written by others.
    writers_tried: int | None = None


class StreamVersions:
    """Record the service and software version that began each stream, and find them.

    They are kept here and by other instances, so that they outlive the instance
    that relayed the stream, and in the store, so that they outlive all of them. They
    are never inferred: a stream that nobody recorded may have begun at any version.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        peers: PeerClient,
        instance: InstanceId,
        recent_instances: RecentInstances,
        writer: StreamRecordWriter,
        reader: StreamRecordReader,
    ) -> None:
        self.clock = clock
        self.peers = peers
        self.instance = instance
        self.recent_instances = recent_instances
        self.writer = writer
        self.reader = reader
        # Streams by the request that began them, the oldest first.
        self.known: OrderedDict[str, RecordedStream] = OrderedDict()
        self.unsent: list[UnsentStream] = []
        # Streams to send by address, and the addresses that are being sent to.
        self.outgoing: defaultdict[str, list[UnsentStream]] = defaultdict(list)
        self.sending: set[str] = set()
        self.wake = asyncio.Event()
        # Questions that may be answered after a stream has been found.
        self.questions: set[asyncio.Task[StreamOrigin | None]] = set()

    def record(self, request: str, version: str, *, service: str) -> None:
        """Record the service and version that sent the first event of a stream.

        A stream without a name, or of a server that names no version, has no record.
        """
        if not (request and version):
            return
        stream = BegunStream(
            request=request,
            software_version=version,
            instance=self.instance,
            service=service,
        )
        self.keep(stream)
        first, *others = self.ranking(request)
        if first == self.instance and not (self.writer.failing and others):
            self.writer.add([stream])
            self.unsent.append(UnsentStream(stream))
        else:
            self.unsent.append(UnsentStream(stream, writers_tried=0))
        del self.unsent[:-MAX_STREAMS]
        self.wake.set()

    def keep(self, stream: BegunStream) -> None:
        """Keep the software of a stream, and forget those that ended.

        Two streams with one name make it ambiguous, unless the same began both.
        """
        known = self.known.get(stream.request)
        records = [software_of(stream), *([known.software] if known else [])]
        self.known[stream.request] = RecordedStream(
            common_software(records) or AMBIGUOUS_SOFTWARE,
            stream.instance,
            self.clock.monotonic(),
        )
        self.known.move_to_end(stream.request)
        self.forget_ended()

    def forget_ended(self) -> None:
        """Forget streams that ended long ago, and the oldest above the limit."""
        now = self.clock.monotonic()
        while self.known:
            oldest = next(iter(self.known.values()))
            if len(self.known) <= MAX_STREAMS and now - oldest.at <= STREAM_LIFETIME:
                break
            self.known.popitem(last=False)

    async def find(self, request: str) -> StreamOrigin:
        """Return what is known about the origin of a stream.

        Other instances are asked first, and the store if they don't know in time.
        """
        if not request:
            return UNKNOWN_ORIGIN
        found = self.known.get(request)
        if found:
            return StreamOrigin(
                VersionSource.RECORDED,
                found.software,
                found.instance,
                age=self.clock.monotonic() - found.at,
            )
        asked = {
            self.start_question(self.ask(address, request))
            for address in self.holders(request, INSTANCES_ASKED)
        }
        origin = await first_found(asked, STORE_READ_DELAY)
        if origin is None:
            asked = {question for question in asked if not question.done()}
            asked.add(self.start_question(self.read_record(request)))
            origin = await first_found(asked, MAX_LOOKUP_TIME)
        return origin or UNKNOWN_ORIGIN

    def start_question(
        self, question: Coroutine[Any, Any, StreamOrigin | None]
    ) -> asyncio.Task[StreamOrigin | None]:
        """Start a question, which is not cancelled if its answer is not needed."""
        task = asyncio.create_task(question)
        self.questions.add(task)
        task.add_done_callback(self.questions.discard)
        return task

    async def ask(self, address: str, request: str) -> StreamOrigin | None:
        """Ask another instance for the version of a stream."""
        match await self.peers.ask(
            f"http://{address}{STREAM_VERSION_PATH}",
            StreamVersionRequest(request=request),
            StreamVersionAnswer,
            PEER_LIMITS,
        ):
            case Result(tag="ok", ok=StreamVersionAnswer(known=True) as found):
                return StreamOrigin(
                    VersionSource.INSTANCE,
                    StreamSoftware(found.software_version, found.service or ""),
                    found.instance,
                    informant=address,
                    age=timedelta(milliseconds=found.age_ms),
                )
            case Result(tag="error", error=failure):
                log.info(
                    "stream_version_unanswered",
                    request=request,
                    address=address,
                    reason=failure.message,
                )
        return None

    async def read_record(self, request: str) -> StreamOrigin | None:
        """Read the version of a stream from the store."""
        match await self.reader.find(request):
            case Result(tag="ok", ok=(software, writer)):
                return StreamOrigin(VersionSource.STORE, software, informant=writer)
            case Result(tag="error", error=failure):
                log.info(
                    "stream_records_unreadable",
                    request=request,
                    reason=failure.message,
                )
        return None

    def ranking(self, request: str) -> list[str]:
        """Return all instances, the one that should write a stream first.

        Streams are divided into groups, so that few instances write.
        """
        names = self.recent_instances.addresses().keys() | {self.instance}
        groups = max(MIN_WRITERS, len(names) // INSTANCES_PER_WRITER)
        return ranked(f"streams/{crc32(request.encode()) % groups}", names)

    def holders(self, request: str, count: int) -> list[str]:
        """Return the addresses of the other instances that keep a stream's version."""
        addresses = self.recent_instances.addresses()
        others = (name for name in self.ranking(request) if name != self.instance)
        return [addresses[name] for name in islice(others, count)]

    async def send_periodically(self) -> None:
        """Send the versions of begun streams to the instances that keep them."""
        self.sending.clear()
        async with asyncio.TaskGroup() as group:
            await self.send_unsent(group)

    async def send_unsent(self, group: asyncio.TaskGroup) -> None:
        """Send the versions of begun streams, to each instance one message at a time.

        An instance that does not answer holds up no other.
        """
        while True:
            await self.wake.wait()
            await self.clock.sleep(BATCHING_TIME)
            if self.recent_instances.addresses().keys() <= {self.instance}:
                # No other instance is known yet.
                self.forget_ended()
                self.unsent = [
                    item for item in self.unsent if item.stream.request in self.known
                ]
                if not self.unsent:
                    self.wake.clear()
                    continue
                await self.clock.sleep(UNSENT_RETRY_DELAY)
                continue
            self.wake.clear()
            begun, self.unsent = self.unsent, []
            for item in begun:
                self.choose_recipients(item)
            for address in set(self.outgoing) - self.sending:
                self.sending.add(address)
                group.create_task(self.send_outgoing(address))

    def choose_recipients(self, item: UnsentStream) -> None:
        """Choose the instances that a stream is sent to, one of which writes it."""
        if item.writers_tried is None:
            for address in self.holders(item.stream.request, COPIES):
                self.outgoing[address].append(item)
            return
        holders = self.holders(item.stream.request, WRITERS_TRIED)
        if item.writers_tried >= len(holders):
            self.writer.add([item.stream])
            return
        self.outgoing[holders[item.writers_tried]].append(item)
        if item.writers_tried == 0:
            for address in holders[1:COPIES]:
                self.outgoing[address].append(UnsentStream(item.stream))

    async def send_outgoing(self, address: str) -> None:
        """Send an instance what is to be sent to it, until nothing is left."""
        while streams := self.outgoing.pop(address, None):
            await self.send(address, streams)
        self.sending.discard(address)

    async def send(self, address: str, items: list[UnsentStream]) -> None:
        """Send the versions of begun streams to another instance.

        Those that it should write and will not are sent to the next one.
        """
        url = f"http://{address}{BEGUN_STREAMS_PATH}"
        to_write = [item for item in items if item.writers_tried is not None]
        message = BegunStreams(
            streams=[item.stream for item in items if item.writers_tried is None],
            to_write=[item.stream for item in to_write],
        )
        match await self.peers.ask(url, message, BegunStreamsAnswer, PEER_LIMITS):
            case Result(tag="ok", ok=answer) if answer.writes:
                return
            case Result(tag="error", error=failure):
                log.warning(
                    "begun_streams_unsent",
                    address=address,
                    streams=len(items),
                    reason=failure.message,
                )
        self.unsent.extend(
            UnsentStream(item.stream, (item.writers_tried or 0) + 1)
            for item in to_write
        )
        self.wake.set()

    async def answer_begun(
        self, message: BegunStreams
    ) -> Result[BegunStreamsAnswer, Failure]:
        """Keep the versions of streams that another instance relays."""
        for stream in (*message.streams, *message.to_write):
            self.keep(stream)
        writes = not self.writer.failing
        if writes and message.to_write:
            self.writer.add(message.to_write)
        kept = len(message.streams) + len(message.to_write)
        return Ok(BegunStreamsAnswer(kept=kept, writes=writes))

    async def answer_version(
        self, message: StreamVersionRequest
    ) -> Result[StreamVersionAnswer, Failure]:
        """Answer which version began a stream."""
        found = self.known.get(message.request)
        if found is None:
            return Ok(UNKNOWN_STREAM)
        age = self.clock.monotonic() - found.at
        return Ok(
            StreamVersionAnswer(
                known=True,
                software_version=found.software.version,
                service=found.software.service or UNSET,
                instance=found.instance,
                age_ms=age.total_seconds() * 1000,
            )
        )

    def peer_routes(self) -> list[PeerRoute[Any]]:
        """Return the routes of the peer messages about streams."""
        return [
            PeerRoute(BEGUN_STREAMS_PATH, BegunStreams, self.answer_begun),
            PeerRoute(STREAM_VERSION_PATH, StreamVersionRequest, self.answer_version),
        ]
