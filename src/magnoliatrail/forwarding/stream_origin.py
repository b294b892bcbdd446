"""What is known about the origin of a stream that a caller resumes."""

import asyncio
from contextlib import suppress
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from magnoliatrail.membership.stream_records import StreamSoftware

# In place of the version where streams of several services or versions have one name.
AMBIGUOUS = ""
AMBIGUOUS_SOFTWARE = StreamSoftware(AMBIGUOUS)


class VersionSource(Enum):
    """How the version that began a stream is known."""

    RECORDED = "recorded"
    INSTANCE = "instance"
    STORE = "store"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class RecordedStream:
    """The software that began a stream, and the instance that relayed it."""

    software: StreamSoftware
    instance: str
    at: timedelta


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """What is known about the begin of a stream that a request resumes."""

    source: VersionSource
    # Its version is AMBIGUOUS if it cannot be known.
    software: StreamSoftware = AMBIGUOUS_SOFTWARE
    # The instance that relayed the stream, empty if it is not known.
    instance: str = ""
    # Address of the instance that remembered it, or name of the one that wrote it.
    informant: str = ""
    age: timedelta = timedelta()


UNKNOWN_ORIGIN = StreamOrigin(VersionSource.UNKNOWN)


async def first_found(
    questions: set[asyncio.Task[StreamOrigin | None]], patience: timedelta
) -> StreamOrigin | None:
    """Return the first answer that knows a stream, None if none does in time.

    An answer without the service counts only if no other one has it in time.
    """
    found = None
    with suppress(TimeoutError):
        async with asyncio.timeout(patience.total_seconds()):
            for answered in asyncio.as_completed(questions):
                origin = await answered
                if origin is None:
                    continue
                if origin.software.service or not origin.software.version:
                    return origin
                found = found or origin
    return found
