"""The command `magnoliatrail standin`."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

import click
from msgspec.structs import replace
from tornado.httpclient import HTTPRequest
from tornado.web import Application

from magnoliatrail.clock import SystemClock
from magnoliatrail.generated.platform import ListedInstance, ListedKind, ListedState
from magnoliatrail.listeners import Listener, listen
from magnoliatrail.standins.engine import EngineLimits, FakeEngine
from magnoliatrail.standins.engine_http import engine_application
from magnoliatrail.standins.environment import (
    BASE_MODEL,
    HOST,
    EnvironmentSize,
    adapter_catalogue,
    fetch_over_http,
    start_environment,
)
from magnoliatrail.standins.instance_list import (
    FakeInstanceList,
    instance_list_application,
)
from magnoliatrail.standins.objects import FakeObjects, objects_application
from magnoliatrail.standins.service import FakeService, service_application
from magnoliatrail.standins.table import FakeTable, table_application
from magnoliatrail.standins.weights import (
    ANJS,
    NASSAR,
    FakeWeightStore,
    weights_application,
)
from magnoliatrail.wire import CallLimits, call, encode, new_http_client

DEPLOYMENTS = {"nassar": NASSAR, "anjs": ANJS}
REGISTER_LIMITS = CallLimits(timedelta(seconds=2), timedelta(seconds=5))

port_option = click.option(
    "--port", type=click.IntRange(0, 65535), default=0, show_default=True
)
id_option = click.option("--id", "name", required=True, help="Id on the instance list.")
domain_option = click.option("--failure-domain", default="domain-0", show_default=True)
list_option = click.option(
    "--instance-list-url", help="Instance list on which to register this server."
)


@click.group()
def standin() -> None:
    """Run a stand-in for an external service until interrupted.

    Each stand-in prints its address. `POST /faults` with JSON such as {"down": true}
    turns faults on and off.
    """


def serve_forever(make: Callable[[], Application], port: int) -> None:
    """Serve an application until the process ends."""

    async def run() -> None:
        print_address(listen(make(), host=HOST, port=port))
        await asyncio.Event().wait()

    asyncio.run(run())


def print_address(listener: Listener) -> None:
    """Print the address of a listener."""
    click.echo(listener.url)


@standin.command()
@port_option
def table(port: int) -> None:
    """Run a table service."""
    serve_forever(lambda: table_application(FakeTable()), port)


@standin.command()
@port_option
def objects(port: int) -> None:
    """Run an object store."""
    serve_forever(lambda: objects_application(FakeObjects()), port)


@standin.command()
@port_option
@click.option("--adapters", type=click.IntRange(1), default=48, show_default=True)
@click.option("--deployment", type=click.Choice(sorted(DEPLOYMENTS)), default="nassar")
def weights(port: int, adapters: int, deployment: str) -> None:
    """Run a rate-limited weight store."""
    limits = DEPLOYMENTS[deployment]
    catalogue = adapter_catalogue(adapters)
    serve_forever(
        lambda: weights_application(FakeWeightStore(SystemClock(), limits, catalogue)),
        port,
    )


@standin.command("instance-list")
@port_option
@click.option("--lag-seconds", type=click.FloatRange(0), default=0.0)
def instance_list(port: int, lag_seconds: float) -> None:
    """Run an instance list with a configurable lag."""
    lag = timedelta(seconds=lag_seconds)
    serve_forever(
        lambda: instance_list_application(FakeInstanceList(SystemClock(), lag=lag)),
        port,
    )


@standin.command()
@port_option
@id_option
@domain_option
@list_option
@click.option("--weights-url", required=True)
@click.option("--adapter-slots", type=click.IntRange(1), default=4, show_default=True)
@click.option("--batch-slots", type=click.IntRange(1), default=8, show_default=True)
@click.option("--token-milliseconds", type=click.FloatRange(0), default=5.0)
@click.option("--checks-fencing/--ignores-fencing", default=False)
@click.option(
    "--software-version", default="", help="Named on the list and in answers."
)
def engine(
    port: int,
    name: str,
    failure_domain: str,
    instance_list_url: str | None,
    weights_url: str,
    adapter_slots: int,
    batch_slots: int,
    token_milliseconds: float,
    checks_fencing: bool,
    software_version: str,
) -> None:
    """Run a model engine."""
    limits = EngineLimits(
        adapter_slots=adapter_slots,
        batch_slots=batch_slots,
        token_time=timedelta(milliseconds=token_milliseconds),
        checks_fencing=checks_fencing,
    )

    async def run() -> None:
        fetch = fetch_over_http(new_http_client(), weights_url)
        fake = FakeEngine(
            SystemClock(), limits, fetch, software_version=software_version
        )
        listener = listen(engine_application(fake), host=HOST, port=port)
        entry = entry_of(name, ListedKind.ENGINE, BASE_MODEL, listener, failure_domain)
        entry = replace(entry, software_version=software_version)
        await register(entry, instance_list_url)
        print_address(listener)
        await asyncio.Event().wait()

    asyncio.run(run())


@standin.command()
@port_option
@id_option
@domain_option
@list_option
@click.option("--service", default="bookings", show_default=True)
def service(
    port: int,
    name: str,
    failure_domain: str,
    instance_list_url: str | None,
    service: str,
) -> None:
    """Run a replica of a plain service that counts executions."""

    async def run() -> None:
        fake = FakeService(service)
        listener = listen(service_application(fake), host=HOST, port=port)
        entry = entry_of(name, ListedKind.SERVICE, service, listener, failure_domain)
        await register(entry, instance_list_url)
        print_address(listener)
        await asyncio.Event().wait()

    asyncio.run(run())


@standin.command("all")
@click.option(
    "--first-port",
    type=click.IntRange(1024, 65000),
    default=9100,
    show_default=True,
    help="Port of the table; the others use the ports that follow.",
)
def all_kinds(first_port: int) -> None:
    """Run all stand-ins, with three engines and two service replicas."""

    async def run() -> None:
        environment = start_environment(
            SystemClock(), EnvironmentSize(first_port=first_port)
        )
        for name, listener in environment.listeners.items():
            click.echo(f"{name} {listener.url}")
        await asyncio.Event().wait()

    asyncio.run(run())


def entry_of(
    name: str, kind: ListedKind, group: str, listener: Listener, domain: str
) -> ListedInstance:
    """Return the list entry of a backend server."""
    return ListedInstance(
        id=name,
        kind=kind,
        name=group,
        url=listener.url,
        failure_domain=domain,
        state=ListedState.LIVE,
    )


async def register(entry: ListedInstance, instance_list_url: str | None) -> None:
    """Register a backend server on the instance list, if there is one."""
    if instance_list_url is None:
        return
    request = HTTPRequest(
        f"{instance_list_url}/instances", method="PUT", body=encode(entry)
    )
    await call(new_http_client(), request, REGISTER_LIMITS)
