"""The session lease: one table row for each instance, renewed while it lives."""

from expression import Error, Ok, Result

from magnoliatrail.errors import ErrorKind, Failure
from magnoliatrail.generated.membership import SessionRow
from magnoliatrail.generated.platform import (
    RowCondition,
    RowWrite,
    Transaction,
)
from magnoliatrail.ids import InstanceId
from magnoliatrail.platform.table import TableService, revision_of
from magnoliatrail.wire import decode, encode

PREFIX = "sessions/"


def session_key(instance: InstanceId) -> str:
    """Return the key of an instance's session row."""
    return f"{PREFIX}{instance}"


class SessionLease:
    """Keep the session lease of one instance."""

    def __init__(self, table: TableService, row: SessionRow) -> None:
        self.table = table
        self.row = row
        self.revision = 0

    @property
    def key(self) -> str:
        """Return the key of the row."""
        return session_key(InstanceId(self.row.instance))

    async def renew(self) -> Result[None, Failure]:
        """Write the row once more; a row of an earlier run is replaced."""
        row = SessionRow(
            instance=self.row.instance,
            incarnation=self.row.incarnation,
            failure_domain=self.row.failure_domain,
            region=self.row.region,
            peer_url=self.row.peer_url,
            renewals=self.row.renewals + 1,
        )
        write = RowWrite(key=self.key, value=encode(row).decode())
        condition = RowCondition(key=self.key, revision=self.revision)
        result = await self.table.transact(
            Transaction(conditions=[condition], writes=[write])
        )
        match result:
            case Result(tag="ok", ok=answer) if answer.committed:
                self.row = row
                self.revision = answer.rows[0].revision
                return Ok(None)
            case Result(tag="ok"):
                return await self.catch_up()
            case Result(error=failure):
                return Error(failure)

    async def catch_up(self) -> Result[None, Failure]:
        """Read the revision that the next renewal has to name."""
        match await self.table.read(self.key):
            case Result(tag="ok", ok=row):
                self.revision = revision_of(row)
                message = "the session row was changed by another writer"
                return Error(Failure(ErrorKind.CONFLICT, message))
            case Result(error=failure):
                return Error(failure)

    async def release(self) -> None:
        """Delete the row, so that nobody waits for it to lapse."""
        write = RowWrite(key=self.key, value=None)
        await self.table.transact(Transaction(conditions=[], writes=[write]))


async def read_sessions(table: TableService) -> Result[list[SessionRow], Failure]:
    """Read the sessions of all instances."""
    match await table.scan(PREFIX):
        case Result(tag="ok", ok=rows):
            decoded = [decode(row.value.encode(), SessionRow) for row in rows]
            return Ok([item.ok for item in decoded if item.is_ok()])
        case Result(error=failure):
            return Error(failure)
