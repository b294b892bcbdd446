"""Run one instance and count its network bytes for each pair of ports.

On SIGUSR1, write the counts as JSON to the file that COUNTS_FILE names.
"""

import os
import signal
from collections import Counter
from pathlib import Path
from typing import Any

import msgspec
from tornado.iostream import IOStream

from magnoliatrail.cli.main import main

counts: Counter[tuple[int, int]] = Counter()
original_read = IOStream.read_from_fd
original_write = IOStream.write_to_fd


def count(stream: IOStream, size: int | None) -> None:
    """Add a transfer to the byte count of the connection's pair of ports."""
    if not size or stream.socket is None:
        return
    try:
        ports = stream.socket.getsockname()[1], stream.socket.getpeername()[1]
    except OSError:
        return
    counts[ports] += size


def read_from_fd(stream: IOStream, buffer: bytearray | memoryview) -> int | None:
    """Read from the socket and count the bytes."""
    size = original_read(stream, buffer)
    count(stream, size)
    return size


def write_to_fd(stream: IOStream, data: memoryview) -> int:
    """Write to the socket and count the bytes."""
    size = original_write(stream, data)
    count(stream, size)
    return size


def write_counts(number: int, frame: Any) -> None:
    """Write the counts atomically, so that no reader sees a partial file."""
    path = Path(os.environ["COUNTS_FILE"])
    rows = [[*ports, size] for ports, size in counts.items()]
    part = path.with_suffix(".part")
    part.write_bytes(msgspec.json.encode(rows))
    part.replace(path)


if __name__ == "__main__":
    IOStream.read_from_fd = read_from_fd  # type: ignore[method-assign]
    IOStream.write_to_fd = write_to_fd  # type: ignore[method-assign]
    signal.signal(signal.SIGUSR1, write_counts)
    main()
