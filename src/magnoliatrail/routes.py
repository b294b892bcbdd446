"""Routes from callers' hosts and paths to services, from the configuration."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

# The platform's lower bound on the wait for the first event of a stream.
MIN_FIRST_EVENT_TIMEOUT = timedelta(seconds=2)


class RouteKind(Enum):
    """How the requests of a route may be retried."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAMING = "streaming"


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """The share of a route's requests that one service gets."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Map a host's paths below a prefix to services, with limits and goals."""

    name: str
    host: str
    prefix: str
    kind: RouteKind
    shares: tuple[ServiceShare, ...]
    time_limit: timedelta
    # Latency goal, or the time limit if none is configured.
    goal: timedelta
    # 0 is the most urgent.
    priority: int
    # Maximum number of backend servers that run one request.
    attempts: int
    resumable: bool
    # Longest pause between two events of a stream that meets the goal; 0 for none.
    pause_goal: timedelta = timedelta()

    @property
    def first_event_timeout(self) -> timedelta:
        """Return the timeout for the first event of a stream.

        The platform defines it as the longest of two seconds, four times the goal and
        eight times the pause goal.
        """
        return max(MIN_FIRST_EVENT_TIMEOUT, self.goal * 4, self.pause_goal * 8)

    @property
    def idempotent(self) -> bool:
        """Return whether a request may run more than once."""
        return self.kind is RouteKind.SAFE or self.resumable

    def service_for(self, point: float) -> str:
        """Return the service at a point from 0 to 1 of the cumulative shares."""
        rest = point * sum(share.weight for share in self.shares)
        for share in self.shares:
            rest -= share.weight
            if rest < 0:
                return share.service
        return self.shares[-1].service


@dataclass(frozen=True, slots=True)
class ModelSpec:
    """Base weights that the engines of a service can load."""

    name: str
    size_mb: float
    load_time: timedelta
    adapter_mb: float


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """The capacity of each engine of a service."""

    batch_slots: int
    cache_tokens: int
    adapter_slots: int
    weights_mb: float
    loads_per_second: float
    # Tokens per event of a stream.
    event_tokens: int
    models: Mapping[str, ModelSpec]


@dataclass(frozen=True, slots=True)
class Service:
    """A group of backend servers that answer the same requests."""

    name: str
    health_path: str
    connection_limit: int
    # None for a plain service.
    engine: EngineSpec | None = None


@dataclass(frozen=True)
class RouteTable:
    """All routes and services of one configuration version."""

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    max_body_bytes: int
    by_host: dict[str, list[Route]] = field(init=False, repr=False)

    def __post_init__(self) -> None:
        """Index the routes by host, longest prefix first."""
        index: dict[str, list[Route]] = {}
        for route in self.routes:
            index.setdefault(route.host.lower(), []).append(route)
        for routes in index.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)
        object.__setattr__(self, "by_host", index)

    def pause_goal(self, service: str) -> timedelta:
        """Return the shortest pause goal of a service's routes, 0 if none has one."""
        pauses = [
            route.pause_goal
            for route in self.routes
            if route.pause_goal
            and any(share.service == service for share in route.shares)
        ]
        return min(pauses, default=timedelta())

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix, None if none matches."""
        name = host.partition(":")[0].lower()
        for route in self.by_host.get(name, ()):
            if path.startswith(route.prefix):
                return route
        return None
