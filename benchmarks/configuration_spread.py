"""Measure the delay until an accepted edit is in force at every instance.

Four operators edit concurrently through seven instances, which run as processes on
loopback. A second run has the table service lose answers. Prints both results and
writes them as JSON.
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
from magnoliatrail.peers.configuration import CONFIGURATION_PATH, EDIT_PATH

INSTANCE_COUNT = 7
OPERATOR_COUNT = 4
EDIT_COUNT = 200
LOST_ANSWERS = 20
POLL_INTERVAL_SECONDS = 0.02
OUTPUT = Path(__file__).with_name("configuration_spread.json")


@dataclass(frozen=True)
class SpreadResult:
    """Results of one run; durations are in seconds."""

    lost_answers: int
    accepted: int
    conflicts: int
    reversals: int
    in_force_median_seconds: float
    in_force_p95_seconds: float
    in_force_max_seconds: float


class SpreadRun:
    """Record when each edit was accepted and when each instance applied it."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.names = sorted(fleet.processes)
        self.accepted_at: dict[int, float] = {}
        self.observed_revisions: dict[str, list[tuple[float, int]]] = {
            n: [] for n in self.names
        }
        self.conflicts = 0
        self.stop = asyncio.Event()

    async def read_configuration(self, name: str) -> Configuration:
        """Read the configuration in force at an instance."""
        url = self.fleet.processes[name].peer_url + CONFIGURATION_PATH
        request = ConfigurationRequest()
        result = await self.fleet.peers.ask(url, request, Configuration, LIMITS)
        return result.ok

    async def poll_revision(self, name: str) -> None:
        """Record the revision in force at an instance until `stop` is set."""
        while not self.stop.is_set():
            revision = (await self.read_configuration(name)).revision
            self.observed_revisions[name].append((time.monotonic(), revision))
            await asyncio.sleep(POLL_INTERVAL_SECONDS)

    async def submit_edits(self, operator: int) -> None:
        """Submit one operator's edits, each based on the revision that it last read."""
        generator = random.Random(operator)
        for number in range(EDIT_COUNT // OPERATOR_COUNT):
            while not await self.try_edit(generator, f"{operator}-{number}", number):
                self.conflicts += 1

    async def try_edit(
        self, generator: random.Random, edit_id: str, value: int
    ) -> bool:
        """Submit one edit; return False if another edit took its revision."""
        name = generator.choice(self.names)
        expected = (await self.read_configuration(name)).revision
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
        url = self.fleet.processes[name].peer_url + EDIT_PATH
        match await self.fleet.peers.ask(url, edit, AcceptedEdit, LIMITS):
            case Result(tag="ok", ok=accepted):
                self.accepted_at[accepted.revision] = time.monotonic()
                return True
            case Result(error=failure):
                assert failure.kind is ErrorKind.CONFLICT, failure
                return False

    def seconds_until_in_force(self, revision: int) -> float:
        """Return the delay until a revision was in force at every instance."""
        moments = [
            next(
                moment
                for moment, observed in self.observed_revisions[name]
                if observed >= revision
            )
            for name in self.names
        ]
        return max(0.0, max(moments) - self.accepted_at[revision])

    def reversals(self) -> int:
        """Count how often the revision in force at an instance decreased."""
        return sum(
            later[1] < earlier[1]
            for observations in self.observed_revisions.values()
            for earlier, later in pairwise(observations)
        )


async def measure(lost_answers: int) -> SpreadResult:
    """Run the benchmark once, with the given number of lost answers."""
    names = [f"instance-{number}" for number in range(INSTANCE_COUNT)]
    async with running_fleet(names) as fleet:
        run = SpreadRun(fleet)
        fleet.environment.table.faults.lose_answers = lost_answers
        watchers = [asyncio.create_task(run.poll_revision(name)) for name in names]
        await asyncio.gather(
            *(run.submit_edits(number) for number in range(OPERATOR_COUNT))
        )
        while any(
            observations[-1][1] < EDIT_COUNT
            for observations in run.observed_revisions.values()
        ):
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
        run.stop.set()
        await asyncio.gather(*watchers)
    durations = sorted(
        run.seconds_until_in_force(revision) for revision in run.accepted_at
    )
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
