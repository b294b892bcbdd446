"""Records in the store of which software began which streams.

They outlive a restart of all instances. Each write adds a row and changes none, so a
write that the store carries out late, or twice, does no harm.
"""

import asyncio
import hashlib
import random
from base64 import urlsafe_b64encode
from collections import defaultdict, deque
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta
from itertools import islice

from expression import Error, Ok, Result
from msgspec import UNSET

from magnoliatrail.clock import Clock
from magnoliatrail.errors import ErrorKind, Failure
from magnoliatrail.generated.cells import (
    BegunStream,
    StreamRecordRow,
    StreamsOfVersion,
)
from magnoliatrail.ids import Incarnation, InstanceId
from magnoliatrail.logs import EventLog
from magnoliatrail.metrics import Metrics
from magnoliatrail.platform.protocol import STREAMS_TABLE
from magnoliatrail.platform.rows import RowRemoval, RowsRead, RowStore, RowWrite
from magnoliatrail.platform.store_versions import era_of
from magnoliatrail.wire import decode, encode

log = EventLog("membership")

# No caller resumes a stream that began longer ago.
STREAM_LIFETIME = timedelta(seconds=60)
MAX_STREAMS = 50_000
# Streams that begin within this time before all instances end may go unrecorded.
WRITE_INTERVAL = timedelta(milliseconds=50)
# Delays between attempts while the store cannot be written, doubled each time.
MIN_RETRY_DELAY = timedelta(milliseconds=300)
MAX_RETRY_DELAY = timedelta(seconds=5)
RESTORATION_CHECK_INTERVAL = timedelta(seconds=1)
# Reads that requests for unknown streams cause begin no faster than this.
READ_INTERVAL = timedelta(milliseconds=100)
# Keeps the leases, which are in another part, from waiting for these writes.
PART = "streams"
# Keeps the value of a row well under the store's limit of 64 KB.
MAX_STREAMS_A_ROW = 2_000
MAX_SOFTWARE_A_ROW = 100
# A transaction has at most 100 entries, two of which are the row that it adds.
MAX_REMOVALS = 90
DIGEST_BYTES = 12


@dataclass(frozen=True, slots=True)
class StreamSoftware:
    """The service and the software version of the server that began a stream."""

    version: str
    # Empty if an instance of an earlier release recorded the stream.
    service: str = ""

    def agrees(self, other: "StreamSoftware") -> bool:
        """Return whether both may be records of one stream."""
        services = {self.service, other.service} - {""}
        return self.version == other.version and len(services) <= 1


def common_software(records: Iterable[StreamSoftware]) -> StreamSoftware | None:
    """Return what all records of a name agree on, None if there is nothing."""
    found: StreamSoftware | None = None
    for record in records:
        if found is not None and not found.agrees(record):
            # Streams of several services or versions have one name.
            return None
        if found is None or not found.service:
            found = record
    return found


def software_of(record: BegunStream | StreamsOfVersion) -> StreamSoftware:
    """Return the software in a message or a row."""
    return StreamSoftware(record.software_version, record.service or "")


def digest_of(request: str) -> str:
    """Return the digest by which a row names the request that began a stream."""
    digest = hashlib.blake2b(request.encode(), digest_size=DIGEST_BYTES).digest()
    return urlsafe_b64encode(digest).decode()


def row_of(writer: InstanceId, streams: Iterable[BegunStream]) -> StreamRecordRow:
    """Return the row that records some streams."""
    versions: defaultdict[StreamSoftware, list[str]] = defaultdict(list)
    for stream in streams:
        versions[software_of(stream)].append(digest_of(stream.request))
    return StreamRecordRow(
        writer=writer,
        versions=[
            StreamsOfVersion(
                software_version=software.version,
                streams=digests,
                service=software.service or UNSET,
            )
            for software, digests in versions.items()
        ],
    )


def streams_of_a_row(pending: Iterable[BegunStream]) -> list[BegunStream]:
    """Return the first streams, as many as a row may record."""
    row: list[BegunStream] = []
    software: set[StreamSoftware] = set()
    for stream in islice(pending, MAX_STREAMS_A_ROW):
        software.add(software_of(stream))
        if len(software) > MAX_SOFTWARE_A_ROW:
            break
        row.append(stream)
    return row


