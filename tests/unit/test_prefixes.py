from magnoliatrail.generated.engine import CacheEvent, CacheEventKind, CacheEvents
from magnoliatrail.routing.prefixes import PrefixIndex

STORED, REMOVED = CacheEventKind.STORED, CacheEventKind.REMOVED


def events(*items, boot="boot"):
    made = [
        CacheEvent(sequence=sequence, kind=kind, prefix_hash=prefix)
        for sequence, kind, prefix in items
    ]
    return CacheEvents(boot_id=boot, events=made)


def test_a_stored_prefix_is_known_until_it_is_removed():
    index = PrefixIndex()
    index.apply("engine", events((1, STORED, "a")))
    assert index.has("engine", "a")
    index.apply("engine", events((2, REMOVED, "a")))
    assert not index.has("engine", "a")


def test_a_gap_in_the_sequence_clears_the_index():
    index = PrefixIndex()
    index.apply("engine", events((1, STORED, "a"), (3, STORED, "b")))
    assert not index.has("engine", "a")
    assert index.has("engine", "b")


def test_events_are_not_applied_twice():
    index = PrefixIndex()
    index.apply("engine", events((1, STORED, "a"), (2, REMOVED, "a")))
    index.apply("engine", events((1, STORED, "a")))
    assert not index.has("engine", "a")


def test_an_engine_restart_clears_the_index():
    index = PrefixIndex()
    index.apply("engine", events((1, STORED, "a")))
    index.apply("engine", events((1, STORED, "b"), boot="next"))
    assert not index.has("engine", "a")


def test_the_number_of_prefixes_is_bounded():
    index = PrefixIndex(limit_per_engine=2)
    index.apply("engine", events(*((n, STORED, str(n)) for n in range(1, 6))))
    assert [index.has("engine", str(n)) for n in (3, 4, 5)] == [False, True, True]
