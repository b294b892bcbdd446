"""Which instance coordinates an account, as the cells' leases say."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from magnoliatrail.ids import AccountName, CellId, InstanceId


@dataclass(frozen=True, slots=True)
class Coordinator:
    """The coordinator of the accounts of one cell."""

    cell: CellId
    # Address of its peer listener, empty if it is not known.
    address: str
    # Whether it is this instance itself.
    is_here: bool


@dataclass(frozen=True, slots=True)
class Ownership:
    """The ownership of one cell by this instance."""

    cell: CellId
    # Differs between ownerships, also of the same cell.
    key: object
    # Whether the lease allows it to grant now.
    may_grant: bool
    # Whether no instance can have been granted anything before.
    fresh_fleet: bool
    # Returns the instances that may hold fractions, and when each was last listed.
    known: Callable[[], Mapping[InstanceId, timedelta]]


class QuotaDirectory(Protocol):
    """Finds the coordinators of accounts."""

    def coordinator_of(self, account: AccountName) -> Coordinator | None:
        """Return the coordinator of an account, None while no cell is known."""

    def coordinator(self, cell: CellId) -> Coordinator | None:
        """Return the coordinator of a cell's accounts, None for an unknown cell."""

    def ownership(self, cell: CellId) -> Ownership | None:
        """Return this instance's ownership of a cell, None if it has none."""

    def ownerships(self) -> list[Ownership]:
        """Return the cells that this instance owns."""
