"""Arrival times of the events of a stream."""

from datetime import timedelta

# Fewer pauses don't show which one is usual.
MIN_PAUSES = 4


class EventTimes:
    """Track the time to the first event and the pauses of a stream."""

    def __init__(self, sent_at: timedelta) -> None:
        self.sent_at = sent_at
        self.last_at: timedelta | None = None
        # Time from the request to its first event.
        self.first: timedelta | None = None
        self.longest_pause = timedelta()
        self.pauses: list[timedelta] = []

    def record(self, now: timedelta) -> None:
        """Record the arrival of events."""
        if self.last_at is None:
            self.first = now - self.sent_at
        else:
            pause = now - self.last_at
            self.longest_pause = max(self.longest_pause, pause)
            self.pauses.append(pause)
        self.last_at = now

    @property
    def duration(self) -> timedelta:
        """Return the time between the first and the last event."""
        if self.first is None or self.last_at is None:
            return timedelta()
        return self.last_at - self.sent_at - self.first

    @property
    def usual_pause(self) -> timedelta:
        """Return the lower quartile of the pauses, 0 if there are few.

        The other pauses include the prefill of other requests.
        """
        if len(self.pauses) < MIN_PAUSES:
            return timedelta()
        return sorted(self.pauses)[len(self.pauses) // 4]
