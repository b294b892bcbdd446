"""What reads of the store, and updates of other instances, prove of a table.

A table of age t has all changes that the store had acknowledged t ago. It is dated by

- a read of all changes after its version, or of the whole table, from when it was sent;
- an update with all changes after its version, from when its sender's table was dated.

Rows that come otherwise are applied, and date nothing. A server that a table of age t
lists as ready has therefore not left more than t ago, with two exceptions: a departure
that a whole read no longer shows, until another instance has passed it on, and a server
whose row may have lapsed in an outage of the store, for a grace after its return.
"""

from dataclasses import dataclass
from datetime import timedelta

from magnoliatrail.membership.table_view import TableView
from magnoliatrail.platform.rows import RowsRead
from magnoliatrail.platform.store_versions import era_of

# A store without a successful read for this long may have dropped running servers.
STORE_OUTAGE_THRESHOLD = timedelta(seconds=1.8)


@dataclass(frozen=True, slots=True)
class Evidence:
    """What is known of rows beside when they were complete."""

    # Whether they are all changes since the table's version, or the whole table.
    complete: bool = True
    # Since when their sender has known the table without a gap in which the store may
    # have been away. None for a read of this instance.
    unbroken_since: timedelta | None = None


OWN_READ = Evidence()


@dataclass(frozen=True, slots=True)
class Outage:
    """A time in which the store may have been away, or in which it was restored."""

    # When the table was last complete before it; None if the store was restored.
    began: timedelta | None
    # When the store was first read again.
    ended: timedelta


def outage_before(
    table: TableView, read: RowsRead, at: timedelta, evidence: Evidence
) -> Outage | None:
    """Return the outage of the store that rows complete at a time come after.

    Updates that are only late are no sign of one, nor is a read that failed here while
    the sender of the rows could read the store all the time.
    """
    since = evidence.unbroken_since
    known_at, failed_at = table.fresh_at, table.failed_at
    if table.version and era_of(read.version) > era_of(table.version):
        return Outage(None, at if since is None else since)
    if known_at is None or failed_at is None or failed_at < known_at:
        return None
    if at - known_at <= STORE_OUTAGE_THRESHOLD:
        return None
    if since is None:
        return Outage(known_at, at)
    return Outage(known_at, since) if since > known_at else None


def unbroken_since(
    table: TableView, at: timedelta, evidence: Evidence, outage: Outage | None
) -> timedelta:
    """Return since when a table is known without a gap, once rows are applied."""
    since, known_at = evidence.unbroken_since, table.fresh_at
    before = table.unbroken_since
    if since is not None:
        overlaps = before is not None and known_at is not None and since <= known_at
        return min(since, before) if overlaps and before is not None else since
    if outage is not None or known_at is None or before is None:
        return at
    return at if at - known_at > STORE_OUTAGE_THRESHOLD else before
