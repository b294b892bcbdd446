"""The session lease: one table row per instance, renewed while the instance runs."""

from expression import Error, Ok, Result
from msgspec.structs import replace

from magnoliatrail.errors import ErrorKind, Failure
from magnoliatrail.generated.membership import SessionRow
from magnoliatrail.generated.platform import (
    Row,
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
    """Session lease of one instance."""

    def __init__(self, table: TableService, row: SessionRow) -> None:
        self.table = table
        self.row = row
        self.revision = 0

    @property
    def key(self) -> str:
        """Return the key of the row."""
        return session_key(InstanceId(self.row.instance))

    async def renew(self, *, version: int | None = None) -> Result[None, Failure]:
        """Renew the lease, replacing the row of an earlier run."""
        row = replace(
            self.row,
            renewals=self.row.renewals + 1,
            version=self.row.version if version is None else version,
        )
        match await self.write(row):
            case Result(tag="ok", ok=True):
                return Ok(None)
            case Result(tag="ok"):
                return await self.resolve_renewal(row)
            case Result(error=failure) if failure.not_run:
                return Error(failure)
            case Result(error=failure):
                return await self.resolve_renewal(row)

    async def write(self, row: SessionRow) -> Result[bool, Failure]:
        """Write a row on condition that the last revision seen is current."""
        write = RowWrite(key=self.key, value=encode(row).decode())
        condition = RowCondition(key=self.key, revision=self.revision)
        transaction = Transaction(conditions=[condition], writes=[write])
        match await self.table.transact(transaction):
            case Result(tag="ok", ok=answer):
                if answer.committed:
                    self.row = row
                    self.revision = answer.rows[0].revision
                return Ok(answer.committed)
            case Result(error=failure):
                return Error(failure)

    async def resolve_renewal(self, tried: SessionRow) -> Result[None, Failure]:
        """Read back whether a write took effect, and retry it if not."""
        match await self.table.read(self.key):
            case Result(tag="ok", ok=row):
                self.revision = revision_of(row)
            case Result(error=failure):
                return Error(failure)
        found = row_of(row)
        # Incarnation and renewals together identify one write of one run.
        if found and found.incarnation == tried.incarnation:
            self.row = replace(tried, renewals=found.renewals)
            return Ok(None)
        match await self.write(tried):
            case Result(tag="ok", ok=True):
                return Ok(None)
            case Result(tag="ok"):
                message = "another run writes this instance's session row"
                return Error(Failure(ErrorKind.CONFLICT, message))
            case Result(error=failure):
                return Error(failure)

    async def release(self) -> Result[None, Failure]:
        """Delete the row, so that no peer waits for the lease to expire."""
        write = RowWrite(key=self.key, value=None)
        condition = RowCondition(key=self.key, revision=self.revision)
        result = await self.table.transact(
            Transaction(conditions=[condition], writes=[write])
        )
        return result.map(lambda answer: None)


def row_of(row: Row | None) -> SessionRow | None:
    """Decode a session row, None if it is absent or damaged."""
    if row is None:
        return None
    return decode(row.value.encode(), SessionRow).default_value(None)


async def read_session(
    table: TableService, instance: InstanceId
) -> Result[SessionRow | None, Failure]:
    """Read the session of one instance, None if it has none."""
    return (await table.read(session_key(instance))).map(row_of)


async def read_sessions(table: TableService) -> Result[list[SessionRow], Failure]:
    """Read the sessions of all instances."""
    match await table.scan(PREFIX):
        case Result(tag="ok", ok=rows):
            found = [row_of(row) for row in rows]
            return Ok([row for row in found if row])
        case Result(error=failure):
            return Error(failure)
