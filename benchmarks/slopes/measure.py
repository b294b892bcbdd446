"""Processor time and memory of a piece of work in this process."""

import gc
import time
import tracemalloc
from collections.abc import Callable

ROUNDS = 5
SHORTEST_SECONDS = 0.02


def processor_microseconds(work: Callable[[], object]) -> float:
    """Return the processor time of one run of some work, the least of some rounds."""
    runs = runs_that_last(work)
    gc.collect()
    gc.disable()
    try:
        return min(timed(work, runs) for _ in range(ROUNDS)) / runs * 1e6
    finally:
        gc.enable()


def runs_that_last(work: Callable[[], object]) -> int:
    """Return how many runs last long enough for the processor's clock."""
    runs = 1
    while timed(work, runs) < SHORTEST_SECONDS:
        runs *= 2
    return runs


def timed(work: Callable[[], object], runs: int) -> float:
    """Return the processor seconds of some runs."""
    started = time.process_time()
    for _ in range(runs):
        work()
    return time.process_time() - started


def kept_bytes(make: Callable[[], object]) -> float:
    """Return the memory that a made object keeps."""
    gc.collect()
    tracemalloc.start()
    try:
        made = make()
        gc.collect()
        kept, _ = tracemalloc.get_traced_memory()
        del made
        return float(kept)
    finally:
        tracemalloc.stop()


def peak_bytes(make: Callable[[], object]) -> float:
    """Return the most memory in use while an object is made."""
    gc.collect()
    tracemalloc.start()
    try:
        made = make()
        _, peak = tracemalloc.get_traced_memory()
        del made
        return float(peak)
    finally:
        tracemalloc.stop()
