"""An instance's link to the owner of a cell: reports and slot requests."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from datetime import timedelta

from expression import Result
from msgspec import UNSET
from msgspec.structs import replace

from magnoliatrail.cells.lease import Identity
from magnoliatrail.clock import Clock
from magnoliatrail.generated.cells import (
    EndedRun,
    EngineSummary,
    InstanceReport,
    ReportAnswer,
    RunningRequest,
    ServerDeparture,
    ServerLimit,
    SlotAnswer,
    SlotDecision,
    SlotRequest,
)
from magnoliatrail.ids import CellId
from magnoliatrail.logs import EventLog
from magnoliatrail.peers.client import PeerClient
from magnoliatrail.wire import CallLimits

log = EventLog("cells")

SLOT_PATH = "/cell/place"
REPORT_PATH = "/cell/report"
# The total covers the time for which the owner holds a slot request open.
SLOT_REQUEST_LIMITS = CallLimits(
    timedelta(milliseconds=300), timedelta(milliseconds=1500)
)
REPORT_LIMITS = CallLimits(timedelta(milliseconds=300), timedelta(milliseconds=700))
# Interval between reports without events: for few instances, and at most.
REPORT_INTERVAL = timedelta(milliseconds=250)
MAX_REPORT_INTERVAL = timedelta(milliseconds=700)
MIN_REPORT_GAP = timedelta(milliseconds=25)
# Intervals grow with the number of instances, so that the owner's work stays bounded.
REPORT_INTERVAL_PER_INSTANCE = timedelta(milliseconds=8)
REPORT_GAP_PER_INSTANCE = timedelta(milliseconds=1.2)
# One report in this many lists all running requests.
REPORTS_PER_FULL_REPORT = 4
# An owner is suspected after the longer of this time and this many report intervals
# without an answer.
SUSPICION_TIMEOUT = timedelta(milliseconds=700)
SUSPICION_REPORT_INTERVALS = 2.2


@dataclass
class Unreported:
    """Events that the next report carries."""

    started: list[str] = field(default_factory=list)
    ended: list[EndedRun] = field(default_factory=list)


class OwnerLink:
    """Send slot requests and reports to the owner of one cell."""

    def __init__(
        self, *, clock: Clock, peers: PeerClient, identity: Identity, cell: CellId
    ) -> None:
        self.clock = clock
        self.peers = peers
        self.identity = identity
        self.cell = cell
        self.owner = ""
        self.address = ""
        self.answered_at: timedelta | None = None
        # When the last report that this owner answered was sent.
        self.acknowledged_at: timedelta | None = None
        # The owner answered that it does not own the cell.
        self.lapsed = False
        self.running: dict[str, RunningRequest] = {}
        self.unreported = Unreported()
        self.engines: list[EngineSummary] = []
        # Number of cells for each adapter that is too busy for this cell alone.
        self.spread: dict[str, int] = {}
        # Addresses of the instances that report to the owner.
        self.instances: dict[str, str] = {}
        self.instances_digest = 0
        self.wake = asyncio.Event()
        # Pulsed when the owner is suspected or says that it lost the lease.
        self.doubted = asyncio.Event()
        self.reports = 0
        # Set while this instance owns the cell.
        self.local_slot_handler: (
            Callable[[SlotRequest], Awaitable[SlotAnswer]] | None
        ) = None
        self.local_report_handler: Callable[[InstanceReport], ReportAnswer] | None = (
            None
        )

    @property
    def is_alive(self) -> bool:
        """Return whether the owner answered recently enough not to be suspected."""
        return self.time_until_suspected > timedelta()

    @property
    def time_until_suspected(self) -> timedelta:
        """Return for how long the owner's last answer keeps it from suspicion."""
        if self.answered_at is None or not self.address:
            return timedelta()
        timeout = max(
            SUSPICION_TIMEOUT, self.report_interval * SUSPICION_REPORT_INTERVALS
        )
        left = self.answered_at + timeout - self.clock.monotonic()
        return max(timedelta(), left)

    @property
    def has_owner(self) -> bool:
        """Return whether an owner answers and holds the lease."""
        return self.is_alive and not self.lapsed

    def doubt(self) -> None:
        """Wake the tasks that wait while the owner is not in doubt."""
        self.doubted.set()
        self.doubted.clear()

    async def wait_while_trusted(self, shortest: timedelta) -> None:
        """Wait until the owner may be in doubt, and at least for a short time."""
        if not self.has_owner:
            await self.clock.sleep(shortest)
            return
        wait = max(shortest, self.time_until_suspected)
        with suppress(TimeoutError):
            async with asyncio.timeout(wait.total_seconds()):
                await self.doubted.wait()

    @property
    def report_interval(self) -> timedelta:
        """Return the longest interval between two reports."""
        wanted = REPORT_INTERVAL_PER_INSTANCE * len(self.instances)
        return min(MAX_REPORT_INTERVAL, max(REPORT_INTERVAL, wanted))

    @property
    def report_gap(self) -> timedelta:
        """Return the shortest interval between two reports."""
        return max(MIN_REPORT_GAP, REPORT_GAP_PER_INSTANCE * len(self.instances))

    def use_owner(self, owner: str, address: str) -> None:
        """Send further messages to this owner."""
        if address == self.address and owner == self.owner:
            return
        log.info("owner_selected", owner=owner, address=address, before=self.owner)
        self.owner, self.address = owner, address
        self.answered_at = self.acknowledged_at = None
        self.lapsed = False
        self.reports = 0
        self.wake.set()
        self.doubt()

    async def request_slot(self, message: SlotRequest) -> SlotAnswer | None:
        """Request a batch slot; None if the owner cannot be reached."""
        if self.local_slot_handler:
            return await self.local_slot_handler(message)
        if not self.address:
            return None
        address = self.address
        url = f"http://{address}{SLOT_PATH}"
        match await self.peers.ask(url, message, SlotAnswer, SLOT_REQUEST_LIMITS):
            case Result(tag="ok", ok=answer):
                if answer.state is SlotDecision.NOT_OWNER:
                    self.lapsed = True
                    self.doubt()
                    return None
                return answer
            case Result(error=failure):
                if address == self.address:
                    # Suspect the owner until it answers a report.
                    self.answered_at = None
                    self.doubt()
                log.warning(
                    "owner_silent",
                    request=message.request,
                    owner=self.owner,
                    reason=failure.message,
                )
        return None

    def record_running(self, running: RunningRequest) -> None:
        """Record that a request holds a batch slot."""
        self.running[running.request] = running

    def record_started(self, request: str) -> None:
        """Record that a request sent its first event."""
        running = self.running.get(request)
        if running is None:
            return
        self.running[request] = replace(running, started=True)
        self.unreported.started.append(request)
        self.wake.set()

    def record_ended(self, ended: EndedRun) -> None:
        """Record that a request freed its slot, or no longer waits for one."""
        self.running.pop(ended.request, None)
        self.unreported.ended.append(ended)
        self.wake.set()

    async def report(
        self,
        versions: dict[str, int],
        *,
        held_rows: dict[str, int],
        store_answers: bool,
        leaving: bool,
        limits: list[ServerLimit],
        departures: list[ServerDeparture],
    ) -> ReportAnswer | None:
        """Send the owner a report; None if it does not answer."""
        if not self.address:
            return None
        events, self.unreported = self.unreported, Unreported()
        full = self.reports % REPORTS_PER_FULL_REPORT == 0
        self.reports += 1
        message = InstanceReport(
            cell=self.cell,
            instance=self.identity.instance,
            incarnation=self.identity.incarnation,
            address=self.identity.address,
            started=events.started,
            ended=events.ended,
            running=list(self.running.values()) if full else [],
            full=full,
            store_answers=store_answers,
            leaving=leaving,
            versions=versions,
            held_rows=held_rows,
            instances_digest=self.instances_digest,
            limits=limits,
            departures=departures or UNSET,
        )
        if self.local_report_handler:
            answer = self.local_report_handler(message)
            self.apply_answer(answer)
            return answer
        address, sent_at = self.address, self.clock.monotonic()
        url = f"http://{address}{REPORT_PATH}"
        match await self.peers.ask(url, message, ReportAnswer, REPORT_LIMITS):
            case Result(tag="ok", ok=answer):
                if address == self.address:
                    self.acknowledged_at = sent_at
                    self.apply_answer(answer)
                return answer
            case Result(error=failure):
                # Resend with the next report; the owner applies events idempotently.
                self.unreported.started[:0] = events.started
                self.unreported.ended[:0] = events.ended
                self.reports = 0
                log.warning(
                    "report_failed",
                    owner=self.owner,
                    took=self.clock.monotonic() - sent_at,
                    reason=failure.message,
                )
        return None

    def apply_answer(self, answer: ReportAnswer) -> None:
        """Apply the owner's answer to a report."""
        self.answered_at = self.clock.monotonic()
        self.lapsed = not answer.owner
        if self.lapsed:
            self.doubt()
        if answer.engines:
            self.engines = answer.engines
            self.spread = {item.adapter: item.cells for item in answer.spread}
        if answer.instances:
            self.instances = {item.instance: item.address for item in answer.instances}
            self.instances_digest = answer.instances_digest

    async def wait_until_due(self) -> None:
        """Wait for an event to report, or until the report interval has passed."""
        try:
            async with asyncio.timeout(self.report_interval.total_seconds()):
                await self.wake.wait()
            await self.clock.sleep(self.report_gap)
        except TimeoutError:
            pass
        self.wake.clear()
