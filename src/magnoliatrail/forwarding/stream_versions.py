"""Which software version began each resumable stream, known by several instances."""

import asyncio
from collections import OrderedDict, defaultdict
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from typing import Any

from expression import Ok, Result

from magnoliatrail.clock import Clock
from magnoliatrail.errors import Failure
from magnoliatrail.generated.cells import (
    BegunStream,
    BegunStreams,
    BegunStreamsAnswer,
    StreamVersionAnswer,
    StreamVersionRequest,
)
from magnoliatrail.ids import InstanceId
from magnoliatrail.logs import EventLog
from magnoliatrail.membership.fleet_view import FleetView
from magnoliatrail.membership.recent_instances import RecentInstances
from magnoliatrail.peers.client import PeerClient
from magnoliatrail.peers.server import PeerRoute
from magnoliatrail.rendezvous import ranked
from magnoliatrail.wire import CallLimits

log = EventLog("forwarding")

BEGUN_STREAMS_PATH = "/stream/begun"
STREAM_VERSION_PATH = "/stream/version"
PEER_LIMITS = CallLimits(timedelta(milliseconds=200), timedelta(milliseconds=400))
# No caller resumes a stream that began longer ago.
STREAM_LIFETIME = timedelta(seconds=60)
MAX_STREAMS = 50_000
# Other instances that know the version of a stream. More are asked, as instances may
# differ in which instances they know.
COPIES = 2
INSTANCES_ASKED = 6
UNSENT_RETRY_DELAY = timedelta(milliseconds=500)
# Streams that begin within this time are sent to another instance in one message.
BATCHING_TIME = timedelta(milliseconds=20)


class VersionSource(Enum):
    """How the version that began a stream is known."""

    RECORDED = "recorded"
    INSTANCE = "instance"
    LISTED = "listed"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class RecordedStream:
    """The software version that began a stream, and the instance that relayed it."""

    software_version: str
    instance: str
    at: timedelta


@dataclass(frozen=True, slots=True)
class StreamBegin:
    """What is known about the begin of a stream that a request resumes."""

    source: VersionSource
    # None if it cannot be known.
    software_version: str | None = None
    # The instance that relayed the stream, empty if it is not known.
    instance: str = ""
    # Address of the instance that remembered it.
    informant: str = ""
    age: timedelta = timedelta()


UNKNOWN_BEGIN = StreamBegin(VersionSource.UNKNOWN)
UNKNOWN_STREAM = StreamVersionAnswer(
    known=False, software_version="", instance="", age_ms=0.0
)


class StreamVersions:
    """Record the software version that began each stream, and find it again.

    The version is kept here and by other instances, chosen by rendezvous hashing of the
    request's id, so that it outlives the instance that relayed the stream.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        peers: PeerClient,
        view: FleetView,
        instance: InstanceId,
        recent_instances: RecentInstances,
    ) -> None:
        self.clock = clock
        self.peers = peers
        self.view = view
        self.instance = instance
        self.recent_instances = recent_instances
        # Streams by the request that began them, the oldest first.
        self.known: OrderedDict[str, RecordedStream] = OrderedDict()
        self.unsent: list[BegunStream] = []
        # Streams to send by address, and the addresses that are being sent to.
        self.outgoing: defaultdict[str, list[BegunStream]] = defaultdict(list)
        self.sending: set[str] = set()
        self.wake = asyncio.Event()

    def record(self, request: str, version: str) -> None:
        """Record the version that sent the first event of a stream."""
        stream = BegunStream(
            request=request, software_version=version, instance=self.instance
        )
        self.keep(stream)
        self.unsent.append(stream)
        del self.unsent[:-MAX_STREAMS]
        self.wake.set()

    def keep(self, stream: BegunStream) -> None:
        """Keep the version of a stream, and forget those that ended."""
        self.known[stream.request] = RecordedStream(
            stream.software_version, stream.instance, self.clock.monotonic()
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

    async def find(self, service: str, request: str) -> StreamBegin:
        """Return what is known about the begin of a stream."""
        found = self.known.get(request)
        if found:
            return StreamBegin(
                VersionSource.RECORDED,
                found.software_version,
                found.instance,
                age=self.clock.monotonic() - found.at,
            )
        recent = self.view.recent_software_versions(service, STREAM_LIFETIME)
        if len(recent) == 1:
            return StreamBegin(VersionSource.LISTED, next(iter(recent)))
        return await self.ask_others(request) if request else UNKNOWN_BEGIN

    async def ask_others(self, request: str) -> StreamBegin:
        """Ask the instances that should know a stream for its version."""
        message = StreamVersionRequest(request=request)
        addresses = self.holders(request, INSTANCES_ASKED)
        asked = [
            self.peers.ask(
                f"http://{address}{STREAM_VERSION_PATH}",
                message,
                StreamVersionAnswer,
                PEER_LIMITS,
            )
            for address in addresses
        ]
        answers = await asyncio.gather(*asked)
        for address, answer in zip(addresses, answers, strict=True):
            match answer:
                case Result(tag="ok", ok=StreamVersionAnswer(known=True) as found):
                    return StreamBegin(
                        VersionSource.INSTANCE,
                        found.software_version,
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
        return UNKNOWN_BEGIN

    def holders(self, request: str, count: int) -> list[str]:
        """Return the addresses of the other instances that keep a stream's version."""
        addresses = self.recent_instances.addresses()
        others = ranked(request, addresses.keys() - {self.instance})
        return [addresses[name] for name in others[:count]]

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
                self.unsent = [s for s in self.unsent if s.request in self.known]
                if not self.unsent:
                    self.wake.clear()
                    continue
                await self.clock.sleep(UNSENT_RETRY_DELAY)
                continue
            self.wake.clear()
            begun, self.unsent = self.unsent, []
            for stream in begun:
                for address in self.holders(stream.request, COPIES):
                    self.outgoing[address].append(stream)
            for address in set(self.outgoing) - self.sending:
                self.sending.add(address)
                group.create_task(self.send_outgoing(address))

    async def send_outgoing(self, address: str) -> None:
        """Send an instance what is to be sent to it, until nothing is left."""
        while streams := self.outgoing.pop(address, None):
            await self.send(address, streams)
        self.sending.discard(address)

    async def send(self, address: str, streams: list[BegunStream]) -> None:
        """Send the versions of begun streams to another instance."""
        url = f"http://{address}{BEGUN_STREAMS_PATH}"
        message = BegunStreams(streams=streams)
        match await self.peers.ask(url, message, BegunStreamsAnswer, PEER_LIMITS):
            case Result(tag="error", error=failure):
                log.warning(
                    "begun_streams_unsent",
                    address=address,
                    streams=len(streams),
                    reason=failure.message,
                )

    async def answer_begun(
        self, message: BegunStreams
    ) -> Result[BegunStreamsAnswer, Failure]:
        """Keep the versions of streams that another instance relays."""
        for stream in message.streams:
            self.keep(stream)
        return Ok(BegunStreamsAnswer(kept=len(message.streams)))

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
                software_version=found.software_version,
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
