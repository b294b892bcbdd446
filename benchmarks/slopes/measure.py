"""Processor time and memory of a function in this process."""

import gc
import time
import tracemalloc
from collections.abc import Callable

REPETITIONS = 5
MIN_TIMED_SECONDS = 0.02


def processor_microseconds(work: Callable[[], object]) -> float:
    """Return the processor time of one run, the minimum over all repetitions."""
    runs = calibrate_runs(work)
    gc.collect()
    gc.disable()
    try:
        return min(time_runs(work, runs) for _ in range(REPETITIONS)) / runs * 1e6
    finally:
        gc.enable()


def calibrate_runs(work: Callable[[], object]) -> int:
    """Return a number of runs that takes long enough for the clock's resolution."""
    runs = 1
    while time_runs(work, runs) < MIN_TIMED_SECONDS:
        runs *= 2
    return runs


def time_runs(work: Callable[[], object], runs: int) -> float:
    """Return the processor seconds of a number of runs."""
    started = time.process_time()
    for _ in range(runs):
        work()
    return time.process_time() - started


def retained_bytes(make: Callable[[], object]) -> float:
    """Return the memory that the created object retains."""
    gc.collect()
    tracemalloc.start()
    try:
        result = make()
        gc.collect()
        kept, _ = tracemalloc.get_traced_memory()
        del result
        return float(kept)
    finally:
        tracemalloc.stop()


def peak_bytes(make: Callable[[], object]) -> float:
    """Return the peak memory while an object is created."""
    gc.collect()
    tracemalloc.start()
    try:
        result = make()
        _, peak = tracemalloc.get_traced_memory()
        del result
        return float(peak)
    finally:
        tracemalloc.stop()
