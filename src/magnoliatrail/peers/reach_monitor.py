"""Detection of a cut from all backend servers, with the help of other instances.

An instance that is cut off alone and one whose servers are all down see the same, so it
asks other instances before it believes that it is cut.
"""

import asyncio
import random
from collections.abc import Callable, Collection, Iterator, Mapping
from contextlib import contextmanager, suppress
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

from expression import Ok, Result
from tornado.httputil import HTTPHeaders

from magnoliatrail.clock import Clock
from magnoliatrail.connections import ConnectionPool
from magnoliatrail.errors import Failure
from magnoliatrail.generated.reach import ReachAnswer, ReachRequest
from magnoliatrail.ids import FailureDomain, InstanceId
from magnoliatrail.logs import EventLog
from magnoliatrail.membership.server_reach import ServerReach
from magnoliatrail.metrics import Metrics
from magnoliatrail.peers.client import PeerClient
from magnoliatrail.peers.server import PeerRoute
from magnoliatrail.wire import CallFailed, CallLimits

log = EventLog("reach")

REACH_PATH = "/reach"
PROBE_TIMEOUT = timedelta(milliseconds=400)
# Servers that are probed before other instances are asked.
PROBES = 5
# How often the way to the servers is checked while requests wait for answers.
CHECK_INTERVAL = timedelta(milliseconds=200)
# After a check that found servers in reach.
RECHECK_DELAY = timedelta(seconds=1)
# While cut: one probe, and news of the other instances, this often.
CUT_CHECK_INTERVAL = timedelta(milliseconds=700)
# An instance that heard from a server within this time answers without a probe.
RECENT_CONTACT = timedelta(milliseconds=500)
MAX_ASKED = 12
# Long enough for a probe by the instance that is asked.
PEER_LIMITS = CallLimits(timedelta(milliseconds=200), timedelta(milliseconds=700))


@dataclass(frozen=True, slots=True)
class Helper:
    """An instance that reaches servers."""

    instance: InstanceId
    # Address of its peer listener.
    address: str
    failure_domain: FailureDomain
    relayed: int


