"""Table updates of the store that an owner passes on to other instances.

Large rows are sent as the difference from the version that the receiver holds, or
compressed, so that a change costs the links of a large fleet little.
"""

import binascii
import zlib
from base64 import b64decode, b64encode
from collections import OrderedDict
from datetime import timedelta

from expression import Error, Ok, Result
from msgspec import UNSET, UnsetType

from magnoliatrail.cells.server_departures import apply_departures, departures_of
from magnoliatrail.cells.value_differences import (
    BYTE_ENCODING,
    apply_difference,
    difference_of,
)
from magnoliatrail.clock import Clock
from magnoliatrail.errors import ErrorKind, Failure
from magnoliatrail.generated.cells import (
    InstanceReport,
    RowUpdate,
    TableEvidence,
    TableUpdate,
)
from magnoliatrail.logs import EventLog
from magnoliatrail.membership.evidence import Evidence
from magnoliatrail.membership.fleet_view import FleetView
from magnoliatrail.membership.table_view import LARGE_VALUE_BYTES, TableView
from magnoliatrail.metrics import Metrics
from magnoliatrail.platform.protocol import OPERATOR_TABLE, SERVERS_TABLE
from magnoliatrail.platform.rows import RowsRead, StoredRow

log = EventLog("cells")

# Encoded rows to keep: most instances hold one of the last few versions.
MAX_ENCODED_ROWS = 16
# Bound on the decompressed size of a row.
MAX_VALUE_BYTES = 16 * 1024 * 1024

# Share of the link that large updates may use, and how much of it may be queued.
LARGE_MESSAGE_SHARE = 0.8
MAX_QUEUED = timedelta(milliseconds=100)
BYTES_PER_MEGABIT = 125_000
# Updates up to this size are not paced.
SMALL_UPDATE_BYTES = 2048


class LinkPace:
    """Keep large messages from filling a network link."""

    def __init__(self, clock: Clock, link_mbps: float) -> None:
        self.clock = clock
        self.bytes_per_second = link_mbps * BYTES_PER_MEGABIT * LARGE_MESSAGE_SHARE
        # When the messages so far are sent, at the pace.
        self.free_at = timedelta()

    def try_send(self, size: int) -> bool:
        """Count a message if it need not wait for long; return whether it is sent."""
        now = self.clock.monotonic()
        if self.free_at > now + MAX_QUEUED:
            return False
        duration = timedelta(seconds=size / self.bytes_per_second)
        self.free_at = max(now, self.free_at) + duration
        return True


class TableUpdateSender:
    """Make the table updates for other instances."""

    def __init__(
        self, view: FleetView, clock: Clock, metrics: Metrics, *, link_mbps: float
    ) -> None:
        self.view = view
        self.pace = LinkPace(clock, link_mbps)
        self.clock = clock
        self.metrics = metrics
        # Encoded rows by their table, key, version and the version they differ from.
        self.encoded: OrderedDict[tuple[str, str, int, int], RowUpdate] = OrderedDict()

    def since(self, report: InstanceReport) -> list[TableUpdate]:
        """Return the table updates since the versions that an instance reports."""
        now = self.clock.monotonic()
        found = []
        for name, table in self.view.tables.items():
            if table.fresh_at is None:
                continue
            version = report.versions.get(name, 0)
            read = table.since(version)
            age = table.age(now).total_seconds() * 1000
            rows = [self.update_of(name, row, report) for row in read.rows]
            sent = sum(size_of(row) for row in rows)
            if sent > SMALL_UPDATE_BYTES and not self.pace.try_send(sent):
                # The instance's next report gets it; its table keeps its age.
                self.metrics.count("table_updates.postponed")
                continue
            if sent:
                self.metrics.count("table_updates.bytes", sent)
            found.append(
                TableUpdate(
                    table=name,
                    version=read.version,
                    age_ms=age,
                    rows=rows,
                    evidence=evidence_of(self.view, version)
                    if name == SERVERS_TABLE
                    else UNSET,
                )
            )
        return found

    def update_of(
        self, table: str, row: StoredRow, report: InstanceReport
    ) -> RowUpdate:
        """Return a row in the most compact form that an instance can read."""
        held = report.held_rows
        if (
            isinstance(held, UnsetType)
            or row.value is None
            or len(row.value) < LARGE_VALUE_BYTES
        ):
            return whole_update(row)
        base = held.get(row_name(table, row.key), 0)
        name = table, row.key, row.version, base
        if name not in self.encoded:
            earlier = self.view.tables[table].value_at(row.key, base)
            self.encoded[name] = encoded_update(row, row.value, base, earlier)
            if len(self.encoded) > MAX_ENCODED_ROWS:
                self.encoded.popitem(last=False)
        self.encoded.move_to_end(name)
        return self.encoded[name]