class StreamRecordWriter:
    """Write the versions of begun streams to the store, and remove old rows."""

    def __init__(
        self,
        *,
        clock: Clock,
        metrics: Metrics,
        store: RowStore,
        instance: InstanceId,
        incarnation: Incarnation,
        generator: random.Random,
    ) -> None:
        self.clock = clock
        self.generator = generator
        self.metrics = metrics
        self.store = store
        self.instance = instance
        self.incarnation = incarnation
        self.pending: list[BegunStream] = []
        # The streams of the row that is being written.
        self.row: list[BegunStream] = []
        self.wake = asyncio.Event()
        # Whether the last write failed, so that others should write.
        self.failing = False
        self.rows_written = 0
        # What was written within the lifetime of a stream, and when, the oldest first.
        # It is written again if the store comes back from a copy.
        self.written: deque[tuple[timedelta, list[BegunStream]]] = deque()
        self.era = store.era
        # Since when this instance knows each row of the table.
        self.rows: dict[str, timedelta] = {}
        self.listed_at: timedelta | None = None

    def add(self, streams: Iterable[BegunStream]) -> None:
        """Add streams to write."""
        self.pending.extend(streams)
        if len(self.pending) > MAX_STREAMS:
            log.warning("stream_records_dropped", streams=len(self.pending))
            del self.pending[:-MAX_STREAMS]
        self.wake.set()

    async def run(self) -> None:
        """Write what is added, one row at a time, until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.watch_era())
            await self.write_rows()

    async def watch_era(self) -> None:
        """Write again what a restoration removed, also if no stream begins after it."""
        while True:
            await self.clock.sleep(RESTORATION_CHECK_INTERVAL)
            self.forget_ended()
            if self.store.era > self.era and self.written:
                self.wake.set()

    async def write_rows(self) -> None:
        """Write what is added, one row at a time."""
        delay = MIN_RETRY_DELAY
        while True:
            await self.wake.wait()
            if await self.write_row():
                delay = MIN_RETRY_DELAY
                await self.clock.sleep(WRITE_INTERVAL)
            else:
                # All instances may come to write while the store is away.
                await self.clock.sleep(delay * self.generator.uniform(0.5, 1))
                delay = min(delay * 2, MAX_RETRY_DELAY)

    def forget_ended(self) -> None:
        """Forget what was written longer ago than a stream lasts."""
        oldest = self.clock.monotonic() - STREAM_LIFETIME
        while self.written and self.written[0][0] < oldest:
            self.written.popleft()

    async def write_row(self) -> bool:
        """Write the streams that were added as one row; return whether it is written.

        A row keeps its key and its streams until it is written, so a write that was
        carried out without an answer is recognised by the conflict with itself.
        """
        if self.store.era > self.era:
            self.era = self.store.era
            self.forget_ended()
            again = [stream for _, streams in self.written for stream in streams]
            self.pending = [*again, *self.pending]
            self.written.clear()
        if not (self.row or self.pending):
            # What was to be written again has ended meanwhile.
            self.wake.clear()
            return True
        if not self.row:
            self.row = streams_of_a_row(self.pending)
            del self.pending[: len(self.row)]
        key = f"{self.incarnation}.{self.rows_written}"
        value = encode(row_of(self.instance, self.row))
        write = RowWrite(STREAMS_TABLE, key, value, expected=0, part=PART)
        removed = self.expired_rows()
        removals = [RowRemoval(STREAMS_TABLE, item, PART) for item in removed]
        match await self.store.commit([write], removals=removals):
            case Result(tag="error", error=failure) if (
                failure.kind is not ErrorKind.CONFLICT
            ):
                self.record_failure(failure.message)
                return False
        if self.failing:
            log.info("stream_records_writable")
        self.failing = False
        self.metrics.count("stream_records", len(self.row))
        now = self.clock.monotonic()
        self.written.append((now, self.row))
        self.forget_ended()
        self.row = []
        self.rows_written += 1
        self.rows[key] = now
        for item in removed:
            del self.rows[item]
        if not self.pending:
            self.wake.clear()
        await self.list_rows()
        return True

    def expired_rows(self) -> list[str]:
        """Return the rows that only name streams that have ended."""
        oldest = self.clock.monotonic() - STREAM_LIFETIME
        return [key for key, since in self.rows.items() if since < oldest][
            :MAX_REMOVALS
        ]

    async def list_rows(self) -> None:
        """Find the rows that writers left which are gone, once in a lifetime."""
        now = self.clock.monotonic()
        if self.listed_at is not None and now - self.listed_at < STREAM_LIFETIME:
            return
        match await self.store.read(STREAMS_TABLE, PART):
            case Result(tag="ok", ok=read):
                self.listed_at = now
                listed = {row.key for row in read.rows}
                self.rows = {key: self.rows.get(key, now) for key in listed}
            case Result(error=failure):
                log.info("stream_records_unreadable", reason=failure.message)

    def record_failure(self, reason: str) -> None:
        """Record, and log once, that the streams cannot be written."""
        if not self.failing:
            log.warning(
                "stream_records_unwritten",
                streams=len(self.row) + len(self.pending),
                reason=reason,
            )
        self.failing = True


class StreamRecordReader:
    """Find the recorded software of a stream in the store."""

    def __init__(self, store: RowStore, clock: Clock) -> None:
        self.store = store
        self.clock = clock
        # The rows of the table, complete up to a version of the store, and from them
        # the writer of each stream's record by digest and software.
        self.rows: dict[str, StreamRecordRow] = {}
        self.streams: defaultdict[str, dict[StreamSoftware, str]] = defaultdict(dict)
        self.version = 0
        self.reading: asyncio.Task[Result[None, Failure]] | None = None
        # When the next read may begin.
        self.next_read_at = clock.monotonic()

    async def find(
        self, request: str
    ) -> Result[tuple[StreamSoftware, str] | None, Failure]:
        """Return the software that began a stream and the instance that recorded it.

        None if the store does not have the stream.
        """
        digest = digest_of(request)
        found = self.look_up(digest)
        if found is not None:
            return Ok(found)
        if self.reading is not None and not self.reading.done():
            # It may have begun before the stream was written.
            await asyncio.shield(self.reading)
            found = self.look_up(digest)
            if found is not None:
                return Ok(found)
        read = await self.refresh()
        return read.map(lambda _: self.look_up(digest))

    def look_up(self, digest: str) -> tuple[StreamSoftware, str] | None:
        """Return the software and the writer of a stream in the rows that are known."""
        found = self.streams.get(digest, {})
        software = common_software(found)
        return (software, found[software]) if software is not None else None

    async def refresh(self) -> Result[None, Failure]:
        """Wait for the read in progress, or else for a new one."""
        if self.reading is None or self.reading.done():
            self.reading = asyncio.create_task(self.read())
        return await asyncio.shield(self.reading)

    async def read(self) -> Result[None, Failure]:
        """Read the changes of the table, or all of it."""
        wait = self.next_read_at - self.clock.monotonic()
        if wait > timedelta():
            await self.clock.sleep(wait)
        self.next_read_at = self.clock.monotonic() + READ_INTERVAL
        if self.version:
            match await self.store.changes(STREAMS_TABLE, self.version, timedelta()):
                case Result(tag="ok", ok=RowsRead() as changes):
                    self.apply(changes)
                    return Ok(None)
                case Result(tag="error", error=failure):
                    return Error(failure)
        match await self.store.read(STREAMS_TABLE, PART):
            case Result(tag="ok", ok=read):
                self.apply(read)
                return Ok(None)
            case Result(error=failure):
                return Error(failure)

    def apply(self, read: RowsRead) -> None:
        """Apply rows, unless they were read before the store was restored."""
        if era_of(read.version) < era_of(self.version):
            return
        if read.whole:
            self.rows.clear()
            self.streams.clear()
        for row in read.rows:
            self.remove(row.key)
            if row.value is not None:
                self.add(row.key, row.value)
        self.version = max(self.version, read.version)

    def add(self, key: str, value: bytes) -> None:
        """Add the streams of a row."""
        match decode(value, StreamRecordRow):
            case Result(tag="ok", ok=row):
                self.rows[key] = row
                for version in row.versions:
                    for digest in version.streams:
                        self.streams[digest][software_of(version)] = row.writer
            case Result(error=failure):
                log.warning("row_unreadable", key=key, reason=failure.message)

    def remove(self, key: str) -> None:
        """Remove the streams of a row, if it is known."""
        row = self.rows.pop(key, None)
        for version in row.versions if row else []:
            for digest in version.streams:
                self.streams[digest].pop(software_of(version), None)
                if not self.streams[digest]:
                    del self.streams[digest]
