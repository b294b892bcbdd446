"""The engines that one instance owns."""

import asyncio
from collections.abc import Callable

from expression import Error, Result

from magnoliatrail.engines.owner import EngineOwner
from magnoliatrail.errors import ErrorKind, Failure
from magnoliatrail.generated.membership import OwnerRow
from magnoliatrail.generated.permits import PermitGrant, PermitRequest
from magnoliatrail.generated.platform import ListedInstance
from magnoliatrail.ids import EngineId, InstanceId
from magnoliatrail.logs import EventLog
from magnoliatrail.membership.fleet import Fleet
from magnoliatrail.membership.ownership import OwnershipTable, preferred_owner

log = EventLog("ownership")

NewOwner = Callable[[ListedInstance, OwnerRow], EngineOwner]


class OwnedEngines:
    """Claim engines for one instance and keep their owner's tasks."""

    def __init__(
        self,
        *,
        instance: InstanceId,
        fleet: Fleet,
        ownership: OwnershipTable,
        new_owner: NewOwner,
    ) -> None:
        self.instance = instance
        self.fleet = fleet
        self.ownership = ownership
        self.new_owner = new_owner
        self.owners: dict[EngineId, EngineOwner] = {}

    async def claim_all(self) -> None:
        """Claim the engines that this instance should own and nobody owns."""
        for listed in self.fleet.engines():
            engine = EngineId(listed.id)
            if engine in self.owners:
                continue
            if self.fleet.owner_of(engine) not in (None, self.instance):
                continue
            if preferred_owner(engine, self.fleet.sessions) != self.instance:
                continue
            match await self.ownership.claim(engine):
                case Result(tag="ok", ok=row):
                    await self.own(listed, row)
                case Result(error=failure):
                    log.info("claim_lost", engine=engine, reason=failure.message)

    async def own(self, listed: ListedInstance, row: OwnerRow) -> None:
        """Become the owner of an engine."""
        owner = self.new_owner(listed, row)
        self.owners[owner.engine] = owner
        self.fleet.owners[owner.engine] = row
        log.info("engine_owned", engine=owner.engine, fencing=row.fencing_number)
        await owner.refresh()

    async def refresh(self) -> None:
        """Read the load reports of the engines that this instance owns."""
        await asyncio.gather(*(owner.refresh() for owner in self.owners.values()))

    async def answer_permit(
        self, request: PermitRequest
    ) -> Result[PermitGrant, Failure]:
        """Grant a permit on an engine that this instance owns."""
        owner = self.owners.get(EngineId(request.engine))
        if owner is None:
            message = f"{self.instance} does not own {request.engine}"
            return Error(Failure(ErrorKind.NOT_OWNER, message))
        return await owner.permit(request)
