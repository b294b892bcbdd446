"""The parts of one instance that decide about places, loads and evictions."""

from collections.abc import Callable, Mapping
from datetime import timedelta
from typing import Any, TypeVar

from magnoliatrail.clock import Clock
from magnoliatrail.config.in_force import ConfigurationInForce
from magnoliatrail.config.resolve import Scopes, setting_of
from magnoliatrail.engines.load_scheduler import LoadRules, LoadScheduler
from magnoliatrail.engines.owner import EngineOwner
from magnoliatrail.entry.places import EntryPlaces
from magnoliatrail.generated.settings import Settings
from magnoliatrail.ids import AdapterVersion, CallerId, EngineId
from magnoliatrail.membership.fleet import Fleet
from magnoliatrail.metrics import Metrics
from magnoliatrail.peers.placement_links import (
    DemandLinks,
    LoadTurnLinks,
    Neighbours,
    placement_routes,
)
from magnoliatrail.peers.server import PeerRoute
from magnoliatrail.placement.load_queue import ClassWeights
from magnoliatrail.placement.load_rate_limiter import LoadLimits
from magnoliatrail.placement.popularity import Popularity, PopularitySettings
from magnoliatrail.routing.engine_choice import PlacementWeights
from magnoliatrail.routing.permit_search import RoutingState

T = TypeVar("T")


class PlacementParts:
    """Hold the routing state, the load schedule and the batch places."""

    def __init__(
        self,
        *,
        settings: Settings,
        clock: Clock,
        metrics: Metrics,
        configuration: ConfigurationInForce,
        fleet: Fleet,
        neighbours: Neighbours,
        owners: Callable[[], Mapping[EngineId, EngineOwner]],
    ) -> None:
        self.configuration = configuration
        self.scopes = Scopes(failure_domain=settings.failure_domain)
        self.neighbours = neighbours
        self.places = EntryPlaces(clock=clock, queue_limit=self.queue_limit)
        self.state = RoutingState(
            popularity=self.new_popularity(),
            demand=self.places.demand,
            service_time=lambda: timedelta(seconds=self.places.service_seconds),
            weights=self.weights,
            instances=self.instances,
        )
        self.turns = LoadTurnLinks(neighbours, clock, self.load_limits)
        self.loads = LoadScheduler(
            clock=clock,
            metrics=metrics,
            rules=self.load_rules,
            take_turn=self.turns.take,
        )
        self.demand = DemandLinks(
            neighbours=neighbours,
            clock=clock,
            fleet=fleet,
            owners=owners,
            state=self.state,
            places=self.places,
        )

    def setting(self, name: str, value_type: type[T], **scopes: str) -> T:
        """Return a setting in force for this instance's failure domain."""
        wanted = Scopes(failure_domain=self.scopes.failure_domain, **scopes)
        return setting_of(self.configuration.configuration, name, value_type, wanted)

    def new_popularity(self) -> Popularity[AdapterVersion]:
        """Return an empty count of uses."""
        memory = self.setting("popularity_memory_seconds", float)
        return Popularity(PopularitySettings(memory=timedelta(seconds=memory)))

    def queue_limit(self, caller: CallerId) -> int:
        """Return how many requests of a caller and class may wait for an engine."""
        return self.setting("queue_per_caller", int, caller=caller)

    def weights(self) -> PlacementWeights:
        """Return how stalls weigh against batch efficiency."""
        return PlacementWeights(
            stall=self.setting("stall_weight", float),
            batch=self.setting("batch_weight", float),
        )

    def instances(self) -> int:
        """Return the number of live instances, this one included."""
        return max(1, len(self.neighbours.live()))

    def load_limits(self) -> LoadLimits:
        """Return the pace of loads that the weight store allows."""
        return LoadLimits(
            self.setting("loads_per_second", float),
            self.setting("load_burst", int),
            self.setting("loads_in_flight", int),
        )

    def load_rules(self) -> LoadRules:
        """Return the settings that the load schedule depends on."""
        weights = ClassWeights(
            self.setting("interactive_value", float),
            self.setting("batch_value", float),
        )
        return LoadRules(self.load_limits(), weights, self.instances())

    def routes(self) -> list[PeerRoute[Any]]:
        """Return what the peer listener serves about placement."""
        return placement_routes(self.turns, self.demand)
