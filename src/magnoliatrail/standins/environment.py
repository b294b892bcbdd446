"""A stand-in environment: all stand-ins of a deployment, served by one process."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from tornado.httpclient import AsyncHTTPClient
from tornado.web import Application

from magnoliatrail.clock import Clock
from magnoliatrail.generated.platform import (
    CatalogueEntry,
    ListedInstance,
    ListedKind,
    ListedState,
)
from magnoliatrail.listeners import Listener, listen
from magnoliatrail.standins.engine import EngineLimits, FakeEngine
from magnoliatrail.standins.engine_http import engine_application
from magnoliatrail.standins.instance_list import (
    FakeInstanceList,
    instance_list_application,
)
from magnoliatrail.standins.objects import FakeObjects, objects_application
from magnoliatrail.standins.service import FakeService, service_application
from magnoliatrail.standins.table import FakeTable, table_application
from magnoliatrail.standins.weights import (
    NASSAR,
    FakeWeightStore,
    WeightStoreLimits,
    weights_application,
)

HOST = "127.0.0.1"
BASE_MODEL = "base"


DEFAULT_ENGINE_LIMITS = EngineLimits()


@dataclass(frozen=True, slots=True)
class EnvironmentSize:
    """Number and limits of the stand-ins.

    Listeners take consecutive ports from `first_port`; 0 lets the kernel choose.
    """

    engines: int = 3
    services: int = 2
    adapters: int = 48
    failure_domains: int = 3
    engine: EngineLimits = DEFAULT_ENGINE_LIMITS
    # Versions of the engines' software, which they take in turn.
    software_versions: tuple[str, ...] = ("",)
    weights: WeightStoreLimits = NASSAR
    first_port: int = 0


@dataclass
class StandInEnvironment:
    """All stand-ins of a deployment and their listeners."""

    table: FakeTable
    objects: FakeObjects
    weights: FakeWeightStore
    instances: FakeInstanceList
    engines: list[FakeEngine] = field(default_factory=list)
    services: list[FakeService] = field(default_factory=list)
    listeners: dict[str, Listener] = field(default_factory=dict)

    def url(self, name: str) -> str:
        """Return the address of a stand-in."""
        return self.listeners[name].url

    async def close(self) -> None:
        """Stop all listeners."""
        for listener in self.listeners.values():
            await listener.close()


def adapter_catalogue(count: int) -> list[CatalogueEntry]:
    """Return catalogue entries of `count` adapters, all at version 1."""
    return [
        CatalogueEntry(adapter=f"adapter-{i:04d}", version="1", base_model=BASE_MODEL)
        for i in range(count)
    ]


def start_environment(clock: Clock, size: EnvironmentSize) -> StandInEnvironment:
    """Start all stand-ins and put the backend servers on the instance list."""
    weights = FakeWeightStore(clock, size.weights, adapter_catalogue(size.adapters))
    environment = StandInEnvironment(
        FakeTable(), FakeObjects(), weights, FakeInstanceList(clock)
    )
    ports = iter(range(size.first_port, size.first_port + 1000))

    def serve(name: str, application: Application) -> Listener:
        port = next(ports) if size.first_port else 0
        environment.listeners[name] = listen(application, host=HOST, port=port)
        return environment.listeners[name]

    serve("table", table_application(environment.table))
    serve("objects", objects_application(environment.objects))
    serve("weights", weights_application(environment.weights))
    serve("instance-list", instance_list_application(environment.instances))
    for number in range(size.engines):
        version = size.software_versions[number % len(size.software_versions)]
        engine = FakeEngine(
            clock, size.engine, fetch_from(weights), software_version=version
        )
        environment.engines.append(engine)
        name = f"engine-{number}"
        listener = serve(name, engine_application(engine))
        add_to_instance_list(
            environment, name, ListedKind.ENGINE, listener, number, size, version
        )
    for number in range(size.services):
        service = FakeService("bookings")
        environment.services.append(service)
        name = f"bookings-{number}"
        listener = serve(name, service_application(service))
        add_to_instance_list(
            environment, name, ListedKind.SERVICE, listener, number, size
        )
    return environment


def add_to_instance_list(
    environment: StandInEnvironment,
    name: str,
    kind: ListedKind,
    listener: Listener,
    number: int,
    size: EnvironmentSize,
    software_version: str = "",
) -> None:
    """Put a backend server on the instance list."""
    entry = ListedInstance(
        id=name,
        kind=kind,
        name=BASE_MODEL if kind is ListedKind.ENGINE else "bookings",
        url=listener.url,
        failure_domain=f"domain-{number % size.failure_domains}",
        state=ListedState.LIVE,
        software_version=software_version,
    )
    environment.instances.put(entry)


def fetch_from(weights: FakeWeightStore) -> Callable[[str], Awaitable[None]]:
    """Return a function that fetches adapters from a store in this process."""

    async def fetch(source: str) -> None:
        await weights.fetch()

    return fetch


def fetch_over_http(
    client: AsyncHTTPClient, url: str
) -> Callable[[str], Awaitable[None]]:
    """Return a function that fetches adapters from a weight store over HTTP."""

    async def fetch(source: str) -> None:
        await client.fetch(f"{url}/weights/{source}", request_timeout=600)

    return fetch
