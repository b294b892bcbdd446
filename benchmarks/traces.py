"""Seeded traces of requests, and the times of the faults that go with them."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from itertools import accumulate

from benchmarks.sites import Site
from magnoliatrail.generated.permits import RequestClass
from magnoliatrail.ids import AdapterVersion, CallerId, RequestId

CALLER_COUNT = 12
HEAVY_CALLER_SHARE = 0.4
INTERACTIVE_TOKEN_RANGE = (20, 100)
BATCH_TOKEN_RANGE = (400, 800)
INTERACTIVE_DEADLINE_SECONDS = 20.0
BATCH_DEADLINE_SECONDS = 600.0
FLASH_SHARE = 0.5
FLASH_SECONDS = 30.0
SLOW_STORE_SECONDS = 60.0
SLOW_STORE_FACTOR = 3.0


class TraceKind(Enum):
    """The event in the middle of a trace, if any, and the mix of classes."""

    STEADY = "steady"
    SHIFT = "shift"
    FLASH = "flash"
    RESTART = "restart"
    SLOW_STORE = "slow_store"
    MIXED = "mixed"


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request of a trace; times are in seconds from the start."""

    at: float
    request_id: RequestId
    model: AdapterVersion
    caller: CallerId
    request_class: RequestClass
    tokens: int
    deadline: float


@dataclass(frozen=True, slots=True)
class TraceSettings:
    """Parameters of a trace; `rate` is in requests per second."""

    kind: TraceKind
    zipf: float
    requests: int
    rate: float
    seed: int


@dataclass(frozen=True, slots=True)
class Trace:
    """The arrivals of a trace and the time of its event."""

    kind: TraceKind
    arrivals: list[Arrival]
    event_at: float
    callers: list[CallerId] = field(default_factory=list)


def adapter_version(number: int) -> AdapterVersion:
    """Return the adapter version with a number."""
    return AdapterVersion(f"adapter-{number:04d}", "1")


def zipf_sampler(
    generator: random.Random, adapters: list[AdapterVersion], exponent: float
) -> Callable[[], AdapterVersion]:
    """Return a function that draws adapters by a Zipf distribution."""
    weights = [1 / (rank + 1) ** exponent for rank in range(len(adapters))]
    cumulative = list(accumulate(weights))
    return lambda: generator.choices(adapters, cum_weights=cumulative)[0]


def draw_caller(generator: random.Random) -> CallerId:
    """Draw a caller; one heavy caller sends far more requests than the others."""
    if generator.random() < HEAVY_CALLER_SHARE:
        return CallerId("caller-00")
    return CallerId(f"caller-{generator.randrange(1, CALLER_COUNT):02d}")


def make_trace(site: Site, settings: TraceSettings) -> Trace:
    """Generate the trace that the settings describe."""
    generator = random.Random(settings.seed)
    shift_generator = random.Random(settings.seed + 1)
    adapters = [adapter_version(number) for number in range(site.adapters)]
    generator.shuffle(adapters)
    draw = zipf_sampler(generator, adapters, settings.zipf)
    event_at = settings.requests / settings.rate / 2
    least_popular = adapters[-1]
    arrivals = []
    now = 0.0
    shifted = False
    for number in range(settings.requests):
        now += generator.expovariate(settings.rate)
        if settings.kind is TraceKind.SHIFT and now >= event_at and not shifted:
            shifted = True
            shift_generator.shuffle(adapters)
            draw = zipf_sampler(generator, adapters, settings.zipf)
        model = draw()
        in_flash = event_at <= now < event_at + FLASH_SECONDS
        if settings.kind is TraceKind.FLASH and in_flash:
            model = least_popular if generator.random() < FLASH_SHARE else model
        batch = (
            settings.kind is TraceKind.MIXED and generator.random() < site.batch_share
        )
        arrivals.append(draw_arrival(generator, number, now, model, batch=batch))
    callers = sorted({item.caller for item in arrivals})
    return Trace(settings.kind, arrivals, event_at, callers)


def draw_arrival(
    generator: random.Random,
    number: int,
    at: float,
    model: AdapterVersion,
    *,
    batch: bool,
) -> Arrival:
    """Draw the caller and length of one request of a class."""
    tokens = BATCH_TOKEN_RANGE if batch else INTERACTIVE_TOKEN_RANGE
    seconds_to_deadline = (
        BATCH_DEADLINE_SECONDS if batch else INTERACTIVE_DEADLINE_SECONDS
    )
    return Arrival(
        at=at,
        request_id=RequestId(f"req-{number}"),
        model=model,
        caller=draw_caller(generator),
        request_class=RequestClass.BATCH if batch else RequestClass.INTERACTIVE,
        tokens=generator.randint(*tokens),
        deadline=at + seconds_to_deadline,
    )
