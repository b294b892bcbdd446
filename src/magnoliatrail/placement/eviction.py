"""Choice of the adapter that makes room for another."""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

from magnoliatrail.ids import Handle

MIN_RESIDENCE = timedelta(seconds=0.5)


@dataclass(frozen=True, slots=True)
class EvictionCandidate:
    """Describe a loaded adapter that could make room."""

    handle: Handle
    in_use: bool
    awaited: bool
    last_used: timedelta
    value: float = 0.0
    loaded_at: timedelta = timedelta()


def eviction_order(
    candidates: Iterable[EvictionCandidate], now: timedelta = timedelta.max
) -> list[Handle]:
    """Return the handles that may be evicted, the least valuable first.

    An adapter that was loaded only just now comes after all others, so that two
    adapters do not push each other out in turn.
    """
    allowed = [item for item in candidates if not (item.in_use or item.awaited)]
    allowed.sort(
        key=lambda item: (
            now - item.loaded_at < MIN_RESIDENCE,
            item.value,
            item.last_used,
        )
    )
    return [item.handle for item in allowed]
