"""The engines that one instance owns."""

import asyncio
from collections.abc import Callable

from expression import Error, Result

from magnoliatrail.engines.adoption import Adoption
from magnoliatrail.engines.owner import EngineOwner
from magnoliatrail.errors import ErrorKind, Failure
from magnoliatrail.generated.membership import MemberRecord, MemberState, OwnerRow
from magnoliatrail.generated.permits import PermitGrant, PermitRequest
from magnoliatrail.generated.platform import ListedInstance
from magnoliatrail.ids import EngineId, Incarnation, InstanceId
from magnoliatrail.logs import EventLog
from magnoliatrail.membership.ended import former_id
from magnoliatrail.membership.fleet import Fleet

log = EventLog("ownership")

NewOwner = Callable[[ListedInstance, OwnerRow], EngineOwner]


class OwnedEngines:
    """Engine owners of one instance."""

    def __init__(
        self,
        *,
        instance: InstanceId,
        fleet: Fleet,
        adoption: Adoption,
        new_owner: NewOwner,
    ) -> None:
        self.instance = instance
        self.fleet = fleet
        self.adoption = adoption
        self.new_owner = new_owner
        self.owners: dict[EngineId, EngineOwner] = {}
        fleet.members.on_change.append(self.mark_ended_holders)

    def put(self, owner: EngineOwner, row: OwnerRow) -> None:
        """Add an owned engine, and publish its ownership."""
        self.owners[owner.engine] = owner
        self.fleet.apply_owner(row, self.instance)
        log.info(
            "engine_owned",
            engine=owner.engine,
            fencing=row.fencing_number,
            slots=len(owner.slots),
            foreign=len(owner.foreign),
        )

    def drop(self, owner: EngineOwner, reason: str) -> None:
        """Stop owning an engine."""
        if owner.closed is None:
            message = f"{self.instance} no longer owns {owner.engine}"
            owner.closed = Failure(ErrorKind.NOT_OWNER, message)
        if self.owners.get(owner.engine) is owner:
            del self.owners[owner.engine]
        self.adoption.takeovers.pop(owner.engine, None)
        log.info("engine_dropped", engine=owner.engine, reason=reason)

    async def refresh(self) -> None:
        """Read the load reports, and adopt handles that have become safe to use."""
        await asyncio.gather(*(self.refresh_one(o) for o in self.owners.values()))

    async def refresh_one(self, owner: EngineOwner) -> None:
        """Read one engine's load report, and adopt handles that have become safe."""
        await owner.refresh()
        await self.adoption.refresh(owner)

    def mark_ended_holders(self, record: MemberRecord) -> None:
        """Attribute the permits of runs that ended to those runs, not to later ones."""
        if record.state is MemberState.LEFT:
            return
        for run in self.fleet.members.ended:
            if run[0] == record.instance:
                former = former_id((run[0], Incarnation(run[1])))
                for owner in self.owners.values():
                    owner.rename_holder(run[0], former)

    async def answer_permit(
        self, request: PermitRequest
    ) -> Result[PermitGrant, Failure]:
        """Grant a permit on an engine that this instance owns."""
        owner = self.owners.get(EngineId(request.engine))
        if owner is None:
            message = f"{self.instance} does not own {request.engine}"
            return Error(Failure(ErrorKind.NOT_OWNER, message))
        return await owner.permit(request)