class TableUpdateReceiver:
    """Apply the table updates of other instances."""

    def __init__(self, view: FleetView) -> None:
        self.view = view
        # Rows whose last difference did not fit; they are requested in full.
        self.requested_in_full: set[str] = set()
        # Senders whose last update of a table did not have all changes, and the version
        # after which they have them; None if they don't say.
        self.incomplete: dict[tuple[str, str], int | None] = {}

    def held_rows(self) -> dict[str, int]:
        """Return the versions of the large rows held here, for a report."""
        return {
            name: version
            for table_name, table in self.view.tables.items()
            for key, version in table.large_rows.items()
            if (name := row_name(table_name, key)) not in self.requested_in_full
        }

    def apply(
        self, updates: list[TableUpdate], requested_at: timedelta, source: str
    ) -> None:
        """Apply table updates, dated back to when they were requested."""
        for update in updates:
            table = self.view.tables.get(update.table)
            if not isinstance(update.evidence, UnsetType):
                apply_departures(self.view, update.evidence.departures or [], source)
            # An older version doesn't show how fresh the newer local one is.
            if table is None or update.version < table.version:
                continue
            match self.read_of(update, table):
                case Result(tag="ok", ok=read):
                    known_at = requested_at - timedelta(milliseconds=update.age_ms)
                    evidence = self.evidence_in(update, requested_at)
                    self.record_completeness(update, source, complete=evidence.complete)
                    self.view.apply(
                        update.table, read, known_at, source, evidence=evidence
                    )
                case Result(error=failure):
                    # Without all rows, the table keeps its version and its age.
                    log.warning(
                        "table_update_unusable",
                        table=update.table,
                        version=update.version,
                        source=source,
                        reason=failure.message,
                    )

    def evidence_in(self, update: TableUpdate, requested_at: timedelta) -> Evidence:
        """Return what an update proves, dated back to when it was requested."""
        complete = is_complete(update, self.view.tables[update.table])
        if isinstance(update.evidence, UnsetType):
            return Evidence(complete, unbroken_since=None)
        unbroken = timedelta(milliseconds=update.evidence.unbroken_ms)
        return Evidence(complete, unbroken_since=requested_at - unbroken)

    def record_completeness(
        self, update: TableUpdate, source: str, *, complete: bool
    ) -> None:
        """Record, and log once, whether the updates of an instance are complete."""
        sender = update.table, source
        if complete:
            self.incomplete.pop(sender, None)
            return
        evidence = update.evidence
        complete_after = (
            None if isinstance(evidence, UnsetType) else evidence.complete_after
        )
        if sender not in self.incomplete:
            log.info(
                "table_update_incomplete",
                table=update.table,
                version=update.version,
                before=self.view.tables[update.table].version,
                complete_after="" if complete_after is None else complete_after,
                source=source,
            )
        self.incomplete[sender] = complete_after

    def complete_after(self, table: str, source: str) -> int | None:
        """Return after which version an instance has all changes of a table.

        None if its last update had all that are missing here, or if it doesn't say.
        """
        return self.incomplete.get((table, source))

    def read_of(
        self, update: TableUpdate, table: TableView
    ) -> Result[RowsRead, Failure]:
        """Decode all rows of an update."""
        rows = []
        for row in update.rows:
            name = row_name(update.table, row.key)
            match stored_row(row, table):
                case Result(tag="ok", ok=stored):
                    rows.append(stored)
                    self.requested_in_full.discard(name)
                case Result(error=failure):
                    self.requested_in_full.add(name)
                    return Error(failure)
        return Ok(RowsRead(tuple(rows), update.version, whole=is_whole(update)))


