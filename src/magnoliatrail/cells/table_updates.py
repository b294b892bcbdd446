"""Table updates of the store that an owner passes on to other instances."""

from dataclasses import dataclass
from datetime import timedelta

from magnoliatrail.clock import Clock
from magnoliatrail.generated.cells import RowUpdate, TableUpdate
from magnoliatrail.membership.fleet_view import FleetView
from magnoliatrail.metrics import Metrics
from magnoliatrail.platform.rows import RowsRead, StoredRow

# Maps each byte to one character, so that undecodable rows pass through unchanged.
BYTE_ENCODING = "latin-1"


@dataclass(frozen=True, slots=True)
class TableUpdateSender:
    """Make the table updates for other instances."""

    view: FleetView
    clock: Clock
    metrics: Metrics

    def since(self, versions: dict[str, int]) -> list[TableUpdate]:
        """Return the table updates since the versions that a peer has."""
        now = self.clock.monotonic()
        found = []
        for name, table in self.view.tables.items():
            if table.fresh_at is None:
                continue
            read = table.since(versions.get(name, 0))
            age = table.age(now).total_seconds() * 1000
            rows = [row_update(row) for row in read.rows]
            sent = sum(len(row.value) for row in rows)
            if sent:
                self.metrics.count("table_updates.bytes", sent)
            found.append(
                TableUpdate(table=name, version=read.version, age_ms=age, rows=rows)
            )
        return found


def row_update(row: StoredRow) -> RowUpdate:
    """Convert a stored row to its message form."""
    value = "" if row.value is None else row.value.decode(BYTE_ENCODING)
    return RowUpdate(
        key=row.key, version=row.version, value=value, removed=row.value is None
    )


def apply_updates(
    view: FleetView, updates: list[TableUpdate], requested_at: timedelta, source: str
) -> None:
    """Apply a peer's table updates, dated back to when they were requested."""
    for table in updates:
        if table.table not in view.tables:
            continue
        rows = tuple(stored_row(row) for row in table.rows)
        read = RowsRead(rows, table.version, whole=False)
        known_at = requested_at - timedelta(milliseconds=table.age_ms)
        # An older version doesn't show how fresh the newer local one is.
        if table.version >= view.tables[table.table].version:
            view.apply(table.table, read, known_at, source)


def stored_row(row: RowUpdate) -> StoredRow:
    """Convert a row from its message form."""
    value = None if row.removed else row.value.encode(BYTE_ENCODING)
    return StoredRow(row.key, row.version, value)
