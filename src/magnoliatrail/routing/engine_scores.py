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
RUNNING_MS = 2.0
# Time of a load from the engine's own memory and from the weight store.
NEAR_LOAD = timedelta(milliseconds=30)
STORE_LOAD = timedelta(milliseconds=260)
# A load from the store costs all others part of its bandwidth, so that an engine that
# already has the adapter may be this much slower.
STORE_LOAD_PENALTY = timedelta(milliseconds=500)
NEAR_LOAD_PENALTY = timedelta(milliseconds=20)
# Time of one step of a batch without prompts, for a batch of some thirty.
STEP = timedelta(milliseconds=9)
# Part of the longest pause that may be used up, as steps vary.
PAUSE_SHARE = 0.93
# Prompts that wait before an engine beyond this serve nobody sooner.
MAX_BACKLOG = timedelta(milliseconds=900)
# Part of the engine's cache that requests may be expected to fill.
CACHE_SHARE = 0.92


class Residency(Enum):
    """Where an adapter is, seen from one engine."""

    READY = "ready"
    ARRIVING = "arriving"
    NEAR = "near"
    ABSENT = "absent"


@dataclass(frozen=True, slots=True)
class EngineNeed:
    """What a request takes of an engine."""

    prompt_tokens: int
    output_tokens: int


@dataclass(frozen=True, slots=True)
class EngineLoad:
    """What an engine has to do, and what it may take."""

    backlog_tokens: int
    # Prompt tokens that the engine got within one pause, and may get at most.
    pause_tokens: int
    most_pause_tokens: float
    running: int
    batch_slots: int
    cache_tokens_free: float

    def takes(self, need: EngineNeed) -> bool:
        """Return whether the engine can take a request, adapters aside."""
        if self.running >= self.batch_slots:
            return False
        # A request larger than the rest of the cache waits, but not for an empty
        # engine.
        tokens = need.prompt_tokens + need.output_tokens
        if self.running and tokens > self.cache_tokens_free:
            return False
        if backlog_time(self.backlog_tokens) > MAX_BACKLOG:
            return False
        within_pause = self.pause_tokens + need.prompt_tokens <= self.most_pause_tokens
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
    home_rank: int


def backlog_time(tokens: int) -> timedelta:
    """Return how long an engine reads prompts of so many tokens."""
    return timedelta(milliseconds=tokens / PREFILL_TOKENS_PER_MS)


def most_pause_tokens(pause_goal: timedelta, event_tokens: int) -> float:
    """Return how many prompt tokens an engine may read between two events.

    Prompts are read between the steps of the running streams, so that each step is
    longer; an event comes after some steps, and must come within the pause.
    """
    if not pause_goal:
        return math.inf
    free = pause_goal * PAUSE_SHARE - STEP * event_tokens
    return max(0.0, free / timedelta(milliseconds=1)) * PREFILL_TOKENS_PER_MS


def fits(option: EngineOption, need: EngineNeed) -> bool:
    """Return whether an engine can take a request now."""
    in_place = option.residency in (Residency.READY, Residency.ARRIVING)
    return (in_place or option.has_room) and option.load.takes(need)


def cost(
    option: EngineOption, need: EngineNeed, store_load: timedelta = STORE_LOAD
) -> timedelta:
    """Return the time to the first token, and what a load costs the others."""
    tokens = option.load.backlog_tokens + need.prompt_tokens
    batch = timedelta(milliseconds=RUNNING_MS * option.load.running)
    total = backlog_time(tokens) + batch
    match option.residency:
        case Residency.READY:
            return total
        case Residency.ARRIVING:
            return total + option.ready_in
        case Residency.NEAR:
            return total + NEAR_LOAD + NEAR_LOAD_PENALTY
        case Residency.ABSENT:
            # An adapter that is nowhere goes home, unless that engine is busy.
            away = timedelta(milliseconds=15 * min(option.home_rank, 4))
            return total + store_load + STORE_LOAD_PENALTY + away


def best_engine(
    options: Iterable[EngineOption],
    need: EngineNeed,
    store_load: timedelta = STORE_LOAD,
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
