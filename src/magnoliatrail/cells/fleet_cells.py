"""One instance's membership in all cells of the fleet."""

import asyncio
import random
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from expression import Ok, Result

from magnoliatrail.cells.announcement import ANNOUNCEMENT_PATH
from magnoliatrail.cells.answers import slot_answer
from magnoliatrail.cells.fleet_layout import FleetLayout
from magnoliatrail.cells.layout import cell_ids, cell_of, cell_order, cell_sizes
from magnoliatrail.cells.lease import Identity
from magnoliatrail.cells.link import REPORT_PATH, SLOT_PATH, OwnerLink
from magnoliatrail.cells.member import (
    STORE_READER_CELL,
    CellMember,
)
from magnoliatrail.cells.owner_status import OWNER_STATUS_PATH
from magnoliatrail.clock import Clock
from magnoliatrail.errors import ErrorKind, Failure
from magnoliatrail.generated.cells import (
    AnnouncementAnswer,
    InstanceReport,
    OwnershipAnnouncement,
    OwnerStatus,
    OwnerStatusRequest,
    ReportAnswer,
    SlotAnswer,
    SlotDecision,
    SlotRequest,
)
from magnoliatrail.ids import CellId
from magnoliatrail.logs import EventLog
from magnoliatrail.membership.fleet_view import FleetView
from magnoliatrail.peers.server import PeerRoute
from magnoliatrail.platform.protocol import CELLS_TABLE
from magnoliatrail.platform.rows import RowStore

log = EventLog("cells")

# Instances that start together read the rows spread over this time.
START_SPREAD = timedelta(milliseconds=500)
# Longest wait for the next change of a row while there is no layout.
LAYOUT_LONG_POLL = timedelta(seconds=8)
# An instance that knows no tables waits this long for another to send them.
FIRST_TABLES_GRACE = timedelta(milliseconds=600)
# The same at the first start of the whole fleet, before and after the layout is known.
FIRST_START_GRACES = timedelta(seconds=8), timedelta(seconds=2.5)
# Interval between reads of the rows while a cell has no known owner, and before the
# layout is known.
OWNER_READ_INTERVAL = timedelta(milliseconds=400)
# Most instances of a starting fleet read the rows after the first claims.
FIRST_OWNER_READ = timedelta(milliseconds=1200)
LAYOUT_READ_INTERVAL = timedelta(milliseconds=900)
# An instance checks at least this long apart whether all cells have an owner.
OWNER_CHECK_INTERVAL = timedelta(milliseconds=100)
# Before the layout is known, an instance reads tables that are older than this itself.
MAX_UPDATE_AGE_AT_START = timedelta(seconds=1.5)
# Share of the maximum update age after which an instance reads the store itself. The
# rest is for the read and for requests already under way.
STORE_READ_AGE_SHARE = 0.6
# An instance that already owns a cell claims another this much later, so that cells
# are spread over the instances.
OWNER_CLAIM_DELAY = timedelta(milliseconds=700)

# Reports come at least every 0.7 s, and an owner is trusted for at most 1.54 s.
REPORT_VALIDITY = timedelta(seconds=1.6)

NewMember = Callable[[CellId, int], CellMember]


