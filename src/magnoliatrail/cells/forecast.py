"""Forecast of the wait for a batch slot, from what the engines can take."""

import math
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

from magnoliatrail.cells.engine_state import EngineState
from magnoliatrail.cells.waiting import WaitingRequest, urgency
from magnoliatrail.routing.engine_scores import (
    USABLE_KV_CACHE_FRACTION,
    RequestSize,
    max_pause_tokens,
)

# Window over which the demand is measured.
DEMAND_WINDOW = timedelta(seconds=2)
# Share of the prefill capacity that is assumed to be left for late requests.
MIN_SPARE_SHARE = 0.05
# Duration of a run before one ended, and the weight of each that ends.
INITIAL_RUN_TIME = timedelta(seconds=1.5)
RUN_TIME_SAMPLE_WEIGHT = 0.05


@dataclass(frozen=True, slots=True)
class Capacity:
    """What the engines of a service can take."""

    prefill_tokens_per_second: float
    slots: int
    free_slots: int


class Demand:
    """Prompt tokens that callers requested in a recent window."""

    def __init__(self) -> None:
        self.arrivals: deque[tuple[timedelta, int]] = deque()
        self.tokens = 0

    def record(self, tokens: int, now: timedelta) -> None:
        """Record the arrival of a request."""
        self.arrivals.append((now, tokens))
        self.tokens += tokens
        self.trim(now)

    def trim(self, now: timedelta) -> None:
        """Remove arrivals older than the window."""
        while self.arrivals and self.arrivals[0][0] < now - DEMAND_WINDOW:
            self.tokens -= self.arrivals.popleft()[1]

    def tokens_per_second(self, now: timedelta) -> float:
        """Return the rate at which prompt tokens arrive."""
        self.trim(now)
        return self.tokens / DEMAND_WINDOW.total_seconds()


class RunTimes:
    """The usual time for which a request holds its slot."""

    def __init__(self) -> None:
        self.usual = INITIAL_RUN_TIME

    def record(self, duration: timedelta) -> None:
        """Record a request that ended."""
        self.usual += (duration - self.usual) * RUN_TIME_SAMPLE_WEIGHT


def capacity_of(
    engines: Iterable[EngineState],
    *,
    typical: RequestSize,
    pause: timedelta,
    now: timedelta,
) -> Capacity:
    """Return the capacity of engines for requests of a typical size."""
    rate, slots, free = 0.0, 0, 0
    for engine in engines:
        running = len(engine.grants)
        engine_rate = prefill_rate(engine, pause, now)
        if engine.request_limit is not None:
            typical_rate = engine.request_limit * max(1, typical.prompt_tokens)
            engine_rate = min(engine_rate, typical_rate)
        rate += engine_rate
        cache = engine.spec.cache_tokens * USABLE_KV_CACHE_FRACTION
        tokens = max(1, typical.prompt_tokens + typical.output_tokens)
        usable = max(1, min(engine.spec.batch_slots, int(cache / tokens)))
        slots += usable
        free += max(0, usable - running)
    return Capacity(rate, slots, free)


def prefill_rate(engine: EngineState, pause: timedelta, now: timedelta) -> float:
    """Return the prompt tokens a second that an engine may prefill between events."""
    speed = engine.speed_estimate.speed(now)
    if engine.speed_estimate.service.measured is None:
        # Nothing is known yet that would justify a refusal.
        return math.inf
    if not pause:
        return 1000.0 / speed.prefill_ms_per_token
    within_pause = max_pause_tokens(
        pause, engine.spec.event_tokens, speed, len(engine.grants)
    )
    return within_pause * engine.prefill_budget.share / pause.total_seconds()


def forecast_wait(
    request: WaitingRequest,
    waiting: Iterable[WaitingRequest],
    *,
    capacity: Capacity,
    demand: float,
    run_time: timedelta,
    now: timedelta,
) -> timedelta:
    """Forecast the wait of a request behind the more urgent ones.

    Later requests stay behind it until its latency goal has passed. After that, only
    the capacity that they leave is left for it. They stay behind a resumed stream also
    then.
    """
    key = urgency(request, now)
    ahead = [item for item in waiting if item is not request]
    before = [item for item in ahead if urgency(item, now) <= key]
    rate = max(1.0, capacity.prefill_tokens_per_second)
    wait = timedelta(seconds=sum(prompt_tokens(item) for item in before) / rate)
    if now + wait > request.goal_at and not request.is_resumed:
        spare = max(rate * MIN_SPARE_SHARE, rate - demand)
        tokens = prompt_tokens(request) + sum(
            prompt_tokens(item)
            for item in ahead
            if item.goal_at + item.lag <= request.goal_at + request.lag
        )
        wait = max(wait, timedelta(seconds=tokens / spare))
    without_slot = len(before) + 1 - capacity.free_slots
    if without_slot > 0:
        per_second = max(1, capacity.slots) / run_time.total_seconds()
        wait = max(wait, timedelta(seconds=without_slot / per_second))
    return wait


def prompt_tokens(request: WaitingRequest) -> int:
    """Return the prompt tokens of a waiting request."""
    return request.message.prompt_tokens
