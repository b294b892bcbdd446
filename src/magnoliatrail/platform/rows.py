"""Client of the platform's versioned row store: read, follow and write tables."""

import base64
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta
from urllib.parse import urlencode

import msgspec
from expression import Error, Ok, Result
from tornado.httputil import HTTPHeaders

from magnoliatrail.connections import ConnectionPool
from magnoliatrail.errors import ErrorKind, Failure
from magnoliatrail.exchange import OutgoingRequest, exchange
from magnoliatrail.logs import EventLog
from magnoliatrail.platform.protocol import STORE_ERA
from magnoliatrail.platform.store_versions import era_of, number_of, version_in_era
from magnoliatrail.wire import JSON_TYPE, CallFailed, CallLimits, decode, encode

log = EventLog("platform")

HTTP_OK = 200
HTTP_GONE = 410
HTTP_CONDITION_FAILED = 412
# Statuses that mean that the store changed nothing.
NOT_COMMITTED_STATUSES = {429, 503}
NO_LONG_POLL = timedelta()
# Versions of the store of which the time is kept at which this instance learned them.
MAX_LEARNED_VERSIONS = 512


@dataclass(frozen=True, slots=True)
class StoredRow:
    """A row at one version of the store; the value is None if it was removed."""

    key: str
    version: int
    value: bytes | None


@dataclass(frozen=True, slots=True)
class RowsRead:
    """Rows of one table, and the store version up to which they are complete."""

    rows: tuple[StoredRow, ...]
    version: int
    # Whether the rows are the whole table or only changes.
    whole: bool


@dataclass(frozen=True, slots=True)
class RowWrite:
    """A conditional write: the row must have version `expected` (0: no row).

    The store carries out the writes to one part of its tables one after the other.
    """

    table: str
    key: str
    value: bytes
    expected: int
    part: str = ""


@dataclass(frozen=True, slots=True)
class RowRemoval:
    """An unconditional removal of a row."""

    table: str
    key: str
    part: str = ""


class WireRow(msgspec.Struct):
    """A row in an answer from the store."""

    key: str
    row_version: int = 0
    value: str = ""
    removed: bool = False


class WireRows(msgspec.Struct):
    """An answer with rows; `row_version` is the store's newest version."""

    rows: list[WireRow] = []
    row_version: int = 0
    has_more: bool = False


