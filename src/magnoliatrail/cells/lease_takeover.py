"""Taking a lease over: when the last owner has surely given its last order."""

from collections.abc import Awaitable, Callable
from datetime import timedelta

from magnoliatrail.cells.lease import LEASE_DURATION, CellLease
from magnoliatrail.cells.link import REPORT_LIMITS
from magnoliatrail.cells.orders import MAX_ORDER_DURATION
from magnoliatrail.cells.outage import (
    MAX_LEASE_EXTENSION,
    SILENT_INSTANCE_EXPIRY,
    STORE_REPORT_VALIDITY,
)
from magnoliatrail.clock import Clock
from magnoliatrail.generated.cells import OwnerRow, OwnerStatus, OwnerStatusRequest

# An owner may go on for so long after an instance told it that the store is away: the
# report's own time, the time for which it counts, and an order's.
OUTAGE_REPORT_VALIDITY = (
    REPORT_LIMITS.connect
    + REPORT_LIMITS.total
    + STORE_REPORT_VALIDITY
    + MAX_ORDER_DURATION
)
# An owner may order for so long after the last renewal that others know of.
MAX_OWNERSHIP = LEASE_DURATION + MAX_LEASE_EXTENSION + MAX_ORDER_DURATION
STATUS_RETRY_DELAY = timedelta(milliseconds=400)

# Asks the owner that a row names; None if it does not answer.
RequestOwnerStatus = Callable[[OwnerRow], Awaitable[OwnerStatus | None]]


class LeaseTakeover:
    """Say when this instance may claim a lease, and order under it.

    An owner may go on while the store is away for all who could claim. So its successor
    asks it first; if it does not answer, the successor waits for as long as anything
    that it said itself may have let that owner go on.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        lease: CellLease,
        acknowledged_at: Callable[[], timedelta | None],
        ask: RequestOwnerStatus,
    ) -> None:
        self.clock = clock
        self.lease = lease
        # When this instance sent the last report that the owner has answered.
        self.acknowledged_at = acknowledged_at
        self.ask = ask
        # When the last owner, which could not be asked, has surely stopped.
        self.may_order_from = timedelta()
        # When this instance, or its last run, may have said that the store is away.
        self.outage_reported_at = clock.monotonic()

    def may_order(self, duration: timedelta) -> bool:
        """Return whether an order that takes this long may be given."""
        if self.clock.monotonic() < self.may_order_from:
            return False
        return self.lease.may_order(duration)

    async def may_claim(self) -> bool:
        """Return whether the last owner leaves the lease to others."""
        row = self.lease.row
        self.may_order_from = timedelta()
        if row is None or row.released:
            return True
        standing = await self.ask(row)
        if standing is None:
            self.may_order_from = self.last_owner_stops_by()
        return standing is None or not standing.orders

    def last_owner_stops_by(self) -> timedelta:
        """Return when an owner that cannot be asked has given its last order."""
        stops_by = self.outage_reported_at + OUTAGE_REPORT_VALIDITY
        row_seen_at, acknowledged_at = self.lease.row_seen_at, self.acknowledged_at()
        assert row_seen_at is not None, "a row is read before it is claimed"
        if (
            acknowledged_at is None
            or row_seen_at - acknowledged_at > SILENT_INSTANCE_EXPIRY
        ):
            stops_by = max(stops_by, row_seen_at + MAX_OWNERSHIP)
        return stops_by

    async def poll_last_owner(self, row: OwnerRow) -> None:
        """Ask the last owner, or its next run, until it says that it has stopped."""
        while self.lease.is_mine and self.clock.monotonic() < self.may_order_from:
            standing = await self.ask(row)
            if standing and not standing.orders:
                self.may_order_from = timedelta()
                return
            await self.clock.sleep(STATUS_RETRY_DELAY)

    def answer(self, question: OwnerStatusRequest) -> OwnerStatus:
        """Say whether this instance still orders; if not, it stops for good."""
        known = question.row_version <= self.lease.row_version
        if self.lease.is_held and known:
            return OwnerStatus(orders=True)
        self.lease.outage.forbid_extension()
        return OwnerStatus(orders=False)
