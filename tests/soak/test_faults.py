"""The faults of a soak run follow from its seed alone."""

import itertools
from random import Random

from tests.soak.faults import (
    SHORTEST_SECONDS,
    WEIGHTS,
    FaultKind,
    draw_faults,
    draw_load_faults,
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
    assert {fault.kind for fault in drawn} == set(FaultKind)
