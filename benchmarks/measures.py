"""Measures of one simulation run."""

import statistics
from dataclasses import dataclass

from benchmarks.clairvoyant import belady_loads
from benchmarks.simulation import Job, Simulation
from magnoliatrail.generated.permits import RequestClass

WARM_UP_FRACTION = 0.25
SHIFT_RECOVERY_SECONDS = 60.0
SHIFT_WINDOW_SECONDS = 60.0


@dataclass(frozen=True, slots=True)
class StallMeasures:
    """Load stalls of one request class, in seconds."""

    mean: float
    p50: float
    p95: float
    p99: float


@dataclass(frozen=True, slots=True)
class Measures:
    """Measures of one run."""

    requests: int
    loads_per_request: float
    loads_over_bound: float
    stalls: dict[str, StallMeasures]
    batch_fill: float | None
    refused: int
    late_refusals: int
    good_rate: float
    lost: int
    batch_jobs: int
    batch_jobs_done: int
    least_fair_share: float
    recovered_mean: float


def quantile(ordered: list[float], share: float) -> float:
    """Return a quantile of sorted values, or 0 if there are none."""
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def stall_measures(stalls: list[float]) -> StallMeasures:
    """Summarize stalls by their mean and quantiles."""
    ordered = sorted(stalls)
    mean = statistics.fmean(ordered) if ordered else 0.0
    shares = (0.5, 0.95, 0.99)
    return StallMeasures(mean, *(quantile(ordered, share) for share in shares))


def met_deadline(job: Job) -> bool:
    """Return whether a request completed within its deadline."""
    return job.ended is not None and job.ended <= job.arrival.deadline


def is_late_refusal(job: Job) -> bool:
    """Return whether a refusal came after half the time to the deadline."""
    if job.refused is None:
        return False
    half = (job.arrival.at + job.arrival.deadline) / 2
    return job.refused >= half


def least_fair_share(jobs: list[Job]) -> float:
    """Return the lowest ratio of a caller's requests in time to its fair share.

    Shares follow max-min fairness: each caller's share is its offered requests, capped
    at a level that is the same for all callers.
    """
    offered: dict[str, int] = {}
    good: dict[str, int] = {}
    for job in jobs:
        caller = job.arrival.caller
        offered[caller] = offered.get(caller, 0) + 1
        good[caller] = good.get(caller, 0) + met_deadline(job)
    remaining = sum(good.values())
    fair: dict[str, float] = {}
    for index, caller in enumerate(sorted(offered, key=lambda name: offered[name])):
        level = remaining / (len(offered) - index)
        fair[caller] = min(offered[caller], level)
        remaining -= fair[caller]
    return min(good[name] / fair[name] if fair[name] else 1.0 for name in offered)


def measure(sim: Simulation) -> Measures:
    """Return the measures of a run."""
    jobs = list(sim.jobs.values())
    after_warm_up = jobs[int(len(jobs) * WARM_UP_FRACTION) :]
    slots = sum(engine.slot_limit for engine in sim.engines.values())
    bound = belady_loads([job.arrival.model for job in jobs], slots)
    stalls = {
        item.value: stall_measures(
            [
                job.stall
                for job in after_warm_up
                if job.arrival.request_class is item and job.refused is None
            ]
        )
        for item in RequestClass
    }
    recovered_at = sim.trace.event_at + SHIFT_RECOVERY_SECONDS
    recovered = [
        job.stall
        for job in after_warm_up
        if 0 <= job.arrival.at - recovered_at < SHIFT_WINDOW_SECONDS
        and job.refused is None
    ]
    span = after_warm_up[-1].arrival.at - after_warm_up[0].arrival.at
    batch = [job for job in jobs if job.arrival.request_class is RequestClass.BATCH]
    return Measures(
        requests=len(jobs),
        loads_per_request=sim.loads / len(jobs),
        loads_over_bound=sim.loads / bound,
        stalls=stalls,
        batch_fill=sim.weighted_fill_seconds / sim.queued_seconds
        if sim.queued_seconds
        else None,
        refused=sum(job.refused is not None for job in jobs),
        late_refusals=sum(map(is_late_refusal, jobs)),
        good_rate=sum(map(met_deadline, after_warm_up)) / span,
        lost=sum(job.ended is None and job.refused is None for job in jobs),
        batch_jobs=len(batch),
        batch_jobs_done=sum(job.ended is not None for job in batch),
        least_fair_share=least_fair_share(after_warm_up),
        recovered_mean=statistics.fmean(recovered) if recovered else 0.0,
    )
