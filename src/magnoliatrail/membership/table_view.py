"""One instance's view of one table of the store; versions never decrease."""

from collections import defaultdict, deque
from collections.abc import Iterable
from datetime import timedelta

from magnoliatrail.platform.rows import RowsRead, StoredRow
from magnoliatrail.platform.store_versions import era_of

# Values from this size on are sent to peers in a compact form.
LARGE_VALUE_BYTES = 2048
# Earlier values of a large row to keep, as the base of differences.
MAX_EARLIER_VALUES = 8
# Gaps to tell apart in what is known of a table.
MAX_GAPS = 8


class TableView:
    """The newest version of every row, from any source."""

    def __init__(self) -> None:
        self.rows: dict[str, StoredRow] = {}
        # The view includes all changes up to this version of the store.
        self.version = 0
        # Versions before and after whole reads, between which what was written and
        # removed again is not known here.
        self.gaps: list[tuple[int, int]] = []
        # When this instance learned of that version.
        self.learned_at = timedelta()
        # Version at which a row last changed in fields that peers need, where tracked.
        self.changed_at: dict[str, int] = {}
        # Versions of the rows with a large value.
        self.large_rows: dict[str, int] = {}
        # The last values that large rows had before.
        self.earlier: dict[str, deque[StoredRow]] = defaultdict(
            lambda: deque(maxlen=MAX_EARLIER_VALUES)
        )
        # When the view was last certain to be complete; None before the first read.
        self.fresh_at: timedelta | None = None
        # Whose read or update showed that; a name in the log.
        self.dated_by = ""
        # Since when the view has been known without a gap in which the store may have
        # been away.
        self.unbroken_since: timedelta | None = None
        # When this instance last failed to read the table from the store.
        self.failed_at: timedelta | None = None

    def age(self, now: timedelta) -> timedelta:
        """Return the greatest possible age of the view."""
        return timedelta.max if self.fresh_at is None else now - self.fresh_at

    def apply(self, read: RowsRead, asked_at: timedelta) -> list[StoredRow]:
        """Apply rows that were complete at a time, and return those that were newer."""
        updates = self.updates_in(read)
        self.record(read, updates, asked_at, source="")
        return updates

    def updates_in(self, read: RowsRead) -> list[StoredRow]:
        """Return the rows of a read that are newer than the known ones.

        What was read before the store came back from a copy changes nothing.
        """
        if era_of(read.version) < era_of(self.version):
            return []
        # A read may have several versions of a row.
        newest = {
            row.key: row for row in sorted(read.rows, key=lambda row: row.version)
        }
        updates = [row for row in newest.values() if self.is_newer(row)]
        if read.whole:
            updates.extend(self.removals(set(newest), read.version))
        return updates

    def older_in(self, read: RowsRead) -> list[StoredRow]:
        """Return the rows of a read that are older than the known ones, in order."""
        found = [row for row in read.rows if self.is_older(row)]
        return sorted(found, key=lambda row: row.version)

    def is_older(self, row: StoredRow) -> bool:
        """Return whether a newer row than this one is known."""
        known = self.rows.get(row.key)
        return known is not None and row.version < known.version

    def steps_in(self, read: RowsRead, updates: Iterable[StoredRow]) -> list[StoredRow]:
        """Return all newer rows of a read in order, those that it replaces too."""
        newest = {row.key: row for row in updates}
        replaced = [
            row
            for row in read.rows
            if row.key in newest
            and row.version < newest[row.key].version
            and self.is_newer(row)
        ]
        return sorted([*replaced, *newest.values()], key=lambda row: row.version)

    def record(
        self,
        read: RowsRead,
        updates: Iterable[StoredRow],
        asked_at: timedelta,
        *,
        source: str,
        complete: bool = True,
        unbroken_since: timedelta | None = None,
    ) -> None:
        """Record the newer rows of a read, its version, and when it was complete.

        Neither an older version nor rows that may be incomplete show how fresh this
        view is.
        """
        if era_of(read.version) < era_of(self.version):
            return
        for row in updates:
            self.replace(row)
        if read.version < self.version or not complete:
            return
        if read.whole:
            self.record_gap(self.version, read.version)
        self.version = read.version
        if self.fresh_at is None or asked_at > self.fresh_at:
            self.fresh_at, self.dated_by = asked_at, source
            self.unbroken_since = unbroken_since

    def record_gap(self, before: int, after: int) -> None:
        """Record a whole read; the oldest gaps are taken for one if there are many."""
        self.gaps.append((before, after))
        if len(self.gaps) > MAX_GAPS:
            (first, _), (_, last), *rest = self.gaps
            self.gaps = [(first, last), *rest]

    def complete_after(self, version: int) -> int:
        """Return after which version all changes are known here, for a peer's version.

        A peer that had a version before a gap knows no row that is not known here.
        """
        ends = [after for before, after in self.gaps if before < version < after]
        return max(ends, default=version)

    def replace(self, row: StoredRow) -> None:
        """Replace a row, and keep its value if it is large."""
        if row.key in self.large_rows:
            self.earlier[row.key].append(self.rows[row.key])
            del self.large_rows[row.key]
        if row.value is None:
            self.earlier.pop(row.key, None)
        elif len(row.value) >= LARGE_VALUE_BYTES:
            self.large_rows[row.key] = row.version
        self.rows[row.key] = row

    def value_at(self, key: str, version: int) -> bytes | None:
        """Return the value that a large row had at a version, None if it is unknown."""
        known = self.rows.get(key)
        rows = [*self.earlier.get(key, ()), *([known] if known else [])]
        return next((row.value for row in rows if row.version == version), None)

    def is_newer(self, row: StoredRow) -> bool:
        """Return whether a row is newer than the known one.

        One that is not known and not newer than this view was removed before.
        """
        known = self.rows.get(row.key)
        return row.version > (self.version if known is None else known.version)

    def removals(self, listed: set[str], version: int) -> Iterable[StoredRow]:
        """Yield removal marks for known rows that a whole read no longer has."""
        for key, row in self.rows.items():
            if key not in listed and row.value is not None and row.version <= version:
                yield StoredRow(key, version, None)

    def since(self, version: int) -> RowsRead:
        """Return the changes after a version, for a peer that has that version.

        Rows of which only their writer's counters changed are left out.
        """
        rows = [
            row
            for row in self.rows.values()
            if row.version > version
            and self.changed_at.get(row.key, row.version) > version
        ]
        return RowsRead(tuple(rows), self.version, whole=False)
