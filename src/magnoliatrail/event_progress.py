"""Whether a stream of events makes progress: it completes events, however slowly."""

import re
from dataclasses import dataclass
from datetime import timedelta

# A blank line ends an event; lines end with LF, CRLF or CR.
EVENT_END = re.compile(rb"\n\n|\n\r\n|\r\r")
# A block without such a line is a comment, and no event.
DATA_LINE = re.compile(rb"[\r\n]data(?=[:\r\n])")
# The longest start of a data line that a read can end with.
KEPT_BYTES = len(b"\ndata")
LATER_EVENT_TIME = timedelta(seconds=10)
LATER_EVENT_PAUSES = 10


@dataclass(frozen=True, slots=True)
class EventLimits:
    """How long an event may take from its first byte to its end."""

    first: timedelta
    later: timedelta


def event_limits(first_event_timeout: timedelta, pause_goal: timedelta) -> EventLimits:
    """Return the limits for the streams of a route."""
    return EventLimits(
        first=first_event_timeout,
        later=LATER_EVENT_TIME + LATER_EVENT_PAUSES * pause_goal,
    )


class EventProgress:
    """Follow the events of one stream, and tell when an event takes too long.

    The time of an event begins with its first byte, so that a stream may pause between
    events. Comments between two events count as bytes of the second one.
    """

    def __init__(self, limits: EventLimits) -> None:
        self.limits = limits
        self.completed = 0
        self.unfinished_since: timedelta | None = None
        # Whether the current block has a data line.
        self.has_data = False
        self.last_bytes = b"\n"

    def feed(self, data: bytes, now: timedelta) -> bool:
        """Follow the bytes of one read; return whether the stream is stalled."""
        text = self.last_bytes + data
        self.last_bytes = text[-KEPT_BYTES:]
        start = 0
        if not self.has_data:
            line = DATA_LINE.search(text)
            self.has_data = line is not None
            start = line.end() if line else 0
        end = EVENT_END.search(text, start) if self.has_data else None
        if end is not None:
            self.completed += 1
            rest = end.end()
            while (later := EVENT_END.search(text, rest)) is not None:
                rest = later.end()
            self.has_data = DATA_LINE.search(text, rest - 1) is not None
            self.unfinished_since = now if rest < len(text) else None
            return False
        if self.unfinished_since is None:
            self.unfinished_since = now
        limit = self.limits.later if self.completed else self.limits.first
        return now - self.unfinished_since > limit
