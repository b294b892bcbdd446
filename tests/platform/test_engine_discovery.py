"""Engine discovery: the number of engines from which the cell layout is derived."""

from datetime import timedelta

from magnoliatrail.cells.engine_discovery import MAX_DISCOVERY_TIME, EngineDiscovery


def run_discovery(listed, every=timedelta(milliseconds=100)):
    """Return when discovery completes, and the number of engines it found."""
    discovery = EngineDiscovery()
    now = timedelta()
    while not discovery.is_complete(listed(now.total_seconds()), now):
        assert now < timedelta(minutes=1), "discovery does not complete"
        now += every
    return now, discovery.engines


def test_engines_that_are_listed_one_after_the_other_are_all_counted():
    _, engines = run_discovery(lambda seconds: min(70, int(seconds * 17)))
    assert engines == 70


def test_discovery_of_a_growing_fleet_completes_at_the_time_limit():
    ended_at, _ = run_discovery(lambda seconds: 10 + int(seconds))
    assert ended_at == MAX_DISCOVERY_TIME


def test_discovery_does_not_complete_before_an_engine_is_listed():
    ended_at, engines = run_discovery(lambda seconds: 6 if seconds >= 30 else 0)
    assert (ended_at.total_seconds() > 30, engines) == (True, 6)


def test_engines_that_lapse_for_a_while_still_count():
    _, engines = run_discovery(lambda seconds: 6 if seconds < 1 else 4)
    assert engines == 6
