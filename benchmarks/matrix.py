"""The benchmark matrix: combinations of site, slots, popularity, load and trace."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from functools import cache

from benchmarks.clairvoyant import rendezvous_lru_loads
from benchmarks.measures import Measures, measure
from benchmarks.simulation import Simulation
from benchmarks.sites import SITES
from benchmarks.strategies import STRATEGIES
from benchmarks.traces import TraceKind, TraceSettings, make_trace

SLOTS = (4, 8)
ZIPF_EXPONENTS = (0.9, 1.1)
OFFERED_LOADS = (0.7, 0.9)
OVERLOAD = 1.5
OVERLOAD_KINDS = (TraceKind.STEADY, TraceKind.MIXED)
SHIFT_KINDS = (TraceKind.STEADY, TraceKind.SHIFT)
CAPACITY_REQUESTS = 20_000
CAPACITY_SEED = 99


@dataclass(frozen=True, slots=True)
class Cell:
    """One combination of the benchmark matrix."""

    site: str
    slots: int
    zipf: float
    load: float
    kind: TraceKind
    seed: int
    requests: int

    def __str__(self) -> str:
        """Return a short name for tables."""
        return (
            f"{self.site} slots={self.slots} zipf={self.zipf} "
            f"load={self.load} {self.kind.value} seed={self.seed}"
        )


@dataclass(frozen=True, slots=True)
class CellResult:
    """The measures of each strategy in one cell."""

    cell: Cell
    capacity: float
    measures: dict[str, Measures]


@cache
def capacity_of(site_name: str, slots: int, zipf: float) -> float:
    """Return the requests/s at which rendezvous + LRU saturates the weight store."""
    site = SITES[site_name]
    settings = TraceSettings(
        TraceKind.STEADY, zipf, CAPACITY_REQUESTS, 1.0, CAPACITY_SEED
    )
    models = [item.model for item in make_trace(site, settings).arrivals]
    engines = [f"engine-{number}" for number in range(site.engines)]
    loads = rendezvous_lru_loads(models, engines, slots)
    return site.store.loads_per_second * len(models) / loads


def run_cell(cell: Cell, strategies: tuple[str, ...] = tuple(STRATEGIES)) -> CellResult:
    """Run the strategies on the trace of a cell."""
    site = SITES[cell.site]
    capacity = capacity_of(cell.site, cell.slots, cell.zipf)
    settings = TraceSettings(
        cell.kind, cell.zipf, cell.requests, capacity * cell.load, cell.seed
    )
    trace = make_trace(site, settings)
    measures = {}
    for name in strategies:
        sim = Simulation(site, cell.slots, trace, STRATEGIES[name](site, cell.seed))
        sim.run()
        measures[name] = measure(sim)
    return CellResult(cell, capacity, measures)


def all_cells(requests: int, seed: int) -> Iterator[Cell]:
    """Yield the whole matrix for one seed."""
    for site in SITES:
        for slots in SLOTS:
            for zipf in ZIPF_EXPONENTS:
                for kind in TraceKind:
                    for load in OFFERED_LOADS:
                        yield Cell(site, slots, zipf, load, kind, seed, requests)
                for kind in OVERLOAD_KINDS:
                    yield Cell(site, slots, zipf, OVERLOAD, kind, seed, requests)


def shift_cells(requests: int, seeds: Iterable[int]) -> Iterator[Cell]:
    """Yield the cells that measure recovery from a popularity shift."""
    for seed in seeds:
        for cell in all_cells(requests, seed):
            if cell.load < OVERLOAD and cell.kind in SHIFT_KINDS:
                yield cell
