"""The at-most-once ledger on the table service."""

import base64
import hashlib
from dataclasses import dataclass

import msgspec
from expression import Error, Ok, Result

from magnoliatrail.clock import Clock
from magnoliatrail.errors import ErrorKind, Failure
from magnoliatrail.generated.operations import ClaimState, OperationRow
from magnoliatrail.generated.platform import RowCondition, RowWrite, Transaction
from magnoliatrail.ids import CallerId, new_write_id
from magnoliatrail.platform.table import TableService
from magnoliatrail.wire import decode, encode

PREFIX = "operations/"


@dataclass(frozen=True, slots=True)
class Operation:
    """Name one non-idempotent operation of a caller."""

    caller: CallerId
    service: str
    operation: str
    key: str
    body: bytes

    @property
    def row_key(self) -> str:
        """Return the key of the operation's row."""
        parts = "\0".join([self.caller, self.service, self.key])
        return PREFIX + hashlib.sha256(parts.encode()).hexdigest()

    @property
    def body_digest(self) -> str:
        """Return a digest that tells bodies apart."""
        return hashlib.sha256(self.operation.encode() + b"\0" + self.body).hexdigest()


@dataclass(frozen=True, slots=True)
class RecordedAnswer:
    """Hold the answer that a repeat receives again."""

    status: int
    content_type: str
    body: bytes


@dataclass(frozen=True, slots=True)
class Claim:
    """Hold the right to dispatch an operation once."""

    row: OperationRow
    revision: int


class OperationLedger:
    """Claim operations before their dispatch, and record their answers."""

    def __init__(self, table: TableService, clock: Clock) -> None:
        self.table = table
        self.clock = clock

    async def claim(
        self, operation: Operation
    ) -> Result[Claim | RecordedAnswer, Failure]:
        """Claim an operation, or return the answer that it already has."""
        row = OperationRow(
            caller=operation.caller,
            service=operation.service,
            operation=operation.operation,
            key=operation.key,
            body_digest=operation.body_digest,
            attempt_id=new_write_id(),
            state=ClaimState.CLAIMED,
            claimed_at=self.clock.now().isoformat(),
        )
        condition = RowCondition(key=operation.row_key, revision=0)
        write = RowWrite(key=operation.row_key, value=encode(row).decode())
        result = await self.table.transact(
            Transaction(conditions=[condition], writes=[write])
        )
        match result:
            case Result(tag="ok", ok=answer) if answer.committed:
                return Ok(Claim(row, answer.rows[0].revision))
            case Result(tag="ok", ok=answer):
                return repeated(operation, answer.rows[0].value.encode())
            case Result(error=failure):
                return Error(failure)

    async def complete(
        self, operation: Operation, claim: Claim, answer: RecordedAnswer
    ) -> Result[None, Failure]:
        """Record the answer of an operation that ran."""
        row = msgspec.structs.replace(
            claim.row,
            state=ClaimState.COMPLETED,
            status=answer.status,
            content_type=answer.content_type,
            answer=base64.b64encode(answer.body).decode(),
        )
        return await self.write(operation, claim, encode(row).decode())

    async def release(
        self, operation: Operation, claim: Claim
    ) -> Result[None, Failure]:
        """Free the claim of an operation that certainly did not run."""
        return await self.write(operation, claim, None)

    async def write(
        self, operation: Operation, claim: Claim, value: str | None
    ) -> Result[None, Failure]:
        """Change the row of a claim that is still this attempt's."""
        condition = RowCondition(key=operation.row_key, revision=claim.revision)
        write = RowWrite(key=operation.row_key, value=value)
        result = await self.table.transact(
            Transaction(conditions=[condition], writes=[write])
        )
        return result.map(lambda _: None)


def repeated(
    operation: Operation, value: bytes
) -> Result[Claim | RecordedAnswer, Failure]:
    """Return what a repeat of an operation gets."""
    match decode(value, OperationRow):
        case Result(tag="ok", ok=row):
            pass
        case Result(error=failure):
            return Error(failure)
    if row.body_digest != operation.body_digest:
        message = f"key {operation.key} was used with another body"
        return Error(Failure(ErrorKind.KEY_REUSED, message))
    if row.state is ClaimState.COMPLETED:
        body = base64.b64decode(row.answer)
        return Ok(RecordedAnswer(row.status, row.content_type, body))
    message = f"the outcome of key {operation.key} is not known"
    return Error(Failure(ErrorKind.OPERATION_UNKNOWN, message))
