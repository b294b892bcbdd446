from datetime import timedelta

from hypothesis import given, settings
from hypothesis import strategies as st

from magnoliatrail.placement.eviction import EvictionCandidate, eviction_order

NOW = timedelta(seconds=100)
seconds = st.integers(0, 100).map(lambda value: timedelta(seconds=value))
candidates = st.lists(
    st.builds(
        EvictionCandidate,
        handle=st.text(min_size=1),
        in_use=st.booleans(),
        awaited=st.booleans(),
        last_used=seconds,
        value=st.floats(0, 10),
        loaded_at=seconds,
    ),
    unique_by=lambda item: item.handle,
)


def candidate(handle, **fields):
    defaults = {"in_use": False, "awaited": False, "last_used": timedelta()}
    return EvictionCandidate(handle=handle, **{**defaults, **fields})


@settings(derandomize=True)
@given(candidates)
def test_only_unused_adapters_are_evicted(items):
    allowed = {item.handle for item in items if not (item.in_use or item.awaited)}
    assert set(eviction_order(items, NOW)) == allowed


def test_the_least_popular_goes_first_however_recently_it_was_used():
    rare = candidate("rare", value=0.1, last_used=NOW)
    popular = candidate("popular", value=2.0)
    assert eviction_order([popular, rare], NOW) == ["rare", "popular"]


def test_an_adapter_just_loaded_goes_last():
    fresh = candidate("fresh", loaded_at=NOW, value=0.0)
    popular = candidate("popular", value=2.0)
    assert eviction_order([fresh, popular], NOW) == ["popular", "fresh"]
