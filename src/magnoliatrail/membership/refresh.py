"""Reads of the instance list and the table into an instance's view of the fleet."""

from expression import Result

from magnoliatrail.ids import InstanceId
from magnoliatrail.logs import EventLog
from magnoliatrail.membership.fleet import Fleet
from magnoliatrail.membership.ownership import OwnershipTable
from magnoliatrail.membership.session import read_sessions
from magnoliatrail.platform.instance_list import InstanceListService
from magnoliatrail.platform.table import TableService

log = EventLog("membership")


class FleetRefresh:
    """Keep one instance's view of the fleet up to date."""

    def __init__(
        self,
        *,
        fleet: Fleet,
        table: TableService,
        instance_list: InstanceListService,
        ownership: OwnershipTable,
    ) -> None:
        self.fleet = fleet
        self.table = table
        self.instance_list = instance_list
        self.ownership = ownership

    async def refresh(self) -> None:
        """Read the instance list, the sessions and the owners."""
        await self.read_list()
        await self.read_sessions()
        await self.read_owners()

    async def read_list(self) -> None:
        """Read the instance list."""
        match await self.instance_list.read():
            case Result(tag="ok", ok=instances):
                self.fleet.listed = {item.id: item for item in instances.instances}
            case Result(error=failure):
                log.warning("instance_list_missing", reason=failure.message)

    async def read_sessions(self) -> None:
        """Read the sessions of all instances."""
        match await read_sessions(self.table):
            case Result(tag="ok", ok=sessions):
                self.fleet.sessions = {
                    InstanceId(row.instance): row for row in sessions
                }
            case Result(error=failure):
                log.warning("sessions_missing", reason=failure.message)

    async def read_owners(self) -> None:
        """Read the owners of all engines."""
        match await self.ownership.read_all():
            case Result(tag="ok", ok=owners):
                self.fleet.owners = owners
            case Result(error=failure):
                log.warning("owners_missing", reason=failure.message)
