"""The stored configuration: a revisioned head, edited by compare-and-set."""

import asyncio
from dataclasses import dataclass
from datetime import timedelta

from expression import Error, Ok, Result
from msgspec.structs import replace

from magnoliatrail.clock import Clock
from magnoliatrail.config.changes import apply_change, describe_change
from magnoliatrail.config.in_force import initial_configuration
from magnoliatrail.errors import ErrorKind, Failure
from magnoliatrail.generated.configuration import (
    AcceptedEdit,
    Configuration,
    ConfigurationEdit,
)
from magnoliatrail.generated.platform import (
    Row,
    RowCondition,
    RowWrite,
    Transaction,
    TransactionAnswer,
)
from magnoliatrail.ids import Revision
from magnoliatrail.platform.table import TableService, revision_of
from magnoliatrail.wire import decode, encode

HEAD_KEY = "configuration/head"
REVISION_KEY = "configuration/revision"
HISTORY_PREFIX = "configuration/history/"
EDIT_PREFIX = "configuration/edits/"
MAX_HISTORY_REVISIONS = 100_000
MAX_REVISIONS_PER_READ = 32
MAX_EDIT_TRIES = 8
EDIT_RETRY_INTERVAL = timedelta(milliseconds=200)


@dataclass(frozen=True, slots=True)
class Head:
    """Hold the head row and its decoded configuration."""

    row: Row | None
    configuration: Configuration


def history_key(revision: int) -> str:
    """Return the key of the history row of a revision."""
    return f"{HISTORY_PREFIX}{revision:012d}"


def edit_key(edit_id: str) -> str:
    """Return the key of the row that makes an edit idempotent."""
    return EDIT_PREFIX + edit_id