class FleetCells:
    """Create a member for each cell and route messages to it."""

    def __init__(
        self,
        *,
        clock: Clock,
        store: RowStore,
        view: FleetView,
        generator: random.Random,
        new_member: NewMember,
        max_update_age: timedelta,
        identity: Identity,
        first_start: bool = False,
        restore_quarantine: Callable[[list[list[str]]], None] = lambda groups: None,
    ) -> None:
        self.clock = clock
        self.store = store
        self.view = view
        self.generator = generator
        self.new_member = new_member
        self.identity = identity
        # When another instance last reported to this one.
        self.reported_at: timedelta | None = None
        # Applies what the rows say of the quarantine before this instance started.
        self.restore_quarantine = restore_quarantine
        self.quarantine_restored = False
        # Whether all instances start together, for the first time.
        self.first_start = first_start
        # Whether the owners of a starting fleet are not known yet.
        self.starting = first_start
        self.joined_at = clock.monotonic()
        # Tables older than this are read from the store by this instance itself.
        self.store_read_age = max_update_age * STORE_READ_AGE_SHARE
        self.members: dict[CellId, CellMember] = {}
        self.layout = FleetLayout(
            clock=clock,
            store=store,
            view=view,
            generator=generator,
            identity=identity,
            cells_in_use=lambda: len(self.members),
            use=self.join_cells,
        )

    # Rows of the store

    async def watch_rows(self) -> None:
        """Poll the layout and owner rows while one of them is not known."""
        if self.first_start:
            # Most instances then find the row of one that discovers the engines.
            await self.clock.sleep(START_SPREAD * self.generator.random())
        while not self.members:
            await self.wait_for_layout()
        self.starting = self.first_start
        while True:
            if any(item.should_read_row for item in self.members.values()):
                interval = FIRST_OWNER_READ if self.starting else OWNER_READ_INTERVAL
                self.starting = False
                await self.clock.sleep(interval * self.generator.uniform(0.7, 1.3))
                if any(item.should_read_row for item in self.members.values()):
                    await self.read_rows()
            else:
                await self.wait_for_doubt()

    async def wait_for_layout(self) -> None:
        """Read the rows; without a layout, wait for one or discover the engines."""
        version = await self.read_rows()
        if self.members:
            return
        if version is None or self.layout.discovers:
            pause = LAYOUT_READ_INTERVAL * self.generator.uniform(0.7, 1.3)
            await self.clock.sleep(pause)
            return
        while not self.members:
            # The answer comes with the next change of a row.
            changes = await self.store.changes(CELLS_TABLE, version, LAYOUT_LONG_POLL)
            if changes.is_error() or changes.ok is None:
                await self.clock.sleep(LAYOUT_READ_INTERVAL)
                return
            read = changes.ok
            if not read.rows:
                return
            await self.layout.apply(read)
            version = read.version

    async def wait_for_doubt(self) -> None:
        """Wait until the owner of some cell may be in doubt."""
        waits = [
            asyncio.ensure_future(member.link.wait_while_trusted(OWNER_CHECK_INTERVAL))
            for member in self.members.values()
        ]
        try:
            await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for wait in waits:
                wait.cancel()

    async def read_rows(self) -> int | None:
        """Read the table of cells once, apply its rows and return its version."""
        match await self.store.read(CELLS_TABLE):
            case Result(tag="ok", ok=read):
                await self.layout.apply(read)
                for member in self.members.values():
                    member.apply_rows(read)
                if self.members and not self.quarantine_restored:
                    self.quarantine_restored = True
                    for member in self.members.values():
                        self.restore_quarantine(member.lease.known_quarantined())
                return read.version
            case Result(error=failure):
                log.warning("owner_read_failed", reason=failure.message)
        return None

    def join_cells(self, cells: int) -> None:
        """Create and start a member for each cell of the layout."""
        self.joined_at = self.clock.monotonic()
        if self.members:
            log.error("layout_replaced", cells=cells, before=len(self.members))
        for member in self.members.values():
            member.retire()
        self.members.clear()
        log.info("layout_applied", cells=cells)
        for cell in cell_ids(cells):
            member = self.new_member(cell, cells)
            self.members[cell] = member
            member.start()

    # Reads of the store

    def read_due_in(self, age: timedelta) -> timedelta:
        """Return the time until this instance reads the store, given its tables' age.

        The owner of one cell reads it for all; others do if their updates are late.
        """
        reader = self.members.get(STORE_READER_CELL)
        if (reader and reader.owner) or (self.layout.discovers and not reader):
            return timedelta()
        oldest = self.store_read_age if reader else MAX_UPDATE_AGE_AT_START
        due_in = oldest - min(age, oldest)
        if age == timedelta.max:
            # The first tables come from the reader, if there is one.
            grace = FIRST_TABLES_GRACE
            if self.first_start:
                grace = FIRST_START_GRACES[bool(self.members)]
            due_in = max(due_in, self.joined_at + grace - self.clock.monotonic())
        return due_in

    # Requests

    @property
    def owns_any(self) -> bool:
        """Return whether this instance owns a cell."""
        return any(member.owner for member in self.members.values())

    @property
    def instances(self) -> int:
        """Return the number of known instances, at least 1."""
        known = [len(member.link.instances) for member in self.members.values()]
        return max(known, default=1) or 1

    def hears_others(self) -> bool:
        """Return whether an owner answers or another instance reports.

        That this instance owns a cell itself is no sign that it is not cut off.
        """
        now, reported_at = self.clock.monotonic(), self.reported_at
        if reported_at is not None and now - reported_at < REPORT_VALIDITY:
            return True
        return any(
            member.link.is_alive and member.link.owner != self.identity.instance
            for member in self.members.values()
        )

    def addresses(self) -> dict[str, str]:
        """Return the addresses of the known instances."""
        return {
            instance: address
            for member in self.members.values()
            for instance, address in member.link.instances.items()
        }

    def cells_with_version(self, service: str, version: str) -> set[CellId]:
        """Return the cells with a usable engine of a software version."""
        if not self.members:
            return set()
        return {
            cell_of(server.id, len(self.members))
            for server in self.view.usable(service)
            if server.has_software_version(version)
        }

    def links_for(self, adapter: str) -> list[OwnerLink]:
        """Return the links to the cells for an adapter, the preferred one first.

        Requests for a busy adapter are spread over several cells.
        """
        if len(self.members) <= 1:
            return [member.link for member in self.members.values()]
        order = self.ranked_cells_for(adapter)
        spread = self.members[order[0]].link.spread.get(adapter, 1)
        if not adapter.partition("/")[2]:
            spread = len(order)
        first = self.generator.randrange(min(spread, len(order)))
        ids = [order[first], *order[:first], *order[first + 1 :]]
        return [self.members[cell].link for cell in ids]

    def ranked_cells_for(self, adapter: str) -> list[CellId]:
        """Return the cells in their order of preference for an adapter."""
        servers = [server.id for server in self.view.engines()]
        return cell_order(adapter, cell_sizes(servers, len(self.members)))

    def owner_claim_delay(self) -> timedelta:
        """Return the claim delay of this instance, zero unless it owns a cell."""
        return OWNER_CLAIM_DELAY if self.owns_any else timedelta()

    def hears_owner(self) -> bool:
        """Return whether the owner of a cell answers, whose tables are then known."""
        return any(member.link.is_alive for member in self.members.values())

    async def leave(self) -> None:
        """Release all leases."""
        for member in self.members.values():
            await member.leave()

    # Messages

    async def answer_slot_request(
        self, message: SlotRequest
    ) -> Result[SlotAnswer, Failure]:
        """Answer a slot request."""
        member = self.members.get(CellId(message.cell))
        if member is None or member.owner is None:
            return Ok(slot_answer(SlotDecision.NOT_OWNER))
        return Ok(await member.owner.request_slot(message))

    async def answer_report(
        self, message: InstanceReport
    ) -> Result[ReportAnswer, Failure]:
        """Answer another instance's report."""
        if message.instance != self.identity.instance:
            self.reported_at = self.clock.monotonic()
        member = self.members.get(CellId(message.cell))
        if member is None:
            return Result.Error(unknown_cell(message.cell))
        return Ok(member.handle_report(message))

    async def answer_status_request(
        self, message: OwnerStatusRequest
    ) -> Result[OwnerStatus, Failure]:
        """Answer whether this instance may still order a cell's engines."""
        member = self.members.get(CellId(message.cell))
        if member is None:
            return Ok(OwnerStatus(orders=False, held_at_restore=False))
        return Ok(member.takeover.answer(message))

    async def answer_announcement(
        self, message: OwnershipAnnouncement
    ) -> Result[AnnouncementAnswer, Failure]:
        """Apply an ownership announcement."""
        member = self.members.get(CellId(message.cell))
        if member is None:
            return Result.Error(unknown_cell(message.cell))
        return Ok(member.apply_announcement(message))

    def peer_routes(self) -> list[PeerRoute[Any]]:
        """Return the routes of the peer messages about cells."""
        return [
            PeerRoute(SLOT_PATH, SlotRequest, self.answer_slot_request),
            PeerRoute(REPORT_PATH, InstanceReport, self.answer_report),
            PeerRoute(
                ANNOUNCEMENT_PATH, OwnershipAnnouncement, self.answer_announcement
            ),
            PeerRoute(
                OWNER_STATUS_PATH, OwnerStatusRequest, self.answer_status_request
            ),
        ]


def unknown_cell(cell: str) -> Failure:
    """Build the failure for a message about a cell that is not known here yet."""
    return Failure(ErrorKind.STARTING, f"cell {cell} is not known here yet")
