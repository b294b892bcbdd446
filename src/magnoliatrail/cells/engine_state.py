"""What the owner of a cell knows of one engine."""

import asyncio
from collections import OrderedDict, deque
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

from magnoliatrail.backends import BackendServer, LoadedAdapter
from magnoliatrail.routes import EngineSpec
from magnoliatrail.routing.prompt_pace import PromptPace

# Adapters that an engine keeps near after they were dropped, as the platform states.
NEAR_ADAPTERS = 96


class HoldingState(Enum):
    """How far an adapter is on an engine."""

    ARRIVING = "arriving"
    READY = "ready"
    # Ordered away, but requests on it still run.
    LEAVING = "leaving"


@dataclass(slots=True)
class Holding:
    """An adapter that takes one of an engine's places for adapters."""

    adapter: LoadedAdapter
    state: HoldingState
    # When it can be used, as far as is known.
    ready_at: timedelta
    last_used: timedelta
    from_store: bool = False


@dataclass(slots=True)
class Grant:
    """A request that has a place on an engine."""

    request: str
    instance: str
    adapter: LoadedAdapter
    prompt_tokens: int
    output_tokens: int
    granted_at: timedelta
    started: bool = False
    # When the instance last said that the request runs.
    confirmed_at: timedelta = timedelta()

    @property
    def tokens(self) -> int:
        """Return the cache that the request takes at most."""
        return self.prompt_tokens + self.output_tokens


@dataclass
class EngineState:
    """One start of one engine."""

    server: BackendServer
    spec: EngineSpec
    holdings: dict[LoadedAdapter, Holding] = field(default_factory=dict)
    # Dropped adapters that come back fast, the one dropped last at the end.
    near: OrderedDict[LoadedAdapter, None] = field(default_factory=OrderedDict)
    grants: dict[str, Grant] = field(default_factory=dict)
    models: set[str] = field(default_factory=set)
    orders_accepted: int = 0
    # Whether the engine itself said what it holds.
    reported: bool = False
    busy: bool = False
    # No new requests before then, after failures.
    shunned_until: timedelta = timedelta()
    failures: int = 0
    order_turn: asyncio.Lock = field(default_factory=asyncio.Lock)
    # Prompt tokens of granted requests whose first event has not come.
    backlog_tokens: int = 0
    # Prompts given to the engine of late, by when, and those of reserved places.
    prompts: deque[tuple[timedelta, int]] = field(default_factory=deque)
    reserved_tokens: int = 0
    # Cache that the granted requests take at most.
    cache_tokens: int = 0
    pace: PromptPace = field(default_factory=PromptPace)

    def add_grant(self, grant: Grant) -> None:
        """Give a request a place."""
        assert grant.request not in self.grants, "a request has one place"
        self.grants[grant.request] = grant
        self.cache_tokens += grant.tokens
        if not grant.started:
            self.backlog_tokens += grant.prompt_tokens

    def remove_grant(self, request: str) -> Grant | None:
        """Take a request's place back."""
        grant = self.grants.pop(request, None)
        if grant:
            self.cache_tokens -= grant.tokens
            if not grant.started:
                self.backlog_tokens -= grant.prompt_tokens
        return grant

    def note_prompt(self, tokens: int, now: timedelta) -> None:
        """Note that the engine gets a prompt to read."""
        self.prompts.append((now, tokens))

    def pause_tokens(self, now: timedelta, pause: timedelta) -> int:
        """Return the prompt tokens that the engine got within one pause."""
        while self.prompts and self.prompts[0][0] <= now - pause:
            self.prompts.popleft()
        return sum(tokens for _, tokens in self.prompts) + self.reserved_tokens

    def start_grant(self, grant: Grant) -> None:
        """Note that the first event of a request came."""
        if not grant.started:
            grant.started = True
            self.backlog_tokens -= grant.prompt_tokens

    @property
    def free_adapter_places(self) -> int:
        """Return the places for adapters that nothing takes."""
        return self.spec.adapter_slots - len(self.holdings)

    def used_adapters(self) -> set[LoadedAdapter]:
        """Return the adapters that granted requests use."""
        return {grant.adapter for grant in self.grants.values()}

    def put_near(self, adapter: LoadedAdapter) -> None:
        """Note that an adapter was dropped and comes back fast."""
        self.near.pop(adapter, None)
        self.near[adapter] = None
        while len(self.near) > NEAR_ADAPTERS:
            self.near.popitem(last=False)

    def drop(self, adapter: LoadedAdapter) -> None:
        """Note that the engine no longer holds an adapter."""
        if self.holdings.pop(adapter, None):
            self.put_near(adapter)
