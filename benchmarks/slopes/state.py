"""Memory and processor time of an instance's state: adapters, engines, permits."""

from datetime import timedelta

from benchmarks.slopes.fit import Slope, fit_slope
from benchmarks.slopes.measure import peak_bytes, processor_microseconds, retained_bytes
from magnoliatrail.clock import ManualClock
from magnoliatrail.engines.permits import PermitHolder
from magnoliatrail.generated.membership import (
    MemberRecord,
    MemberState,
    OwnerRow,
    SessionRow,
)
from magnoliatrail.generated.permits import PermitGrant
from magnoliatrail.generated.platform import (
    Catalogue,
    CatalogueEntry,
    InstanceList,
    ListedInstance,
    ListedKind,
    ListedState,
)
from magnoliatrail.ids import (
    AdapterVersion,
    EngineId,
    InstanceId,
    new_incarnation,
    new_write_id,
)
from magnoliatrail.membership.fleet import Fleet
from magnoliatrail.placement.catalogue import AdapterCatalogue
from magnoliatrail.placement.popularity import Popularity, PopularitySettings
from magnoliatrail.wire import decode, encode

ADAPTERS = (1_000, 10_000, 130_000)
SERVERS = (100, 1_000, 6_200)
INSTANCES = (14, 100, 370)
PERMITS = (100, 1_000, 10_000)
BASE_MODELS = 3
FAILURE_DOMAINS = 22


def catalogue_body(adapters: int) -> bytes:
    """Return the encoded catalogue of the weight store."""
    entries = [
        CatalogueEntry(
            adapter=f"adapter-{number:06d}",
            version="1",
            base_model=f"base-{number % BASE_MODELS}",
        )
        for number in range(adapters)
    ]
    return encode(Catalogue(adapters=entries))


def read_catalogue(body: bytes) -> AdapterCatalogue:
    """Decode the catalogue into an instance's in-memory form."""
    catalogue = AdapterCatalogue()
    catalogue.replace(decode(body, Catalogue).ok)
    return catalogue


def list_body(servers: int) -> bytes:
    """Return the encoded instance list of the platform."""
    entries = [
        ListedInstance(
            id=f"engine-{number:05d}",
            kind=ListedKind.ENGINE,
            url=f"http://10.20.{number // 250}.{number % 250}:8000",
            failure_domain=f"domain-{number % FAILURE_DOMAINS}",
            state=ListedState.LIVE,
            name=f"base-{number % BASE_MODELS}",
        )
        for number in range(servers)
    ]
    return encode(InstanceList(instances=entries))


def read_list(body: bytes) -> dict[str, ListedInstance]:
    """Decode the instance list into an instance's in-memory form."""
    instances = decode(body, InstanceList).ok.instances
    return {item.id: item for item in instances}


def fleet_of(body: bytes) -> Fleet:
    """Return an instance's view of the fleet after it has read the list."""
    clock = ManualClock()
    fleet = Fleet(clock, own_record())
    fleet.servers.apply_list(decode(body, InstanceList).ok, clock.monotonic())
    return fleet


def own_record() -> MemberRecord:
    """Return the record of the instance whose state is measured."""
    return MemberRecord(
        instance="instance-000",
        incarnation=new_incarnation(),
        failure_domain="domain-0",
        region="region-1",
        peer_url="http://10.30.0.0:8081",
        version=1,
        state=MemberState.LIVE,
    )


def owner_bodies(engines: int) -> list[bytes]:
    """Return the encoded ownership rows of a number of engines."""
    return [
        encode(
            OwnerRow(
                engine=f"engine-{number:05d}",
                instance=f"instance-{number % 370:03d}",
                incarnation=new_incarnation(),
                fencing_number=17,
                write_id=new_write_id(),
            )
        )
        for number in range(engines)
    ]


def read_owners(bodies: list[bytes]) -> dict[EngineId, OwnerRow]:
    """Decode ownership rows into an instance's in-memory form."""
    rows = [decode(body, OwnerRow).ok for body in bodies]
    return {EngineId(row.engine): row for row in rows}


def session_bodies(instances: int) -> list[bytes]:
    """Return the encoded session rows of a number of instances."""
    return [
        encode(
            SessionRow(
                instance=f"instance-{number:03d}",
                incarnation=new_incarnation(),
                failure_domain=f"domain-{number % FAILURE_DOMAINS}",
                region="region-1",
                peer_url=f"http://10.30.{number // 250}.{number % 250}:8081",
                version=100_000,
                renewals=100_000,
            )
        )
        for number in range(instances)
    ]


def read_sessions(bodies: list[bytes]) -> dict[InstanceId, SessionRow]:
    """Decode session rows into an instance's in-memory form."""
    rows = [decode(body, SessionRow).ok for body in bodies]
    return {InstanceId(row.instance): row for row in rows}


