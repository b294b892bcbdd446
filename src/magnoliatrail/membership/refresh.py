"""Reads of the instance list and the table service into the view of the fleet."""

from expression import Result

from magnoliatrail.generated.platform import InstanceList
from magnoliatrail.ids import EngineId, InstanceId
from magnoliatrail.logs import EventLog
from magnoliatrail.membership.fleet import Fleet
from magnoliatrail.membership.members import member_of
from magnoliatrail.membership.ownership import OwnershipTable
from magnoliatrail.membership.session import read_sessions
from magnoliatrail.platform.instance_list import InstanceListService
from magnoliatrail.platform.table import TableService

log = EventLog("membership")


class FleetRefresh:
    """Refresh one instance's view of the fleet."""

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

    async def read_list(self) -> bool:
        """Read the instance list, and return whether a server began to leave."""
        asked_at = self.fleet.clock.monotonic()
        match await self.instance_list.read():
            case Result(tag="ok", ok=InstanceList() as instances):
                return self.fleet.servers.apply_list(instances, asked_at)
            case Result(error=failure):
                log.warning("instance_list_missing", reason=failure.message)
                return False

    async def scan(self) -> None:
        """Read all sessions and owners, which gossip normally delivers earlier."""
        await self.scan_sessions()
        await self.scan_owners()

    async def scan_sessions(self) -> None:
        """Read the sessions of all instances."""
        match await read_sessions(self.table):
            case Result(tag="ok", ok=rows):
                for row in rows:
                    self.fleet.members.merge(member_of(row), InstanceId(row.instance))
            case Result(error=failure):
                log.warning("sessions_missing", reason=failure.message)

    async def scan_owners(self) -> None:
        """Read the owners of all engines."""
        match await self.ownership.read_all():
            case Result(tag="ok", ok=owners):
                for row in owners.values():
                    self.fleet.apply_owner(row, InstanceId(row.instance))
            case Result(error=failure):
                log.warning("owners_missing", reason=failure.message)

    async def read_owner(self, engine: EngineId) -> None:
        """Read the owner of one engine."""
        match await self.ownership.read(engine):
            case Result(tag="ok", ok=row):
                if row:
                    self.fleet.apply_owner(row, InstanceId(row.instance))
            case Result(error=failure):
                log.warning("owner_missing", engine=engine, reason=failure.message)
