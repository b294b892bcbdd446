"""Ownership of engines: claimed by transactions that raise a fencing number."""

from collections.abc import Collection

from expression import Error, Ok, Result

from magnoliatrail.errors import ErrorKind, Failure
from magnoliatrail.generated.membership import OwnerRow
from magnoliatrail.generated.platform import (
    RowCondition,
    RowWrite,
    Transaction,
)
from magnoliatrail.ids import EngineId, Incarnation, InstanceId, new_write_id
from magnoliatrail.platform.table import TableService, revision_of
from magnoliatrail.routing.rendezvous import ranked
from magnoliatrail.wire import decode, encode

PREFIX = "owners/"


def preferred_owner(
    engine: EngineId, live: Collection[InstanceId]
) -> InstanceId | None:
    """Return the instance that should own an engine."""
    order = ranked(engine, live)
    return InstanceId(order[0]) if order else None


class OwnershipTable:
    """Read and claim ownership rows for one instance."""

    def __init__(
        self, table: TableService, instance: InstanceId, incarnation: Incarnation
    ) -> None:
        self.table = table
        self.instance = instance
        self.incarnation = incarnation

    async def read_all(self) -> Result[dict[EngineId, OwnerRow], Failure]:
        """Read the owners of all engines."""
        match await self.table.scan(PREFIX):
            case Result(tag="ok", ok=rows):
                decoded = [decode(row.value.encode(), OwnerRow) for row in rows]
                owners = [item.ok for item in decoded if item.is_ok()]
                return Ok({EngineId(row.engine): row for row in owners})
            case Result(error=failure):
                return Error(failure)

    async def claim(self, engine: EngineId) -> Result[OwnerRow, Failure]:
        """Take an engine over with a higher fencing number."""
        key = f"{PREFIX}{engine}"
        match await self.table.read(key):
            case Result(tag="ok", ok=current):
                fencing_number = 1
                if current:
                    match decode(current.value.encode(), OwnerRow):
                        case Result(tag="ok", ok=row):
                            fencing_number = row.fencing_number + 1
                        case Result(error=failure):
                            return Error(failure)
            case Result(error=failure):
                return Error(failure)
        claimed = OwnerRow(
            engine=engine,
            instance=self.instance,
            incarnation=self.incarnation,
            fencing_number=fencing_number,
            write_id=new_write_id(),
        )
        condition = RowCondition(key=key, revision=revision_of(current))
        write = RowWrite(key=key, value=encode(claimed).decode())
        result = await self.table.transact(
            Transaction(conditions=[condition], writes=[write])
        )
        match result:
            case Result(tag="ok", ok=answer) if answer.committed:
                return Ok(claimed)
            case Result(tag="ok"):
                message = f"another instance claimed {engine}"
                return Error(Failure(ErrorKind.CONFLICT, message))
            case Result(error=failure):
                return Error(failure)