def grant_bodies(count: int) -> list[bytes]:
    """Return a number of encoded permit grants."""
    return [
        encode(
            PermitGrant(
                engine=f"engine-{number % 6_200:05d}",
                engine_url=f"http://10.20.0.{number % 250}:8000",
                handle=f"adapter-{number:06d}@1~17",
                adapter=f"adapter-{number:06d}",
                version="1",
                fencing_number=17,
                places=8,
            )
        )
        for number in range(count)
    ]


def held_permits(bodies: list[bytes]) -> PermitHolder:
    """Decode permit grants into an instance's permit holder."""
    holder = PermitHolder()
    for body in bodies:
        holder.put(decode(body, PermitGrant).ok)
    return holder


def used_adapters(adapters: int) -> Popularity:
    """Return the popularity state of adapters that were each used once."""
    popularity = Popularity(PopularitySettings())
    for number in range(adapters):
        model = AdapterVersion(f"adapter-{number:06d}", "1")
        popularity.record(model, timedelta(seconds=number))
    return popularity


def adapter_slopes() -> list[Slope]:
    """Measure the adapter catalogue and the popularity state."""
    bodies = {size: catalogue_body(size) for size in ADAPTERS}
    return [
        fit_slope(
            "catalogue message", "adapter", "B", ADAPTERS, lambda n: len(bodies[n])
        ),
        fit_slope(
            "catalogue in memory",
            "adapter",
            "B",
            ADAPTERS,
            lambda n: retained_bytes(lambda: read_catalogue(bodies[n])),
        ),
        fit_slope(
            "catalogue in memory while it is read",
            "adapter",
            "B",
            ADAPTERS,
            lambda n: peak_bytes(lambda: read_catalogue(bodies[n])),
        ),
        fit_slope(
            "popularity in memory",
            "adapter",
            "B",
            ADAPTERS,
            lambda n: retained_bytes(lambda: used_adapters(n)),
        ),
        fit_slope(
            "reading the catalogue",
            "adapter",
            "us",
            ADAPTERS,
            lambda n: processor_microseconds(lambda: read_catalogue(bodies[n])),
        ),
    ]


def fleet_slopes() -> list[Slope]:
    """Measure the instance list, ownership and sessions."""
    lists = {size: list_body(size) for size in SERVERS}
    owners = {size: owner_bodies(size) for size in SERVERS}
    sessions = {size: session_bodies(size) for size in INSTANCES}
    fleets = {size: fleet_of(body) for size, body in lists.items()}
    return [
        fit_slope(
            "instance list message", "server", "B", SERVERS, lambda n: len(lists[n])
        ),
        fit_slope(
            "instance list in memory",
            "server",
            "B",
            SERVERS,
            lambda n: retained_bytes(lambda: read_list(lists[n])),
        ),
        fit_slope(
            "reading the instance list",
            "server",
            "us",
            SERVERS,
            lambda n: processor_microseconds(lambda: read_list(lists[n])),
        ),
        fit_slope(
            "live engines of a base model",
            "server",
            "us",
            SERVERS,
            lambda n: processor_microseconds(lambda: fleets[n].live_engines("base-0")),
        ),
        fit_slope(
            "ownership rows",
            "engine",
            "B",
            SERVERS,
            lambda n: sum(len(body) for body in owners[n]),
        ),
        fit_slope(
            "ownership in memory",
            "engine",
            "B",
            SERVERS,
            lambda n: retained_bytes(lambda: read_owners(owners[n])),
        ),
        fit_slope(
            "reading ownership",
            "engine",
            "us",
            SERVERS,
            lambda n: processor_microseconds(lambda: read_owners(owners[n])),
        ),
        fit_slope(
            "session rows",
            "instance",
            "B",
            INSTANCES,
            lambda n: sum(len(body) for body in sessions[n]),
        ),
        fit_slope(
            "sessions in memory",
            "instance",
            "B",
            INSTANCES,
            lambda n: retained_bytes(lambda: read_sessions(sessions[n])),
        ),
        fit_slope(
            "reading sessions",
            "instance",
            "us",
            INSTANCES,
            lambda n: processor_microseconds(lambda: read_sessions(sessions[n])),
        ),
    ]


def permit_slopes() -> list[Slope]:
    """Measure the permits that an instance holds."""
    bodies = {size: grant_bodies(size) for size in PERMITS}
    return [
        fit_slope(
            "grant messages",
            "permit",
            "B",
            PERMITS,
            lambda n: sum(len(body) for body in bodies[n]),
        ),
        fit_slope(
            "permits in memory",
            "permit",
            "B",
            PERMITS,
            lambda n: retained_bytes(lambda: held_permits(bodies[n])),
        ),
        fit_slope(
            "taking grants",
            "permit",
            "us",
            PERMITS,
            lambda n: processor_microseconds(lambda: held_permits(bodies[n])),
        ),
    ]
