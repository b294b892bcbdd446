"""Engine scoring: which engine serves a request, and which adapter is evicted."""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from magnoliatrail.routing.engine_speed import EngineSpeed

# Delay that each running request adds to the first token of the next request: all of
# them share one batch step.
STEP_DELAY_PER_REQUEST_MS = 2.0
# Load times from the engine's host memory and from the weight store, until measured.
HOST_CACHE_LOAD_TIME = timedelta(milliseconds=30)
STORE_LOAD_TIME = timedelta(milliseconds=260)
# A load from the store takes bandwidth from other loads, so an engine that already has
# the adapter is preferred even if it is this much slower.
STORE_LOAD_PENALTY = timedelta(milliseconds=500)
HOST_CACHE_LOAD_PENALTY = timedelta(milliseconds=20)
# The rest of the pause goal is a margin for variation between steps.
USABLE_PAUSE_FRACTION = 0.93
# The time that a token adds to a first event includes decode steps between the pieces
# of the prompt; the rest is prefill.
PREFILL_SHARE_OF_FIRST_EVENT = 0.85
# A longer queue of prompts on an engine doesn't make any of them start sooner.
MAX_PREFILL_BACKLOG = timedelta(milliseconds=900)
# Fraction of the engine's KV cache that requests are expected to fill at most.
USABLE_KV_CACHE_FRACTION = 0.92


class Residency(Enum):
    """The location of an adapter, relative to one engine."""

    READY = "ready"
    LOADING = "arriving"
    HOST_CACHED = "near"
    ABSENT = "absent"


@dataclass(frozen=True, slots=True)
class RequestSize:
    """The prompt and output tokens of a request."""

    prompt_tokens: int
    output_tokens: int


@dataclass(frozen=True, slots=True)
class EngineLoad:
    """The current load of an engine, and its limits."""

    backlog_tokens: int
    # Prompt tokens assigned to the engine within one pause, and their limit.
    pause_tokens: int
    max_pause_tokens: float
    running: int
    batch_slots: int
    cache_tokens_free: float
    speed: EngineSpeed

    def can_admit(self, size: RequestSize) -> bool:
        """Return whether the engine has capacity for a request, adapters aside."""
        if not self.has_slot(size):
            return False
        if self.speed.prefill_time(self.backlog_tokens) > MAX_PREFILL_BACKLOG:
            return False
        within_pause = self.pause_tokens + size.prompt_tokens <= self.max_pause_tokens
        return within_pause or not self.pause_tokens

    def has_slot(self, size: RequestSize) -> bool:
        """Return whether a batch slot and enough KV cache are free for a request."""
        if self.running >= self.batch_slots:
            return False
        # A request that exceeds the free KV cache waits, unless the engine is empty.
        tokens = size.prompt_tokens + size.output_tokens
        return not self.running or tokens <= self.cache_tokens_free


@dataclass(frozen=True, slots=True)
class EngineOption:
    """One engine as an option for one request."""

    engine: str
    load: EngineLoad
    residency: Residency
    # Time until the adapter is usable on the engine, if it is being loaded.
    ready_in: timedelta
    # Whether an adapter slot is free or can be freed at once.
    has_room: bool
    # Position of the engine in the adapter's rendezvous order, 0 for the first.
    rendezvous_rank: int


def max_pause_tokens(
    pause_goal: timedelta, event_tokens: int, speed: EngineSpeed, running: int
) -> float:
    """Return how many prompt tokens an engine may prefill between two events.

    Prefill runs between the decode steps of the running streams and delays them. A
    stream sends an event every `event_tokens` steps, and the gap between two events
    must stay within the pause goal. Without a goal there is no limit.
    """
    if not pause_goal:
        return math.inf
    free = pause_goal * USABLE_PAUSE_FRACTION - speed.step_time(running) * event_tokens
    per_token = speed.prefill_ms_per_token * PREFILL_SHARE_OF_FIRST_EVENT
    return max(0.0, free / timedelta(milliseconds=1)) / per_token


def fits(option: EngineOption, size: RequestSize) -> bool:
    """Return whether an engine can accept a request now."""
    resident = option.residency in (Residency.READY, Residency.LOADING)
    return (resident or option.has_room) and option.load.can_admit(size)


def cost(
    option: EngineOption, size: RequestSize, store_load: timedelta = STORE_LOAD_TIME
) -> timedelta:
    """Return the expected time to first token, plus a penalty for a load."""
    tokens = option.load.backlog_tokens + size.prompt_tokens
    batch = timedelta(milliseconds=STEP_DELAY_PER_REQUEST_MS * option.load.running)
    total = option.load.speed.prefill_time(tokens) + batch
    match option.residency:
        case Residency.READY:
            return total
        case Residency.LOADING:
            return total + option.ready_in
        case Residency.HOST_CACHED:
            return total + HOST_CACHE_LOAD_TIME + HOST_CACHE_LOAD_PENALTY
        case Residency.ABSENT:
            # Prefer the first engines in the rendezvous order, unless they are busy.
            rank_penalty = timedelta(milliseconds=15 * min(option.rendezvous_rank, 4))
            return total + store_load + STORE_LOAD_PENALTY + rank_penalty


def best_engine(
    options: Iterable[EngineOption],
    size: RequestSize,
    store_load: timedelta = STORE_LOAD_TIME,
) -> EngineOption | None:
    """Return the engine with the lowest cost, None if all are full."""
    fitting = [option for option in options if fits(option, size)]
    if not fitting:
        return None
    return min(
        fitting, key=lambda option: (cost(option, size, store_load), option.engine)
    )


@dataclass(frozen=True, slots=True)
class VictimOption:
    """A loaded adapter, as a candidate for eviction."""

    adapter: str
    in_use: bool
    awaited: bool
    last_used: timedelta


def victim(
    options: Iterable[VictimOption], value: Callable[[str], float]
) -> VictimOption | None:
    """Return the idle adapter with the lowest value, None if none is idle.

    The adapter that was used longest ago goes first among equals.
    """
    idle = [option for option in options if not (option.in_use or option.awaited)]
    if not idle:
        return None
    return min(idle, key=lambda option: (value(option.adapter), option.last_used))
