"""A stand-in for a batching model engine with few adapter slots."""

import asyncio
import hashlib
import heapq
from bisect import bisect_right
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from datetime import timedelta
from uuid import uuid4

from msgspec.structs import replace

from magnoliatrail.clock import Clock
from magnoliatrail.generated.engine import (
    CacheEvent,
    CacheEventKind,
    CacheEvents,
    CompletionOrder,
    EngineRefusal,
    LoadedHandle,
    LoadReport,
)
from magnoliatrail.standins.faults import Faults

Fetch = Callable[[str], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class EngineLimits:
    """Capacity, speed and reporting delays of an engine.

    `cache_event_gap` drops every nth cache event; 0 drops none.
    """

    adapter_slots: int = 4
    batch_slots: int = 8
    token_time: timedelta = timedelta(milliseconds=5)
    checks_fencing: bool = False
    report_lag: timedelta = timedelta(seconds=0.2)
    cache_event_gap: int = 0
    cache_event_lag: timedelta = timedelta()


@dataclass
class LoadedAdapter:
    """An adapter in a slot, with the number of requests that run on it."""

    source: str
    running: int = 0


@dataclass
class GeneratedAnswer:
    """The text generated for one request, kept so that its stream can be resumed."""

    request_id: str
    handle: str
    length: int = 0
    texts: list[str] = field(default_factory=list)
    chat: bool = False
    finished: bool = False
    cancelled: bool = False
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def notify(self) -> None:
        """Wake all handlers that wait for more of this answer."""
        self.changed.set()
        self.changed = asyncio.Event()


class Refused(Exception):  # noqa: N818
    """A request that the engine refuses, with the HTTP status to send."""

    def __init__(self, status: int, code: str, message: str) -> None:
        super().__init__(message)
        self.status = status
        self.refusal = EngineRefusal(code=code, message=message)


class FakeEngine:
    """A batching engine that generates deterministic text on loaded adapters."""

    def __init__(
        self,
        clock: Clock,
        limits: EngineLimits,
        fetch: Fetch,
        *,
        software_version: str = "",
    ) -> None:
        self.clock = clock
        self.limits = limits
        self.fetch = fetch
        # Named in the head of each answer, unless it is empty.
        self.software_version = software_version
        self.faults = Faults()
        self.violations: list[str] = []
        self.loads = 0
        self.evictions = 0
        self.runs = 0
        self.cancels = 0
        self.tasks: set[asyncio.Task[None]] = set()
        self.answers: dict[str, GeneratedAnswer] = {}
        self.restart()

    def restart(self) -> None:
        """Cancel all requests and start cold: no adapters, requests or cache events."""
        for answer in self.answers.values():
            answer.cancelled = not answer.finished
        for task in self.tasks:
            task.cancel()
        self.boot_id = uuid4().hex
        self.loaded: dict[str, LoadedAdapter] = {}
        self.loading: set[str] = set()
        self.answers = {}
        self.queue: list[tuple[int, int, asyncio.Future[None]]] = []
        self.queue_sequence = 0
        self.running = 0
        self.highest_fencing_number = 0
        self.cache_events: list[CacheEvent] = []
        self.cache_event_times: list[timedelta] = []
        self.last_report: tuple[timedelta, LoadReport] | None = None

    def check_fencing_number(self, fencing_number: int) -> None:
        """Refuse an order with a stale fencing number, if this engine checks them."""
        if self.limits.checks_fencing and fencing_number < self.highest_fencing_number:
            raise Refused(409, "stale_fencing_number", f"got {fencing_number}")
        self.highest_fencing_number = max(self.highest_fencing_number, fencing_number)

    async def load(self, handle: str, source: str, fencing_number: int) -> None:
        """Load an adapter under a handle."""
        self.check_fencing_number(fencing_number)
        if handle in self.loaded or handle in self.loading:
            return
        if len(self.loaded) + len(self.loading) >= self.limits.adapter_slots:
            raise Refused(409, "no_free_slot", "all adapter slots are taken")
        boot_id = self.boot_id
        self.loading.add(handle)
        try:
            await self.fetch(source)
        finally:
            self.loading.discard(handle)
        if self.faults.fail_loads:
            self.faults.fail_loads -= 1
            raise Refused(500, "load_failed", f"loading {source} failed")
        if boot_id != self.boot_id:
            raise Refused(500, "restarted", "the engine restarted")
        self.loads += 1
        self.loaded[handle] = LoadedAdapter(source)

    def unload(self, handle: str, fencing_number: int) -> None:
        """Free a handle's slot; record a violation if requests still run on it."""
        self.check_fencing_number(fencing_number)
        adapter = self.loaded.pop(handle, None)
        if adapter is None:
            return
        self.evictions += 1
        if adapter.running:
            self.violations.append(f"{handle} evicted with {adapter.running} running")

    def start(
        self, request_id: str, order: CompletionOrder, *, chat: bool = False
    ) -> GeneratedAnswer:
        """Start to generate; raise `Refused` if the adapter is not loaded."""
        adapter = self.loaded.get(order.model)
        if adapter is None:
            raise Refused(404, "adapter_not_loaded", f"{order.model} is not loaded")
        self.runs += 1
        answer = GeneratedAnswer(
            request_id, order.model, length=order.max_tokens, chat=chat
        )
        self.answers[request_id] = answer
        adapter.running += 1
        task = asyncio.create_task(self.generate(answer, order, adapter))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return answer

    async def generate(
        self, answer: GeneratedAnswer, order: CompletionOrder, adapter: LoadedAdapter
    ) -> None:
        """Generate an answer token by token, once a batch slot is free."""
        boot_id = self.boot_id
        try:
            await self.enter_batch(order.priority)
            try:
                await self.generate_tokens(answer, order, adapter.source)
            finally:
                # A restart has emptied the batch already.
                if boot_id == self.boot_id:
                    self.leave_batch()
        finally:
            adapter.running -= 1
            answer.finished = not answer.cancelled
            answer.notify()

    async def generate_tokens(
        self, answer: GeneratedAnswer, order: CompletionOrder, source: str
    ) -> None:
        """Append the tokens of an answer, one per token time."""
        crashing_text = self.faults.crashing_text
        if crashing_text and crashing_text in prompt_text(order):
            await self.clock.sleep(self.limits.token_time)
            self.restart()
            return
        digest = hashlib.sha256(prompt_text(order).encode()).hexdigest()[:8]
        self.record_cache_event(digest)
        for position in range(order.max_tokens):
            if answer.cancelled:
                return
            await self.clock.sleep(self.limits.token_time)
            answer.texts.append(f" {source}:{digest}:{position}")
            answer.notify()

    async def enter_batch(self, priority: int) -> None:
        """Wait for a batch slot; the lowest priority number goes first."""
        if self.running < self.limits.batch_slots:
            self.running += 1
            return
        self.queue_sequence += 1
        slot: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        heapq.heappush(self.queue, (priority, self.queue_sequence, slot))
        await slot

    def leave_batch(self) -> None:
        """Hand the batch slot to the next queued request, or free it."""
        while self.queue:
            _, _, slot = heapq.heappop(self.queue)
            if not slot.done():
                slot.set_result(None)
                return
        self.running -= 1

    def cancel(self, request_id: str) -> None:
        """Stop generating for a request."""
        answer = self.answers.get(request_id)
        if answer and not answer.finished:
            self.cancels += 1
            answer.cancelled = True
            answer.notify()

    def record_cache_event(self, prefix_hash: str) -> None:
        """Record that a prompt prefix is now cached."""
        sequence = len(self.cache_events) + 1
        event = CacheEvent(
            sequence=sequence, kind=CacheEventKind.STORED, prefix_hash=prefix_hash
        )
        self.cache_events.append(event)
        self.cache_event_times.append(self.clock.monotonic())

    def events_after(self, sequence: int) -> CacheEvents:
        """Return cache events, delayed by the lag and without those the gap drops."""
        gap = self.limits.cache_event_gap
        visible_until = self.clock.monotonic() - self.limits.cache_event_lag
        visible_count = bisect_right(self.cache_event_times, visible_until)
        events = [
            event
            for event in self.cache_events[sequence:visible_count]
            if not gap or event.sequence % gap
        ]
        return CacheEvents(boot_id=self.boot_id, events=events)

    def report(self) -> LoadReport:
        """Return the load report, cached for as long as the report lag."""
        now = self.clock.monotonic()
        if self.last_report and now - self.last_report[0] < self.limits.report_lag:
            reported_at, report = self.last_report
            return replace_age(report, now - reported_at)
        report = self.fresh_report()
        self.last_report = (now, report)
        return report

    def fresh_report(self) -> LoadReport:
        """Return a report of the current load."""
        loaded = [
            LoadedHandle(
                lora_name=handle, lora_path=adapter.source, running=adapter.running
            )
            for handle, adapter in self.loaded.items()
        ]
        return LoadReport(
            boot_id=self.boot_id,
            batch_slots=self.limits.batch_slots,
            adapter_slots=self.limits.adapter_slots,
            running=self.running,
            waiting=len(self.queue),
            loaded=loaded,
            fencing_number=self.highest_fencing_number,
            age_seconds=0.0,
        )


def replace_age(report: LoadReport, age: timedelta) -> LoadReport:
    """Return a copy of a report with another age."""
    return replace(report, age_seconds=age.total_seconds())


def prompt_text(order: CompletionOrder) -> str:
    """Return the text that the answer is generated from."""
    if order.messages:
        return order.messages[-1].content
    return order.prompt
