"""Checks of benchmark results against the targets for the policy."""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from benchmarks.matrix import OVERLOAD, CellResult
from benchmarks.traces import TraceKind

PRODUCT = "magnoliatrail"
BASELINE = "rendezvous+lru"
UNDISTURBED_KINDS = (TraceKind.STEADY, TraceKind.MIXED)

MAX_LOADS_OVER_BOUND = 1.2
MAX_STALL_RATIO_TO_BASELINE = 0.5
MAX_STALL_RATIO_AFTER_SHIFT = 1.25
MIN_BATCH_FILL = 0.9
MIN_GOODPUT = 0.9
MIN_FAIR_SHARE = 0.8


@dataclass(frozen=True, slots=True)
class Check:
    """A measured figure and its bound."""

    where: str
    what: str
    figure: float
    bound: float
    at_least: bool = False

    @property
    def met(self) -> bool:
        """Return whether the figure is within its bound."""
        if self.at_least:
            return self.figure >= self.bound
        return self.figure <= self.bound


def load_checks(result: CellResult) -> Iterator[Check]:
    """Yield the checks of the number of loads."""
    if result.cell.kind is TraceKind.STEADY and result.cell.load < OVERLOAD:
        ratio = result.measures[PRODUCT].loads_over_bound
        yield Check(str(result.cell), "loads_over_bound", ratio, MAX_LOADS_OVER_BOUND)


def stall_checks(result: CellResult) -> Iterator[Check]:
    """Yield the checks of the stalls of interactive requests."""
    if result.cell.load >= OVERLOAD:
        return
    share = (
        MAX_STALL_RATIO_TO_BASELINE if result.cell.kind in UNDISTURBED_KINDS else 1.0
    )
    product = result.measures[PRODUCT].stalls["interactive"]
    baseline = result.measures[BASELINE].stalls["interactive"]
    where = str(result.cell)
    yield Check(where, "stall_mean", product.mean, baseline.mean * share)
    yield Check(where, "stall_p95", product.p95, baseline.p95 * share)


def work_checks(result: CellResult) -> Iterator[Check]:
    """Yield the checks of batch fill, batch jobs and lost requests."""
    measures = result.measures[PRODUCT]
    where = str(result.cell)
    yield Check(where, "lost", measures.lost, 0)
    if measures.batch_fill is not None:
        yield Check(
            where, "batch_fill", measures.batch_fill, MIN_BATCH_FILL, at_least=True
        )
    if result.cell.load < OVERLOAD:
        unfinished = measures.batch_jobs - measures.batch_jobs_done
        yield Check(where, "batch_jobs_undone", unfinished, 0)


def overload_checks(result: CellResult) -> Iterator[Check]:
    """Yield the checks of goodput, refusals and fairness under overload."""
    if result.cell.load < OVERLOAD:
        return
    measures = result.measures[PRODUCT]
    where = str(result.cell)
    goodput = measures.good_rate / result.capacity
    fair = measures.least_fair_share
    yield Check(where, "goodput", goodput, MIN_GOODPUT, at_least=True)
    yield Check(where, "late_refusals", measures.late_refusals, 0)
    yield Check(where, "fair_share", fair, MIN_FAIR_SHARE, at_least=True)


def shift_checks(results: Sequence[CellResult]) -> Iterator[Check]:
    """Yield the checks of stalls after a shift, relative to the steady trace.

    Both traces have the same arrivals except for the adapters. The means are taken
    over all seeds.
    """
    groups: dict[tuple[str, int, float, float], dict[TraceKind, list[float]]] = {}
    for result in results:
        cell = result.cell
        if cell.load >= OVERLOAD:
            continue
        key = (cell.site, cell.slots, cell.zipf, cell.load)
        by_kind = groups.setdefault(key, {})
        mean = result.measures[PRODUCT].recovered_mean
        by_kind.setdefault(cell.kind, []).append(mean)
    for (site, slots, zipf, load), by_kind in groups.items():
        if TraceKind.SHIFT not in by_kind or TraceKind.STEADY not in by_kind:
            continue
        shifted = sum(by_kind[TraceKind.SHIFT])
        steady = sum(by_kind[TraceKind.STEADY])
        where = f"{site} slots={slots} zipf={zipf} load={load} shift"
        ratio = shifted / steady
        yield Check(where, "stall_after_shift", ratio, MAX_STALL_RATIO_AFTER_SHIFT)


def all_checks(results: Sequence[CellResult]) -> list[Check]:
    """Return every check of a run."""
    checks: list[Check] = []
    for result in results:
        checks.extend(load_checks(result))
        checks.extend(stall_checks(result))
        checks.extend(work_checks(result))
        checks.extend(overload_checks(result))
    return checks
