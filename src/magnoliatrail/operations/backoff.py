"""Waits between tries, longer each time and jittered."""

from collections.abc import Iterator
from dataclasses import dataclass
from datetime import timedelta
from random import Random


@dataclass(frozen=True, slots=True)
class Backoff:
    """Bound the waits between tries."""

    first: timedelta
    longest: timedelta
    total: timedelta


def backoff_delays(backoff: Backoff, generator: Random) -> Iterator[timedelta]:
    """Yield the waits between tries until their total is used up."""
    wait = backoff.first
    spent = timedelta()
    while spent < backoff.total:
        jittered = wait * generator.uniform(0.5, 1.0)
        yield jittered
        spent += jittered
        wait = min(wait * 2, backoff.longest)
