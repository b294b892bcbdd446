"""Rows of the ledger, and the identity of an operation."""

import base64
import hashlib
from dataclasses import dataclass, field
from datetime import datetime, timedelta

import msgspec
from expression import Error, Ok, Result

from magnoliatrail.errors import ErrorKind, Failure
from magnoliatrail.generated.operations import (
    ClaimState,
    HeaderField,
    OperationRow,
)
from magnoliatrail.generated.platform import Row
from magnoliatrail.ids import CallerId
from magnoliatrail.wire import encode

CLAIM_PREFIX = "operations/claims/"
RESOLUTION_PREFIX = "operations/resolutions/"
ANSWER_OBJECT_PREFIX = "operations-"
MAX_INLINE_ANSWER_BYTES = 16 * 1024


@dataclass(frozen=True, slots=True)
class Operation:
    """Identify one non-idempotent operation of a caller."""

    caller: CallerId
    service: str
    operation: str
    key: str
    body: bytes

    @property
    def row_key(self) -> str:
        """Return the key of the operation's row."""
        # JSON separates the parts unambiguously, whatever characters they contain.
        parts = encode([self.caller, self.service, self.key])
        return CLAIM_PREFIX + hashlib.sha256(parts).hexdigest()

    @property
    def body_digest(self) -> str:
        """Return a digest of the operation and its body."""
        parts = encode([self.operation, hashlib.sha256(self.body).hexdigest()])
        return hashlib.sha256(parts).hexdigest()


@dataclass(frozen=True, slots=True)
class RecordedAnswer:
    """Hold the answer that a repeated request receives."""

    status: int
    content_type: str
    body: bytes
    headers: tuple[tuple[str, str], ...] = field(default=())


@dataclass(frozen=True, slots=True)
class Claim:
    """Hold the right to dispatch an operation once.

    `write_unconfirmed` is set if a write of the claim had an unknown outcome, so
    that it may still take effect later.
    """

    row_key: str
    row: OperationRow
    revision: int
    write_unconfirmed: bool = False


def decode_row(row: Row) -> Result[OperationRow, Failure]:
    """Decode a row; the outcome of one that cannot be decoded is unknown."""
    try:
        return Ok(msgspec.json.decode(row.value, type=OperationRow))
    except msgspec.DecodeError as error:
        message = f"row {row.key} cannot be read: {error}"
        return Error(Failure(ErrorKind.OPERATION_UNKNOWN, message))


def may_still_run(row: OperationRow, now: datetime) -> bool:
    """Return whether the attempt of a claim may still be in progress."""
    return row.state is ClaimState.CLAIMED and now < expiry_of(row)


def expiry_of(row: OperationRow) -> datetime:
    """Return the time after which the attempt of a claim has ended."""
    return datetime.fromisoformat(row.expires_at or row.claimed_at)


def completed_row(
    row: OperationRow, answer: RecordedAnswer, now: datetime
) -> OperationRow:
    """Build the row of a completed claim.

    A large answer goes to the object store, and the row holds the object's name.
    """
    large = len(answer.body) > MAX_INLINE_ANSWER_BYTES
    return msgspec.structs.replace(
        row,
        state=ClaimState.COMPLETED,
        completed_at=now.isoformat(),
        status=answer.status,
        content_type=answer.content_type,
        headers=[HeaderField(name=name, value=text) for name, text in answer.headers],
        answer="" if large else base64.b64encode(answer.body).decode(),
        answer_object=ANSWER_OBJECT_PREFIX + row.attempt_id if large else "",
    )


def recorded_answer_from(row: OperationRow, body: bytes) -> RecordedAnswer:
    """Build the recorded answer from a completed row and the answer's body."""
    headers = tuple((item.name, item.value) for item in row.headers)
    return RecordedAnswer(row.status, row.content_type, body, headers)


def format_expiry(now: datetime, time_allowed: timedelta) -> str:
    """Return, as ISO 8601, the time by which an attempt that starts now has ended."""
    return (now + time_allowed).isoformat()
