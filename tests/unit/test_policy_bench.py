"""A short, seeded run of the policy benchmark, checked against its targets."""

import pytest
from benchmarks.matrix import Cell, run_cell
from benchmarks.routing_cost import CURRENT_SIZE, MAX_COST_RATIO, TARGET_SIZE
from benchmarks.targets import (
    BASELINE,
    PRODUCT,
    load_checks,
    overload_checks,
    shift_checks,
    stall_checks,
    work_checks,
)
from benchmarks.traces import TraceKind

REQUESTS = 2000
SEEDS = (1, 2, 3, 4)
BOTH = (BASELINE, PRODUCT)


def run(site, kind, *, load, slots=4, zipf=0.9, seed=1, strategies=BOTH):
    cell = Cell(site, slots, zipf, load, kind, seed, REQUESTS)
    return run_cell(cell, strategies)


def assert_met(checks):
    missed = [check for check in checks if not check.met]
    assert not missed, missed


@pytest.fixture(scope="module")
def steady():
    return run("nassar", TraceKind.STEADY, load=0.9)


def test_loads_stay_near_the_clairvoyant_bound(steady):
    assert_met(load_checks(steady))


@pytest.mark.parametrize("load", [0.7, 0.9])
@pytest.mark.parametrize("kind", [TraceKind.STEADY, TraceKind.MIXED])
@pytest.mark.parametrize("site", ["nassar", "anjs"])
def test_stalls_are_half_of_rendezvous_and_lru(site, kind, load):
    assert_met(stall_checks(run(site, kind, load=load)))


@pytest.mark.parametrize(
    "kind", [TraceKind.FLASH, TraceKind.RESTART, TraceKind.SLOW_STORE, TraceKind.SHIFT]
)
def test_stalls_are_never_worse_than_rendezvous_and_lru(kind):
    assert_met(stall_checks(run("nassar", kind, load=0.9)))


def test_stalls_recover_within_a_minute_of_a_shift():
    results = [
        run("nassar", kind, load=0.9, seed=seed, strategies=(PRODUCT,))
        for kind in (TraceKind.STEADY, TraceKind.SHIFT)
        for seed in SEEDS
    ]
    assert_met(shift_checks(results))


def test_all_batch_jobs_end_and_batches_are_full_while_work_waits():
    assert_met(work_checks(run("anjs", TraceKind.MIXED, load=0.9, zipf=1.1)))


@pytest.mark.parametrize("site", ["nassar", "anjs"])
def test_overload_is_refused_early_and_shared_fairly(site):
    result = run(site, TraceKind.STEADY, load=1.5, strategies=(PRODUCT,))
    assert_met(overload_checks(result))
    assert_met(work_checks(result))


def test_the_sizes_of_the_cost_benchmark_are_those_asked_for():
    assert (TARGET_SIZE.engines, TARGET_SIZE.adapters) == (6_200, 130_000)
    assert (CURRENT_SIZE.adapters, MAX_COST_RATIO) == (3_000, 3.0)
