"""All cells of the fleet, as one instance takes part in them."""

import random
from collections.abc import Callable
from datetime import timedelta
from typing import Any

import msgspec
from expression import Ok, Result

from magnoliatrail.cells.answers import place_answer
from magnoliatrail.cells.layout import cell_count, cell_ids, cell_order, cell_sizes
from magnoliatrail.cells.lease import owner_row
from magnoliatrail.cells.link import PLACE_PATH, REPORT_PATH, OwnerLink
from magnoliatrail.cells.member import (
    NEWS_CELL,
    NOTICE_PATH,
    STANDING_PATH,
    CellMember,
)
from magnoliatrail.cells.survey import EngineSurvey
from magnoliatrail.clock import Clock
from magnoliatrail.errors import ErrorKind, Failure
from magnoliatrail.generated.cells import (
    InstanceReport,
    LayoutRow,
    NoticeAnswer,
    OwnerNotice,
    OwnerQuestion,
    OwnerStanding,
    PlaceAnswer,
    PlaceRequest,
    PlaceState,
    ReportAnswer,
)
from magnoliatrail.ids import CellId
from magnoliatrail.logs import EventLog
from magnoliatrail.membership.fleet_view import FleetView
from magnoliatrail.peers.server import PeerRoute
from magnoliatrail.platform.protocol import CELLS_TABLE
from magnoliatrail.platform.rows import RowsRead, RowStore, RowWrite
from magnoliatrail.wire import encode

log = EventLog("cells")

LAYOUT_KEY = "layout"
# Pause between two reads of the rows while an owner is missing, and before there is
# any.
LOOK_EVERY = timedelta(milliseconds=400)
LOOK_EVERY_AT_START = timedelta(milliseconds=900)
IDLE_PAUSE = timedelta(milliseconds=50)
# Without a cell that gives news, an instance reads tables that are older than this.
NEWS_AT_START = timedelta(seconds=1.5)
# Share of the bound on news after which an instance reads the store itself; the rest
# is for the read and for requests that are on their way.
NEWS_LATE_SHARE = 0.6
# An instance that owns a cell leaves the next to others for this long.
OWNER_HANDICAP = timedelta(milliseconds=700)

NewMember = Callable[[CellId, int], CellMember]


