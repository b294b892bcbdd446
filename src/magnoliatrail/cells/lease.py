"""The lease on a cell, held in one row of the store that names the owner."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

import msgspec
from expression import Result

from magnoliatrail.cells.outage import StoreOutageTracker
from magnoliatrail.clock import Clock
from magnoliatrail.errors import ErrorKind, Failure
from magnoliatrail.generated.cells import MeasuredSpeed, OwnerRow
from magnoliatrail.ids import CellId, FencingNumber, Incarnation, InstanceId
from magnoliatrail.logs import EventLog
from magnoliatrail.platform.protocol import CELLS_TABLE
from magnoliatrail.platform.rows import RowsRead, RowStore, RowWrite
from magnoliatrail.platform.store_versions import era_of, number_of, version_in_era
from magnoliatrail.wire import decode, encode

log = EventLog("cells")

# Validity of a lease, counted from the time at which its renewal was sent.
LEASE_DURATION = timedelta(seconds=2)
RENEWAL_INTERVAL = timedelta(milliseconds=700)
# The next owner waits this much longer than the lease, to allow for clock drift.
TAKEOVER_MARGIN = timedelta(milliseconds=250)


@dataclass(frozen=True, slots=True)
class Identity:
    """One run of an instance's process."""

    instance: InstanceId
    incarnation: Incarnation
    address: str


