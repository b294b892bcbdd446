"""Pacing of requests to a server that names a limit of requests a second."""

from collections.abc import Collection
from dataclasses import dataclass
from datetime import timedelta

from magnoliatrail.rendezvous import ranked

# Requests that may be sent at once after a pause, as a share of a second's.
BURST_SECONDS = 0.25


@dataclass(slots=True)
class RequestPace:
    """A token bucket for the requests to one server, empty at first."""

    updated_at: timedelta
    tokens: float = 0.0

    def may_send(self, per_second: float, now: timedelta) -> bool:
        """Return whether a request may be sent now."""
        self.refill(per_second, now)
        return self.tokens >= 1.0

    def record_sent(self, per_second: float, now: timedelta) -> None:
        """Record that a request is sent now."""
        self.refill(per_second, now)
        self.tokens -= 1.0

    def refill(self, per_second: float, now: timedelta) -> None:
        """Add the tokens for the time that passed."""
        added = (now - self.updated_at).total_seconds() * per_second
        burst = max(1.0, per_second * BURST_SECONDS)
        self.tokens = min(burst, self.tokens + added)
        self.updated_at = now

    def time_until_token(self, per_second: float, now: timedelta) -> timedelta:
        """Return the time until a request may be sent, one minute at most."""
        self.refill(per_second, now)
        longest = timedelta(minutes=1)
        missing = max(0.0, 1.0 - self.tokens)
        if missing > per_second * longest.total_seconds():
            return longest
        return timedelta(seconds=missing / per_second) if missing else timedelta()


def share_of_limit(
    limit: float, server: str, instance: str, instances: Collection[str]
) -> float:
    """Return the part of a server's limit that one instance may use by itself.

    A limit below one request a second for each instance is left to some of them, so
    that not all of them send a request at once.
    """
    users = ranked(server, {*instances, instance})[: max(1, int(limit))]
    return limit / len(users) if instance in users else 0.0
