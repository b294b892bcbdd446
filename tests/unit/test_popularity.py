from datetime import timedelta

from magnoliatrail.placement.popularity import Popularity, PopularitySettings

MINUTE = timedelta(minutes=1)


def popularity_after(uses, *, every):
    popularity = Popularity(PopularitySettings(memory=5 * MINUTE))
    for number in range(uses):
        popularity.record("one", every * number)
    return popularity


def test_rate_of_steady_use_is_the_true_rate():
    popularity = popularity_after(3000, every=timedelta(seconds=1))
    assert abs(popularity.rate("one", timedelta(seconds=3000)) - 1) < 0.05


def test_unknown_adapter_has_no_value():
    assert popularity_after(0, every=MINUTE).value("one", MINUTE) == 0


def test_an_idle_adapter_loses_value_before_its_count_decays():
    popularity = popularity_after(300, every=timedelta(seconds=1))
    later = timedelta(seconds=300) + MINUTE
    assert popularity.value("one", later) < popularity.rate("one", later) / 10


def test_idle_counts_are_removed():
    popularity = popularity_after(10, every=timedelta(seconds=1))
    popularity.remove_idle(timedelta(hours=2))
    assert not popularity.counts
