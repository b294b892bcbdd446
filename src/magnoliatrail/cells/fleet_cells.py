"""One instance's membership in all cells of the fleet."""

import asyncio
import random
from collections.abc import Callable
from datetime import timedelta
from typing import Any

import msgspec
from expression import Ok, Result

from magnoliatrail.cells.announcement import ANNOUNCEMENT_PATH
from magnoliatrail.cells.answers import slot_answer
from magnoliatrail.cells.engine_discovery import EngineDiscovery
from magnoliatrail.cells.layout import cell_count, cell_ids, cell_order, cell_sizes
from magnoliatrail.cells.lease_takeover import MAX_OWNERSHIP
from magnoliatrail.cells.link import REPORT_PATH, SLOT_PATH, OwnerLink
from magnoliatrail.cells.member import (
    OWNER_STATUS_PATH,
    STORE_READER_CELL,
    CellMember,
)
from magnoliatrail.clock import Clock
from magnoliatrail.errors import ErrorKind, Failure
from magnoliatrail.generated.cells import (
    AnnouncementAnswer,
    InstanceReport,
    LayoutRow,
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
from magnoliatrail.platform.rows import RowsRead, RowStore, RowWrite
from magnoliatrail.platform.store_versions import era_of
from magnoliatrail.wire import encode

log = EventLog("cells")

LAYOUT_KEY = "layout"
# Interval between reads of the rows while a cell has no known owner, and before the
# layout is known.
OWNER_READ_INTERVAL = timedelta(milliseconds=400)
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
    ) -> None:
        self.clock = clock
        self.store = store
        self.view = view
        self.generator = generator
        self.new_member = new_member
        # Tables older than this are read from the store by this instance itself.
        self.store_read_age = max_update_age * STORE_READ_AGE_SHARE
        self.members: dict[CellId, CellMember] = {}
        self.discovery = EngineDiscovery()
        # The newest era of the store that is known to have the layout in use here.
        self.layout_era = 0
        self.layout_missing_since: timedelta | None = None

    # Rows of the store

    async def watch_rows(self) -> None:
        """Poll the layout and owner rows while one of them is not known."""
        while True:
            started = bool(self.members)
            if not started or any(
                item.should_read_row for item in self.members.values()
            ):
                await self.read_rows()
                wait = OWNER_READ_INTERVAL if started else LAYOUT_READ_INTERVAL
                await self.clock.sleep(wait * self.generator.uniform(0.7, 1.3))
            else:
                await self.wait_for_doubt()

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

    async def read_rows(self) -> None:
        """Read the table of cells once and apply its rows."""
        match await self.store.read(CELLS_TABLE):
            case Result(tag="ok", ok=read):
                await self.apply_layout(read)
                for member in self.members.values():
                    member.apply_rows(read)
            case Result(error=failure):
                log.warning("owner_read_failed", reason=failure.message)

    async def apply_layout(self, read: RowsRead) -> None:
        """Apply the stored layout, or write one when engine discovery is complete."""
        era = era_of(read.version)
        cells = layout_of(read)
        if cells is not None:
            self.layout_era = max(self.layout_era, era)
            if cells != len(self.members):
                self.join_cells(cells)
        elif self.members:
            await self.write_layout(len(self.members), era)
        elif self.may_decide_layout(era):
            await self.write_layout(cell_count(self.discovery.engines), era)

    def may_decide_layout(self, era: int) -> bool:
        """Return whether the engines are discovered and no layout can be in use.

        A store that came back from a copy may have lost a layout that others still use.
        They write it again, and order by it no longer than the longest ownership.
        """
        now = self.clock.monotonic()
        discovered = self.discovery.is_complete(len(self.view.engines()), now)
        if self.layout_missing_since is None:
            self.layout_missing_since = now
        waited = now - self.layout_missing_since
        return discovered and (era == 0 or waited > MAX_OWNERSHIP)

    async def write_layout(self, cells: int, era: int) -> None:
        """Write the layout, unless another instance already did."""
        write = RowWrite(CELLS_TABLE, LAYOUT_KEY, encode(LayoutRow(cells=cells)), 0)
        match await self.store.commit([write]):
            case Result(tag="ok", ok=version):
                log.info("layout_decided", cells=cells, row_version=version)
                if era == era_of(version) and self.members:
                    self.layout_era = era
            case Result(error=failure):
                log.info("layout_not_written", reason=failure.message)

    async def confirm_layout(self) -> bool:
        """Make sure that the store, in its newest era, has the layout in use here."""
        era = self.store.era
        if self.layout_era >= era:
            return True
        match await self.store.read(CELLS_TABLE):
            case Result(tag="ok", ok=read):
                await self.apply_layout(read)
            case Result(error=failure):
                log.warning("layout_read_failed", reason=failure.message)
        return self.layout_era >= era

    def join_cells(self, cells: int) -> None:
        """Create and start a member for each cell of the layout."""
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
        if reader and reader.owner:
            return timedelta()
        oldest = self.store_read_age if reader else MAX_UPDATE_AGE_AT_START
        return oldest - min(age, oldest)

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


def layout_of(read: RowsRead) -> int | None:
    """Return the number of cells of the stored layout, None if there is none."""
    for row in read.rows:
        if row.key == LAYOUT_KEY and row.value is not None:
            return msgspec.json.decode(row.value, type=LayoutRow).cells
    return None


def unknown_cell(cell: str) -> Failure:
    """Build the failure for a message about a cell that is not known here yet."""
    return Failure(ErrorKind.STARTING, f"cell {cell} is not known here yet")
