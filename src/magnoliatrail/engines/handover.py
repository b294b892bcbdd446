"""Handover of an engine, with its handles and permits, to its next owner."""

import asyncio
from datetime import timedelta

from magnoliatrail.engines.adoption import Takeover
from magnoliatrail.engines.foreign import ForeignHandle
from magnoliatrail.engines.owner import EngineOwner, Slot, SlotState
from magnoliatrail.errors import ErrorKind, Failure
from magnoliatrail.generated.membership import HandedSlot, Handover
from magnoliatrail.ids import AdapterVersion, Handle, InstanceId
from magnoliatrail.logs import EventLog

log = EventLog("handover")

LOAD_TIMEOUT = timedelta(seconds=30)
LOAD_POLL_INTERVAL = timedelta(milliseconds=50)
TRANSFERRED_STATES = {SlotState.LOADED, SlotState.LOADING}


async def close_owner(
    owner: EngineOwner,
    takeover: Takeover | None,
    instance: InstanceId,
    next_owner: str,
) -> Handover:
    """Stop an owner's orders and grants, and return its handover.

    Loads that were ordered continue. A handle whose unload is unconfirmed is left
    out: the next owner counts it as in use.
    """
    message = f"{owner.engine} goes to {next_owner}"
    owner.closed = Failure(ErrorKind.NOT_OWNER, message)
    async with owner.order_lock:
        slots = [s for s in owner.slots.values() if s.state in TRANSFERRED_STATES]
    return Handover(
        engine=owner.engine,
        instance=instance,
        fencing_number=owner.fencing_number,
        slots=[handed_slot(slot) for slot in slots],
        foreign=[handed_foreign(found) for found in owner.foreign.values()],
        silent=sorted(takeover.possible_holders) if takeover else [],
        previous=takeover.previous if takeover else None,
    )


def handed_slot(slot: Slot) -> HandedSlot:
    """Describe one slot to the next owner."""
    return HandedSlot(
        handle=slot.handle,
        adapter=slot.model.adapter,
        version=slot.model.version,
        loaded=slot.state is SlotState.LOADED,
        holders=sorted(slot.holders),
    )


def handed_foreign(found: ForeignHandle) -> HandedSlot:
    """Describe an unadopted handle of an earlier owner to the next owner."""
    return HandedSlot(
        handle=found.handle,
        adapter=found.model.adapter,
        version=found.model.version,
        loaded=True,
        holders=sorted(found.holders),
    )


def takeover_of(handover: Handover) -> Takeover:
    """Return the takeover state for the unadopted handles of a handover."""
    takeover = Takeover(handover.previous)
    takeover.possible_holders.update(InstanceId(holder) for holder in handover.silent)
    takeover.merge_holders(handover.foreign)
    return takeover


def import_slots(owner: EngineOwner, handover: Handover) -> None:
    """Add the slots of a handover to the next owner."""
    for handed in handover.slots:
        model = AdapterVersion(handed.adapter, handed.version)
        slot = Slot(
            model,
            Handle(handed.handle),
            SlotState.LOADED if handed.loaded else SlotState.LOADING,
            owner.clock.monotonic(),
            holders={InstanceId(holder) for holder in handed.holders},
            # Holder ids with "#" name runs that ended.
            needs_idle_report=any("#" in holder for holder in handed.holders),
        )
        if handed.loaded:
            slot.loaded.set()
        owner.slots[model] = slot


async def await_loads(owner: EngineOwner, handover: Handover) -> None:
    """Wait until the engine reports the loads that the previous owner ordered."""
    handles = {handed.handle for handed in handover.slots if not handed.loaded}
    slots = [slot for slot in owner.slots.values() if slot.handle in handles]
    await asyncio.gather(*(await_load(owner, slot) for slot in slots))


async def await_load(owner: EngineOwner, slot: Slot) -> None:
    """Wait until a report shows a handle; after the timeout, its load has failed."""
    deadline = owner.clock.monotonic() + LOAD_TIMEOUT
    while not owner.closed and owner.clock.monotonic() < deadline:
        result = await owner.client.report()
        if result.is_ok():
            names = {item.lora_name for item in result.ok.loaded}
            if slot.handle in names:
                slot.state = SlotState.LOADED
                slot.loaded.set()
                log.info("load_ended", engine=owner.engine, handle=slot.handle)
                return
        await owner.clock.sleep(LOAD_POLL_INTERVAL)
    slot.failure = Failure(ErrorKind.LOAD_FAILED, f"{slot.handle} was not loaded")
    owner.slots.pop(slot.model, None)
    slot.loaded.set()
