"""Selection of the engine for a request."""

import math
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from magnoliatrail.ids import EngineId

TARGET_BATCH_UTILIZATION = 0.8


class Residency(Enum):
    """Whether an engine has an adapter loaded."""

    LOADED = "loaded"
    LOADING = "loading"
    ABSENT = "absent"


class Reason(Enum):
    """Why an engine was chosen."""

    PREFIX_CACHED = "prefix_cached"
    LOADED_HERE = "loaded_here"
    LOADING_HERE = "loading_here"
    QUEUE_SHORTEST = "queue_shortest"
    SPILL = "spill"
    FREE_SLOT = "free_slot"
    LEAST_VALUABLE_SLOT = "least_valuable_slot"
    NO_ROOM = "no_room"


@dataclass(frozen=True, slots=True)
class EngineView:
    """The known state of a candidate engine, for one adapter."""

    engine: EngineId
    residency: Residency
    batch_slots: int
    in_flight: int = 0
    waiting: int = 0
    free_slots: int = 0
    slot_value: float = math.inf
    prefix_cached: bool = False

    @property
    def load(self) -> float:
        """Return the number of running and waiting requests per batch slot."""
        return (self.in_flight + self.waiting) / self.batch_slots

    @property
    def full(self) -> bool:
        """Return whether a further request would have to wait."""
        return self.in_flight + self.waiting >= self.batch_slots


@dataclass(frozen=True, slots=True)
class AdapterDemand:
    """The request rate of an adapter, and the cost of serving and loading it.

    `rate` is in requests a second over all instances.
    """

    rate: float
    service_time: timedelta
    load_wait: timedelta


@dataclass(frozen=True, slots=True)
class PlacementWeights:
    """Weights of load stalls and of batch efficiency."""

    stall: float = 1.0
    batch: float = 1.0


@dataclass(frozen=True, slots=True)
class Choice:
    """The engine chosen for a request, and why."""

    engine: EngineId
    reason: Reason


def replicas_wanted(demand: AdapterDemand, batch_slots: int) -> int:
    """Return the number of engines that the demand for an adapter fills."""
    busy = demand.rate * demand.service_time.total_seconds()
    return max(1, math.ceil(busy / (batch_slots * TARGET_BATCH_UTILIZATION)))


def queue_wait(view: EngineView, demand: AdapterDemand) -> timedelta:
    """Return the expected wait for a batch slot on an engine."""
    ahead = max(0, view.in_flight + view.waiting + 1 - view.batch_slots)
    return demand.service_time * (ahead / view.batch_slots)


def should_spill(
    resident: Sequence[EngineView], demand: AdapterDemand, weights: PlacementWeights
) -> bool:
    """Return whether loading another replica costs less than queueing.

    No further replica is loaded while one is loading.
    """
    if any(view.residency is Residency.LOADING for view in resident):
        return False
    shortest = min(queue_wait(view, demand) for view in resident)
    busy = sum(view.in_flight + view.waiting for view in resident)
    wanted = replicas_wanted(demand, resident[0].batch_slots)
    overflowing = busy > sum(view.batch_slots for view in resident)
    if len(resident) >= wanted and not overflowing:
        return False
    return shortest * weights.stall > demand.load_wait * weights.batch


def choose_resident(resident: Sequence[EngineView]) -> Choice:
    """Choose among the engines where the adapter is loaded or loading."""
    open_views = [view for view in resident if not view.full]
    if not open_views:
        shortest = min(resident, key=lambda view: view.load)
        return Choice(shortest.engine, Reason.QUEUE_SHORTEST)
    best = min(
        open_views,
        key=lambda view: (
            view.residency is not Residency.LOADED,
            not view.prefix_cached,
            view.load,
        ),
    )
    if best.residency is Residency.LOADING:
        return Choice(best.engine, Reason.LOADING_HERE)
    if best.prefix_cached:
        return Choice(best.engine, Reason.PREFIX_CACHED)
    return Choice(best.engine, Reason.LOADED_HERE)


def choose_load_target(absent: Sequence[EngineView]) -> Choice:
    """Choose the engine that loads the adapter."""
    free = [view for view in absent if view.free_slots > 0]
    if free:
        emptiest = max(free, key=lambda view: (view.free_slots, -view.load))
        return Choice(emptiest.engine, Reason.FREE_SLOT)
    cheapest = min(absent, key=lambda view: (view.slot_value, view.load))
    if math.isinf(cheapest.slot_value):
        return Choice(cheapest.engine, Reason.NO_ROOM)
    return Choice(cheapest.engine, Reason.LEAST_VALUABLE_SLOT)


def choose_engine(
    views: Sequence[EngineView], demand: AdapterDemand, weights: PlacementWeights
) -> Choice:
    """Choose the engine for a request; ties go to the earlier candidate."""
    resident = [view for view in views if view.residency is not Residency.ABSENT]
    absent = [view for view in views if view.residency is Residency.ABSENT]
    if resident and not (absent and should_spill(resident, demand, weights)):
        return choose_resident(resident)
    choice = choose_load_target(absent)
    if resident:
        if choice.reason is Reason.NO_ROOM:
            return choose_resident(resident)
        return Choice(choice.engine, Reason.SPILL)
    return choice
