"""Decoding of the operators' rows: configuration and adapter versions."""

from datetime import timedelta
from functools import lru_cache
from typing import Annotated

import msgspec
from expression import Error, Ok, Result
from msgspec import Meta

from magnoliatrail.backends import LoadedAdapter
from magnoliatrail.errors import ErrorKind, Failure
from magnoliatrail.platform.account_rows import (
    AccountDecoder,
    without_unreadable_accounts,
)
from magnoliatrail.platform.protocol import VERSION_PREFIX
from magnoliatrail.routes import (
    CallerLimits,
    EngineSpec,
    ModelSpec,
    Route,
    RouteKind,
    RouteTable,
    Service,
    ServiceShare,
)
from magnoliatrail.wire import decode

DEFAULT_LIMITS = CallerLimits()
# Bounds beyond any use; what exceeds them makes the document invalid.
MAX_SECONDS = 1e6
MAX_INTEGER = 2**63 - 1

# Routes to keep decoded, above the size of a large configuration.
CACHED_ROUTES = 4096
# Keeps the accounts of the last configuration decoded, for the next one.
ACCOUNTS = AccountDecoder()

Milliseconds = Annotated[float, Meta(ge=0, le=MAX_SECONDS * 1000)]
Integer = Annotated[int, Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]


class WireShare(msgspec.Struct):
    """One service's share of a split route."""

    service: str
    weight: float


class WireRoute(msgspec.Struct):
    """A route; answers within `latency_goal_ms` get full credit."""

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout_ms: Milliseconds
    service: str = ""
    split: list[WireShare] = []
    latency_goal_ms: Milliseconds = 0
    priority: Integer = 0
    attempts: Integer = 1
    resumable: bool = False
    gap_target_ms: Milliseconds = 0
    public: bool = False


class WireModel(msgspec.Struct):
    """Base weights: their size, and the time to load them from the store."""

    name: str
    weights_mb: float
    load_time_s: Annotated[float, Meta(ge=0, le=MAX_SECONDS)] = 0
    adapter_mb: float = 0


class WireEngine(msgspec.Struct):
    """Engine capacity: `weights_mb` of memory, `stride` tokens per event."""

    models: list[WireModel]
    weights_mb: float
    slots: int = 1
    kv_cache_tokens: int = 0
    adapter_slots: int = 0
    loads_per_s: float = 1
    stride: int = 1


class WireService(msgspec.Struct):
    """A service; `engine` is set if it runs models."""

    name: str
    health_path: str = "/health"
    connection_limit: int = 0
    engine: WireEngine | None = None


class WireLimits(msgspec.Struct):
    """Limits on callers' requests; each that is not above 0 has its default."""

    body_bytes: int = 0
    header_bytes: int = 0
    header_timeout_ms: Milliseconds = 0
    idle_timeout_ms: Milliseconds = 0


class WireConfiguration(msgspec.Struct):
    """The configuration row."""

    version: Integer
    routes: list[msgspec.Raw]
    services: list[WireService]
    limits: WireLimits = msgspec.field(default_factory=WireLimits)
    # Client accounts; empty if the field is absent.
    tenants: msgspec.Raw = msgspec.Raw(b"")


class WireAdapterVersion(msgspec.Struct):
    """A row that publishes a version of an adapter."""

    model: str
    version: Integer
    adapter: str = ""


def decode_configuration(value: bytes) -> Result[RouteTable, Failure]:
    """Decode the configuration row into a route table."""
    found = decode(value, WireConfiguration)
    if found.is_error() and b"tenants" in value:
        found = decode(without_unreadable_accounts(value), WireConfiguration)
    match found:
        case Result(tag="ok", ok=configuration):
            return route_table_of(configuration)
        case Result(error=failure):
            return Error(Failure(ErrorKind.INVALID_CONFIGURATION, failure.message))


def route_table_of(found: WireConfiguration) -> Result[RouteTable, Failure]:
    """Convert a configuration to the internal form."""
    routes = []
    for number, raw in enumerate(found.routes):
        match decode_route(bytes(raw)):
            case Result(tag="ok", ok=route):
                routes.append(route)
            case Result(error=failure):
                message = f"route {number}: {failure.message}"
                return Error(Failure(ErrorKind.INVALID_CONFIGURATION, message))
    accounts = None
    if field := bytes(found.tenants):
        match ACCOUNTS.decode(field):
            case Result(tag="ok", ok=table):
                accounts = table
            case Result(error=failure):
                return Error(failure)
    return Ok(
        RouteTable(
            version=found.version,
            routes=tuple(routes),
            services={item.name: service_of(item) for item in found.services},
            limits=limits_of(found.limits),
            accounts=accounts,
        )
    )


def limits_of(limits: WireLimits) -> CallerLimits:
    """Convert limits to the internal form; what is not above 0 has its default."""
    default = DEFAULT_LIMITS
    header_timeout = timedelta(milliseconds=limits.header_timeout_ms)
    idle_timeout = timedelta(milliseconds=limits.idle_timeout_ms)
    return CallerLimits(
        body_bytes=limits.body_bytes if limits.body_bytes > 0 else default.body_bytes,
        header_bytes=(
            limits.header_bytes if limits.header_bytes > 0 else default.header_bytes
        ),
        header_timeout=header_timeout or default.header_timeout,
        idle_timeout=idle_timeout or default.idle_timeout,
    )


@lru_cache(maxsize=CACHED_ROUTES)
def decode_route(raw: bytes) -> Result[Route, Failure]:
    """Decode a route; most are the same from one configuration to the next."""
    return decode(raw, WireRoute).map(route_of)


def route_of(route: WireRoute) -> Route:
    """Convert a route to the internal form."""
    parts = [ServiceShare(part.service, part.weight) for part in route.split]
    return Route(
        name=route.name,
        host=route.host,
        prefix=route.prefix,
        kind=route.kind,
        shares=tuple(parts or [ServiceShare(route.service, 1.0)]),
        time_limit=timedelta(milliseconds=route.timeout_ms),
        goal=timedelta(milliseconds=route.latency_goal_ms or route.timeout_ms),
        priority=route.priority,
        attempts=route.attempts,
        resumable=route.resumable,
        pause_goal=timedelta(milliseconds=route.gap_target_ms),
        public=route.public,
    )


def service_of(service: WireService) -> Service:
    """Convert a service to the internal form."""
    engine = service.engine
    return Service(
        name=service.name,
        health_path=service.health_path,
        connection_limit=service.connection_limit,
        engine=engine_of(engine) if engine else None,
    )


def engine_of(engine: WireEngine) -> EngineSpec:
    """Convert the capacity of a service's engines to the internal form."""
    models = {
        model.name: ModelSpec(
            name=model.name,
            size_mb=model.weights_mb,
            load_time=timedelta(seconds=model.load_time_s),
            adapter_mb=model.adapter_mb,
        )
        for model in engine.models
    }
    return EngineSpec(
        batch_slots=engine.slots,
        cache_tokens=engine.kv_cache_tokens,
        adapter_slots=engine.adapter_slots,
        weights_mb=engine.weights_mb,
        loads_per_second=engine.loads_per_s,
        event_tokens=engine.stride,
        models=models,
    )


def decode_version(key: str, value: bytes) -> LoadedAdapter | None:
    """Decode an adapter version row; return None for any other row."""
    if not key.startswith(VERSION_PREFIX):
        return None
    match decode(value, WireAdapterVersion):
        case Result(tag="ok", ok=found):
            return LoadedAdapter(found.model, found.adapter, found.version)
    return None
