"""Arrival times of the events of a stream."""

from datetime import timedelta


class EventTimes:
    """Track the time to the first event and the longest pause of a stream."""

    def __init__(self, sent_at: timedelta) -> None:
        self.sent_at = sent_at
        self.last_at: timedelta | None = None
        # Time from the request to its first event.
        self.first: timedelta | None = None
        self.longest_pause = timedelta()

    def record(self, now: timedelta) -> None:
        """Record the arrival of events."""
        if self.last_at is None:
            self.first = now - self.sent_at
        else:
            self.longest_pause = max(self.longest_pause, now - self.last_at)
        self.last_at = now
