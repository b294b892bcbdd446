"""The layout of a fleet in the store: found, decided, and written again if lost."""

import random
from collections.abc import Callable
from datetime import timedelta

from expression import Result

from magnoliatrail.cells.engine_discovery import EngineDiscovery
from magnoliatrail.cells.layout import MAX_CELLS, cell_count
from magnoliatrail.cells.lease import Identity
from magnoliatrail.cells.lease_takeover import MAX_OWNERSHIP
from magnoliatrail.clock import Clock
from magnoliatrail.generated.cells import DiscoveryRow, LayoutRow
from magnoliatrail.logs import EventLog
from magnoliatrail.membership.fleet_view import FleetView
from magnoliatrail.platform.protocol import CELLS_TABLE
from magnoliatrail.platform.rows import RowsRead, RowStore, RowWrite
from magnoliatrail.platform.store_versions import era_of
from magnoliatrail.wire import decode, encode

log = EventLog("cells")

LAYOUT_KEY = "layout"
DISCOVERY_KEY = "discovery"
# Another instance discovers the engines if the first one did not finish within this.
DISCOVERY_PATIENCE = timedelta(seconds=10)


class FleetLayout:
    """Keep the number of cells the same in the store and on all instances."""

    def __init__(
        self,
        *,
        clock: Clock,
        store: RowStore,
        view: FleetView,
        generator: random.Random,
        identity: Identity,
        cells_in_use: Callable[[], int],
        use: Callable[[int], None],
    ) -> None:
        self.clock = clock
        self.store = store
        self.view = view
        self.generator = generator
        self.identity = identity
        # Number of cells of the layout in use here, 0 before there is one.
        self.cells_in_use = cells_in_use
        self.use = use
        self.discovery = EngineDiscovery()
        # Whether this instance discovers the engines of the starting fleet.
        self.discovers = False
        # Version of the row that names the discovering instance, and when it was seen.
        self.discovery_row: tuple[int, timedelta] | None = None
        # The newest era of the store that is known to have the layout in use here.
        self.era = 0
        self.missing_since: timedelta | None = None

    async def apply(self, read: RowsRead) -> None:
        """Apply the stored layout, or write one when engine discovery is complete."""
        era = era_of(read.version)
        cells = layout_of(read)
        if cells is not None:
            self.era = max(self.era, era)
            if cells != self.cells_in_use():
                self.use(cells)
        elif self.cells_in_use():
            await self.write(self.cells_in_use(), era)
        elif not self.discovers:
            await self.apply_discovery(read)
        elif self.may_decide(era):
            await self.write(cell_count(self.discovery.engines), era)

    async def apply_discovery(self, read: RowsRead) -> None:
        """Discover the engines for all instances, unless another one does.

        One that does not finish is replaced after a while.
        """
        row = next((item for item in read.rows if item.key == DISCOVERY_KEY), None)
        version = row.version if row else 0
        now = self.clock.monotonic()
        if self.discovery_row is None or version != self.discovery_row[0]:
            self.discovery_row = version, now
        patience = DISCOVERY_PATIENCE * self.generator.uniform(1, 1.5)
        if row is not None and now - self.discovery_row[1] < patience:
            return
        value = DiscoveryRow(
            instance=self.identity.instance, incarnation=self.identity.incarnation
        )
        write = RowWrite(CELLS_TABLE, DISCOVERY_KEY, encode(value), version)
        match await self.store.commit([write]):
            case Result(tag="ok"):
                self.discovers = True
                log.info("discovery_started")
            case Result(error=failure):
                log.info("discovery_by_another", reason=failure.message)

    def may_decide(self, era: int) -> bool:
        """Return whether the engines are discovered and no layout can be in use.

        A store that came back from a copy may have lost a layout that others still use.
        They write it again, and order by it no longer than the longest ownership.
        """
        now = self.clock.monotonic()
        discovered = self.discovery.is_complete(len(self.view.engines()), now)
        if self.missing_since is None:
            self.missing_since = now
        waited = now - self.missing_since
        return discovered and (era == 0 or waited > MAX_OWNERSHIP)

    async def write(self, cells: int, era: int) -> None:
        """Write the layout, unless another instance already did."""
        write = RowWrite(CELLS_TABLE, LAYOUT_KEY, encode(LayoutRow(cells=cells)), 0)
        match await self.store.commit([write]):
            case Result(tag="ok", ok=version):
                log.info("layout_decided", cells=cells, row_version=version)
                if era == era_of(version) and self.cells_in_use():
                    self.era = era
            case Result(error=failure):
                log.info("layout_not_written", reason=failure.message)

    async def confirm(self) -> bool:
        """Make sure that the store, in its newest era, has the layout in use here."""
        era = self.store.era
        if self.era >= era:
            return True
        match await self.store.read(CELLS_TABLE):
            case Result(tag="ok", ok=read):
                await self.apply(read)
            case Result(error=failure):
                log.warning("layout_read_failed", reason=failure.message)
        return self.era >= self.store.era


def layout_of(read: RowsRead) -> int | None:
    """Return the number of cells of the stored layout, None if there is none."""
    for row in read.rows:
        if row.key == LAYOUT_KEY and row.value is not None:
            match decode(row.value, LayoutRow):
                case Result(tag="ok", ok=layout) if 0 < layout.cells <= MAX_CELLS:
                    return layout.cells
                case Result(tag="ok", ok=layout):
                    log.error("layout_unreadable", cells=layout.cells)
                case Result(error=failure):
                    log.error("layout_unreadable", reason=failure.message)
    return None