class ReachMonitor:
    """Find out whether this instance is cut from all servers, and since when."""

    def __init__(
        self,
        *,
        clock: Clock,
        metrics: Metrics,
        peers: PeerClient,
        pool: ConnectionPool,
        signals: ServerReach,
        failure_domain: FailureDomain,
        generator: random.Random,
        servers: Callable[[], Collection[str]],
        addresses: Callable[[], Mapping[InstanceId, str]],
    ) -> None:
        self.clock = clock
        self.metrics = metrics
        self.peers = peers
        self.pool = pool
        self.signals = signals
        self.failure_domain = failure_domain
        self.generator = generator
        # Addresses of the servers that take requests.
        self.servers = servers
        # Addresses of the peer listeners of the other instances.
        self.addresses = addresses
        self.cut_since: timedelta | None = None
        self.helpers: list[Helper] = []
        # Instances that did not answer when they were last asked.
        self.unknown = 0
        # Number of requests that are served here for other instances.
        self.relayed: Callable[[], int] = lambda: 0
        self.wake = asyncio.Event()
        self.pool.on_open = self.record_connection

    @property
    def is_cut(self) -> bool:
        """Return whether other instances reach servers and this one reaches none."""
        return self.cut_since is not None

    def record_connection(self, address: str, opened: bool) -> None:
        """Record whether a connection could be opened, if it is one to a server."""
        if address not in self.servers():
            return
        if opened:
            self.signals.record_opened()
        else:
            self.signals.record_unreachable(address)
            self.wake.set()

    @contextmanager
    def awaiting_answer(self) -> Iterator[None]:
        """Count a request as sent, and check the way while it waits for its answer."""
        if not self.signals.awaited:
            self.wake.set()
        with self.signals.awaiting_answer():
            yield

    async def run(self) -> None:
        """Check the way to the servers whenever there is a reason to doubt it."""
        while True:
            if self.is_cut:
                await self.clock.sleep(CUT_CHECK_INTERVAL)
                await self.check()
                continue
            with suppress(TimeoutError):
                async with asyncio.timeout(
                    CHECK_INTERVAL.total_seconds() if self.signals.awaited else None
                ):
                    await self.wake.wait()
            self.wake.clear()
            if self.signals.is_doubtful(self.servers()):
                await self.check()
                if not self.is_cut:
                    await self.clock.sleep(RECHECK_DELAY)

    async def check(self) -> None:
        """Probe servers, and ask other instances if none is reached."""
        servers = [*self.servers()]
        failed = [item for item in servers if item in self.signals.unreachable]
        untried = [item for item in servers if item not in self.signals.unreachable]
        self.generator.shuffle(untried)
        self.generator.shuffle(failed)
        # Most doubts are settled by one connection.
        probed = (untried + failed)[: 1 if self.is_cut else PROBES]
        began = self.clock.monotonic()
        reached = await self.probe(probed[:1]) or await self.probe(probed[1:])
        if reached or not servers:
            self.end_cut("a server was reached")
            return
        helpers = await self.ask([*self.signals.unreachable])
        self.metrics.count("reach.checks")
        log.warning(
            "servers_unreachable",
            probed=len(probed),
            failed=len(self.signals.unreachable),
            silent=self.signals.is_silent(),
            instances_that_reach=len(helpers),
            took=self.clock.monotonic() - began,
        )
        self.helpers = helpers
        if not helpers and not self.unknown:
            # The others reach no server either, so the servers are down.
            self.end_cut("no other instance reaches servers")
        elif helpers and not self.is_cut:
            self.cut_since = self.clock.monotonic()
            log.warning("cut_from_servers", helpers=len(helpers))

    def end_cut(self, reason: str) -> None:
        """Record that this instance is not, or no longer, the only one to be cut."""
        if self.cut_since is not None:
            took = self.clock.monotonic() - self.cut_since
            log.warning("cut_ended", took=took, reason=reason)
        self.cut_since = None
        self.helpers = []

    def forget_helper(self, helper: Helper) -> None:
        """Forget an instance that does not help, until the next check."""
        self.helpers = [item for item in self.helpers if item != helper]

    async def probe(self, addresses: Collection[str]) -> bool:
        """Return whether a connection to any of these servers can be opened."""
        found = await asyncio.gather(*(self.probe_one(item) for item in addresses))
        return any(found)

    async def probe_one(self, address: str) -> bool:
        """Open a connection to a server, and keep it for later requests."""
        try:
            stream = await self.pool.open(address, PROBE_TIMEOUT)
        except CallFailed as error:
            log.info("probe_failed", server=address, reason=str(error))
            return False
        self.pool.release(address, stream, HTTPHeaders())
        return True

    async def ask(self, unreachable: list[str]) -> list[Helper]:
        """Return the instances that reach servers, the best helpers first."""
        others = list(self.addresses().items())
        asked = self.generator.sample(others, min(MAX_ASKED, len(others)))
        self.unknown = 0
        found = await asyncio.gather(
            *(self.ask_one(name, address, unreachable) for name, address in asked)
        )
        helpers = [helper for helper in found if helper]
        return sorted(
            helpers,
            key=lambda item: (
                item.failure_domain != self.failure_domain,
                item.relayed,
            ),
        )

    async def ask_one(
        self, name: InstanceId, address: str, unreachable: list[str]
    ) -> Helper | None:
        """Return an instance if it reaches servers."""
        message = ReachRequest(servers=unreachable)
        url = f"http://{address}{REACH_PATH}"
        match await self.peers.ask(url, message, ReachAnswer, PEER_LIMITS):
            case Result(tag="ok", ok=answer) if answer.reaches:
                domain = FailureDomain(answer.failure_domain)
                return Helper(name, address, domain, answer.relayed)
            case Result(tag="ok"):
                return None
            case Result(error=failure):
                self.unknown += 1
                log.info("reach_unknown", instance=name, reason=failure.message)
        return None

    async def answer_reach(self, message: ReachRequest) -> Result[ReachAnswer, Failure]:
        """Answer whether this instance reaches servers."""
        reaches = self.signals.contact_within(RECENT_CONTACT)
        if not reaches:
            known = [item for item in message.servers if item in self.servers()]
            reaches = await self.probe(known[:PROBES] or [*self.servers()][:PROBES])
        return Ok(
            ReachAnswer(
                reaches=reaches and not self.is_cut,
                failure_domain=self.failure_domain,
                relayed=self.relayed(),
            )
        )

    def peer_routes(self) -> list[PeerRoute[Any]]:
        """Return the routes of the peer messages about reach."""
        return [PeerRoute(REACH_PATH, ReachRequest, self.answer_reach)]