class CellLease:
    """The lease on one cell: claim, renewal, release and validity."""

    def __init__(
        self, *, clock: Clock, store: RowStore, identity: Identity, cell: CellId
    ) -> None:
        self.clock = clock
        self.store = store
        self.identity = identity
        self.cell = cell
        # The era of the store in which the lease is held or claimed.
        self.era = 0
        # When this instance learned of that era, unless it is the first one.
        self.restored_at: timedelta | None = None
        # Whether this instance held the lease then, so that no other could order.
        self.held_at_restore = False
        # The last known owner's row. Its version has the number 0 while nobody is
        # known to have claimed the lease in the current era.
        self.row: OwnerRow | None = None
        self.row_version = 0
        # When this instance first saw the current version of the row.
        self.row_seen_at: timedelta | None = None
        self.fencing_number = FencingNumber(0)
        self.lease_until = timedelta()
        self.renewals = 0
        # Whether nobody claimed the lease before this instance did.
        self.is_first_claim = False
        self.outage = StoreOutageTracker(clock)
        # The speeds of engines to write for the next owner.
        self.speeds: Callable[[], list[MeasuredSpeed]] = self.known_speeds
        # The groups of prompt parts in quarantine, for a fleet that starts again.
        self.quarantined: Callable[[], list[list[str]]] = list

    def known_quarantined(self) -> list[list[str]]:
        """Return the groups in quarantine that the last known row carries."""
        groups = self.row.quarantined if self.row else []
        return [] if isinstance(groups, msgspec.UnsetType) else groups

    def known_speeds(self) -> list[MeasuredSpeed]:
        """Return the speeds that the last known row carries."""
        speeds = self.row.speeds if self.row else []
        return [] if isinstance(speeds, msgspec.UnsetType) else speeds

    @property
    def key(self) -> str:
        """Return the key of the row.

        Each era has its own. A write from before the store came back from a copy then
        never meets a row from after it, whose version may have the same number.
        """
        return owner_key(self.cell, self.era)

    @property
    def is_claimed(self) -> bool:
        """Return whether the lease was claimed in the current era."""
        return number_of(self.row_version) > 0

    @property
    def names_me(self) -> bool:
        """Return whether the row, written in the lease's era, names this run."""
        row = self.row
        mine = self.identity.incarnation
        return (
            row is not None
            and row.incarnation == mine
            and not row.released
            and self.is_claimed
        )

    @property
    def is_mine(self) -> bool:
        """Return whether the row names this run, in the store's newest known era."""
        return self.names_me and self.store.era == self.era

    @property
    def may_reclaim(self) -> bool:
        """Return whether the lease was held when the store came back from a copy."""
        current = self.store.era == self.era
        return self.held_at_restore and current and not self.is_claimed

    def learn_era(self, era: int) -> None:
        """Learn the store's era from another instance."""
        self.store.record_era(era)
        self.follow_era()

    def follow_era(self) -> None:
        """Give up the lease, and what is known of it, if a new era has begun."""
        if self.store.era <= self.era:
            return
        now = self.clock.monotonic()
        self.held_at_restore = self.names_me and (
            now < self.lease_until
            or self.outage.extends_lease(self.lease_until, timedelta())
        )
        self.era = self.store.era
        self.restored_at = now
        self.row_version = version_in_era(self.era, 0)
        if self.row_seen_at is not None:
            self.row_seen_at = now
        self.lease_until = timedelta()
        log.warning(
            "lease_void",
            cell=self.cell,
            era=self.era,
            held=self.held_at_restore,
            owner=self.row.owner if self.row else "",
        )

    def may_order(self, duration: timedelta) -> bool:
        """Return whether an order of this duration ends within the lease.

        During a store outage the lease may be extended.
        """
        if not self.is_mine:
            return False
        in_time = self.clock.monotonic() + duration < self.lease_until
        return in_time or self.outage.extends_lease(self.lease_until, duration)

    @property
    def is_held(self) -> bool:
        """Return whether this instance holds a lease that has not lapsed."""
        return self.may_order(timedelta())

    def apply_row(self, row: OwnerRow | None, version: int) -> None:
        """Apply a newer version of the row, read or reported by the owner."""
        self.learn_era(era_of(version))
        if version <= self.row_version and self.row_seen_at is not None:
            return
        before, was_mine = self.row, self.is_mine
        self.row = row if row is not None else self.row
        self.row_version = version
        self.row_seen_at = self.clock.monotonic()
        if self.is_mine and not was_mine:
            # A claim whose answer was lost or that was carried out late. The version
            # at which the row is seen to name this run is the fencing number.
            self.fencing_number = FencingNumber(version)
            log.info("lease_claimed", fencing_number=version, cell=self.key)
        if before is None or (row and row.incarnation != before.incarnation):
            log.info(
                "owner_changed",
                owner=row.owner if row else "",
                row_version=version,
                released=row.released if row else "",
            )

    def is_free(self) -> bool:
        """Return whether the lease is absent, released or expired for long enough.

        No order under it can then still be under way.
        """
        if self.row_seen_at is None:
            return False
        if self.is_claimed or self.era == 0:
            # A claimed row without content could not be read.
            if self.row.released if self.row else not self.is_claimed:
                return True
        elif self.held_at_restore:
            return True
        waited = self.clock.monotonic() - self.row_seen_at
        return waited > LEASE_DURATION + TAKEOVER_MARGIN

    async def read(self) -> Result[None, Failure]:
        """Read the row from the store."""
        match await self.store.read(CELLS_TABLE):
            case Result(tag="ok", ok=read):
                self.apply_row(*owner_row(read, self.cell))
                return Result.Ok(None)
            case Result(error=failure):
                return Result.Error(failure)

    async def renew(self) -> None:
        """Renew the lease; after a conflict or an unknown outcome, read the row."""
        self.follow_era()
        if not self.is_mine:
            return
        self.renewals += 1
        sent_at = self.clock.monotonic()
        row = self.new_row(released=False)
        match await self.write(row):
            case Result(tag="ok", ok=version) if era_of(version) != self.era:
                self.follow_era()
            case Result(tag="ok", ok=version):
                self.record_written_row(row, version)
                self.lease_until = sent_at + LEASE_DURATION
                self.outage.record_renewal()
            case Result(error=failure):
                self.outage.renewal_fails = True
                log.warning("renewal_failed", reason=failure.message, kind=failure.kind)
                if failure.kind is ErrorKind.CONFLICT:
                    self.outage.forbid_extension()
                if failure.kind is not ErrorKind.TABLE_UNAVAILABLE:
                    await self.reread_row()

    async def reread_row(self) -> None:
        """Read the row after a write that conflicted or whose outcome is unknown."""
        was_mine = self.is_mine
        await self.read()
        if was_mine and not self.is_mine:
            log.warning(
                "lease_lost",
                row_version=self.row_version,
                owner=self.row.owner if self.row else "",
            )

    async def claim(self) -> bool:
        """Claim a free lease; return whether this instance owns it now."""
        assert self.is_free(), "claim of a lease that is not free"
        reclaimed = self.may_reclaim
        self.is_first_claim = self.era == 0 and not self.is_claimed
        sent_at = self.clock.monotonic()
        row = self.new_row(released=False)
        match await self.write(row):
            case Result(tag="ok", ok=version) if era_of(version) != self.era:
                self.follow_era()
            case Result(tag="ok", ok=version):
                self.record_written_row(row, version)
                self.fencing_number = FencingNumber(version)
                self.lease_until = sent_at + LEASE_DURATION
                if reclaimed:
                    self.outage.record_renewal()
                else:
                    self.outage = StoreOutageTracker(self.clock)
                log.info("lease_claimed", fencing_number=version, cell=self.key)
                return True
            case Result(error=failure):
                log.info("claim_failed", reason=failure.message, kind=failure.kind)
                if failure.kind is not ErrorKind.TABLE_UNAVAILABLE:
                    await self.read()
        return self.is_mine

    async def release(self) -> None:
        """Release the lease, so that the next owner need not wait for its expiry."""
        if not self.is_mine:
            return
        self.lease_until = timedelta()
        self.outage.forbid_extension()
        row = self.new_row(released=True)
        match await self.write(row):
            case Result(tag="ok", ok=version) if era_of(version) != self.era:
                self.follow_era()
            case Result(tag="ok", ok=version):
                self.record_written_row(row, version)
                log.info("lease_released", row_version=version)
            case Result(error=failure):
                log.warning("release_failed", reason=failure.message)

    def new_row(self, *, released: bool) -> OwnerRow:
        """Build a row that names this instance."""
        return OwnerRow(
            owner=self.identity.instance,
            incarnation=self.identity.incarnation,
            address=self.identity.address,
            renewal=self.renewals,
            released=released,
            speeds=self.speeds(),
            quarantined=self.quarantined(),
        )

    async def write(self, row: OwnerRow) -> Result[int, Failure]:
        """Write the row if it still has the known version."""
        write = RowWrite(CELLS_TABLE, self.key, encode(row), self.row_version)
        return await self.store.commit([write])

    def record_written_row(self, row: OwnerRow, version: int) -> None:
        """Record the row that this instance wrote."""
        self.row = row
        self.row_version = version
        self.row_seen_at = self.clock.monotonic()


def owner_key(cell: CellId, era: int) -> str:
    """Return the key of a cell's owner row in an era of the store."""
    return f"owner/{cell}@{era}" if era else f"owner/{cell}"


def owner_row(read: RowsRead, cell: CellId) -> tuple[OwnerRow | None, int]:
    """Find a cell's owner row, with its version, in a read of the whole table.

    If nobody claimed the lease in the store's era, this is the last owner's row of an
    earlier one, with the number 0 as its version.
    """
    era = era_of(read.version)
    rows = {row.key: row for row in read.rows if row.value is not None}
    for earlier in range(era, -1, -1):
        found = rows.get(owner_key(cell, earlier))
        if found is not None and found.value is not None:
            version = found.version if earlier == era else version_in_era(era, 0)
            match decode(found.value, OwnerRow):
                case Result(tag="ok", ok=row):
                    return row, version
                case Result(error=failure):
                    log.error("owner_row_unreadable", cell=cell, reason=failure.message)
                    return None, version
    return None, version_in_era(era, 0)
