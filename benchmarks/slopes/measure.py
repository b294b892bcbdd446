"""Processor time and memory of a piece of work in this process."""

import gc
import time
import tracemalloc
from collections.abc import Callable

REPETITIONS = 5
MIN_TIMED_SECONDS = 0.02


def processor_microseconds(work: Callable[[], object]) -> float:
    """Return the processor time of one run of some work, the least of some rounds."""
    runs = calibrate_runs(work)
    gc.collect()
    gc.disable()
    try:
        return min(time_runs(work, runs) for _ in range(REPETITIONS)) / runs * 1e6
    finally:
        gc.enable()


def calibrate_runs(work: Callable[[], object]) -> int:
    """Return how many runs last long enough for the processor's clock."""
    runs = 1
    while time_runs(work, runs) < MIN_TIMED_SECONDS:
        runs *= 2
    return runs


def time_runs(work: Callable[[], object], runs: int) -> float:
    """Return the processor seconds of some runs."""
    started = time.process_time()
    for _ in range(runs):
        work()
    return time.process_time() - started


def retained_bytes(make: Callable[[], object]) -> float:
    """Return the memory that a made object keeps."""
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
    """Return the most memory in use while an object is made."""
    gc.collect()
    tracemalloc.start()
    try:
        result = make()
        _, peak = tracemalloc.get_traced_memory()
        del result
        return float(peak)
    finally:
        tracemalloc.stop()
