"""The at-most-once ledger: an operation is claimed before it is dispatched."""

import base64
from dataclasses import dataclass
from datetime import timedelta

from expression import Error, Ok, Result

from magnoliatrail.clock import Clock
from magnoliatrail.errors import ErrorKind, Failure
from magnoliatrail.generated.operations import ClaimState, OperationRow
from magnoliatrail.generated.platform import (
    Row,
    RowCondition,
    RowWrite,
    Transaction,
    TransactionAnswer,
)
from magnoliatrail.ids import Incarnation, new_write_id
from magnoliatrail.logs import EventLog
from magnoliatrail.operations.rows import (
    Claim,
    Operation,
    RecordedAnswer,
    decode_row,
    format_expiry,
    may_still_run,
    recorded_answer_from,
)
from magnoliatrail.operations.settling import Settler
from magnoliatrail.platform.objects import ObjectStore
from magnoliatrail.platform.table import TableService
from magnoliatrail.wire import encode

log = EventLog("operations")

MAX_CLAIM_TRIES = 2
# An attempt ends after its deadline, because its call takes some time to end.
CLAIM_EXPIRY_GRACE = timedelta(seconds=30)
DEFAULT_TIME_ALLOWED = timedelta(seconds=60)


@dataclass
class Attempt:
    """Hold an attempt that is in progress at this instance."""

    body_digest: str
    answer: RecordedAnswer | None = None


