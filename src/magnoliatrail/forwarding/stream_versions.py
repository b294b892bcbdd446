"""Which software version began each resumable stream, known by several instances."""

import asyncio
from collections import OrderedDict, defaultdict
from datetime import timedelta
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
        # Version and time by the request that began the stream, the oldest first.
        self.known: OrderedDict[str, tuple[str, timedelta]] = OrderedDict()
        self.unsent: list[BegunStream] = []
        # Streams to send by address, and the addresses that are being sent to.
        self.outgoing: defaultdict[str, list[BegunStream]] = defaultdict(list)
        self.sending: set[str] = set()
        self.wake = asyncio.Event()

    def record(self, request: str, version: str) -> None:
        """Record the version that sent the first event of a stream."""
        self.keep(request, version)
        self.unsent.append(BegunStream(request=request, software_version=version))
        del self.unsent[:-MAX_STREAMS]
        self.wake.set()

    def keep(self, request: str, version: str) -> None:
        """Keep the version of a stream, and forget those that ended."""
        self.known[request] = version, self.clock.monotonic()
        self.known.move_to_end(request)
        self.forget_ended()

    def forget_ended(self) -> None:
        """Forget streams that ended long ago, and the oldest above the limit."""
        now = self.clock.monotonic()
        while self.known:
            _, at = next(iter(self.known.values()))
            if len(self.known) <= MAX_STREAMS and now - at <= STREAM_LIFETIME:
                break
            self.known.popitem(last=False)

    async def find(self, service: str, request: str) -> str | None:
        """Return the version that began a stream, None if it cannot be known."""
        found = self.known.get(request)
        if found:
            return found[0]
        recent = self.view.recent_software_versions(service, STREAM_LIFETIME)
        if len(recent) == 1:
            return next(iter(recent))
        return await self.ask_others(request) if request else None

    async def ask_others(self, request: str) -> str | None:
        """Ask the instances that should know a stream for its version."""
        message = StreamVersionRequest(request=request)
        asked = [
            self.peers.ask(
                f"http://{address}{STREAM_VERSION_PATH}",
                message,
                StreamVersionAnswer,
                PEER_LIMITS,
            )
            for address in self.holders(request, INSTANCES_ASKED)
        ]
        for answer in await asyncio.gather(*asked):
            match answer:
                case Result(tag="ok", ok=StreamVersionAnswer(known=True) as version):
                    return version.software_version
                case Result(tag="error", error=failure):
                    log.info(
                        "stream_version_unanswered",
                        request=request,
                        reason=failure.message,
                    )
        return None

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
            self.keep(stream.request, stream.software_version)
        return Ok(BegunStreamsAnswer(kept=len(message.streams)))

    async def answer_version(
        self, message: StreamVersionRequest
    ) -> Result[StreamVersionAnswer, Failure]:
        """Answer which version began a stream."""
        found = self.known.get(message.request)
        return Ok(
            StreamVersionAnswer(
                known=found is not None, software_version=found[0] if found else ""
            )
        )

    def peer_routes(self) -> list[PeerRoute[Any]]:
        """Return the routes of the peer messages about streams."""
        return [
            PeerRoute(BEGUN_STREAMS_PATH, BegunStreams, self.answer_begun),
            PeerRoute(STREAM_VERSION_PATH, StreamVersionRequest, self.answer_version),
        ]
