"""Measure the cost of one routing decision at the current and the target size."""

import sys
import time
import tracemalloc
from dataclasses import asdict, dataclass
from datetime import timedelta
from pathlib import Path

import click
import msgspec

from magnoliatrail.generated.platform import ListedInstance, ListedKind, ListedState
from magnoliatrail.ids import AdapterVersion
from magnoliatrail.placement.popularity import Popularity, PopularitySettings
from magnoliatrail.routing.candidates import CandidateIndex
from magnoliatrail.routing.engine_choice import (
    AdapterDemand,
    EngineView,
    PlacementWeights,
    Residency,
    choose_engine,
)

RESULTS = Path(__file__).parent / "routing_cost.json"
CANDIDATES_PER_ADAPTER = 12
DECISIONS_PER_REPETITION = 2000
REPETITIONS = 5
MAX_COST_RATIO = 3.0
BATCH_SLOTS = 8
NOW = timedelta(seconds=1000)


@dataclass(frozen=True, slots=True)
class FleetSize:
    """Size of a fleet."""

    engines: int
    failure_domains: int
    adapters: int


CURRENT_SIZE = FleetSize(engines=9, failure_domains=4, adapters=3_000)
TARGET_SIZE = FleetSize(engines=6_200, failure_domains=22, adapters=130_000)


@dataclass(frozen=True, slots=True)
class RoutingCost:
    """Processor time of one decision, and memory of the state that it reads."""

    size: FleetSize
    decision_microseconds: float
    popularity_bytes_per_adapter: float
    index_bytes_per_engine: float


def listed_engine(number: int, size: FleetSize) -> ListedInstance:
    """Return one engine as the instance list shows it."""
    return ListedInstance(
        id=f"engine-{number}",
        kind=ListedKind.ENGINE,
        name="base",
        url="",
        failure_domain=f"domain-{number % size.failure_domains}",
        state=ListedState.LIVE,
    )


class Router:
    """Make routing decisions for a fleet of a given size."""

    def __init__(self, size: FleetSize) -> None:
        self.size = size
        names = (f"adapter-{number}" for number in range(size.adapters))
        self.models = [AdapterVersion(name, "1") for name in names]
        engines = [listed_engine(number, size) for number in range(size.engines)]
        tracemalloc.start()
        self.index = CandidateIndex(engines)
        self.index_bytes = tracemalloc.get_traced_memory()[0]
        self.popularity: Popularity[AdapterVersion] = Popularity(PopularitySettings())
        for model in self.models:
            self.popularity.record(model, NOW)
        total = tracemalloc.get_traced_memory()[0]
        self.popularity_bytes = total - self.index_bytes
        tracemalloc.stop()

    def decide(self, model: AdapterVersion) -> None:
        """Record a use of an adapter, find its candidate engines and choose one."""
        self.popularity.record(model, NOW)
        names = self.index.candidates(str(model), CANDIDATES_PER_ADAPTER)
        views = [
            EngineView(
                engine=name,
                residency=Residency.ABSENT,
                batch_slots=BATCH_SLOTS,
                slot_value=position,
            )
            for position, name in enumerate(names)
        ]
        demand = AdapterDemand(
            self.popularity.value(model, NOW), timedelta(), timedelta(seconds=1)
        )
        choose_engine(views, demand, PlacementWeights())

    def measure(self) -> float:
        """Return the microseconds per decision, the minimum over all repetitions."""
        step = max(1, len(self.models) // DECISIONS_PER_REPETITION)
        models = self.models[::step][:DECISIONS_PER_REPETITION]
        best = float("inf")
        for _ in range(REPETITIONS):
            started = time.process_time()
            for model in models:
                self.decide(model)
            best = min(best, (time.process_time() - started) / len(models))
        return best * 1e6


def routing_cost(size: FleetSize) -> RoutingCost:
    """Measure the cost of decisions at one size."""
    router = Router(size)
    return RoutingCost(
        size=size,
        decision_microseconds=router.measure(),
        popularity_bytes_per_adapter=router.popularity_bytes / size.adapters,
        index_bytes_per_engine=router.index_bytes / size.engines,
    )


@click.command()
def main() -> None:
    """Measure both sizes, write the result and check their ratio."""
    costs = [routing_cost(size) for size in (CURRENT_SIZE, TARGET_SIZE)]
    ratio = costs[1].decision_microseconds / costs[0].decision_microseconds
    for cost in costs:
        click.echo(msgspec.json.encode(asdict(cost)).decode())
    click.echo(f"ratio {ratio:.2f}, bound {MAX_COST_RATIO}")
    document = {"costs": costs, "ratio": ratio}
    RESULTS.write_bytes(msgspec.json.format(msgspec.json.encode(document)) + b"\n")
    sys.exit(0 if ratio <= MAX_COST_RATIO else 1)


if __name__ == "__main__":
    main()