class FleetCells:
    """Hold this instance's part in every cell."""

    def __init__(
        self,
        *,
        clock: Clock,
        store: RowStore,
        view: FleetView,
        generator: random.Random,
        new_member: NewMember,
        news_bound: timedelta,
    ) -> None:
        self.clock = clock
        self.store = store
        self.view = view
        self.generator = generator
        self.new_member = new_member
        # News of the store older than this is read again by this instance itself.
        self.news_late = news_bound * NEWS_LATE_SHARE
        self.members: dict[CellId, CellMember] = {}
        self.survey = EngineSurvey()

    # Rows of the store

    async def watch_rows(self) -> None:
        """Read the layout and the owners while one of them is not known."""
        while True:
            started = bool(self.members)
            if not started or any(item.needs_row for item in self.members.values()):
                await self.read_rows()
                wait = LOOK_EVERY if started else LOOK_EVERY_AT_START
                await self.clock.sleep(wait * self.generator.uniform(0.7, 1.3))
            else:
                await self.clock.sleep(IDLE_PAUSE)

    async def read_rows(self) -> None:
        """Read all rows once, for all cells."""
        match await self.store.read(CELLS_TABLE):
            case Result(tag="ok", ok=read):
                await self.take_layout(read)
                for member in self.members.values():
                    member.take_row(*owner_row(read, member.lease.key))
            case Result(error=failure):
                log.warning("owners_unread", reason=failure.message)

    async def take_layout(self, read: RowsRead) -> None:
        """Divide the engines as the store says, or decide it."""
        if self.members:
            return
        for row in read.rows:
            if row.key == LAYOUT_KEY and row.value is not None:
                self.divide(msgspec.json.decode(row.value, type=LayoutRow).cells)
                return
        if self.survey.is_complete(len(self.view.engines()), self.clock.monotonic()):
            await self.write_layout(cell_count(self.survey.engines))

    async def write_layout(self, cells: int) -> None:
        """Decide the layout, unless another instance did."""
        write = RowWrite(CELLS_TABLE, LAYOUT_KEY, encode(LayoutRow(cells=cells)), 0)
        match await self.store.commit([write]):
            case Result(tag="ok", ok=version):
                log.info("layout_decided", cells=cells, row_version=version)
            case Result(error=failure):
                log.info("layout_not_written", reason=failure.message)

    def divide(self, cells: int) -> None:
        """Take part in so many cells."""
        log.info("layout_known", cells=cells)
        for cell in cell_ids(cells):
            member = self.new_member(cell, cells)
            self.members[cell] = member
            member.start()

    # Reads of the store

    def reads_store(self, age: timedelta) -> bool:
        """Return whether this instance reads the store: for all, or as news is late."""
        reader = self.members.get(NEWS_CELL)
        if reader is None:
            return age > NEWS_AT_START
        if reader.owner:
            return True
        return age > self.news_late

    # Use

    @property
    def owns_any(self) -> bool:
        """Return whether this instance owns a cell."""
        return any(member.owner for member in self.members.values())

    @property
    def instances(self) -> int:
        """Return how many instances are known to take part."""
        known = [len(member.link.instances) for member in self.members.values()]
        return max(known, default=1) or 1

    def links_for(self, adapter: str) -> list[OwnerLink]:
        """Return the links to the cells that may serve an adapter, the best first.

        Requests for a busy adapter are spread over several cells.
        """
        if len(self.members) <= 1:
            return [member.link for member in self.members.values()]
        order = self.order_for(adapter)
        spread = self.members[order[0]].link.spread.get(adapter, 1)
        if not adapter.partition("/")[2]:
            spread = len(order)
        first = self.generator.randrange(min(spread, len(order)))
        ids = [order[first], *order[:first], *order[first + 1 :]]
        return [self.members[cell].link for cell in ids]

    def order_for(self, adapter: str) -> list[CellId]:
        """Return the cells in the order in which they serve an adapter."""
        servers = [server.id for server in self.view.engines()]
        return cell_order(adapter, cell_sizes(servers, len(self.members)))

    def handicap(self) -> timedelta:
        """Return how much later this instance claims a lease, if it owns one."""
        return OWNER_HANDICAP if self.owns_any else timedelta()

    async def leave(self) -> None:
        """Release all leases."""
        for member in self.members.values():
            await member.leave()

    # Messages

    async def answer_place(self, message: PlaceRequest) -> Result[PlaceAnswer, Failure]:
        """Answer a question for a place."""
        member = self.members.get(CellId(message.cell))
        if member is None or member.owner is None:
            return Ok(place_answer(PlaceState.NOT_OWNER))
        return Ok(await member.owner.place(message))

    async def answer_report(
        self, message: InstanceReport
    ) -> Result[ReportAnswer, Failure]:
        """Answer another instance's report."""
        member = self.members.get(CellId(message.cell))
        if member is None:
            return Result.Error(unknown_cell(message.cell))
        return Ok(member.report_answer(message))

    async def answer_question(
        self, message: OwnerQuestion
    ) -> Result[OwnerStanding, Failure]:
        """Say whether this instance still orders a cell's engines."""
        member = self.members.get(CellId(message.cell))
        if member is None:
            return Ok(OwnerStanding(orders=False))
        return Ok(member.succession.answer(message))

    async def answer_notice(
        self, message: OwnerNotice
    ) -> Result[NoticeAnswer, Failure]:
        """Take in who owns a cell now."""
        member = self.members.get(CellId(message.cell))
        if member is None:
            return Result.Error(unknown_cell(message.cell))
        return Ok(member.take_notice(message))

    def peer_routes(self) -> list[PeerRoute[Any]]:
        """Return the messages that this instance takes."""
        return [
            PeerRoute(PLACE_PATH, PlaceRequest, self.answer_place),
            PeerRoute(REPORT_PATH, InstanceReport, self.answer_report),
            PeerRoute(NOTICE_PATH, OwnerNotice, self.answer_notice),
            PeerRoute(STANDING_PATH, OwnerQuestion, self.answer_question),
        ]


def unknown_cell(cell: str) -> Failure:
    """Return the failure for a message about a cell that is not known here."""
    return Failure(ErrorKind.STARTING, f"cell {cell} is not known here yet")
