"""Routes from callers' hosts and paths to services, from the configuration."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

from magnoliatrail.accounts.accounts import AccountTable

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
    # Whether callers need no key where accounts are in force.
    public: bool = False

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

    @property
    def services(self) -> tuple[str, ...]:
        """Return the services that the route leads to."""
        drawn = tuple(share.service for share in self.shares if share.weight > 0)
        return drawn or (self.shares[-1].service,)

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


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """The limits on callers' requests and connections."""

    body_bytes: int = 4 * 1024 * 1024
    header_bytes: int = 16 * 1024
    header_timeout: timedelta = timedelta(seconds=3)
    # Callers use connections again that were idle for four fifths of this.
    idle_timeout: timedelta = timedelta(seconds=15)


@dataclass(frozen=True)
class RouteTable:
    """All routes and services of one configuration version."""

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    limits: CallerLimits = CallerLimits()
    # The client accounts, None if the configuration has none.
    accounts: AccountTable | None = None
    by_host: dict[str, "PrefixIndex"] = field(init=False, repr=False, compare=False)
    pause_goals: dict[str, timedelta] = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        """Index what each request looks up, as there may be many routes."""
        hosts: dict[str, list[Route]] = {}
        goals: dict[str, timedelta] = {}
        for route in self.routes:
            hosts.setdefault(route.host.lower(), []).append(route)
            if not route.pause_goal:
                continue
            for share in route.shares:
                known = goals.get(share.service, route.pause_goal)
                goals[share.service] = min(known, route.pause_goal)
        index = {host: PrefixIndex(routes) for host, routes in hosts.items()}
        object.__setattr__(self, "by_host", index)
        object.__setattr__(self, "pause_goals", goals)

    @property
    def max_body_bytes(self) -> int:
        """Return the size limit on the body of a request."""
        return self.limits.body_bytes

    def pause_goal(self, service: str) -> timedelta:
        """Return the shortest pause goal of a service's routes, 0 if none has one."""
        return self.pause_goals.get(service, timedelta())

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix, None if none matches."""
        index = self.by_host.get(host.partition(":")[0].lower())
        return index.match(path) if index else None


class PrefixIndex:
    """Find the longest prefix of a path among many routes."""

    def __init__(self, routes: Iterable[Route]) -> None:
        self.routes: dict[str, Route] = {}
        for route in routes:
            self.routes.setdefault(route.prefix, route)
        self.lengths = sorted({len(prefix) for prefix in self.routes}, reverse=True)

    def match(self, path: str) -> Route | None:
        """Return the route with the longest matching prefix, None if none matches."""
        for length in self.lengths:
            route = self.routes.get(path[:length])
            if route is not None:
                return route
        return None
