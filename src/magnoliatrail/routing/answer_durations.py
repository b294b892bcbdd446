"""How long the answers of routes take, as far as recent ones show."""

from collections import deque
from dataclasses import dataclass
from datetime import timedelta

# Answers are kept in intervals, and forgotten an interval at a time.
INTERVAL = timedelta(seconds=30)
KEPT_INTERVALS = 10
# Fewer answers say little about how long the next one may take.
MIN_ANSWERS = 20
# A sound server may fall silent for about this long and go on.
SERVER_PAUSE = timedelta(seconds=1)


@dataclass(slots=True)
class Interval:
    """The answers of one interval."""

    began_at: timedelta
    answers: int = 0
    longest: timedelta = timedelta()


class AnswerDurations:
    """Keep the longest recent answer of each route."""

    def __init__(self) -> None:
        self.routes: dict[str, deque[Interval]] = {}
        self.expired_at = timedelta()

    def record(self, route: str, duration: timedelta, now: timedelta) -> None:
        """Record how long a server worked on a request."""
        intervals = self.routes.setdefault(route, deque(maxlen=KEPT_INTERVALS))
        if not intervals or now - intervals[-1].began_at >= INTERVAL:
            intervals.append(Interval(now))
        current = intervals[-1]
        current.answers += 1
        current.longest = max(current.longest, duration)
        if now - self.expired_at >= INTERVAL:
            self.expire(now)

    def longest(self, route: str, now: timedelta) -> timedelta | None:
        """Return the longest recent answer, None if there were too few."""
        recent = [item for item in self.routes.get(route, ()) if is_recent(item, now)]
        if sum(item.answers for item in recent) < MIN_ANSWERS:
            return None
        return max(item.longest for item in recent)

    def latest_end(self, route: str, now: timedelta, ends_at: timedelta) -> timedelta:
        """Return by when a request that is sent now has its answer.

        That is the end of its time limit, or earlier if recent answers show it.
        """
        longest = self.longest(route, now)
        if longest is None:
            return ends_at
        return min(ends_at, now + longest + SERVER_PAUSE)

    def expire(self, now: timedelta) -> None:
        """Forget routes without a recent answer."""
        self.expired_at = now
        self.routes = {
            route: intervals
            for route, intervals in self.routes.items()
            if is_recent(intervals[-1], now)
        }


def is_recent(interval: Interval, now: timedelta) -> bool:
    """Return whether the answers of an interval still count."""
    return now - interval.began_at < INTERVAL * KEPT_INTERVALS