def evidence_of(view: FleetView, version: int) -> TableEvidence:
    """Return what an update proves to an instance that has a version of the list."""
    known = view.tables[SERVERS_TABLE]
    since = known.fresh_at if known.unbroken_since is None else known.unbroken_since
    unbroken = timedelta() if since is None else view.clock.monotonic() - since
    return TableEvidence(
        complete_after=known.complete_after(version) if version else 0,
        unbroken_ms=unbroken // timedelta(milliseconds=1),
        departures=departures_of(view) or UNSET,
    )


def is_whole(update: TableUpdate) -> bool:
    """Return whether an update is known to have all rows of its table."""
    evidence = update.evidence
    return not isinstance(evidence, UnsetType) and evidence.complete_after == 0


def is_complete(update: TableUpdate, table: TableView) -> bool:
    """Return whether an update has all changes since a view of its table.

    Rows of the operators are only replaced by newer ones, so that the rows which are
    left have it all.
    """
    if update.table == OPERATOR_TABLE:
        return True
    evidence = update.evidence
    if isinstance(evidence, UnsetType):
        return False
    return evidence.complete_after <= table.version


def row_name(table: str, key: str) -> str:
    """Return the name by which reports list a row."""
    return f"{table}/{key}"


def whole_update(row: StoredRow) -> RowUpdate:
    """Convert a stored row to its message form."""
    value = "" if row.value is None else row.value.decode(BYTE_ENCODING)
    return RowUpdate(
        key=row.key, version=row.version, value=value, removed=row.value is None
    )


def encoded_update(
    row: StoredRow, value: bytes, base: int, earlier: bytes | None
) -> RowUpdate:
    """Convert a large row to the smaller one of its compact forms."""
    compressed = RowUpdate(
        key=row.key,
        version=row.version,
        value="",
        removed=False,
        compressed=b64encode(zlib.compress(value)).decode(),
    )
    if earlier is None:
        return compressed
    difference = RowUpdate(
        key=row.key,
        version=row.version,
        value="",
        removed=False,
        difference=difference_of(base, earlier, value),
    )
    return min(difference, compressed, key=size_of)


def size_of(row: RowUpdate) -> int:
    """Return the bytes of a row's value in the form in which it is sent."""
    if isinstance(row.compressed, str):
        return len(row.compressed)
    if not isinstance(row.difference, UnsetType):
        return sum(len(piece.text) for piece in row.difference.pieces)
    return len(row.value)


def stored_row(row: RowUpdate, table: TableView) -> Result[StoredRow, Failure]:
    """Convert a row from its message form."""
    if row.removed:
        return Ok(StoredRow(row.key, row.version, None))
    if not isinstance(row.difference, UnsetType):
        earlier = table.value_at(row.key, row.difference.base)
        if earlier is None:
            message = f"version {row.difference.base} of {row.key} is not held here"
            return Error(Failure(ErrorKind.MALFORMED_REQUEST, message))
        value = apply_difference(row.difference, earlier)
    elif isinstance(row.compressed, str):
        value = decompress(row.compressed)
    else:
        value = encode_bytes(row.value)
    return value.map(lambda content: StoredRow(row.key, row.version, content))


def encode_bytes(text: str) -> Result[bytes, Failure]:
    """Convert text with one character per byte."""
    try:
        return Ok(text.encode(BYTE_ENCODING))
    except UnicodeEncodeError as error:
        return Error(Failure(ErrorKind.MALFORMED_REQUEST, str(error)))


def decompress(text: str) -> Result[bytes, Failure]:
    """Decompress a value from base64, up to the bound on its size."""
    reader = zlib.decompressobj()
    try:
        value = reader.decompress(b64decode(text, validate=True), MAX_VALUE_BYTES)
    except (binascii.Error, zlib.error) as error:
        return Error(Failure(ErrorKind.MALFORMED_REQUEST, str(error)))
    if not reader.eof:
        message = f"a row is incomplete or has more than {MAX_VALUE_BYTES} bytes"
        return Error(Failure(ErrorKind.MALFORMED_REQUEST, message))
    return Ok(value)
