"""Requests for the tables of other instances, by one that gets no updates in time."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

from expression import Result
from msgspec import UNSET

from magnoliatrail.cells.lease import Identity
from magnoliatrail.cells.link import REPORT_LIMITS, REPORT_PATH
from magnoliatrail.cells.member import STORE_READER_CELL
from magnoliatrail.cells.server_departures import departures_of
from magnoliatrail.cells.table_updates import TableUpdateReceiver
from magnoliatrail.clock import Clock
from magnoliatrail.generated.cells import InstanceReport, ReportAnswer
from magnoliatrail.ids import InstanceId
from magnoliatrail.logs import EventLog
from magnoliatrail.membership.fleet_view import FleetView
from magnoliatrail.metrics import Metrics
from magnoliatrail.peers.client import PeerClient
from magnoliatrail.platform.protocol import SERVERS_TABLE

log = EventLog("cells")

# Tables above this share of their bound are requested. An instance that can read the
# store does so at a lower age.
REQUEST_AGE_SHARE = 0.75
# Instances that are asked one after the other, and the pause after the last of them.
INSTANCES_ASKED = 2
MIN_PAUSE = timedelta(milliseconds=200)
# Nobody has newer tables while the store is away for all.
MAX_PAUSE = timedelta(seconds=2)


@dataclass(kw_only=True)
class TableRequests:
    """Ask other instances for their tables while the own ones are nearly too old.

    The store may turn some instances away, the one that passes its rows on among them,
    while it serves the others.
    """

    clock: Clock
    metrics: Metrics
    view: FleetView
    peers: PeerClient
    identity: Identity
    generator: random.Random
    addresses: Callable[[], dict[InstanceId, str]]
    max_update_age: timedelta
    store_answers: Callable[[], bool]
    leaving: Callable[[], bool]
    receiver: TableUpdateReceiver = field(init=False)
    pause: timedelta = MIN_PAUSE

    def __post_init__(self) -> None:
        """Make the receiver of the updates."""
        self.receiver = TableUpdateReceiver(self.view)

    async def run(self) -> None:
        """Ask for tables until cancelled."""
        while True:
            due_in = self.due_in()
            if due_in > timedelta():
                await self.clock.sleep(max(due_in, MIN_PAUSE))
                continue
            fresher = await self.ask()
            self.pause = MIN_PAUSE if fresher else min(MAX_PAUSE, self.pause * 2)
            await self.clock.sleep(self.pause)

    def due_in(self) -> timedelta:
        """Return the time until the tables are requested."""
        age = self.view.age()
        if age == timedelta.max:
            # The first tables come from the reader of the store, or are read.
            return MAX_PAUSE
        return self.max_update_age * REQUEST_AGE_SHARE - age

    async def ask(self) -> bool:
        """Ask some instances, and return whether one sent fresher tables."""
        addresses = self.addresses()
        chosen = self.generator.sample(
            sorted(addresses), min(INSTANCES_ASKED, len(addresses))
        )
        before = self.view.age()
        for instance in chosen:
            await self.ask_one(instance, addresses[instance])
            if self.due_in() > timedelta():
                break
        after = self.view.age()
        if chosen:
            self.metrics.count("table_requests")
            log.info("tables_requested", instances=chosen, before=before, age=after)
        return after < before

    async def ask_one(self, instance: InstanceId, address: str) -> None:
        """Ask one instance, and apply what it sends."""
        url = f"http://{address}{REPORT_PATH}"
        versions = {name: item.version for name, item in self.view.tables.items()}
        await self.ask_since(instance, url, versions)
        if self.receiver.complete_after(SERVERS_TABLE, instance) is not None:
            # It has not seen all changes since the version here, but all rows.
            await self.ask_since(instance, url, {**versions, SERVERS_TABLE: 0})

    async def ask_since(
        self, instance: InstanceId, url: str, versions: dict[str, int]
    ) -> None:
        """Ask one instance for the changes since versions of the tables."""
        requested_at = self.clock.monotonic()
        report = self.report(versions)
        # A report is answered with the tables by any instance, also of the last build.
        match await self.peers.ask(url, report, ReportAnswer, REPORT_LIMITS):
            case Result(tag="ok", ok=answer):
                self.receiver.apply(answer.news, requested_at, instance)
            case Result(error=failure):
                log.warning(
                    "table_request_failed", instance=instance, reason=failure.message
                )

    def report(self, versions: dict[str, int]) -> InstanceReport:
        """Return a report without events, which asks for the tables."""
        return InstanceReport(
            cell=STORE_READER_CELL,
            instance=self.identity.instance,
            incarnation=self.identity.incarnation,
            address=self.identity.address,
            started=[],
            ended=[],
            running=[],
            full=False,
            store_answers=self.store_answers(),
            leaving=self.leaving(),
            versions=versions,
            held_rows=self.receiver.held_rows(),
            instances_digest=0,
            limits=[],
            departures=departures_of(self.view) or UNSET,
        )
