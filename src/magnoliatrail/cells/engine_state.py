"""The owner's view of one engine: adapters, granted requests and prefill work."""

import asyncio
from collections import OrderedDict, deque
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

from magnoliatrail.backends import BackendServer, LoadedAdapter
from magnoliatrail.routes import EngineSpec
from magnoliatrail.routing.engine_speed import EngineSpeedEstimate, ServiceSpeed
from magnoliatrail.routing.prefill_budget import PrefillBudget
from magnoliatrail.routing.request_rate import RequestPace

# Evicted adapters kept in an engine's host memory, per the platform's documentation.
MAX_HOST_CACHED_ADAPTERS = 96


class HoldingState(Enum):
    """Loading state of an adapter on an engine."""

    LOADING = "arriving"
    READY = "ready"
    # An unload has started; requests may still run on the adapter.
    UNLOADING = "leaving"


@dataclass(slots=True)
class Holding:
    """An adapter that occupies one of an engine's adapter slots."""

    adapter: LoadedAdapter
    state: HoldingState
    # Expected time at which requests can use the adapter.
    ready_at: timedelta
    last_used: timedelta
    from_store: bool = False


@dataclass(slots=True)
class Grant:
    """A request that holds a batch slot on an engine."""

    request: str
    instance: str
    adapter: LoadedAdapter
    prompt_tokens: int
    output_tokens: int
    granted_at: timedelta
    started: bool = False
    # Whether the instance was told to send the request, and what the engine did then.
    delivered: bool = False
    running_at_delivery: int = 0
    prefilled_alone: bool = False
    # When the instance last listed the request as running.
    confirmed_at: timedelta = timedelta()

    @property
    def tokens(self) -> int:
        """Return the most KV cache tokens that the request may use."""
        return self.prompt_tokens + self.output_tokens


@dataclass
class EngineState:
    """State of one run of an engine process; a restart gets a new object."""

    server: BackendServer
    spec: EngineSpec
    holdings: dict[LoadedAdapter, Holding] = field(default_factory=dict)
    # Evicted adapters still in the engine's host memory, the latest evicted last.
    host_cached: OrderedDict[LoadedAdapter, None] = field(default_factory=OrderedDict)
    grants: dict[str, Grant] = field(default_factory=dict)
    models: set[str] = field(default_factory=set)
    orders_accepted: int = 0
    # Whether the adapters and the order count come from the engine's own report.
    reported: bool = False
    busy: bool = False
    # No new requests before this time, after failures.
    backoff_until: timedelta = timedelta()
    failures: int = 0
    order_lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    # Prompt tokens of granted requests that have not sent their first event.
    backlog_tokens: int = 0
    # Time and size of recent prompts, and prompt tokens of reserved slots.
    prompts: deque[tuple[timedelta, int]] = field(default_factory=deque)
    reserved_tokens: int = 0
    # Most KV cache tokens that the granted requests may use.
    cache_tokens: int = 0
    prefill_budget: PrefillBudget = field(default_factory=PrefillBudget)
    speed_estimate: EngineSpeedEstimate = field(
        default_factory=lambda: EngineSpeedEstimate(ServiceSpeed())
    )

    # Requests a second that the engine takes, if it named a limit, and their pace.
    request_limit: float | None = None
    request_pace: RequestPace | None = None

    def set_request_limit(self, limit: float | None, now: timedelta) -> None:
        """Apply the limit that the engine names now, None for no limit."""
        self.request_limit = limit
        if limit is None:
            self.request_pace = None
        elif self.request_pace is None:
            self.request_pace = RequestPace(now)

    def may_be_sent(self, now: timedelta) -> bool:
        """Return whether the engine's request limit leaves room for a request."""
        if self.request_limit is None or self.request_pace is None:
            return True
        return self.request_pace.may_send(self.request_limit, now)

    def record_sent(self, now: timedelta) -> None:
        """Count a granted request against the engine's request limit."""
        if self.request_limit is not None and self.request_pace is not None:
            self.request_pace.record_sent(self.request_limit, now)

    def add_grant(self, grant: Grant) -> None:
        """Assign a batch slot to a request."""
        assert grant.request not in self.grants, (
            "request already holds a slot on this engine"
        )
        self.grants[grant.request] = grant
        self.cache_tokens += grant.tokens
        if not grant.started:
            self.backlog_tokens += grant.prompt_tokens

    def remove_grant(self, request: str) -> Grant | None:
        """Free the batch slot of a request."""
        grant = self.grants.pop(request, None)
        if grant:
            self.cache_tokens -= grant.tokens
            if not grant.started:
                self.backlog_tokens -= grant.prompt_tokens
        return grant

    def record_delivery(self, grant: Grant, now: timedelta) -> None:
        """Record that a request is sent to the engine, which prefills its prompt."""
        others = self.grants.values()
        grant.prefilled_alone = not any(
            other.delivered and not other.started for other in others
        )
        grant.delivered = True
        grant.running_at_delivery = len(self.grants)
        self.record_prompt(grant.prompt_tokens, now)

    def record_prompt(self, tokens: int, now: timedelta) -> None:
        """Record a prompt that the engine will prefill."""
        self.prompts.append((now, tokens))

    def pause_tokens(self, now: timedelta, pause: timedelta) -> int:
        """Return the prompt tokens sent within one pause, reserved slots included.

        A pause is the time between two events of a stream.
        """
        while self.prompts and self.prompts[0][0] <= now - pause:
            self.prompts.popleft()
        return sum(tokens for _, tokens in self.prompts) + self.reserved_tokens

    def time_until_pause_tokens(
        self, most: float, now: timedelta, pause: timedelta
    ) -> tuple[timedelta, int]:
        """Return when the tokens within a pause fall to a limit, and what is left."""
        left = self.pause_tokens(now, pause)
        if left <= most or not left:
            return timedelta(), left
        for sent_at, tokens in self.prompts:
            left -= tokens
            if left <= most or not left:
                return sent_at + pause - now, left
        # Prompts whose adapters are being loaded are sent later.
        return pause, left

    def start_grant(self, grant: Grant) -> None:
        """Record that a request sent its first event."""
        if not grant.started:
            grant.started = True
            self.backlog_tokens -= grant.prompt_tokens

    @property
    def free_adapter_slots(self) -> int:
        """Return the number of unoccupied adapter slots."""
        return self.spec.adapter_slots - len(self.holdings)

    def used_adapters(self) -> set[LoadedAdapter]:
        """Return the adapters that granted requests use."""
        return {grant.adapter for grant in self.grants.values()}

    def add_host_cached(self, adapter: LoadedAdapter) -> None:
        """Record that an evicted adapter stays in the engine's host memory."""
        self.host_cached.pop(adapter, None)
        self.host_cached[adapter] = None
        while len(self.host_cached) > MAX_HOST_CACHED_ADAPTERS:
            self.host_cached.popitem(last=False)

    def drop(self, adapter: LoadedAdapter) -> None:
        """Free an adapter's slot and record it as host-cached."""
        if self.holdings.pop(adapter, None):
            self.add_host_cached(adapter)
