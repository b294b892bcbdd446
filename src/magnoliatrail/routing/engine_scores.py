"""Which engine serves a request, and which adapter makes room for it."""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

# Prompt tokens that an engine reads in a millisecond, from the sites' sheets.
PREFILL_TOKENS_PER_MS = 22.0
# What each running request adds to the first token of the next, milliseconds: one
# step of the batch is shared by all of them.
STEP_DELAY_PER_REQUEST_MS = 2.0
# Time of a load from the engine's own memory and from the weight store.
HOST_CACHE_LOAD_TIME = timedelta(milliseconds=30)
STORE_LOAD_TIME = timedelta(milliseconds=260)
# A load from the store costs all others part of its bandwidth, so that an engine that
# already has the adapter may be this much slower.
STORE_LOAD_PENALTY = timedelta(milliseconds=500)
HOST_CACHE_LOAD_PENALTY = timedelta(milliseconds=20)
# Time of one step of a batch without prompts, for a batch of some thirty.
DECODE_STEP_TIME = timedelta(milliseconds=9)
# Part of the longest pause that may be used up, as steps vary.
USABLE_PAUSE_FRACTION = 0.93
# Prompts that wait before an engine beyond this serve nobody sooner.
MAX_PREFILL_BACKLOG = timedelta(milliseconds=900)
# Part of the engine's cache that requests may be expected to fill.
USABLE_KV_CACHE_FRACTION = 0.92


class Residency(Enum):
    """Where an adapter is, seen from one engine."""

    READY = "ready"
    ARRIVING = "arriving"
    HOST_CACHED = "near"
    ABSENT = "absent"


@dataclass(frozen=True, slots=True)
class RequestSize:
    """What a request takes of an engine."""

    prompt_tokens: int
    output_tokens: int


@dataclass(frozen=True, slots=True)
class EngineLoad:
    """What an engine has to do, and what it may take."""

    backlog_tokens: int
    # Prompt tokens that the engine got within one pause, and may get at most.
    pause_tokens: int
    max_pause_tokens: float
    running: int
    places: int
    cache_tokens_free: float

    def can_admit(self, need: RequestSize) -> bool:
        """Return whether the engine can take a request, adapters aside."""
        if self.running >= self.places:
            return False
        # A request larger than the rest of the cache waits, but not for an empty
        # engine.
        tokens = need.prompt_tokens + need.output_tokens
        if self.running and tokens > self.cache_tokens_free:
            return False
        if prefill_time(self.backlog_tokens) > MAX_PREFILL_BACKLOG:
            return False
        within_pause = self.pause_tokens + need.prompt_tokens <= self.max_pause_tokens
        return within_pause or not self.pause_tokens


@dataclass(frozen=True, slots=True)
class EngineOption:
    """What decides whether one engine serves one request."""

    engine: str
    load: EngineLoad
    residency: Residency
    # Until the adapter can be used there, if it is arriving.
    ready_in: timedelta
    # Whether a place for the adapter is free or can be made free at once.
    has_room: bool
    # The engine is the one at which the adapter is at home, 0, or further down.
    rendezvous_rank: int


def prefill_time(tokens: int) -> timedelta:
    """Return how long an engine reads prompts of so many tokens."""
    return timedelta(milliseconds=tokens / PREFILL_TOKENS_PER_MS)


def max_pause_tokens(pause_goal: timedelta, event_tokens: int) -> float:
    """Return how many prompt tokens an engine may read between two events.

    Prompts are read between the steps of the running streams, so that each step is
    longer; an event comes after some steps, and must come within the pause.
    """
    if not pause_goal:
        return math.inf
    free = pause_goal * USABLE_PAUSE_FRACTION - DECODE_STEP_TIME * event_tokens
    return max(0.0, free / timedelta(milliseconds=1)) * PREFILL_TOKENS_PER_MS


def fits(option: EngineOption, need: RequestSize) -> bool:
    """Return whether an engine can take a request now."""
    in_place = option.residency in (Residency.READY, Residency.ARRIVING)
    return (in_place or option.has_room) and option.load.can_admit(need)


def cost(
    option: EngineOption, need: RequestSize, store_load: timedelta = STORE_LOAD_TIME
) -> timedelta:
    """Return the time to the first token, and what a load costs the others."""
    tokens = option.load.backlog_tokens + need.prompt_tokens
    batch = timedelta(milliseconds=STEP_DELAY_PER_REQUEST_MS * option.load.running)
    total = prefill_time(tokens) + batch
    match option.residency:
        case Residency.READY:
            return total
        case Residency.ARRIVING:
            return total + option.ready_in
        case Residency.HOST_CACHED:
            return total + HOST_CACHE_LOAD_TIME + HOST_CACHE_LOAD_PENALTY
        case Residency.ABSENT:
            # An adapter that is nowhere goes home, unless that engine is busy.
            away = timedelta(milliseconds=15 * min(option.rendezvous_rank, 4))
            return total + store_load + STORE_LOAD_PENALTY + away


def best_engine(
    options: Iterable[EngineOption],
    need: RequestSize,
    store_load: timedelta = STORE_LOAD_TIME,
) -> EngineOption | None:
    """Return the engine with the least cost, None if all are full."""
    fitting = [option for option in options if fits(option, need)]
    if not fitting:
        return None
    return min(
        fitting, key=lambda option: (cost(option, need, store_load), option.engine)
    )


@dataclass(frozen=True, slots=True)
class VictimOption:
    """An adapter that could make room on an engine."""

    adapter: str
    in_use: bool
    awaited: bool
    last_used: timedelta


def victim(
    options: Iterable[VictimOption], value: Callable[[str], float]
) -> VictimOption | None:
    """Return the adapter that is least likely to be needed soon."""
    idle = [option for option in options if not (option.in_use or option.awaited)]
    if not idle:
        return None
    return min(idle, key=lambda option: (value(option.adapter), option.last_used))
