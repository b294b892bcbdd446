"""What one instance knows of one table of the store, never going back."""

from collections.abc import Iterable
from datetime import timedelta

from magnoliatrail.platform.rows import RowsRead, StoredRow


class TableView:
    """Keep the newest version of every row, whatever it was learned from."""

    def __init__(self) -> None:
        self.rows: dict[str, StoredRow] = {}
        # Everything up to this version of the store is known.
        self.version = 0
        # Version at which a row last changed in what others must know, if it is told.
        self.changed_at: dict[str, int] = {}
        # When what is known was surely all there was; None before the first read.
        self.fresh_at: timedelta | None = None
        # When the store last failed a read of the table here.
        self.failed_at: timedelta | None = None

    def age(self, now: timedelta) -> timedelta:
        """Return how old the knowledge is at most."""
        return timedelta.max if self.fresh_at is None else now - self.fresh_at

    def apply(self, read: RowsRead, asked_at: timedelta) -> list[StoredRow]:
        """Take rows in and return those that are news."""
        updates = [row for row in read.rows if self.is_newer(row)]
        if read.whole:
            listed = {row.key for row in read.rows}
            updates.extend(self.removals(listed, read.version))
        for row in updates:
            self.rows[row.key] = row
        self.version = max(self.version, read.version)
        if self.fresh_at is None or asked_at > self.fresh_at:
            self.fresh_at = asked_at
        return updates

    def is_newer(self, row: StoredRow) -> bool:
        """Return whether a row is newer than what is known of it."""
        known = self.rows.get(row.key)
        return known is None or row.version > known.version

    def removals(self, listed: set[str], version: int) -> Iterable[StoredRow]:
        """Return marks for known rows that a whole read no longer has."""
        for key, row in self.rows.items():
            if key not in listed and row.value is not None and row.version <= version:
                yield StoredRow(key, version, None)

    def since(self, version: int) -> RowsRead:
        """Return what changed after a version, for a peer that knows up to there.

        Rows of which only their writer's counters changed are left out.
        """
        rows = [
            row
            for row in self.rows.values()
            if row.version > version
            and self.changed_at.get(row.key, row.version) > version
        ]
        return RowsRead(tuple(rows), self.version, whole=False)
