"""An instance's side of a cell: it reports to the owner and asks it for places."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from datetime import timedelta

from expression import Result
from msgspec.structs import replace

from magnoliatrail.cells.lease import Identity
from magnoliatrail.clock import Clock
from magnoliatrail.generated.cells import (
    EndedRun,
    EngineSummary,
    InstanceReport,
    ReportAnswer,
    RunningRequest,
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
# The owner answers at once, or holds the question open for a while.
SLOT_REQUEST_LIMITS = CallLimits(
    timedelta(milliseconds=300), timedelta(milliseconds=1500)
)
REPORT_LIMITS = CallLimits(timedelta(milliseconds=300), timedelta(milliseconds=700))
# Reports come at least this often, and at most.
REPORT_INTERVAL = timedelta(milliseconds=250)
MAX_REPORT_INTERVAL = timedelta(milliseconds=700)
MIN_REPORT_GAP = timedelta(milliseconds=25)
# With many instances each reports less often, so that the owner's work stays bounded.
REPORT_INTERVAL_PER_INSTANCE = timedelta(milliseconds=8)
REPORT_GAP_PER_INSTANCE = timedelta(milliseconds=1.2)
# Each of these many reports lists all running requests.
REPORTS_PER_FULL_REPORT = 4
# An owner that did not answer for this long is taken for gone.
SUSPICION_TIMEOUT = timedelta(milliseconds=700)
SUSPICION_REPORT_INTERVALS = 2.2


@dataclass
class Unreported:
    """What the owner has not been told yet."""

    started: list[str] = field(default_factory=list)
    ended: list[EndedRun] = field(default_factory=list)


class OwnerLink:
    """Talk to the owner of one cell."""

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
        # When the last report was sent that this owner has answered.
        self.acknowledged_at: timedelta | None = None
        # The owner itself says that its lease has lapsed.
        self.lapsed = False
        self.running: dict[str, RunningRequest] = {}
        self.unreported = Unreported()
        self.engines: list[EngineSummary] = []
        # Adapters that are too busy for this cell alone, and the cells that they need.
        self.spread: dict[str, int] = {}
        # Instances that report to the owner, with their addresses.
        self.instances: dict[str, str] = {}
        self.wake = asyncio.Event()
        self.reports = 0
        # Set while this instance itself is the owner.
        self.local_slot_handler: (
            Callable[[SlotRequest], Awaitable[SlotAnswer]] | None
        ) = None
        self.local_report_handler: Callable[[InstanceReport], ReportAnswer] | None = (
            None
        )

    @property
    def is_alive(self) -> bool:
        """Return whether the owner answered of late."""
        if self.answered_at is None or not self.address:
            return False
        patience = max(
            SUSPICION_TIMEOUT, self.report_interval * SUSPICION_REPORT_INTERVALS
        )
        return self.clock.monotonic() - self.answered_at < patience

    @property
    def report_interval(self) -> timedelta:
        """Return the longest time between two reports."""
        wanted = REPORT_INTERVAL_PER_INSTANCE * len(self.instances)
        return min(MAX_REPORT_INTERVAL, max(REPORT_INTERVAL, wanted))

    @property
    def report_gap(self) -> timedelta:
        """Return the shortest time between two reports."""
        return max(MIN_REPORT_GAP, REPORT_GAP_PER_INSTANCE * len(self.instances))

    def use_owner(self, owner: str, address: str) -> None:
        """Use another owner from now on."""
        if address == self.address and owner == self.owner:
            return
        log.info("owner_selected", owner=owner, address=address, before=self.owner)
        self.owner, self.address = owner, address
        self.answered_at = self.acknowledged_at = None
        self.lapsed = False
        self.reports = 0
        self.wake.set()

    async def place(self, message: SlotRequest) -> SlotAnswer | None:
        """Ask for a place; None if the owner cannot be asked."""
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
                    return None
                return answer
            case Result(error=failure):
                if address == self.address:
                    # Not asked again before it has answered a report.
                    self.answered_at = None
                log.warning(
                    "owner_silent",
                    request=message.request,
                    owner=self.owner,
                    reason=failure.message,
                )
        return None

    def note_running(self, running: RunningRequest) -> None:
        """Note that a request holds a place."""
        self.running[running.request] = running

    def record_started(self, request: str) -> None:
        """Note that the first event of a request came."""
        running = self.running.get(request)
        if running is None:
            return
        self.running[request] = replace(running, started=True)
        self.unreported.started.append(request)
        self.wake.set()

    def record_ended(self, ended: EndedRun) -> None:
        """Note that a request gave its place back, or no longer waits for one."""
        self.running.pop(ended.request, None)
        self.unreported.ended.append(ended)
        self.wake.set()

    async def report(
        self, versions: dict[str, int], *, store_answers: bool, leaving: bool
    ) -> ReportAnswer | None:
        """Tell the owner what changed; None if it does not answer."""
        if not self.address:
            return None
        told, self.unreported = self.unreported, Unreported()
        full = self.reports % REPORTS_PER_FULL_REPORT == 0
        self.reports += 1
        message = InstanceReport(
            cell=self.cell,
            instance=self.identity.instance,
            incarnation=self.identity.incarnation,
            address=self.identity.address,
            started=told.started,
            ended=told.ended,
            running=list(self.running.values()) if full else [],
            full=full,
            store_answers=store_answers,
            leaving=leaving,
            versions=versions,
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
                # Said again with the next report; the owner takes it twice as once.
                self.unreported.started[:0] = told.started
                self.unreported.ended[:0] = told.ended
                self.reports = 0
                log.warning("report_failed", owner=self.owner, reason=failure.message)
        return None

    def apply_answer(self, answer: ReportAnswer) -> None:
        """Take in what the owner says."""
        self.answered_at = self.clock.monotonic()
        self.lapsed = not answer.owner
        if answer.engines:
            self.engines = answer.engines
            self.spread = {item.adapter: item.cells for item in answer.spread}
        if answer.instances:
            self.instances = {item.instance: item.address for item in answer.instances}

    async def wait_until_due(self) -> None:
        """Wait until there is something to report, or the time has come."""
        try:
            async with asyncio.timeout(self.report_interval.total_seconds()):
                await self.wake.wait()
            await self.clock.sleep(self.report_gap)
        except TimeoutError:
            pass
        self.wake.clear()
