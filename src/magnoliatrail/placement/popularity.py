"""Exponentially decaying use counts, for adapters and callers."""

import math
from dataclasses import dataclass
from datetime import timedelta
from typing import Generic, TypeVar

Key = TypeVar("Key")


@dataclass(frozen=True, slots=True)
class PopularitySettings:
    """How fast past uses lose their weight.

    `memory` is the time constant of the decay. `tolerated_gaps` is how many of its mean
    gaps between uses a key may be idle before its value drops.
    """

    memory: timedelta = timedelta(seconds=230)
    tolerated_gaps: float = 0.4
    negligible_uses: float = 0.001


@dataclass(slots=True)
class UseCount:
    """The decayed number of uses of one key, as of its last use."""

    uses: float
    last_used: float


class Popularity(Generic[Key]):
    """Count the uses of adapters or callers, weighting recent uses more."""

    def __init__(self, settings: PopularitySettings) -> None:
        self.settings = settings
        self.memory_seconds = settings.memory.total_seconds()
        self.counts: dict[Key, UseCount] = {}

    def record(self, key: Key, now: timedelta, *, uses: float = 1.0) -> None:
        """Record uses of a key."""
        seconds = now.total_seconds()
        count = self.counts.get(key)
        if count is None:
            self.counts[key] = UseCount(uses, seconds)
            return
        idle = max(0.0, seconds - count.last_used)
        count.uses = uses + count.uses * math.exp(-idle / self.memory_seconds)
        count.last_used = seconds

    def rate(self, key: Key, now: timedelta) -> float:
        """Return the decayed average of a key's uses a second."""
        count = self.counts.get(key)
        if count is None:
            return 0.0
        idle = max(0.0, now.total_seconds() - count.last_used)
        return self.decayed_rate(count, idle)

    def decayed_rate(self, count: UseCount, idle_seconds: float) -> float:
        """Return the uses a second of a count after an idle time."""
        decay = math.exp(-idle_seconds / self.memory_seconds)
        return count.uses * decay / self.memory_seconds

    def value(self, key: Key, now: timedelta) -> float:
        """Return the expected uses a second, reduced for a key that is idle.

        The longer a key is idle, measured in its usual gaps between uses, the less
        likely it is still popular; the decay alone reacts too late.
        """
        count = self.counts.get(key)
        if count is None:
            return 0.0
        idle = max(0.0, now.total_seconds() - count.last_used)
        rate = self.decayed_rate(count, idle)
        missed_uses = rate * idle - self.settings.tolerated_gaps
        return rate * math.exp(-missed_uses) if missed_uses > 0 else rate

    def remove_idle(self, now: timedelta) -> None:
        """Remove the counts that have decayed to almost nothing."""
        min_rate = self.settings.negligible_uses / self.memory_seconds
        idle = [key for key in self.counts if self.rate(key, now) < min_rate]
        for key in idle:
            del self.counts[key]
