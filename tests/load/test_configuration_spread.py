"""How fast a changed configuration reaches instances behind slow links."""

import asyncio
import json
import random
from collections import Counter
from datetime import timedelta

import pytest
from expression import Error

from magnoliatrail.cells.lease import Identity
from magnoliatrail.cells.link import REPORT_GAP_PER_INSTANCE
from magnoliatrail.cells.member import CellMember
from magnoliatrail.cells.table_updates import TableUpdateSender
from magnoliatrail.clock import ManualClock
from magnoliatrail.errors import ErrorKind, Failure
from magnoliatrail.ids import CellId
from magnoliatrail.membership.fleet_view import FleetView
from magnoliatrail.metrics import RecordedMetrics
from magnoliatrail.periodic import PeriodicTasks
from magnoliatrail.platform.protocol import OPERATOR_TABLE, SERVERS_TABLE
from magnoliatrail.platform.rows import RowsRead, StoredRow
from magnoliatrail.wire import decode, encode
from tests.platform.fake_store import FakeRows
from tests.platform.rig import BOUNDS, configuration, route

INSTANCES = 91
# Fewer instances are played, and the link of 10 Mbit/s is scaled accordingly.
PEERS = 30
LINK_BYTES_PER_SECOND = 10e6 / 8 * PEERS / INSTANCES
MESSAGE_OVERHEAD_BYTES = 250
STEP = timedelta(milliseconds=10)
CHANGE_INTERVAL = timedelta(milliseconds=330)
REPORT_PATH_SUFFIX = "/cell/report"


class Link:
    """A network link that sends bytes one after the other."""

    def __init__(self, clock):
        self.clock = clock
        self.free_at = timedelta()

    @property
    def queued(self):
        return max(timedelta(), self.free_at - self.clock.monotonic())

    def send(self, size):
        """Queue bytes and return how long it takes until the last one is sent."""
        seconds = (size + MESSAGE_OVERHEAD_BYTES) / LINK_BYTES_PER_SECOND
        self.free_at = self.clock.monotonic() + self.queued
        self.free_at += timedelta(seconds=seconds)
        return self.queued


class LinkedPeers:
    """Calls to the owner whose answers pass its link."""

    def __init__(self, fleet):
        self.fleet = fleet

    async def ask(self, url, message, answer_type, limits):
        fleet = self.fleet
        assert url.endswith(REPORT_PATH_SUFFIX)
        if fleet.link.queued > limits.connect:
            await fleet.clock.sleep(limits.connect)
            return fleet.fail("no connection")
        report = decode(encode(message), type(message)).ok
        content = encode(fleet.owner.handle_report(report))
        fleet.counts["bytes"] += len(content)
        took = fleet.link.send(len(content))
        await fleet.clock.sleep(min(took, limits.total))
        if took > limits.total:
            return fleet.fail("no answer")
        return decode(content, answer_type)


class Fleet:
    """An owner that follows the store, and peers that report to it."""

    def __init__(self, routes):
        self.clock = ManualClock()
        self.link = Link(self.clock)
        self.counts = Counter()
        self.peers = LinkedPeers(self)
        self.owner = self.member("owner")
        self.members = [self.member(f"peer-{number}") for number in range(PEERS)]
        self.routes = [
            route(f"route-{number}", f"/path-{number}/", "safe", "desk", attempts=2)
            for number in range(routes)
        ]
        self.version = 0
        # When each version of the configuration was written.
        self.written = {}
        self.write_configuration()
        for member in self.members:
            member.link.use_owner("owner", "owner:1")

    def member(self, name):
        view = FleetView(self.clock)
        return CellMember(
            clock=self.clock,
            metrics=RecordedMetrics(),
            store=FakeRows().client(),
            view=view,
            pool=None,
            peers=self.peers,
            identity=Identity(name, f"{name}-1", f"{name}:1"),
            generator=random.Random(name),
            tasks=PeriodicTasks(self.clock),
            cell=CellId("0"),
            cells=1,
            owner_claim_delay=timedelta,
            store_answers=lambda: True,
            confirm_layout=None,
            quarantined=list,
            may_own=lambda: False,
            update_sender=TableUpdateSender(
                view,
                self.clock,
                RecordedMetrics(),
                link_mbps=LINK_BYTES_PER_SECOND * 8 / 1e6,
            ),
        )

    def fail(self, reason):
        self.counts[reason] += 1
        return Error(Failure(ErrorKind.PEER_UNAVAILABLE, reason))

    def write_configuration(self):
        """Change one route; the owner reads the row at once."""
        self.version += 1
        changed = self.version % len(self.routes)
        self.routes[changed] = {**self.routes[changed], "timeout_ms": self.version}
        value = json.dumps(configuration(self.version, self.routes)).encode()
        row = StoredRow("config", self.version, value)
        now = self.clock.monotonic()
        read = RowsRead((row,), self.version, whole=False)
        self.owner.view.apply(OPERATOR_TABLE, read, now, "store")
        none = RowsRead((), self.version, whole=True)
        self.owner.view.apply(SERVERS_TABLE, none, now, "store")
        self.written[self.version] = now

    async def report_forever(self, member):
        # The shortest interval of an instance that has events to report.
        interval = REPORT_GAP_PER_INSTANCE * INSTANCES
        await self.clock.sleep(interval * member.generator.random())
        while True:
            answered = await member.report()
            pause = interval if answered else timedelta(milliseconds=50)
            await self.clock.sleep(pause)

    def lag(self):
        """Return how long the most outdated instance has lacked a version."""
        now = self.clock.monotonic()
        lags = [timedelta()]
        for member in self.members:
            routes = member.view.routes
            known = routes.version if routes else 0
            if known < self.version:
                lags.append(now - self.written[known + 1])
        return max(lags)

    async def run(self, duration, *, changes_until):
        """Change the configuration in quick succession; return the longest lag."""
        tasks = [asyncio.create_task(self.report_forever(m)) for m in self.members]
        next_change, longest = timedelta(seconds=3), timedelta()
        while self.clock.monotonic() < duration:
            for _ in range(3):
                await asyncio.sleep(0)
            self.clock.advance(STEP)
            now = self.clock.monotonic()
            if next_change <= now < changes_until:
                self.write_configuration()
                next_change = now + CHANGE_INTERVAL
            longest = max(longest, self.lag())
        for task in tasks:
            task.cancel()
        return longest


# Guards against changed configurations that come into force too late (CONFIG): sent
# whole to each instance they fill the owner's link, and every other message is lost.
@pytest.mark.parametrize("routes", [50, 1400])
def test_a_series_of_changes_reaches_all_instances_in_time(run, routes):
    fleet = Fleet(routes)
    end, last_change = timedelta(seconds=8), timedelta(seconds=6)
    longest = run(fleet.run(end, changes_until=last_change))
    assert longest <= BOUNDS.propagation, fleet.counts
    assert all(item.view.routes.version == fleet.version for item in fleet.members)
    assert not (fleet.counts["no answer"] or fleet.counts["no connection"])
