"""Lease takeover, and when the last owner has confirmed or must have stopped."""

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
from magnoliatrail.platform.store_versions import era_of

# Longest time for which an owner may continue because an instance reported that the
# store does not answer: delivery of the report, its validity and one order.
OUTAGE_REPORT_VALIDITY = (
    REPORT_LIMITS.connect
    + REPORT_LIMITS.total
    + STORE_REPORT_VALIDITY
    + MAX_ORDER_DURATION
)
# Longest time for which an order may be under way after the last known renewal.
MAX_OWNERSHIP = LEASE_DURATION + MAX_LEASE_EXTENSION + MAX_ORDER_DURATION
STATUS_RETRY_DELAY = timedelta(milliseconds=400)

# Requests the status of the owner that a row names; None if it does not answer.
RequestOwnerStatus = Callable[[OwnerRow], Awaitable[OwnerStatus | None]]


class LeaseTakeover:
    """Decide when this instance may claim a lease and give orders under it.

    An owner may extend its lease while the store answers none of the instances that
    could claim it. So the next owner first requests the last owner's status. Without an
    answer it waits for as long as its own reports may have allowed an extension.
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
        # When this instance sent the last report that the owner answered.
        self.acknowledged_at = acknowledged_at
        self.ask = ask
        # When the last owner must have stopped, if it did not answer.
        self.may_order_from = timedelta()
        # Latest time at which this instance, or its previous run, may have reported
        # that the store does not answer.
        self.outage_reported_at = clock.monotonic()

    def may_order(self, duration: timedelta) -> bool:
        """Return whether an order of this duration may be given."""
        if self.clock.monotonic() < self.may_order_from:
            return False
        return self.lease.may_order(duration)

    async def may_claim(self) -> bool:
        """Return whether the last owner gives no more orders or does not answer."""
        row = self.lease.row
        self.may_order_from = timedelta()
        if self.lease.may_reclaim:
            return True
        if self.lease.era and not self.lease.is_claimed:
            return await self.may_claim_after_restore()
        if row is None or row.released:
            return True
        status = await self.ask(row)
        if status is None:
            self.may_order_from = self.last_owner_stops_by()
        return status is None or not status.orders

    async def may_claim_after_restore(self) -> bool:
        """Return whether no owner of before the store's return from a copy may order.

        The store may have lost the claim of an owner that nobody here knows of. Only an
        owner that held the lease when it learned of the return rules that out.
        """
        now, row = self.clock.monotonic(), self.lease.row
        restored_at = self.lease.restored_at
        if restored_at is None or now - restored_at > MAX_OWNERSHIP:
            return True
        if row is None:
            return False
        status = await self.ask(row)
        return status is not None and status.held_at_restore and not status.orders

    def last_owner_stops_by(self) -> timedelta:
        """Return when an owner that does not answer must have stopped."""
        stops_by = self.outage_reported_at + OUTAGE_REPORT_VALIDITY
        row_seen_at, acknowledged_at = self.lease.row_seen_at, self.acknowledged_at()
        assert row_seen_at is not None, "claim of a row that was never read"
        if (
            acknowledged_at is None
            or row_seen_at - acknowledged_at > SILENT_INSTANCE_EXPIRY
        ):
            stops_by = max(stops_by, row_seen_at + MAX_OWNERSHIP)
        return stops_by

    async def poll_last_owner(self, row: OwnerRow) -> None:
        """Poll the last owner, or its next run, until it confirms that it stopped."""
        while self.lease.is_mine and self.clock.monotonic() < self.may_order_from:
            status = await self.ask(row)
            if status and not status.orders:
                self.may_order_from = timedelta()
                return
            await self.clock.sleep(STATUS_RETRY_DELAY)

    def answer(self, request: OwnerStatusRequest) -> OwnerStatus:
        """Answer whether this instance may order; if not, forbid lease extension."""
        lease = self.lease
        lease.learn_era(era_of(request.row_version))
        known = request.row_version <= lease.row_version
        held_at_restore = lease.held_at_restore and lease.era == era_of(
            request.row_version
        )
        if (lease.is_held and known) or self.order_may_be_under_way():
            return OwnerStatus(orders=True, held_at_restore=held_at_restore)
        lease.outage.forbid_extension()
        return OwnerStatus(orders=False, held_at_restore=held_at_restore)

    def order_may_be_under_way(self) -> bool:
        """Return whether an order sent before the store's restoration may arrive."""
        restored_at = self.lease.restored_at
        if restored_at is None or not self.lease.held_at_restore:
            return False
        return self.clock.monotonic() - restored_at < MAX_ORDER_DURATION
