"""Taking a lease over: when the last owner has surely given its last order."""

from collections.abc import Awaitable, Callable
from datetime import timedelta

from magnoliatrail.cells.lease import LEASE, CellLease
from magnoliatrail.cells.link import REPORT_LIMITS
from magnoliatrail.cells.orders import ORDER_TIME
from magnoliatrail.cells.outage import (
    FORGOTTEN_AFTER,
    LONGEST_OUTAGE,
    REPORT_COUNTS,
)
from magnoliatrail.clock import Clock
from magnoliatrail.generated.cells import OwnerQuestion, OwnerRow, OwnerStanding

# An owner may go on for so long after an instance told it that the store is away: the
# report's own time, the time for which it counts, and an order's.
DENIAL_COUNTS = REPORT_LIMITS.connect + REPORT_LIMITS.total + REPORT_COUNTS + ORDER_TIME
# An owner may order for so long after the last renewal that others know of.
LONGEST_OWNERSHIP = LEASE + LONGEST_OUTAGE + ORDER_TIME
ASK_AGAIN = timedelta(milliseconds=400)

# Asks the owner that a row names; None if it does not answer.
AskOwner = Callable[[OwnerRow], Awaitable[OwnerStanding | None]]


class Succession:
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
        heard_at: Callable[[], timedelta | None],
        ask: AskOwner,
    ) -> None:
        self.clock = clock
        self.lease = lease
        # When this instance sent the last report that the owner has answered.
        self.heard_at = heard_at
        self.ask = ask
        # When the last owner, which could not be asked, has surely stopped.
        self.orders_from = timedelta()
        # When this instance, or its last run, may have said that the store is away.
        self.denied_at = clock.monotonic()

    def may_order(self, duration: timedelta) -> bool:
        """Return whether an order that takes this long may be given."""
        if self.clock.monotonic() < self.orders_from:
            return False
        return self.lease.may_order(duration)

    async def may_claim(self) -> bool:
        """Return whether the last owner leaves the lease to others."""
        row = self.lease.row
        self.orders_from = timedelta()
        if row is None or row.released:
            return True
        standing = await self.ask(row)
        if standing is None:
            self.orders_from = self.last_owner_stops_by()
        return standing is None or not standing.orders

    def last_owner_stops_by(self) -> timedelta:
        """Return when an owner that cannot be asked has given its last order."""
        stops_by = self.denied_at + DENIAL_COUNTS
        known_since, heard_at = self.lease.known_since, self.heard_at()
        assert known_since is not None, "a row is read before it is claimed"
        if heard_at is None or known_since - heard_at > FORGOTTEN_AFTER:
            stops_by = max(stops_by, known_since + LONGEST_OWNERSHIP)
        return stops_by

    async def ask_again(self, row: OwnerRow) -> None:
        """Ask the last owner, or its next run, until it says that it has stopped."""
        while self.lease.is_mine and self.clock.monotonic() < self.orders_from:
            standing = await self.ask(row)
            if standing and not standing.orders:
                self.orders_from = timedelta()
                return
            await self.clock.sleep(ASK_AGAIN)

    def answer(self, question: OwnerQuestion) -> OwnerStanding:
        """Say whether this instance still orders; if not, it stops for good."""
        known = question.row_version <= self.lease.row_version
        if self.lease.is_held and known:
            return OwnerStanding(orders=True)
        self.lease.outage.cede()
        return OwnerStanding(orders=False)
