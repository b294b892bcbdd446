"""Claims and handovers, which move each engine to its preferred owner."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from datetime import timedelta

from expression import Error, Ok, Result

from magnoliatrail.engines.handover import (
    await_loads,
    close_owner,
    import_slots,
    takeover_of,
)
from magnoliatrail.engines.owned import OwnedEngines
from magnoliatrail.engines.owner import EngineOwner
from magnoliatrail.errors import ErrorKind, Failure
from magnoliatrail.generated.membership import (
    Handover,
    HandoverAnswer,
    MemberState,
    OwnerRow,
)
from magnoliatrail.generated.platform import ListedInstance
from magnoliatrail.ids import EngineId, InstanceId
from magnoliatrail.logs import EventLog
from magnoliatrail.membership.ownership import OwnershipTable
from magnoliatrail.membership.preference import Preference
from magnoliatrail.periodic import PeriodicTasks

log = EventLog("claims")

SendHandover = Callable[
    [InstanceId, Handover], Awaitable[Result[HandoverAnswer, Failure]]
]
FindMember = Callable[[InstanceId], Awaitable[None]]

# These limits spread the claims of all instances when the table service recovers.
MAX_CONCURRENT_CLAIMS = 4
INITIAL_CLAIM_BACKOFF = timedelta(seconds=0.5)
MAX_CLAIM_BACKOFF = timedelta(seconds=8)
TABLE_ERROR_KINDS = {ErrorKind.TABLE_UNAVAILABLE, ErrorKind.TABLE_OUTCOME_UNKNOWN}


class Claims:
    """Claim engines without an owner, and hand engines over to preferred owners."""

    def __init__(
        self,
        *,
        owned: OwnedEngines,
        ownership: OwnershipTable,
        preference: Preference,
        tasks: PeriodicTasks,
        send_handover: SendHandover,
        find_member: FindMember,
        wake: Callable[[], None],
    ) -> None:
        self.owned = owned
        self.fleet = owned.fleet
        self.instance = owned.instance
        self.ownership = ownership
        self.preference = preference
        self.tasks = tasks
        self.send_handover = send_handover
        self.find_member = find_member
        self.wake = wake
        self.claim_semaphore = asyncio.Semaphore(MAX_CONCURRENT_CLAIMS)
        self.reconcile_lock = asyncio.Lock()
        self.claim_backoff = INITIAL_CLAIM_BACKOFF
        self.backoff_until = timedelta()

    async def reconcile(self) -> None:
        """Move every engine that concerns this instance to its preferred owner."""
        if self.reconcile_lock.locked():
            return
        async with self.reconcile_lock:
            engines = self.fleet.engines()
            await asyncio.gather(*(self.reconcile_engine(item) for item in engines))
            self.drop_unlisted({EngineId(item.id) for item in engines})

    async def reconcile_engine(self, listed: ListedInstance) -> None:
        """Claim, hand over, give up or skip one engine."""
        engine = EngineId(listed.id)
        owner = self.owned.owners.get(engine)
        preferred = self.preference.owner(listed)
        if owner is None:
            if preferred == self.instance and self.fleet.owner_of(engine) is None:
                await self.claim_throttled(listed)
            return
        known = self.fleet.owners.get(engine)
        if known and known.fencing_number > owner.fencing_number:
            await self.step_down(owner, known)
        elif owner.closed:
            await self.resolve(owner)
        elif preferred not in (None, self.instance):
            assert preferred is not None
            await self.hand_over(owner, preferred)

    def drop_unlisted(self, listed: set[EngineId]) -> None:
        """Give up engines that are no longer on the instance list."""
        for engine, owner in list(self.owned.owners.items()):
            if engine not in listed:
                self.owned.drop(owner, "not_listed")

    async def claim_throttled(self, listed: ListedInstance) -> None:
        """Claim an engine, unless a backoff after a table failure is running."""
        clock = self.fleet.clock
        async with self.claim_semaphore:
            if clock.monotonic() < self.backoff_until:
                return
            match await self.claim(listed):
                case Result(tag="ok"):
                    self.claim_backoff = INITIAL_CLAIM_BACKOFF
                case Result(error=failure):
                    log.info("claim_lost", engine=listed.id, reason=failure.message)
                    if failure.kind in TABLE_ERROR_KINDS:
                        wait = self.claim_backoff * random.uniform(0.5, 1.5)
                        self.backoff_until = clock.monotonic() + wait
                        self.claim_backoff = min(
                            self.claim_backoff * 2, MAX_CLAIM_BACKOFF
                        )

    async def claim(self, listed: ListedInstance) -> Result[None, Failure]:
        """Claim an engine unless its recorded owner is still running."""
        engine = EngineId(listed.id)
        match await self.ownership.read(engine):
            case Result(tag="ok", ok=previous):
                pass
            case Result(error=failure):
                return Error(failure)
        if previous and await self.is_owner_reachable(previous):
            self.fleet.apply_owner(previous, InstanceId(previous.instance))
            return Ok(None)
        expected = previous.fencing_number if previous else 0
        match await self.ownership.claim(engine, expected=expected):
            case Result(tag="ok", ok=row):
                await self.take_over(listed, row, previous)
                return Ok(None)
            case Result(error=failure):
                return Error(failure)

    async def is_owner_reachable(self, row: OwnerRow) -> bool:
        """Return whether the owner in a row is expected to answer."""
        members = self.fleet.members
        instance = InstanceId(row.instance)
        if instance not in members.records:
            await self.find_member(instance)
        return members.is_running(row.instance, row.incarnation)

    async def take_over(
        self, listed: ListedInstance, row: OwnerRow, previous: OwnerRow | None
    ) -> None:
        """Become the owner of an engine that was claimed without a handover."""
        owner = self.owned.new_owner(listed, row)
        await self.owned.adoption.start(owner, row, previous)
        await self.owned.refresh_one(owner)
        self.owned.put(owner, row)
        self.wake()

    async def hand_over(self, owner: EngineOwner, preferred: InstanceId) -> None:
        """Hand an engine over, and keep it if the handover fails."""
        await self.owned.adoption.refresh(owner)
        handover = await self.close(owner, preferred)
        match await self.send_handover(preferred, handover):
            case Result(tag="ok", ok=answer):
                self.fleet.apply_owner(answer.owner, preferred)
                self.owned.drop(owner, "handed_over")
                self.wake()
            case Result(error=failure):
                log.warning(
                    "handover_failed", engine=owner.engine, reason=failure.message
                )
                await self.resolve(owner)

    async def resolve(self, owner: EngineOwner) -> None:
        """Read the owner of an engine after a handover of unknown outcome."""
        match await self.ownership.read(owner.engine):
            case Result(tag="ok", ok=OwnerRow() as row):
                if row.fencing_number == owner.fencing_number:
                    owner.closed = None
                else:
                    self.fleet.apply_owner(row, InstanceId(row.instance))
                    self.owned.drop(owner, "claimed_by_another")
            case _:
                log.warning("owner_unknown", engine=owner.engine)

    async def step_down(self, owner: EngineOwner, row: OwnerRow) -> None:
        """Drop an engine that another instance claimed, and send it a late handover."""
        next_owner = InstanceId(row.instance)
        handover = await self.close(owner, next_owner)
        self.owned.drop(owner, "claimed_by_another")
        if next_owner in self.fleet.members.reachable():
            await self.send_handover(next_owner, handover)

    async def verify(self) -> None:
        """Check after a pause whether this instance still owns its engines."""
        owners = list(self.owned.owners.values())
        await asyncio.gather(*(self.verify_one(owner) for owner in owners))

    async def verify_one(self, owner: EngineOwner) -> None:
        """Check whether this instance still owns one engine."""
        match await self.ownership.read(owner.engine):
            case Result(tag="ok", ok=OwnerRow() as row):
                self.fleet.apply_owner(row, InstanceId(row.instance))
                if row.fencing_number > owner.fencing_number:
                    self.tasks.once(lambda: self.step_down(owner, row))
                    message = f"{owner.engine} was claimed by {row.instance}"
                    owner.closed = Failure(ErrorKind.NOT_OWNER, message)
            case _:
                log.warning("owner_unknown", engine=owner.engine)

    async def answer_handover(
        self, handover: Handover
    ) -> Result[HandoverAnswer, Failure]:
        """Answer the handover of an engine by its current owner."""
        engine = EngineId(handover.engine)
        owner = self.owned.owners.get(engine)
        if owner and owner.fencing_number > handover.fencing_number:
            self.owned.adoption.apply_late_handover(owner, handover)
            return Ok(HandoverAnswer(owner=self.fleet.owners[engine]))
        listed = self.fleet.listed.get(engine)
        if listed is None or self.fleet.members.own.state is not MemberState.LIVE:
            message = f"{self.instance} cannot take {engine}"
            return Error(Failure(ErrorKind.SHUTTING_DOWN, message))
        expected = handover.fencing_number
        match await self.ownership.claim(engine, expected=expected):
            case Result(tag="ok", ok=row):
                await self.accept_handover(listed, row, handover)
                return Ok(HandoverAnswer(owner=row))
            case Result(error=failure):
                return Error(failure)

    async def accept_handover(
        self, listed: ListedInstance, row: OwnerRow, handover: Handover
    ) -> None:
        """Become the owner of an engine with the slots of its handover."""
        stale = self.owned.owners.get(EngineId(row.engine))
        late = await self.close(stale, self.instance) if stale else None
        if stale:
            self.owned.drop(stale, "claimed_by_another")
        owner = self.owned.new_owner(listed, row)
        import_slots(owner, handover)
        adoption = self.owned.adoption
        adoption.takeovers[owner.engine] = takeover_of(handover)
        if late:
            adoption.apply_late_handover(owner, late)
        self.owned.put(owner, row)
        self.wake()
        self.tasks.once(lambda: await_loads(owner, handover))

    async def close(self, owner: EngineOwner, next_owner: InstanceId) -> Handover:
        """Stop an owner's orders, and return its handover."""
        takeover = self.owned.adoption.takeovers.get(owner.engine)
        return await close_owner(owner, takeover, self.instance, next_owner)
