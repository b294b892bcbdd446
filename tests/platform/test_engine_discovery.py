"""The count of engines from which a fleet is divided into cells."""

from datetime import timedelta

from magnoliatrail.cells.engine_discovery import MAX_DISCOVERY_TIME, EngineDiscovery


def ends(listed, every=timedelta(milliseconds=100)):
    """Return when and with how many engines the survey of a fleet ends."""
    discovery = EngineDiscovery()
    now = timedelta()
    while not discovery.is_complete(listed(now.total_seconds()), now):
        assert now < timedelta(minutes=1), "the survey does not end"
        now += every
    return now, discovery.engines


def test_engines_that_are_listed_one_after_the_other_are_all_counted():
    _, engines = ends(lambda seconds: min(70, int(seconds * 17)))
    assert engines == 70


def test_a_fleet_that_goes_on_growing_is_divided_in_the_end():
    ended_at, _ = ends(lambda seconds: 10 + int(seconds))
    assert ended_at == MAX_DISCOVERY_TIME


def test_nothing_is_decided_before_an_engine_is_listed():
    ended_at, engines = ends(lambda seconds: 6 if seconds >= 30 else 0)
    assert (ended_at.total_seconds() > 30, engines) == (True, 6)


def test_engines_that_lapse_for_a_while_still_count():
    _, engines = ends(lambda seconds: 6 if seconds < 1 else 4)
    assert engines == 6
