"""Choice of the adapter that makes room for another."""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

from magnoliatrail.ids import Handle


@dataclass(frozen=True, slots=True)
class EvictionCandidate:
    """Describe a loaded adapter that could make room."""

    handle: Handle
    in_use: bool
    awaited: bool
    last_used: timedelta


def eviction_order(candidates: Iterable[EvictionCandidate]) -> list[Handle]:
    """Return the handles that may be evicted, the least valuable first."""
    allowed = [item for item in candidates if not (item.in_use or item.awaited)]
    allowed.sort(key=lambda item: item.last_used)
    return [item.handle for item in allowed]