class OperationLedger:
    """Claim operations before their dispatch, and record their answers."""

    def __init__(
        self,
        *,
        table: TableService,
        objects: ObjectStore,
        clock: Clock,
        settler: Settler,
        holder: Incarnation,
    ) -> None:
        self.table = table
        self.objects = objects
        self.clock = clock
        self.settler = settler
        self.holder = holder
        self.attempts: dict[str, Attempt] = {}

    async def claim(
        self, operation: Operation, time_allowed: timedelta = DEFAULT_TIME_ALLOWED
    ) -> Result[Claim | RecordedAnswer, Failure]:
        """Claim an operation, or return its recorded answer."""
        attempt = self.attempts.get(operation.row_key)
        if attempt is not None:
            return answer_repeat_of_running(operation, attempt)
        self.attempts[operation.row_key] = Attempt(operation.body_digest)
        try:
            result = await self.insert(operation, self.new_row(operation, time_allowed))
        except BaseException:
            self.remove_attempt(operation.row_key)
            raise
        if not isinstance(result.default_value(None), Claim):
            self.remove_attempt(operation.row_key)
        return result

    def new_row(self, operation: Operation, time_allowed: timedelta) -> OperationRow:
        """Build the row of a new attempt."""
        now = self.clock.now()
        return OperationRow(
            caller=operation.caller,
            service=operation.service,
            operation=operation.operation,
            key=operation.key,
            body_digest=operation.body_digest,
            attempt_id=new_write_id(),
            state=ClaimState.CLAIMED,
            claimed_at=now.isoformat(),
            holder=self.holder,
            expires_at=format_expiry(now, time_allowed + CLAIM_EXPIRY_GRACE),
        )

    async def insert(
        self, operation: Operation, row: OperationRow
    ) -> Result[Claim | RecordedAnswer, Failure]:
        """Insert the row of a new attempt; read it back if the answer is lost."""
        key = operation.row_key
        transaction = Transaction(
            conditions=[RowCondition(key=key, revision=0)],
            writes=[RowWrite(key=key, value=encode(row).decode())],
        )
        uncertain = False
        for _ in range(MAX_CLAIM_TRIES):
            match await self.table.transact(transaction):
                case Result(tag="ok", ok=answer) if answer.committed:
                    revision = row_of(answer, key).revision
                    return Ok(Claim(key, row, revision, write_unconfirmed=uncertain))
                case Result(tag="ok", ok=answer):
                    return await self.answer_from_existing_row(
                        operation, row, row_of(answer, key)
                    )
                case Result(error=failure) if not uncertain and failure.not_run:
                    return Error(failure)
                case _:
                    uncertain = True
            match await self.table.read(key):
                case Result(tag="ok", ok=None):
                    continue
                case Result(tag="ok", ok=current):
                    assert current is not None
                    return await self.answer_from_existing_row(operation, row, current)
                case _:
                    break
        self.settler.free_unconfirmed(key, row)
        message = "the claim could not be made for certain, and nothing was sent"
        return Error(Failure(ErrorKind.TABLE_UNAVAILABLE, message))

    async def answer_from_existing_row(
        self, operation: Operation, row: OperationRow, current: Row
    ) -> Result[Claim | RecordedAnswer, Failure]:
        """Recognise this attempt's own row, or answer from another attempt's row."""
        match decode_row(current):
            case Result(tag="ok", ok=existing):
                pass
            case Result(error=failure):
                return Error(failure)
        if existing.attempt_id == row.attempt_id:
            log.info("claim_recognised", attempt=row.attempt_id)
            return Ok(
                Claim(operation.row_key, row, current.revision, write_unconfirmed=True)
            )
        return await self.answer_repeat(operation, existing)

    async def answer_repeat(
        self, operation: Operation, row: OperationRow
    ) -> Result[Claim | RecordedAnswer, Failure]:
        """Answer a repeated request from the row of the first attempt."""
        if row.body_digest != operation.body_digest:
            return Error(key_reused_failure(operation))
        match row.state:
            case ClaimState.COMPLETED:
                return await self.recorded_answer(row)
            case ClaimState.RESOLVED:
                message = (
                    f"{row.resolved_by} recorded at {row.resolved_at} that the "
                    f"operation ran; its answer is not known: {row.resolution}"
                )
                return Error(Failure(ErrorKind.OPERATION_RESOLVED, message))
            case ClaimState.CLAIMED if self.may_still_complete(row):
                return Error(running_failure(operation))
            case _:
                message = f"the outcome of key {operation.key!r} is not known"
                return Error(Failure(ErrorKind.OPERATION_UNKNOWN, message))

    def may_still_complete(self, row: OperationRow) -> bool:
        """Return whether the attempt of a claim may still be in progress."""
        if row.holder == self.holder:
            # Attempts in progress here were handled by `claim`.
            return row.attempt_id in self.settler.attempts_being_freed
        return may_still_run(row, self.clock.now())

    async def recorded_answer(
        self, row: OperationRow
    ) -> Result[Claim | RecordedAnswer, Failure]:
        """Return a completed operation's answer, from its row or the object store."""
        if not row.answer_object:
            return Ok(recorded_answer_from(row, base64.b64decode(row.answer)))
        match await self.objects.get(row.answer_object):
            case Result(tag="ok", ok=body) if body is not None:
                return Ok(recorded_answer_from(row, body))
            case Result(tag="ok"):
                message = f"the operation ran; object {row.answer_object} is missing"
            case Result(error=failure):
                message = f"the operation ran; its answer: {failure.message}"
        return Error(Failure(ErrorKind.RECORDED_ANSWER_UNAVAILABLE, message))

    async def complete(self, claim: Claim, answer: RecordedAnswer) -> None:
        """Record the answer of an operation that ran.

        Waits a bounded time; retries go on in the background.
        """
        attempt = self.attempts.get(claim.row_key)
        if attempt is not None:
            attempt.answer = answer
        task = self.settler.record(claim, answer)
        task.add_done_callback(lambda _: self.remove_attempt(claim.row_key))
        await self.settler.wait_briefly(task)

    async def release(self, claim: Claim) -> None:
        """Free the claim of an operation that is known not to have run."""
        task = self.settler.free(claim)
        task.add_done_callback(lambda _: self.remove_attempt(claim.row_key))
        if claim.write_unconfirmed:
            # An unconfirmed write of the claim may take effect after it is freed.
            self.settler.free_unconfirmed(claim.row_key, claim.row)
        await self.settler.wait_briefly(task)

    def abandon(self, claim: Claim) -> None:
        """Keep the claim of an operation whose outcome is unknown."""
        log.error("operation_unknown", row=claim.row_key, attempt=claim.row.attempt_id)
        self.remove_attempt(claim.row_key)

    def remove_attempt(self, row_key: str) -> None:
        """Remove an attempt that is no longer in progress at this instance."""
        self.attempts.pop(row_key, None)


def row_of(answer: TransactionAnswer, key: str) -> Row:
    """Return the row of a key from the answer to a transaction."""
    return next(row for row in answer.rows if row.key == key)


def answer_repeat_of_running(
    operation: Operation, attempt: Attempt
) -> Result[Claim | RecordedAnswer, Failure]:
    """Answer a repeat of an operation that is in progress at this instance."""
    if attempt.body_digest != operation.body_digest:
        return Error(key_reused_failure(operation))
    if attempt.answer is not None:
        return Ok(attempt.answer)
    return Error(running_failure(operation))


def key_reused_failure(operation: Operation) -> Failure:
    """Return the failure for a key that was used with another operation or body."""
    message = f"key {operation.key!r} was used with another operation or body"
    return Failure(ErrorKind.KEY_REUSED, message)


def running_failure(operation: Operation) -> Failure:
    """Return the failure for a repeat that arrived before the answer."""
    message = f"the operation of key {operation.key!r} is running"
    return Failure(ErrorKind.OPERATION_RUNNING, message)
