"""News of the store's tables, passed on from the owner to other instances."""

from datetime import timedelta

from magnoliatrail.clock import Clock
from magnoliatrail.generated.cells import RowUpdate, TableUpdate
from magnoliatrail.membership.fleet_view import FleetView
from magnoliatrail.platform.rows import RowsRead, StoredRow

# One character a byte, so that rows nobody can read are passed on as they are.
BYTE_ENCODING = "latin-1"


def updates_since(
    view: FleetView, versions: dict[str, int], clock: Clock
) -> list[TableUpdate]:
    """Return what changed since the versions that a peer knows."""
    now = clock.monotonic()
    found = []
    for name, table in view.tables.items():
        if table.fresh_at is None:
            continue
        read = table.since(versions.get(name, 0))
        age = table.age(now).total_seconds() * 1000
        rows = [row_update(row) for row in read.rows]
        found.append(
            TableUpdate(table=name, version=read.version, age_ms=age, rows=rows)
        )
    return found


def row_update(row: StoredRow) -> RowUpdate:
    """Return a row as it is passed on."""
    value = "" if row.value is None else row.value.decode(BYTE_ENCODING)
    return RowUpdate(
        key=row.key, version=row.version, value=value, removed=row.value is None
    )


def apply_updates(
    view: FleetView, news: list[TableUpdate], asked_at: timedelta, source: str
) -> None:
    """Take in what a peer knows, as of when it was asked."""
    for table in news:
        if table.table not in view.tables:
            continue
        rows = tuple(stored_row(row) for row in table.rows)
        read = RowsRead(rows, table.version, whole=False)
        known_at = asked_at - timedelta(milliseconds=table.age_ms)
        # A peer that knows less than this instance cannot vouch for freshness.
        if table.version >= view.tables[table.table].version:
            view.take(table.table, read, known_at, source)


def stored_row(row: RowUpdate) -> StoredRow:
    """Return a row that was passed on."""
    value = None if row.removed else row.value.encode(BYTE_ENCODING)
    return StoredRow(row.key, row.version, value)
