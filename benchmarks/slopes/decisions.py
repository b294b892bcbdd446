"""Processor time of routing decisions and of settings lookups."""

from benchmarks.slopes.fit import Slope, fit_slope
from benchmarks.slopes.measure import processor_microseconds
from benchmarks.slopes.state import BASE_MODELS, list_body
from magnoliatrail.config.resolve import Scopes, setting_of
from magnoliatrail.engines.permits import PermitHolder
from magnoliatrail.generated.configuration import (
    Configuration,
    ConfigurationException,
    Defaults,
    ScopeKind,
)
from magnoliatrail.generated.permits import PermitGrant
from magnoliatrail.generated.platform import InstanceList
from magnoliatrail.ids import AdapterVersion
from magnoliatrail.rendezvous import ranked
from magnoliatrail.routing.candidates import CandidateIndex
from magnoliatrail.wire import decode, encode

ENGINES_PER_BASE_MODEL = (20, 200, 6_200 // BASE_MODELS)
CANDIDATES_PER_ADAPTER = 8
INSTANCES = (14, 100, 370)
PERMITTED_ENGINES = (1, 8, 64)
EXCEPTIONS = (10, 100, 500)
MODEL = AdapterVersion("adapter-000007", "1")


def rendezvous_microseconds(members: int) -> float:
    """Return the time to rank engines for an adapter."""
    names = [f"engine-{number:05d}" for number in range(members)]
    return processor_microseconds(lambda: ranked(str(MODEL), names))


def candidates_microseconds(engines: int) -> float:
    """Return the time to find the candidate engines of an adapter."""
    listed = decode(list_body(engines), InstanceList).ok.instances
    index = CandidateIndex(listed)
    return processor_microseconds(
        lambda: index.candidates(str(MODEL), CANDIDATES_PER_ADAPTER)
    )


def preferred_owner_microseconds(instances: int) -> float:
    """Return the time to find the preferred owner of an engine."""
    names = [f"instance-{number:03d}" for number in range(instances)]
    return processor_microseconds(lambda: ranked("engine-00001", names))


def permit_choice_microseconds(engines: int) -> float:
    """Return the time to choose among the permits held for an adapter."""
    holder = PermitHolder()
    for number in range(engines):
        holder.put(
            PermitGrant(
                engine=f"engine-{number:05d}",
                engine_url="http://10.20.0.1:8000",
                handle=f"{MODEL}~17",
                adapter=MODEL.adapter,
                version=MODEL.version,
                fencing_number=17,
                places=8,
            )
        )
    return processor_microseconds(lambda: holder.usable(MODEL, lambda engine: True))


def configuration_with(exceptions: int) -> Configuration:
    """Return a configuration with a number of exceptions to its defaults."""
    return Configuration(
        revision=8_500,
        edit_id="0123456789abcdef0123456789abcdef",
        defaults=Defaults(),
        exceptions=[
            ConfigurationException(
                id=f"exception-{number}",
                scope=ScopeKind.CALLER,
                name=f"caller-{number}",
                setting="queue_per_caller",
                value="512",
                reason="A fashion week doubles this caller's load until Sunday.",
                author="operator-1",
                time="2026-12-03T20:00:00+00:00",
            )
            for number in range(exceptions)
        ],
    )


def lookup_microseconds(exceptions: int) -> float:
    """Return the time to look up one setting."""
    configuration = configuration_with(exceptions)
    scopes = Scopes(caller="caller-7", operation="bookings/confirm", service="bookings")
    return processor_microseconds(
        lambda: setting_of(configuration, "queue_per_caller", int, scopes)
    )


def decision_slopes() -> list[Slope]:
    """Measure routing decisions."""
    return [
        fit_slope(
            "ranking engines by rendezvous",
            "engine",
            "us",
            ENGINES_PER_BASE_MODEL,
            rendezvous_microseconds,
        ),
        fit_slope(
            "candidate engines of an adapter",
            "engine",
            "us",
            ENGINES_PER_BASE_MODEL,
            candidates_microseconds,
        ),
        fit_slope(
            "finding the preferred owner",
            "instance",
            "us",
            INSTANCES,
            preferred_owner_microseconds,
        ),
        fit_slope(
            "choosing among held permits",
            "engine",
            "us",
            PERMITTED_ENGINES,
            permit_choice_microseconds,
        ),
    ]


def configuration_slopes() -> list[Slope]:
    """Measure the configuration document and settings lookups."""
    bodies = {size: encode(configuration_with(size)) for size in EXCEPTIONS}
    return [
        fit_slope(
            "configuration document",
            "exception",
            "B",
            EXCEPTIONS,
            lambda n: len(bodies[n]),
        ),
        fit_slope(
            "reading the configuration",
            "exception",
            "us",
            EXCEPTIONS,
            lambda n: processor_microseconds(lambda: decode(bodies[n], Configuration)),
        ),
        fit_slope(
            "looking one setting up",
            "exception",
            "us",
            EXCEPTIONS,
            lookup_microseconds,
        ),
    ]
