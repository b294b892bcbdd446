"""The deployments that the benchmarks model."""

from dataclasses import dataclass, field

from magnoliatrail.routing.engine_choice import PlacementWeights
from magnoliatrail.standins.engine import EngineLimits
from magnoliatrail.standins.weights import ANJS as ANJS_STORE
from magnoliatrail.standins.weights import NASSAR as NASSAR_STORE
from magnoliatrail.standins.weights import WeightStoreLimits


@dataclass(frozen=True, slots=True)
class Site:
    """Size and limits of one deployment."""

    name: str
    engines: int
    failure_domains: int
    entries: int
    adapters: int
    store: WeightStoreLimits
    weights: PlacementWeights
    batch_share: float
    limits: EngineLimits = field(default_factory=EngineLimits)


NASSAR = Site(
    name="nassar",
    engines=6,
    failure_domains=3,
    entries=6,
    adapters=3000,
    store=NASSAR_STORE,
    weights=PlacementWeights(stall=4.0, batch=1.0),
    batch_share=0.3,
)
ANJS = Site(
    name="anjs",
    engines=9,
    failure_domains=4,
    entries=7,
    adapters=3000,
    store=ANJS_STORE,
    weights=PlacementWeights(stall=1.0, batch=4.0),
    batch_share=0.6,
)
SITES = {site.name: site for site in (NASSAR, ANJS)}