class ConfigurationStore:
    """Read and edit the configuration in the table service."""

    def __init__(self, table: TableService, clock: Clock) -> None:
        self.table = table
        self.clock = clock

    async def read(self) -> Result[Configuration, Failure]:
        """Read the latest accepted configuration."""
        head = await self.read_head()
        return head.map(lambda found: found.configuration)

    async def read_revision(self) -> Result[Revision, Failure]:
        """Read the revision of the head, without the document."""
        match await self.table.read(REVISION_KEY):
            case Result(tag="ok", ok=row):
                return Ok(Revision(int(row.value) if row else 0))
            case Result(error=failure):
                return Error(failure)

    async def read_head(self) -> Result[Head, Failure]:
        """Read the head row."""
        match await self.table.read(HEAD_KEY):
            case Result(tag="ok", ok=row):
                return decode_head(row)
            case Result(error=failure):
                return Error(failure)

    async def edit(self, edit: ConfigurationEdit) -> Result[AcceptedEdit, Failure]:
        """Commit an edit, with retries after racing edits and lost answers.

        Edits are idempotent by their id, so an edit may be sent again after a lost
        answer. The message of CONFLICT lists the changes since the expected revision.
        """
        uncertain = False
        for _ in range(MAX_EDIT_TRIES):
            match await self.try_edit(edit):
                case Result(tag="ok", ok=accepted) if accepted:
                    return Ok(accepted)
                case Result(tag="error", error=failure):
                    if failure.kind is ErrorKind.TABLE_OUTCOME_UNKNOWN:
                        uncertain = True
                    elif uncertain:
                        return await self.fail_unless_accepted(edit, failure)
                    else:
                        return Error(failure)
            await self.clock.sleep(EDIT_RETRY_INTERVAL)
        message = (
            f"edit {edit.edit_id} met {MAX_EDIT_TRIES} racing edits or lost answers"
        )
        return await self.fail_unless_accepted(
            edit, Failure(ErrorKind.CONFLICT, message)
        )

    async def fail_unless_accepted(
        self, edit: ConfigurationEdit, failure: Failure
    ) -> Result[AcceptedEdit, Failure]:
        """Return the failure, unless a try whose answer was lost was accepted."""
        match await self.already_accepted(edit):
            case Result(tag="ok", ok=accepted) if accepted:
                return Ok(accepted)
            case Result(tag="ok") if failure.kind is not ErrorKind.TABLE_UNAVAILABLE:
                return Error(failure)
            case _:
                message = f"whether edit {edit.edit_id} was accepted is not known"
                return Error(Failure(ErrorKind.TABLE_OUTCOME_UNKNOWN, message))

    async def try_edit(
        self, edit: ConfigurationEdit
    ) -> Result[AcceptedEdit | None, Failure]:
        """Try an edit once; return None if the head changed and a retry is needed."""
        match await self.already_accepted(edit):
            case Result(tag="ok", ok=accepted) if accepted:
                return Ok(accepted)
            case Result(tag="error", error=failure):
                return Error(failure)
        match await self.read_head():
            case Result(tag="ok", ok=head):
                pass
            case Result(error=failure):
                return Error(failure)
        current = head.configuration
        expected = edit.expected_revision
        if expected is not None and expected != current.revision:
            return Error(await self.conflict_failure(expected, current.revision))
        match apply_change(current, edit.change):
            case Result(tag="ok", ok=changed):
                pass
            case Result(error=failure):
                return Error(failure)
        revision = current.revision + 1
        accepted = AcceptedEdit(revision=revision, edit=edit)
        document = replace(changed, revision=revision, edit_id=edit.edit_id)
        match await self.commit_edit(head, document, accepted):
            case Result(tag="ok", ok=answer) if answer.committed:
                return Ok(accepted)
            case Result(tag="ok"):
                return Ok(None)
            case Result(error=failure):
                return Error(failure)

    async def commit_edit(
        self, head: Head, document: Configuration, accepted: AcceptedEdit
    ) -> Result[TransactionAnswer, Failure]:
        """Write head, revision, history and edit row, if the head is unchanged."""
        edit_row = edit_key(accepted.edit.edit_id)
        entry = encode(accepted).decode()
        writes = [
            RowWrite(key=HEAD_KEY, value=encode(document).decode()),
            RowWrite(key=REVISION_KEY, value=str(accepted.revision)),
            RowWrite(key=history_key(accepted.revision), value=entry),
            RowWrite(key=edit_row, value=entry),
        ]
        writes.extend(await self.history_deletions(accepted.revision))
        conditions = [
            RowCondition(key=HEAD_KEY, revision=revision_of(head.row)),
            RowCondition(key=edit_row, revision=0),
        ]
        return await self.table.transact(
            Transaction(conditions=conditions, writes=writes)
        )

    async def history_deletions(self, revision: int) -> list[RowWrite]:
        """Return the deletions that bound the history."""
        oldest = revision - MAX_HISTORY_REVISIONS
        if oldest <= 0:
            return []
        match await self.history(oldest - 1, oldest):
            case Result(tag="ok", ok=[accepted]):
                keys = [history_key(oldest), edit_key(accepted.edit.edit_id)]
                return [RowWrite(key=key, value=None) for key in keys]
            case _:
                return []

    async def already_accepted(
        self, edit: ConfigurationEdit
    ) -> Result[AcceptedEdit | None, Failure]:
        """Return the accepted edit with the same id, None if there is none."""
        match await self.table.read(edit_key(edit.edit_id)):
            case Result(tag="ok", ok=None):
                return Ok(None)
            case Result(tag="ok", ok=row):
                return decode_accepted(row)
            case Result(error=failure):
                return Error(failure)

    async def conflict_failure(self, expected: int, current: int) -> Failure:
        """Return the failure that lists the changes since the expected revision."""
        message = f"the configuration is at revision {current}, not {expected}"
        if expected > current:
            return Failure(ErrorKind.CONFLICT, message)
        match await self.history(expected, current):
            case Result(tag="ok", ok=edits):
                changes = [
                    f"{item.edit.author}: {describe_change(item.edit.change)}"
                    for item in edits
                ]
                message = f"{message}; since then {'; '.join(changes)}"
        return Failure(ErrorKind.CONFLICT, message)

    async def history(
        self, after: int, up_to: int
    ) -> Result[list[AcceptedEdit], Failure]:
        """Read the edits after one revision up to another, but only the latest ones."""
        first = max(after + 1, up_to - MAX_REVISIONS_PER_READ + 1, 1)
        keys = [history_key(revision) for revision in range(first, up_to + 1)]
        results = await asyncio.gather(*(self.table.read(key) for key in keys))
        edits = []
        for result in results:
            match result:
                case Result(tag="ok", ok=None):
                    continue
                case Result(tag="ok", ok=row):
                    match decode_accepted(row):
                        case Result(tag="ok", ok=accepted):
                            edits.append(accepted)
                        case Result(error=failure):
                            return Error(failure)
                case Result(error=failure):
                    return Error(failure)
        return Ok(edits)


def decode_head(row: Row | None) -> Result[Head, Failure]:
    """Decode the head row; without one, use the initial configuration."""
    if row is None:
        return Ok(Head(None, initial_configuration()))
    decoded = decode(row.value.encode(), Configuration)
    return decoded.map(lambda configuration: Head(row, configuration))


def decode_accepted(row: Row | None) -> Result[AcceptedEdit, Failure]:
    """Decode a row that holds an accepted edit."""
    assert row is not None
    return decode(row.value.encode(), AcceptedEdit)
