"""The components of one instance for batch slots, loads and evictions."""

from collections.abc import Callable, Mapping
from datetime import timedelta
from typing import Any, TypeVar

from magnoliatrail.clock import Clock
from magnoliatrail.config.in_force import ConfigurationInForce
from magnoliatrail.config.resolve import Scopes, setting_of
from magnoliatrail.engines.load_scheduler import LoadRules, LoadScheduler
from magnoliatrail.engines.owner import EngineOwner
from magnoliatrail.entry.batch_slots import EntryBatchSlots
from magnoliatrail.generated.settings import Settings
from magnoliatrail.ids import AdapterVersion, CallerId, EngineId
from magnoliatrail.membership.fleet import Fleet
from magnoliatrail.metrics import Metrics
from magnoliatrail.peers.placement_messages import (
    DemandExchange,
    LoadRateCoordination,
    PeerDirectory,
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
    """Hold the routing state, the load scheduler and the batch slots."""

    def __init__(
        self,
        *,
        settings: Settings,
        clock: Clock,
        metrics: Metrics,
        configuration: ConfigurationInForce,
        fleet: Fleet,
        peer_directory: PeerDirectory,
        owners: Callable[[], Mapping[EngineId, EngineOwner]],
    ) -> None:
        self.configuration = configuration
        self.scopes = Scopes(failure_domain=settings.failure_domain)
        self.peer_directory = peer_directory
        self.batch_slots = EntryBatchSlots(clock=clock, queue_limit=self.queue_limit)
        self.state = RoutingState(
            popularity=self.new_popularity(),
            demand=self.batch_slots.demand,
            service_time=lambda: timedelta(
                seconds=self.batch_slots.mean_service_seconds
            ),
            weights=self.weights,
            instances=self.instances,
        )
        self.load_rate = LoadRateCoordination(peer_directory, clock, self.load_limits)
        self.loads = LoadScheduler(
            clock=clock,
            metrics=metrics,
            rules=self.load_rules,
            acquire_rate_token=self.load_rate.acquire,
        )
        self.demand = DemandExchange(
            peer_directory=peer_directory,
            clock=clock,
            fleet=fleet,
            owners=owners,
            state=self.state,
            batch_slots=self.batch_slots,
        )

    def setting(self, name: str, value_type: type[T], **scopes: str) -> T:
        """Return the value of a setting for this failure domain and other scopes."""
        wanted = Scopes(failure_domain=self.scopes.failure_domain, **scopes)
        return setting_of(self.configuration.configuration, name, value_type, wanted)

    def new_popularity(self) -> Popularity[AdapterVersion]:
        """Return an empty popularity count."""
        memory = self.setting("popularity_memory_seconds", float)
        return Popularity(PopularitySettings(memory=timedelta(seconds=memory)))

    def queue_limit(self, caller: CallerId) -> int:
        """Return the maximum queue length per caller and class at an engine."""
        return self.setting("queue_per_caller", int, caller=caller)

    def weights(self) -> PlacementWeights:
        """Return the weights of load stalls and batch efficiency."""
        return PlacementWeights(
            stall=self.setting("stall_weight", float),
            batch=self.setting("batch_weight", float),
        )

    def instances(self) -> int:
        """Return the number of live instances, this one included."""
        return max(1, len(self.peer_directory.live_instances()))

    def load_limits(self) -> LoadLimits:
        """Return the limits that the weight store sets on loads."""
        return LoadLimits(
            self.setting("loads_per_second", float),
            self.setting("load_burst", int),
            self.setting("loads_in_flight", int),
        )

    def load_rules(self) -> LoadRules:
        """Return the settings of the load scheduler."""
        weights = ClassWeights(
            self.setting("interactive_value", float),
            self.setting("batch_value", float),
        )
        return LoadRules(self.load_limits(), weights, self.instances())

    def routes(self) -> list[PeerRoute[Any]]:
        """Return the peer listener's routes for placement."""
        return placement_routes(self.load_rate, self.demand)
