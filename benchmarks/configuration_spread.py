"""Measure how soon accepted edits are in force at every instance.

Four operators edit at once through seven instances, as processes on loopback; then the
same with the table service losing answers. Prints a table and writes JSON.
"""

import asyncio
import json
import random
import time
from dataclasses import asdict, dataclass
from itertools import pairwise
from pathlib import Path

from expression import Result
from tests.processes.fleet import LIMITS, Fleet, running_fleet

from magnoliatrail.errors import ErrorKind
from magnoliatrail.generated.configuration import (
    AcceptedEdit,
    Change,
    ChangeKind,
    Configuration,
    ConfigurationEdit,
    ConfigurationRequest,
)
from magnoliatrail.peers.configuration import CONFIGURATION, EDIT

INSTANCES = 7
OPERATORS = 4
EDITS = 200
LOST_ANSWERS = 20
POLL_SECONDS = 0.02
OUTPUT = Path(__file__).with_name("configuration_spread.json")


@dataclass(frozen=True)
class SpreadResult:
    """Hold what one run measured; durations in seconds."""

    lost_answers: int
    accepted: int
    conflicts: int
    reversals: int
    in_force_median_seconds: float
    in_force_p95_seconds: float
    in_force_max_seconds: float


class Run:
    """Collect the moments at which edits were accepted and in force."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.names = sorted(fleet.processes)
        self.accepted_at: dict[int, float] = {}
        self.seen: dict[str, list[tuple[float, int]]] = {n: [] for n in self.names}
        self.conflicts = 0
        self.stop = asyncio.Event()

    async def read(self, name: str) -> Configuration:
        """Read the configuration in force at an instance."""
        url = self.fleet.processes[name].peer_url + CONFIGURATION
        request = ConfigurationRequest()
        result = await self.fleet.peers.ask(url, request, Configuration, LIMITS)
        return result.ok

    async def watch(self, name: str) -> None:
        """Note the revision in force at an instance until told to stop."""
        while not self.stop.is_set():
            revision = (await self.read(name)).revision
            self.seen[name].append((time.monotonic(), revision))
            await asyncio.sleep(POLL_SECONDS)

    async def operate(self, operator: int) -> None:
        """Make one operator's edits, each on the revision that it saw."""
        generator = random.Random(operator)
        for number in range(EDITS // OPERATORS):
            while not await self.try_edit(generator, f"{operator}-{number}", number):
                self.conflicts += 1

    async def try_edit(
        self, generator: random.Random, edit_id: str, value: int
    ) -> bool:
        """Try one edit; False means that another operator came first."""
        name = generator.choice(self.names)
        expected = (await self.read(name)).revision
        change = Change(
            kind=ChangeKind.SET_DEFAULT,
            setting="queue_per_caller",
            value=f"{value + 1}",
        )
        edit = ConfigurationEdit(
            edit_id=edit_id,
            author="operator",
            time="2026-01-01T00:00:00+00:00",
            expected_revision=expected,
            change=change,
        )
        url = self.fleet.processes[name].peer_url + EDIT
        match await self.fleet.peers.ask(url, edit, AcceptedEdit, LIMITS):
            case Result(tag="ok", ok=accepted):
                self.accepted_at[accepted.revision] = time.monotonic()
                return True
            case Result(error=failure):
                assert failure.kind is ErrorKind.CONFLICT, failure
                return False

    def in_force_after(self, revision: int) -> float:
        """Return how long an edit took to be in force at every instance."""
        moments = [
            next(moment for moment, seen in self.seen[name] if seen >= revision)
            for name in self.names
        ]
        return max(0.0, max(moments) - self.accepted_at[revision])

    def reversals(self) -> int:
        """Return how often a revision went back at an instance."""
        return sum(
            later[1] < earlier[1]
            for seen in self.seen.values()
            for earlier, later in pairwise(seen)
        )


async def measure(lost_answers: int) -> SpreadResult:
    """Measure one run."""
    names = [f"instance-{number}" for number in range(INSTANCES)]
    async with running_fleet(names) as fleet:
        run = Run(fleet)
        fleet.environment.table.faults.lose_answers = lost_answers
        watchers = [asyncio.create_task(run.watch(name)) for name in names]
        await asyncio.gather(*(run.operate(number) for number in range(OPERATORS)))
        while any(seen[-1][1] < EDITS for seen in run.seen.values()):
            await asyncio.sleep(POLL_SECONDS)
        run.stop.set()
        await asyncio.gather(*watchers)
    durations = sorted(run.in_force_after(revision) for revision in run.accepted_at)
    return SpreadResult(
        lost_answers=lost_answers,
        accepted=len(run.accepted_at),
        conflicts=run.conflicts,
        reversals=run.reversals(),
        in_force_median_seconds=durations[len(durations) // 2],
        in_force_p95_seconds=durations[int(len(durations) * 0.95)],
        in_force_max_seconds=durations[-1],
    )


def main() -> None:
    """Measure both runs, print them and write them as JSON."""
    results = [asyncio.run(measure(lost)) for lost in (0, LOST_ANSWERS)]
    for result in results:
        print(" ".join(f"{key}={value}" for key, value in asdict(result).items()))
    document = [asdict(result) for result in results]
    OUTPUT.write_text(json.dumps(document, indent=2) + "\n")


if __name__ == "__main__":
    main()
