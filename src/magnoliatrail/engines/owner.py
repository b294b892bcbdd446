"""The owner's task for one engine: loads, evictions and permits."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

from expression import Error, Ok, Result

from magnoliatrail.clock import Clock
from magnoliatrail.engines.client import EngineClient
from magnoliatrail.engines.demand import DemandByHolder
from magnoliatrail.engines.foreign import ForeignHandle, reported_idle
from magnoliatrail.engines.load_scheduler import LoadScheduler
from magnoliatrail.errors import ErrorKind, Failure
from magnoliatrail.generated.engine import LoadReport
from magnoliatrail.generated.permits import (
    PermitGrant,
    PermitRecall,
    PermitRequest,
    RecallState,
)
from magnoliatrail.generated.platform import ListedInstance
from magnoliatrail.ids import (
    AdapterVersion,
    CallerId,
    EngineId,
    FencingNumber,
    Handle,
    InstanceId,
    RequestId,
    handle_for,
)
from magnoliatrail.logs import EventLog
from magnoliatrail.metrics import Metrics
from magnoliatrail.placement.eviction import EvictionCandidate, eviction_order
from magnoliatrail.placement.load_queue import LoadKey, Waiter
from magnoliatrail.placement.popularity import Popularity, PopularitySettings

log = EventLog("owner")

Recall = Callable[[InstanceId, PermitRecall], Awaitable[RecallState]]


class SlotState(Enum):
    """State of an adapter slot."""

    LOADING = "loading"
    LOADED = "loaded"
    EVICTING = "evicting"
    UNCONFIRMED = "doubtful"


UNUSABLE_STATES = {SlotState.EVICTING, SlotState.UNCONFIRMED}


@dataclass
class Slot:
    """An adapter slot of an engine, as recorded by the owner."""

    model: AdapterVersion
    handle: Handle
    state: SlotState
    last_used: timedelta
    holders: set[InstanceId] = field(default_factory=set)
    waiters: int = 0
    loaded: asyncio.Event = field(default_factory=asyncio.Event)
    failure: Failure | None = None
    # An ended run may still have requests on the handle, so an eviction also needs a
    # load report that shows it as idle.
    needs_idle_report: bool = False
    loaded_at: timedelta = timedelta()


class EngineOwner:
    """Owner of one engine, the only sender of its orders."""

    def __init__(
        self,
        *,
        listed: ListedInstance,
        fencing_number: FencingNumber,
        client: EngineClient,
        recall: Recall,
        clock: Clock,
        metrics: Metrics,
        loads: LoadScheduler | None = None,
        popularity: Popularity[AdapterVersion] | None = None,
    ) -> None:
        self.engine = EngineId(listed.id)
        self.url = listed.url
        self.fencing_number = fencing_number
        self.client = client
        self.recall = recall
        self.clock = clock
        self.metrics = metrics
        self.report: LoadReport | None = None
        self.slots: dict[AdapterVersion, Slot] = {}
        self.foreign: dict[Handle, ForeignHandle] = {}
        self.closed: Failure | None = None
        self.loads_ordered = 0
        self.order_lock = asyncio.Lock()
        self.loads = loads
        self.popularity = popularity or Popularity(PopularitySettings())
        self.demand = DemandByHolder()

    @property
    def slots_taken(self) -> int:
        """Return how many adapter slots are taken, by this owner or an earlier one."""
        return len(self.slots) + len(self.foreign)

    async def refresh(self) -> None:
        """Read the load report, and retry unloads that are unconfirmed."""
        match await self.client.report():
            case Result(tag="ok", ok=report):
                self.apply_report(report)
                await self.retry_unloads()
            case Result(error=failure):
                log.warning(
                    "load_report_missing", engine=self.engine, reason=failure.message
                )

    def apply_report(self, report: LoadReport) -> None:
        """Apply a load report; after an engine restart, drop the handles it lost."""
        if self.report and self.report.boot_id != report.boot_id:
            log.warning("engine_restarted", engine=self.engine)
            self.metrics.count("engine.restarts")
            self.slots = {
                model: slot
                for model, slot in self.slots.items()
                if slot.state is SlotState.LOADING
            }
            self.foreign.clear()
        self.report = report
        self.metrics.gauge("batch_fill", report.running / report.batch_slots)

    async def permit(self, request: PermitRequest) -> Result[PermitGrant, Failure]:
        """Grant the use of an adapter, loading it first if necessary."""
        model = AdapterVersion(request.adapter, request.version)
        if self.report is None:
            await self.refresh()
        if self.report is None:
            message = f"engine {self.engine} gives no load report"
            return Error(Failure(ErrorKind.NO_BACKEND_SERVER, message))
        if self.closed:
            return Error(self.closed)
        slot = self.slots.get(model)
        if slot is None or slot.state in UNUSABLE_STATES:
            match await self.load_when_scheduled(model, request):
                case Result(tag="ok", ok=started):
                    slot = started
                case Result(error=failure):
                    return Error(failure)
        slot.waiters += 1
        try:
            await slot.loaded.wait()
        finally:
            slot.waiters -= 1
        refusal = slot.failure or self.closed
        if refusal:
            return Error(refusal)
        slot.last_used = self.clock.monotonic()
        slot.holders.add(InstanceId(request.holder))
        return Ok(self.grant(slot))

    async def load_when_scheduled(
        self, model: AdapterVersion, request: PermitRequest
    ) -> Result[Slot, Failure]:
        """Start to load an adapter once the scheduler allows it."""
        if self.loads is None:
            return await self.start_load(model, request)
        if not self.can_obtain_slot():
            message = f"every adapter slot of {self.engine} is in use"
            return Error(Failure(ErrorKind.QUEUE_FULL, message))
        now = self.clock.monotonic()
        if request.rate and not self.popularity.value(model, now):
            memory = self.popularity.memory_seconds
            self.popularity.record(model, now, uses=request.rate * memory)
        key = LoadKey(self.engine, model)
        match await self.loads.wait_to_start(key, waiter_of(request, now)):
            case Result(tag="error", error=failure):
                return Error(failure)
        try:
            return await self.start_load(model, request)
        finally:
            # Release the scheduled start if no load began.
            slot = self.slots.get(model)
            if slot is None or slot.state is not SlotState.LOADING:
                self.loads.record_end(key)

    def can_obtain_slot(self) -> bool:
        """Return whether a slot is free, or an adapter could be evicted."""
        if self.report is None or self.slots_taken < self.report.adapter_slots:
            return True
        now = self.clock.monotonic()
        slots = [eviction_candidate(self, slot, now) for slot in self.slots.values()]
        return bool(eviction_order(slots, now))

    def grant(self, slot: Slot) -> PermitGrant:
        """Build the grant for a loaded slot."""
        assert self.report is not None
        return PermitGrant(
            engine=self.engine,
            engine_url=self.url,
            handle=slot.handle,
            adapter=slot.model.adapter,
            version=slot.model.version,
            fencing_number=self.fencing_number,
            places=self.report.batch_slots,
        )

    async def start_load(
        self, model: AdapterVersion, request: PermitRequest
    ) -> Result[Slot, Failure]:
        """Reserve a slot for an adapter and start to load it."""
        async with self.order_lock:
            if self.closed:
                return Error(self.closed)
            present = self.slots.get(model)
            if present and present.state is SlotState.UNCONFIRMED:
                message = f"{present.handle} may still be unloaded"
                return Error(Failure(ErrorKind.LOAD_FAILED, message))
            if present and present.state is not SlotState.EVICTING:
                return Ok(present)
            if self.report is None:
                await self.refresh()
            if self.report is None:
                message = f"engine {self.engine} gives no load report"
                return Error(Failure(ErrorKind.NO_BACKEND_SERVER, message))
            if self.slots_taken >= self.report.adapter_slots:
                freed = await self.free_slot()
                if not freed:
                    message = f"every adapter slot of {self.engine} is in use"
                    return Error(Failure(ErrorKind.QUEUE_FULL, message))
            self.loads_ordered += 1
            slot = Slot(
                model,
                handle_for(model, self.fencing_number, self.loads_ordered),
                SlotState.LOADING,
                self.clock.monotonic(),
            )
            self.slots[model] = slot
        log.info(
            "load_started",
            request=request.request_id,
            engine=self.engine,
            handle=slot.handle,
            reason="not_loaded",
        )
        slot_task = asyncio.create_task(self.load(slot))
        slot_task.add_done_callback(lambda task: task.result())
        return Ok(slot)

    async def load(self, slot: Slot) -> None:
        """Load a slot's adapter and wake the requests that wait for it."""
        started = self.clock.monotonic()
        result = await self.client.load(slot.handle, slot.model, self.fencing_number)
        duration = self.clock.monotonic() - started
        match result:
            case Result(tag="ok"):
                slot.state = SlotState.LOADED
                slot.loaded_at = self.clock.monotonic()
                self.metrics.count("loads")
                self.metrics.timing("load_time", duration)
                log.info("load_ended", engine=self.engine, handle=slot.handle)
            case Result(error=failure):
                slot.failure = failure
                self.slots.pop(slot.model, None)
                self.metrics.count("loads_failed")
                log.warning(
                    "load_failed",
                    engine=self.engine,
                    handle=slot.handle,
                    reason=failure.message,
                )
        slot.loaded.set()
        if self.loads:
            key = LoadKey(self.engine, slot.model)
            self.loads.record_end(key, failed=slot.failure is not None)

    def free_slots(self) -> int:
        """Return how many adapter slots are neither taken nor due to a pending load."""
        if self.report is None:
            return 0
        pending_loads = self.loads.waiting_for(self.engine) if self.loads else 0
        return max(0, self.report.adapter_slots - self.slots_taken - pending_loads)

    async def free_slot(self) -> bool:
        """Evict the least valuable idle adapter."""
        by_handle = {slot.handle: slot for slot in self.slots.values()}
        now = self.clock.monotonic()
        candidates = [
            eviction_candidate(self, slot, now) for slot in self.slots.values()
        ]
        for handle in eviction_order(candidates, now):
            if await self.evict(by_handle[handle]):
                return True
        return False

    async def evict(self, slot: Slot) -> bool:
        """Evict an adapter if every holder returns its permit."""
        slot.state = SlotState.EVICTING
        idle = await self.recall_all(slot)
        if slot.needs_idle_report:
            idle = idle and await reported_idle(self, slot.handle)
        if not idle:
            slot.state = SlotState.LOADED
            return False
        result = await self.client.unload(slot.handle, self.fencing_number)
        if result.is_error():
            slot.state = SlotState.UNCONFIRMED
            return False
        self.slots.pop(slot.model, None)
        self.metrics.count("evictions")
        log.info(
            "evicted", engine=self.engine, handle=slot.handle, reason="slot_needed"
        )
        return True

    async def retry_unloads(self) -> None:
        """Retry unconfirmed unloads; a slot is unusable until its unload succeeds."""
        unconfirmed = [
            s for s in self.slots.values() if s.state is SlotState.UNCONFIRMED
        ]
        for slot in unconfirmed:
            result = await self.client.unload(slot.handle, self.fencing_number)
            if result.is_ok() and self.slots.get(slot.model) is slot:
                del self.slots[slot.model]

    def rename_holder(self, holder: InstanceId, former: InstanceId) -> None:
        """Attribute the permits of a run that ended to it, not to the next run."""
        for slot in self.slots.values():
            if holder in slot.holders:
                slot.holders.discard(holder)
                slot.holders.add(former)
                slot.needs_idle_report = True

    async def recall_all(self, slot: Slot) -> bool:
        """Recall a handle from every holder; a missing answer counts as busy."""
        recall = PermitRecall(
            engine=self.engine,
            handle=slot.handle,
            fencing_number=self.fencing_number,
        )
        for holder in list(slot.holders):
            if await self.recall(holder, recall) is RecallState.BUSY:
                return False
            slot.holders.discard(holder)
        return True


def eviction_candidate(
    owner: EngineOwner, slot: Slot, now: timedelta
) -> EvictionCandidate:
    """Describe a slot to the eviction policy."""
    return EvictionCandidate(
        handle=slot.handle,
        in_use=slot.state is not SlotState.LOADED,
        awaited=slot.waiters > 0,
        last_used=slot.last_used,
        value=owner.popularity.value(slot.model, now),
        loaded_at=slot.loaded_at,
    )


def waiter_of(request: PermitRequest, now: timedelta) -> Waiter:
    """Build the queue entry of a request that waits for its adapter."""
    return Waiter(
        request_id=RequestId(request.request_id),
        caller=CallerId(request.caller),
        request_class=request.request_class,
        since=now,
        deadline=now + timedelta(seconds=request.deadline_seconds),
    )
