"""Exponential backoff with jitter."""

from collections.abc import Iterator
from dataclasses import dataclass
from datetime import timedelta
from random import Random


@dataclass(frozen=True, slots=True)
class Backoff:
    """Set the first delay, the longest delay and the sum of all delays."""

    first: timedelta
    longest: timedelta
    total: timedelta


def backoff_delays(backoff: Backoff, generator: Random) -> Iterator[timedelta]:
    """Yield jittered delays that double each time, until their total is used up."""
    delay = backoff.first
    elapsed = timedelta()
    while elapsed < backoff.total:
        jittered = delay * generator.uniform(0.5, 1.0)
        yield jittered
        elapsed += jittered
        delay = min(delay * 2, backoff.longest)
