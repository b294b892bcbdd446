"""Which cells coordinate the client accounts, and this instance's part in it."""

from collections.abc import Callable, Iterable, Mapping
from datetime import timedelta

from magnoliatrail.accounts.accounts import ClientAccount
from magnoliatrail.accounts.coordination import Coordinator, Ownership
from magnoliatrail.accounts.coordinator import FRACTION_EXPIRY
from magnoliatrail.accounts.quota_ledger import QuotaTerms
from magnoliatrail.cells.fleet_cells import FleetCells
from magnoliatrail.cells.member import CellMember
from magnoliatrail.ids import AccountName, CellId, InstanceId
from magnoliatrail.membership.fleet_view import FleetView
from magnoliatrail.platform.settings_file import Bounds
from magnoliatrail.rendezvous import ranked

# Listed instances are remembered at this interval; the list itself goes back further.
REMEMBER_INTERVAL = timedelta(seconds=5)


class QuotaCells:
    """Find the coordinators of accounts among the owners of cells."""

    def __init__(
        self, cells: FleetCells, *, listed: Callable[[], Iterable[str]]
    ) -> None:
        self.cells = cells
        # Names of the instances that were listed lately.
        self.listed = listed
        # First choice for each account, and the cells among which it was made.
        self.chosen: dict[AccountName, CellId] = {}
        self.chosen_among: frozenset[CellId] = frozenset()
        # When each instance was last listed.
        self.listed_at: dict[InstanceId, timedelta] = {}
        self.remembered_at: timedelta | None = None

    def coordinator_of(self, account: AccountName) -> Coordinator | None:
        """Return the coordinator of an account, None while no cell is known."""
        members = self.cells.members
        if not members:
            return None
        if self.chosen_among != members.keys():
            self.chosen.clear()
            self.chosen_among = frozenset(members)
        cell = self.chosen.get(account)
        if cell is None:
            cell = self.chosen[account] = CellId(ranked(account, members)[0])
        return coordinator(members[cell])

    def coordinator(self, cell: CellId) -> Coordinator | None:
        """Return the coordinator of a cell's accounts, None for an unknown cell."""
        member = self.cells.members.get(cell)
        return None if member is None else coordinator(member)

    def ownership(self, cell: CellId) -> Ownership | None:
        """Return this instance's ownership of a cell, None if it has none."""
        member = self.cells.members.get(cell)
        if member is None or member.owner is None:
            return None
        return Ownership(
            cell=cell,
            key=member.owner,
            may_grant=member.takeover.may_order(timedelta()),
            # At the first claim of a starting fleet, nobody was granted anything.
            fresh_fleet=self.cells.first_start and member.lease.is_first_claim,
            known=self.possible_holders,
        )

    def possible_holders(self) -> dict[InstanceId, timedelta]:
        """Return the instances that may hold fractions, and when each was last listed.

        An instance that is cut off is listed no more before its fractions end.
        """
        now = self.remembered_at = self.cells.clock.monotonic()
        for name in self.listed():
            self.listed_at[InstanceId(name)] = now
        self.listed_at = {
            name: at
            for name, at in self.listed_at.items()
            if now - at < FRACTION_EXPIRY
        }
        return dict(self.listed_at)

    def ownerships(self) -> list[Ownership]:
        """Return the cells that this instance owns."""
        now = self.cells.clock.monotonic()
        if self.remembered_at is None or now - self.remembered_at >= REMEMBER_INTERVAL:
            self.possible_holders()
        found = map(self.ownership, self.cells.members)
        return [ownership for ownership in found if ownership]


def coordinator(member: CellMember) -> Coordinator:
    """Return the coordinator of a cell's accounts."""
    return Coordinator(member.cell, member.link.address, member.owner is not None)


def client_accounts(view: FleetView) -> Mapping[AccountName, ClientAccount] | None:
    """Return the accounts of the configuration, None without accounts."""
    routes = view.routes
    if routes is None or routes.accounts is None:
        return None
    return routes.accounts.accounts


def quota_terms(bounds: Bounds) -> QuotaTerms:
    """Return the terms of the settings by which quotas are judged."""
    return QuotaTerms(bounds.quota_window, bounds.quota_overage, bounds.quota_slack)
