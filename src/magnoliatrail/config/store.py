"""The revisioned head of the configuration, changed by compare-and-set."""

from collections.abc import Callable

from expression import Error, Ok, Result

from magnoliatrail.errors import ErrorKind, Failure
from magnoliatrail.generated.configuration import Configuration, Defaults
from magnoliatrail.generated.platform import (
    Row,
    RowCondition,
    RowWrite,
    Transaction,
)
from magnoliatrail.ids import Revision, new_write_id
from magnoliatrail.platform.table import TableService, revision_of
from magnoliatrail.wire import decode, encode

HEAD = "configuration/head"

Edit = Callable[[Configuration], Result[Configuration, Failure]]


def initial_configuration() -> Configuration:
    """Return the configuration of a fleet that was never edited."""
    return Configuration(revision=0, edit_id="", defaults=Defaults(), exceptions=[])


class ConfigurationStore:
    """Read and edit the head row."""

    def __init__(self, table: TableService) -> None:
        self.table = table

    async def read(self) -> Result[Configuration, Failure]:
        """Read the configuration that was accepted last."""
        match await self.table.read(HEAD):
            case Result(tag="ok", ok=row):
                return decode_head(row)
            case Result(error=failure):
                return Error(failure)

    async def edit(
        self, change: Edit, *, expected: Revision
    ) -> Result[Configuration, Failure]:
        """Commit an edit of the expected revision, or report a conflict."""
        match await self.table.read(HEAD):
            case Result(tag="ok", ok=row):
                pass
            case Result(error=failure):
                return Error(failure)
        match decode_head(row):
            case Result(tag="ok", ok=current):
                pass
            case Result(error=failure):
                return Error(failure)
        if current.revision != expected:
            message = f"the configuration is at revision {current.revision}"
            return Error(Failure(ErrorKind.CONFLICT, message))
        match change(current):
            case Result(tag="ok", ok=changed):
                edited = Configuration(
                    revision=current.revision + 1,
                    edit_id=new_write_id(),
                    defaults=changed.defaults,
                    exceptions=changed.exceptions,
                )
            case Result(error=failure):
                return Error(failure)
        condition = RowCondition(key=HEAD, revision=revision_of(row))
        write = RowWrite(key=HEAD, value=encode(edited).decode())
        result = await self.table.transact(
            Transaction(conditions=[condition], writes=[write])
        )
        match result:
            case Result(tag="ok", ok=answer) if answer.committed:
                return Ok(edited)
            case Result(tag="ok"):
                message = "another operator edited the configuration first"
                return Error(Failure(ErrorKind.CONFLICT, message))
            case Result(error=failure):
                return Error(failure)


def decode_head(row: Row | None) -> Result[Configuration, Failure]:
    """Decode the head row, which is absent before the first edit."""
    if row is None:
        return Ok(initial_configuration())
    return decode(row.value.encode(), Configuration)


class ConfigurationInForce:
    """Hold the highest revision seen, which never goes back."""

    def __init__(self) -> None:
        self.configuration = initial_configuration()

    def offer(self, configuration: Configuration) -> bool:
        """Put a configuration in force if it is newer."""
        if configuration.revision <= self.configuration.revision:
            return False
        self.configuration = configuration
        return True