class RowStore:
    """Call the store over pooled connections.

    Versions include the era of the store, so that they rise also when the store comes
    back from a copy and gives its own numbers out again.
    """

    def __init__(self, pool: ConnectionPool, address: str, limits: CallLimits) -> None:
        self.pool = pool
        self.address = address
        self.limits = limits
        # The newest era that an answer, or another instance, named.
        self.era = 0
        # The newest versions that answers named, rising, and when they were learned.
        self.learned: deque[tuple[int, timedelta]] = deque(maxlen=MAX_LEARNED_VERSIONS)

    def superseded_at(self, version: int) -> timedelta | None:
        """Return when this instance learned that the store has a newer version.

        None if it has learned of none. A read that gives this version is no newer.
        """
        times = (at for learned, at in self.learned if learned > version)
        return next(times, None)

    def record_version(self, version: int) -> None:
        """Record the store's newest version, as an answer names it."""
        if not self.learned or version > self.learned[-1][0]:
            self.learned.append((version, self.pool.monotonic()))

    def record_era(self, era: int) -> None:
        """Record an era of the store."""
        if era > self.era:
            log.warning("store_restored", era=era, before=self.era)
            self.era = era

    async def read(self, table: str, part: str = "") -> Result[RowsRead, Failure]:
        """Read all rows of one part of a table."""
        rows: list[StoredRow] = []
        version, start = 0, ""
        while True:
            query = {"table": table, "part": part, "from": start}
            match await self.call_store("GET", "/v1/rows-get", query, NO_LONG_POLL):
                case Result(tag="ok", ok=(200, answer)):
                    page = [decode_stored_row(row) for row in answer.rows]
                    if rows and era_of(answer.row_version) != era_of(version):
                        message = "the store was restored while a table was read"
                        return Error(Failure(ErrorKind.TABLE_UNAVAILABLE, message))
                    rows.extend(page)
                    # The table is complete only up to the version of its oldest page.
                    version = min(version or answer.row_version, answer.row_version)
                    if not (answer.has_more and page):
                        return Ok(RowsRead(tuple(rows), version, whole=True))
                    start = page[-1].key + "\0"
                case Result(tag="ok", ok=(status, _)):
                    return Error(unavailable_failure(status))
                case Result(error=failure):
                    return Error(failure)

    async def changes(
        self, table: str, after: int, wait: timedelta
    ) -> Result[RowsRead | None, Failure]:
        """Read the changes after a version; None if that history is not available.

        An answer that lags names an earlier version, and no changes.
        """
        query = {"table": table, "after": str(number_of(after))}
        if wait:
            query["wait_ms"] = str(round(wait.total_seconds() * 1000))
        match await self.call_store("GET", "/v1/rows-feed", query, wait):
            case Result(tag="ok", ok=(200, answer)):
                if era_of(answer.row_version) != era_of(after):
                    return Ok(None)
                rows = tuple(decode_stored_row(row) for row in answer.rows)
                return Ok(RowsRead(rows, answer.row_version, whole=False))
            case Result(tag="ok", ok=(status, _)) if status == HTTP_GONE:
                return Ok(None)
            case Result(tag="ok", ok=(status, _)):
                return Error(unavailable_failure(status))
            case Result(error=failure):
                return Error(failure)

    async def commit(
        self, writes: Sequence[RowWrite], *, removals: Sequence[RowRemoval] = ()
    ) -> Result[int, Failure]:
        """Write and remove rows if all conditions hold, and return the new version.

        Errors: CONFLICT if a condition failed, TABLE_UNAVAILABLE if nothing changed,
        TABLE_OUTCOME_UNKNOWN if the write may have been applied or may still be.
        """
        eras = {era_of(write.expected) for write in writes if number_of(write.expected)}
        if eras - {self.era}:
            message = "the store was restored since the row was read"
            return Error(Failure(ErrorKind.CONFLICT, message))
        body = {
            "precondition": [
                {
                    "table": write.table,
                    "part": write.part,
                    "key": write.key,
                    "row_version": number_of(write.expected),
                }
                for write in writes
            ],
            "writes": [
                {
                    "table": write.table,
                    "part": write.part,
                    "key": write.key,
                    "value": base64.b64encode(write.value).decode(),
                }
                for write in writes
            ],
            "remove": [
                {"table": removal.table, "part": removal.part, "key": removal.key}
                for removal in removals
            ],
        }
        match await self.call_store(
            "POST", "/v1/rows-tx", {}, NO_LONG_POLL, encode(body)
        ):
            case Result(tag="ok", ok=(200, answer)):
                if eras - {era_of(answer.row_version)}:
                    # The condition held by a number that was given out again.
                    message = "the store was restored before the write"
                    return Error(Failure(ErrorKind.TABLE_OUTCOME_UNKNOWN, message))
                return Ok(answer.row_version)
            case Result(tag="ok", ok=(412, _)):
                return Error(Failure(ErrorKind.CONFLICT, "another write came first"))
            case Result(tag="ok", ok=(status, _)) if status in NOT_COMMITTED_STATUSES:
                return Error(unavailable_failure(status))
            case Result(tag="ok", ok=(status, _)):
                message = f"the store answered {status}"
                return Error(Failure(ErrorKind.TABLE_OUTCOME_UNKNOWN, message))
            case Result(error=failure):
                return Error(failure)

    async def call_store(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        wait: timedelta,
        body: bytes = b"",
    ) -> Result[tuple[int, WireRows], Failure]:
        """Make one call on a pooled connection and decode the answer."""
        target = f"{path}?{urlencode(query)}" if query else path
        headers = HTTPHeaders({"Content-Type": JSON_TYPE} if body else {})
        call = OutgoingRequest(method, target, headers, body)
        limits = CallLimits(self.limits.connect, self.limits.total + wait)
        try:
            # Without ids, a refusal that came again would pass for the next answer.
            answer = await exchange(
                self.pool, self.address, call, limits, keep_refused=False
            )
        except CallFailed as error:
            unknown = error.sent and method == "POST"
            kind = (
                ErrorKind.TABLE_OUTCOME_UNKNOWN
                if unknown
                else ErrorKind.TABLE_UNAVAILABLE
            )
            return Error(Failure(kind, str(error)))
        unknown = method == "POST"
        kind = (
            ErrorKind.TABLE_OUTCOME_UNKNOWN if unknown else ErrorKind.TABLE_UNAVAILABLE
        )
        try:
            era = int(answer.headers.get(STORE_ERA, "0"))
        except ValueError as error:
            return Error(Failure(kind, f"unreadable era of the store: {error}"))
        found = WireRows()
        if answer.code in (HTTP_OK, HTTP_CONDITION_FAILED):
            decoded = decode(bytes(answer.body), WireRows)
            if decoded.is_error():
                message = f"unreadable answer of the store: {decoded.error.message}"
                return Error(Failure(kind, message))
            found = decoded.ok
        if era < self.era:
            message = f"an answer of era {era} came after the store was restored"
            return Error(Failure(kind, message))
        self.record_era(era)
        found = in_era(found, era)
        self.record_version(found.row_version)
        return Ok((answer.code, found))


def in_era(answer: WireRows, era: int) -> WireRows:
    """Return an answer with its versions extended by the store's era."""
    answer.row_version = version_in_era(era, answer.row_version)
    for row in answer.rows:
        row.row_version = version_in_era(era, row.row_version)
    return answer


def decode_stored_row(row: WireRow) -> StoredRow:
    """Decode the value of a row; a value that is not base64 stays as sent."""
    if row.removed:
        return StoredRow(row.key, row.row_version, None)
    try:
        value = base64.b64decode(row.value, validate=True)
    except ValueError:
        value = row.value.encode()
    return StoredRow(row.key, row.row_version, value)


def unavailable_failure(status: int) -> Failure:
    """Return the failure for a call that changed nothing in the store."""
    return Failure(ErrorKind.TABLE_UNAVAILABLE, f"the store answered {status}")
