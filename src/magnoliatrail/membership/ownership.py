"""Ownership of engines, claimed by transactions that raise a fencing number."""

from expression import Error, Ok, Result

from magnoliatrail.errors import ErrorKind, Failure
from magnoliatrail.generated.membership import OwnerRow
from magnoliatrail.generated.platform import (
    Row,
    RowCondition,
    RowWrite,
    Transaction,
)
from magnoliatrail.ids import EngineId, Incarnation, InstanceId, new_write_id
from magnoliatrail.platform.table import TableService, revision_of
from magnoliatrail.wire import decode, encode

PREFIX = "owners/"


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

    async def read(self, engine: EngineId) -> Result[OwnerRow | None, Failure]:
        """Read the owner of one engine, None if it never had one."""
        match await self.table.read(f"{PREFIX}{engine}"):
            case Result(tag="ok", ok=row):
                return owner_of(row)
            case Result(error=failure):
                return Error(failure)

    async def claim(
        self, engine: EngineId, *, expected: int | None = None
    ) -> Result[OwnerRow, Failure]:
        """Claim an engine with the next fencing number.

        With `expected`, claim it only if that is its fencing number now.
        """
        key = f"{PREFIX}{engine}"
        match await self.table.read(key):
            case Result(tag="ok", ok=row):
                pass
            case Result(error=failure):
                return Error(failure)
        match owner_of(row):
            case Result(tag="ok", ok=current):
                fencing_number = current.fencing_number if current else 0
            case Result(error=failure):
                return Error(failure)
        if expected not in (None, fencing_number):
            message = f"{engine} is at fencing number {fencing_number}"
            return Error(Failure(ErrorKind.CONFLICT, message))
        claimed = OwnerRow(
            engine=engine,
            instance=self.instance,
            incarnation=self.incarnation,
            fencing_number=fencing_number + 1,
            write_id=new_write_id(),
        )
        transaction = Transaction(
            conditions=[RowCondition(key=key, revision=revision_of(row))],
            writes=[RowWrite(key=key, value=encode(claimed).decode())],
        )
        match await self.table.transact(transaction):
            case Result(tag="ok", ok=answer) if answer.committed:
                return Ok(claimed)
            case Result(tag="ok"):
                message = f"another instance claimed {engine}"
                return Error(Failure(ErrorKind.CONFLICT, message))
            case Result(error=failure) if failure.not_run:
                return Error(failure)
            case Result(error=failure):
                return await self.resolve_claim(claimed, failure)

    async def resolve_claim(
        self, claimed: OwnerRow, failure: Failure
    ) -> Result[OwnerRow, Failure]:
        """Read the row back, and check by its write id whether a claim took effect."""
        match await self.read(EngineId(claimed.engine)):
            case Result(tag="ok", ok=found) if (
                found and found.write_id == claimed.write_id
            ):
                return Ok(claimed)
            case Result(tag="ok"):
                return Error(failure)
            case Result(error=unread):
                return Error(unread)


def owner_of(row: Row | None) -> Result[OwnerRow | None, Failure]:
    """Decode an ownership row that may be absent."""
    if row is None:
        return Ok(None)
    return decode(row.value.encode(), OwnerRow).map(lambda owner: owner)
