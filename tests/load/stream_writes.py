"""Count the writes to the store that record begun streams, in virtual time.

Run `python -m tests.load.stream_writes`, or with `--instances` and `--begun`.
"""

import argparse
import asyncio
import time
from dataclasses import dataclass

from tests.load.stream_fleet import StreamFleet, run_virtually

FLEETS = [(7, 3.6), (7, 11), (7, 60), (195, 25), (195, 900), (370, 25), (370, 900)]
# Until writers write at their steady rate.
WARM_UP = 2.0


@dataclass(frozen=True, slots=True)
class WriteFigures:
    """What a fleet wrote to the store."""

    writers: int
    writes_a_second: float
    largest_row: int


async def count_writes(instances, begun_a_second, seconds):
    """Begin streams evenly at all instances in turn, and count the writes."""
    fleet = StreamFleet(instances)
    for number in range(round(begun_a_second * (WARM_UP + seconds))):
        if fleet.now() < WARM_UP:
            fleet.store.commits = 0
        fleet.begin(fleet.names[number % instances])
        await asyncio.sleep(1 / begun_a_second)
    taken = fleet.now() - WARM_UP
    values = [value for value, _ in fleet.store.rows.values()]
    figures = WriteFigures(
        writers=len({key.partition(".")[0] for key in fleet.record_rows()}),
        writes_a_second=fleet.store.commits / taken,
        largest_row=max(map(len, values)),
    )
    await fleet.close()
    return figures


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--instances", type=int)
    parser.add_argument("--begun", type=float)
    parser.add_argument("--seconds", type=float, default=10)
    options = parser.parse_args()
    fleets = FLEETS
    if options.instances:
        fleets = [(options.instances, options.begun)]
    for instances, begun in fleets:
        started = time.process_time()
        found = run_virtually(count_writes(instances, begun, options.seconds))
        print(
            f"instances {instances} begun/s {begun:g} writers {found.writers}"
            f" writes/s {found.writes_a_second:.2f} largest row {found.largest_row} B"
            f" ({time.process_time() - started:.1f} s)",
            flush=True,
        )


if __name__ == "__main__":
    main()
