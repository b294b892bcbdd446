"""Order in which loaded adapters are evicted."""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

from magnoliatrail.ids import Handle

MIN_RESIDENCE = timedelta(seconds=0.5)


@dataclass(frozen=True, slots=True)
class EvictionCandidate:
    """A loaded adapter, as a candidate for eviction."""

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

    Adapters that were loaded less than MIN_RESIDENCE ago come last, so that two
    adapters don't evict each other in turn.
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
