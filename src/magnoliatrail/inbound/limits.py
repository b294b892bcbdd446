"""Limits on what the clients of one listener may hold and how long they may take."""

from dataclasses import dataclass
from datetime import timedelta

# Descriptors that are kept for files.
FILE_DESCRIPTORS = 200
DEFAULT_BODY_BYTES = 4 * 1024 * 1024
DEFAULT_HEADER_BYTES = 16 * 1024
MAX_HEADER_FIELDS = 128

# A body must bring as much in each interval; a smaller one has twice as long.
PROGRESS_BYTES = 5 * 1024
PROGRESS_INTERVAL = timedelta(seconds=5)
SMALL_BODY_TIMEOUT = timedelta(seconds=10)
BODY_TIMEOUT = timedelta(minutes=10)


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """The limits on each connection of a listener."""

    header_bytes: int = DEFAULT_HEADER_BYTES
    header_fields: int = MAX_HEADER_FIELDS
    body_bytes: int = DEFAULT_BODY_BYTES
    # From the first byte of a head until it is complete.
    header_timeout: timedelta = timedelta(seconds=6)
    # From the end of a request until the first byte of the next.
    idle_timeout: timedelta = timedelta(seconds=18.75)
    # From the end of a request until its answer is written; None where the answer
    # bounds its own time.
    answer_timeout: timedelta | None = None


# The readiness and metrics addresses take short requests without a body, and give
# answers of some kilobytes.
TEXT_LIMITS = ClientLimits(
    header_bytes=4096,
    body_bytes=0,
    header_timeout=timedelta(seconds=2),
    idle_timeout=timedelta(seconds=5),
    answer_timeout=timedelta(seconds=5),
)
MAX_TEXT_CONNECTIONS = 64


def max_caller_connections(*, file_descriptors: int, memory_mb: float) -> int:
    """Return how many connections callers may have."""
    return max_connections(file_descriptors, 0.6, memory_mb, 8)


def max_peer_connections(*, file_descriptors: int, memory_mb: float) -> int:
    """Return how many connections other instances may have."""
    return max_connections(file_descriptors, 0.2, memory_mb, 4)


def max_connections(
    file_descriptors: int, share: float, memory_mb: float, per_mb: int
) -> int:
    """Return the smaller limit of descriptors and memory, at least 1."""
    by_descriptors = int((file_descriptors - FILE_DESCRIPTORS) * share)
    return max(1, min(by_descriptors, int(memory_mb * per_mb)))
