"""The faults of a soak run follow from its seed alone."""

import itertools
from random import Random

from tests.soak.faults import (
    RELEASE_FAULTS,
    SHORTEST_SECONDS,
    WEIGHTS,
    FaultKind,
    draw_faults,
    draw_load_faults,
    draw_release_faults,
    draw_sender_faults,
)


def test_a_seed_always_gives_the_same_faults():
    first, again, other = (draw_faults(Random(seed), seconds=30) for seed in (1, 1, 2))
    assert first == again
    assert first != other


def test_faults_come_in_order_within_the_time_and_overlap():
    faults = draw_faults(Random(1), seconds=60)
    times = [fault.at for fault in faults]
    assert times == sorted(times)
    assert times[0] > 0 and times[-1] < 60
    pairs = itertools.pairwise(faults)
    assert any(first.at + first.seconds > second.at for first, second in pairs)


def test_no_fault_lasts_longer_than_its_kind_allows():
    for fault in draw_faults(Random(1), seconds=600):
        assert fault.seconds >= SHORTEST_SECONDS
        assert fault.seconds <= max(SHORTEST_SECONDS, WEIGHTS[fault.kind][1])


def test_every_kind_is_drawn():
    drawn = draw_faults(Random(1), seconds=600)
    for seed in range(20):
        drawn += draw_load_faults(Random(seed), seconds=12)
        drawn += draw_release_faults(Random(seed), seconds=12)
        drawn += draw_sender_faults(Random(seed), seconds=12)
    assert {fault.kind for fault in drawn} == set(FaultKind)


# Guards against releases that are still going on when a run of twelve seconds ends.
def test_releases_begin_in_the_first_half_of_a_run_and_last_as_long_as_allowed():
    drawn = [
        fault
        for seed in range(50)
        for fault in draw_release_faults(Random(seed), seconds=12)
    ]
    assert drawn
    for fault in drawn:
        assert 0 <= fault.at <= 6
        assert SHORTEST_SECONDS <= fault.seconds <= RELEASE_FAULTS[fault.kind][1]


# Guards against a seed whose earlier faults change as a kind is added to the releases.
def test_releases_are_not_drawn_with_the_other_faults():
    kinds = {fault.kind for fault in draw_faults(Random(1), seconds=600)}
    assert not kinds & set(RELEASE_FAULTS)
