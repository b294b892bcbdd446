"""Takeover of an engine after its owner's crash: which handles may be used."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field

from expression import Result

from magnoliatrail.engines.foreign import (
    ForeignHandle,
    foreign_handle,
    reported_idle,
)
from magnoliatrail.engines.owner import EngineOwner, Slot, SlotState
from magnoliatrail.errors import Failure
from magnoliatrail.generated.membership import (
    HandedSlot,
    Handover,
    OwnerRow,
    TakeoverInquiry,
)
from magnoliatrail.generated.permits import HeldPermits, PermitRecall, RecallState
from magnoliatrail.ids import EngineId, Handle, Incarnation, InstanceId
from magnoliatrail.logs import EventLog
from magnoliatrail.membership.ended import EndedRuns, former_id
from magnoliatrail.membership.members import Members, Run

log = EventLog("adoption")

Inquire = Callable[
    [InstanceId, TakeoverInquiry], Awaitable[Result[HeldPermits, Failure]]
]


@dataclass
class Takeover:
    """Previous owner and possible permit holders of an engine that was taken over."""

    previous: OwnerRow | None
    held: dict[Handle, set[InstanceId]] = field(default_factory=dict)
    possible_holders: set[InstanceId] = field(default_factory=set)
    released: set[Handle] = field(default_factory=set)

    @property
    def former(self) -> Run | None:
        """Return the run from which the engine was taken over."""
        if self.previous is None:
            return None
        instance, incarnation = self.previous.instance, self.previous.incarnation
        return InstanceId(instance), Incarnation(incarnation)

    def loaded_by_former(self, found: ForeignHandle) -> bool:
        """Return whether the previous owner itself ordered the load of a handle."""
        previous = self.previous
        return previous is not None and found.fencing_number == previous.fencing_number

    def merge_holders(self, slots: Iterable[HandedSlot]) -> None:
        """Add the permit holders that another owner recorded."""
        for slot in slots:
            holders = {InstanceId(holder) for holder in slot.holders}
            self.held.setdefault(Handle(slot.handle), set()).update(holders)


class Adoption:
    """Track the handles of earlier owners and adopt each one once it is safe."""

    def __init__(
        self,
        *,
        members: Members,
        ended: EndedRuns,
        inquire: Inquire,
        checks_fencing: Callable[[EngineOwner], bool],
    ) -> None:
        self.members = members
        self.ended = ended
        self.inquire = inquire
        self.checks_fencing = checks_fencing
        self.takeovers: dict[EngineId, Takeover] = {}

    async def start(
        self, owner: EngineOwner, row: OwnerRow, previous: OwnerRow | None
    ) -> None:
        """Announce the new owner to every peer and ask which permits the peer holds.

        A peer that does not answer, and every run that is not confirmed stopped,
        may hold a permit on any handle.
        """
        takeover = Takeover(previous)
        former = takeover.former
        takeover.possible_holders.update(
            former_id(run) for run in self.ended.unconfirmed()
        )
        if former and not self.ended.confirmed_stopped(former):
            takeover.possible_holders.add(former_id(former))
        inquiry = TakeoverInquiry(owner=row)
        peers = list(self.members.reachable())
        answers = await asyncio.gather(*(self.inquire(peer, inquiry) for peer in peers))
        for peer, answer in zip(peers, answers, strict=True):
            match answer:
                case Result(tag="ok", ok=held):
                    for grant in held.permits:
                        holders = takeover.held.setdefault(Handle(grant.handle), set())
                        holders.add(peer)
                case Result(error=failure):
                    log.warning("holder_unreachable", peer=peer, reason=failure.message)
                    takeover.possible_holders.add(peer)
        self.takeovers[owner.engine] = takeover

    def track_foreign(self, owner: EngineOwner) -> None:
        """Track the reported handles of earlier owners, which count as in use."""
        if owner.report is None:
            return
        reported = {item.lora_name for item in owner.report.loaded}
        for handle in set(owner.foreign) - reported:
            del owner.foreign[handle]
        known = {slot.handle for slot in owner.slots.values()}
        takeover = self.takeovers.setdefault(owner.engine, Takeover(None))
        for name in reported - known - set(owner.foreign):
            found = foreign_handle(name)
            if found is None or found.fencing_number == owner.fencing_number:
                continue
            found.holders = (
                takeover.held.get(found.handle, set()) | takeover.possible_holders
            )
            owner.foreign[found.handle] = found

    async def refresh(self, owner: EngineOwner) -> None:
        """Track handles of earlier owners, and adopt those that are safe to use."""
        self.track_foreign(owner)
        if not owner.foreign or owner.closed:
            return
        fenced = await self.fenced(owner)
        takeover = self.takeovers[owner.engine]
        former_stopped = takeover.former is not None and self.ended.confirmed_stopped(
            takeover.former
        )
        for found in list(owner.foreign.values()):
            from_former = takeover.loaded_by_former(found)
            released = found.handle in takeover.released
            if fenced or released or (former_stopped and from_former):
                await self.adopt(owner, found)

    async def fenced(self, owner: EngineOwner) -> bool:
        """Return whether the engine rejects the orders of earlier owners."""
        if not self.checks_fencing(owner) or owner.report is None:
            return False
        if owner.report.fencing_number >= owner.fencing_number:
            return True
        # Unloading an absent handle makes the engine record the higher number.
        absent = Handle(f"nothing@0~{owner.fencing_number}")
        await owner.client.unload(absent, owner.fencing_number)
        return False

    def apply_late_handover(self, owner: EngineOwner, handover: Handover) -> None:
        """Apply a handover that arrives after its engine was taken over.

        Only the directly preceding owner can confirm that no other instance sends
        orders for the handles that it counts as its own.
        """
        takeover = self.takeovers.get(owner.engine)
        if takeover is None or takeover.previous is None:
            return
        if handover.fencing_number != takeover.previous.fencing_number:
            return
        takeover.merge_holders(handover.slots)
        for slot in handover.slots:
            takeover.released.add(Handle(slot.handle))
        for found in owner.foreign.values():
            found.holders |= takeover.held.get(found.handle, set())

    async def adopt(self, owner: EngineOwner, found: ForeignHandle) -> None:
        """Add a handle to the owner's slots, or unload it if it is a duplicate."""
        async with owner.order_lock:
            if owner.foreign.get(found.handle) is not found:
                return
            if found.model not in owner.slots:
                del owner.foreign[found.handle]
                owner.slots[found.model] = adopted_slot(owner, found)
                log.info("adopted", engine=owner.engine, handle=found.handle)
                return
        await self.retire(owner, found)

    async def retire(self, owner: EngineOwner, found: ForeignHandle) -> None:
        """Unload a handle whose adapter is also loaded under another handle."""
        recall = PermitRecall(
            engine=owner.engine,
            handle=found.handle,
            fencing_number=owner.fencing_number,
        )
        for holder in list(found.holders):
            if await owner.recall(holder, recall) is RecallState.BUSY:
                return
            found.holders.discard(holder)
        if not await reported_idle(owner, found.handle):
            return
        result = await owner.client.unload(found.handle, owner.fencing_number)
        if result.is_ok():
            owner.foreign.pop(found.handle, None)
            log.info("retired", engine=owner.engine, handle=found.handle)


def adopted_slot(owner: EngineOwner, found: ForeignHandle) -> Slot:
    """Return the slot of a handle that an earlier owner loaded."""
    slot = Slot(
        found.model,
        found.handle,
        SlotState.LOADED,
        owner.clock.monotonic(),
        holders=set(found.holders),
        needs_idle_report=True,
    )
    slot.loaded.set()
    return slot
