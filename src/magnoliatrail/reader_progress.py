"""Whether a caller reads the answer that waits for it."""

import asyncio
import fcntl
import struct
import termios
from collections.abc import Awaitable
from datetime import timedelta

from tornado.iostream import IOStream

# Servers cut off an answer that stays unread for some seconds, so a caller that reads
# less in this time while more waits for it is closed.
PROGRESS_INTERVAL = timedelta(seconds=10)
MIN_PROGRESS_BYTES = 1024
# How often a caller for whom something waits is looked at.
CHECK_SECONDS = 0.5


class ReaderProgress:
    """Decide from what a caller has received whether it goes on reading.

    It begins when something waits for the caller.
    """

    def __init__(
        self, received: int, now: timedelta, interval: timedelta = PROGRESS_INTERVAL
    ) -> None:
        self.received = received
        self.since = now
        self.interval = interval

    def is_stalled(self, received: int, now: timedelta) -> bool:
        """Return whether the caller read too little in the last interval."""
        if received - self.received >= MIN_PROGRESS_BYTES:
            self.received, self.since = received, now
            return False
        return now - self.since >= self.interval


class ReaderStalled(Exception):  # noqa: N818
    """The caller stopped reading."""


class AnswerWriter:
    """Wait for the writes to one caller, as long as it goes on reading."""

    def __init__(
        self, stream: IOStream, *, interval: timedelta = PROGRESS_INTERVAL
    ) -> None:
        self.stream = stream
        self.interval = interval
        # Set while something waits for the caller.
        self.progress: ReaderProgress | None = None

    async def wait(self, written: Awaitable[None]) -> None:
        """Wait for a write; raises ReaderStalled, and what the write raises."""
        future = asyncio.ensure_future(written)
        if future.done():
            self.progress = None
        while not future.done():
            self.check()
            await asyncio.wait({future}, timeout=CHECK_SECONDS)
        future.result()

    def check(self) -> None:
        """Raise ReaderStalled if the caller reads too little of what waits for it."""
        now = timedelta(seconds=asyncio.get_running_loop().time())
        received = received_bytes(self.stream)
        if self.progress is None:
            self.progress = ReaderProgress(received, now, self.interval)
        elif self.progress.is_stalled(received, now):
            raise ReaderStalled("the caller stopped reading")


def received_bytes(stream: IOStream) -> int:
    """Return how many bytes the peer's machine has acknowledged."""
    return stream._total_write_done_index - unacknowledged_bytes(stream)


def unacknowledged_bytes(stream: IOStream) -> int:
    """Return how many bytes are in the kernel's queue of a connection."""
    if stream.closed():
        return 0
    try:
        found = fcntl.ioctl(
            stream.socket.fileno(), termios.TIOCOUTQ, struct.pack("i", 0)
        )
    except OSError:
        # Without it, progress is what the kernel has taken.
        return 0
    size: int = struct.unpack("i", found)[0]
    return size
