"""Operators' access to the ledger: list, show and resolve unknown outcomes."""

from collections.abc import AsyncIterator
from dataclasses import dataclass
from datetime import timedelta

import msgspec
from expression import Error, Ok, Result

from magnoliatrail.clock import Clock
from magnoliatrail.errors import ErrorKind, Failure
from magnoliatrail.generated.operations import (
    ClaimState,
    OperationRow,
    ResolutionRow,
)
from magnoliatrail.generated.platform import (
    Row,
    RowCondition,
    RowWrite,
    Transaction,
)
from magnoliatrail.operations.rows import (
    CLAIM_PREFIX,
    RESOLUTION_PREFIX,
    decode_row,
    may_still_run,
)
from magnoliatrail.platform.table import TableService
from magnoliatrail.wire import encode

# Bound on how far an operator's clock is ahead of the instances' clocks.
MAX_CLOCK_SKEW = timedelta(minutes=1)
# A listing scans the claims in pages, one per prefix of two hex digits.
CLAIM_KEY_PREFIXES = [f"{number:02x}" for number in range(256)]


@dataclass(frozen=True, slots=True)
class Resolution:
    """Hold an operator's decision whether an operation ran, and its reason."""

    ran: bool
    reason: str
    author: str


@dataclass(frozen=True, slots=True)
class ListedClaim:
    """Hold a claim's row with its id and revision."""

    claim_id: str
    row: OperationRow
    revision: int


class OperatorLedger:
    """List, show and resolve the claims of the ledger."""

    def __init__(self, table: TableService, clock: Clock) -> None:
        self.table = table
        self.clock = clock

    async def unknown_claims(self) -> AsyncIterator[Result[ListedClaim, Failure]]:
        """Yield the claims of unknown outcome, page by page."""
        for prefix in CLAIM_KEY_PREFIXES:
            match await self.table.scan(CLAIM_PREFIX + prefix):
                case Result(tag="ok", ok=rows):
                    for row in rows:
                        for listed in self.unknown_claims_in(row):
                            yield listed
                case Result(error=failure):
                    yield Error(failure)
                    return

    def unknown_claims_in(self, row: Row) -> list[Result[ListedClaim, Failure]]:
        """Return the claim of a row if its outcome is unknown, else an empty list."""
        match decode_row(row):
            case Result(tag="ok", ok=found):
                pass
            case Result(error=failure):
                return [Error(failure)]
        if found.state is not ClaimState.CLAIMED:
            return []
        if may_still_run(found, self.clock.now() - MAX_CLOCK_SKEW):
            return []
        return [
            Ok(ListedClaim(row.key.removeprefix(CLAIM_PREFIX), found, row.revision))
        ]

    async def show(self, claim_id: str) -> Result[ListedClaim, Failure]:
        """Read one claim in any state."""
        match await self.table.read(CLAIM_PREFIX + claim_id):
            case Result(tag="ok", ok=row):
                pass
            case Result(error=failure):
                return Error(failure)
        if row is None:
            message = f"there is no claim {claim_id}"
            return Error(Failure(ErrorKind.NOT_FOUND, message))
        return decode_row(row).map(
            lambda found: ListedClaim(claim_id, found, row.revision)
        )

    async def resolve(
        self, claim_id: str, resolution: Resolution
    ) -> Result[OperationRow, Failure]:
        """Record whether a claim of unknown outcome ran.

        A claim that did not run is freed, so that its key may be used again.
        """
        match await self.show(claim_id):
            case Result(tag="ok", ok=listed):
                pass
            case Result(error=failure):
                return Error(failure)
        refusal = self.refusal(listed)
        if refusal:
            return Error(refusal)
        row = resolved_row(listed.row, resolution, self.clock.now().isoformat())
        transaction = resolution_transaction(listed, row, ran=resolution.ran)
        match await self.table.transact(transaction):
            case Result(tag="ok", ok=answer) if answer.committed:
                return Ok(row)
            case Result(tag="ok"):
                return Error(changed_failure(claim_id))
            case Result(error=failure) if failure.not_run:
                return Error(failure)
            case _:
                return await self.confirm_resolution(claim_id, row)

    def refusal(self, listed: ListedClaim) -> Failure | None:
        """Return the failure for a claim that cannot be resolved, else None."""
        if listed.row.state is not ClaimState.CLAIMED:
            message = f"claim {listed.claim_id} is {listed.row.state.value} already"
            return Failure(ErrorKind.CONFLICT, message)
        if may_still_run(listed.row, self.clock.now() - MAX_CLOCK_SKEW):
            message = f"claim {listed.claim_id} may run until {listed.row.expires_at}"
            return Failure(ErrorKind.CONFLICT, message)
        return None

    async def confirm_resolution(
        self, claim_id: str, row: OperationRow
    ) -> Result[OperationRow, Failure]:
        """Read back whether a resolution whose answer was lost was committed."""
        match await self.table.read(resolution_key(row)):
            case Result(tag="ok", ok=found) if found is not None:
                recorded = msgspec.json.decode(found.value, type=ResolutionRow)
                if recorded.claim == row:
                    return Ok(row)
                return Error(changed_failure(claim_id))
            case _:
                message = f"show claim {claim_id} to see whether it was resolved"
                return Error(Failure(ErrorKind.TABLE_OUTCOME_UNKNOWN, message))


def resolved_row(row: OperationRow, resolution: Resolution, time: str) -> OperationRow:
    """Build the row of a claim that an operator resolved."""
    return msgspec.structs.replace(
        row,
        state=ClaimState.RESOLVED,
        resolution=resolution.reason,
        resolved_by=resolution.author,
        resolved_at=time,
    )


def resolution_key(row: OperationRow) -> str:
    """Return the key of the row that stores an attempt's resolution."""
    return RESOLUTION_PREFIX + row.attempt_id


def resolution_transaction(
    listed: ListedClaim, row: OperationRow, *, ran: bool
) -> Transaction:
    """Build the transaction that records a resolution."""
    key = CLAIM_PREFIX + listed.claim_id
    claim_value = encode(row).decode() if ran else None
    resolution_value = encode(ResolutionRow(claim=row, ran=ran)).decode()
    return Transaction(
        conditions=[
            RowCondition(key=key, revision=listed.revision),
            RowCondition(key=resolution_key(row), revision=0),
        ],
        writes=[
            RowWrite(key=key, value=claim_value),
            RowWrite(key=resolution_key(row), value=resolution_value),
        ],
    )


def changed_failure(claim_id: str) -> Failure:
    """Return the failure for a claim that changed before it was resolved."""
    message = f"claim {claim_id} was changed by somebody else first"
    return Failure(ErrorKind.CONFLICT, message)
