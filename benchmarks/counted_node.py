"""Run one instance whose bytes are counted for each pair of ports.

At SIGUSR1 the counts are written as JSON to the file that COUNTS_FILE names.
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
    """Add some bytes to the count of a connection's ports."""
    if not size or stream.socket is None:
        return
    try:
        ports = stream.socket.getsockname()[1], stream.socket.getpeername()[1]
    except OSError:
        return
    counts[ports] += size


def read_from_fd(stream: IOStream, buffer: bytearray | memoryview) -> int | None:
    """Read and count."""
    size = original_read(stream, buffer)
    count(stream, size)
    return size


def write_to_fd(stream: IOStream, data: memoryview) -> int:
    """Write and count."""
    size = original_write(stream, data)
    count(stream, size)
    return size


def write_counts(number: int, frame: Any) -> None:
    """Write the counts, whole files only."""
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
