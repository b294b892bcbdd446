"""Record the answer or free the claim after an attempt, with retries."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from datetime import timedelta
from random import Random
from typing import Any, TypeVar

from expression import Error, Ok, Result

from magnoliatrail.clock import Clock
from magnoliatrail.errors import Failure
from magnoliatrail.generated.operations import ClaimState, OperationRow, SweepEntry
from magnoliatrail.generated.platform import (
    Row,
    RowCondition,
    RowWrite,
    Transaction,
)
from magnoliatrail.logs import EventLog
from magnoliatrail.operations.backoff import Backoff, backoff_delays
from magnoliatrail.operations.rows import (
    Claim,
    RecordedAnswer,
    completed_row,
    decode_row,
)
from magnoliatrail.platform.objects import ObjectStore
from magnoliatrail.platform.table import TableService
from magnoliatrail.wire import encode

log = EventLog("operations")

# After this, the caller gets the answer although it is not recorded yet.
RECORD_WAIT_TIMEOUT = timedelta(seconds=1)
DRAIN_TIMEOUT = timedelta(seconds=60)
RECORD_BACKOFF = Backoff(
    first=timedelta(seconds=0.2),
    longest=timedelta(seconds=30),
    total=timedelta(hours=1),
)
# A write of a claim that was lost in transit may still take effect for a while.
UNCONFIRMED_FREE_BACKOFF = Backoff(
    first=timedelta(seconds=0.5),
    longest=timedelta(seconds=30),
    total=timedelta(minutes=5),
)
MAX_UNRECORDED_BYTES = 16 * 1024 * 1024

T = TypeVar("T")

# Ok(True) ends the retries.
RetryStep = Callable[[], Awaitable[Result[bool, Failure]]]


class Settler:
    """Record answers and free claims, in tasks that outlive the request."""

    def __init__(
        self,
        *,
        table: TableService,
        objects: ObjectStore,
        clock: Clock,
        generator: Random,
        on_completed: Callable[[SweepEntry], None],
    ) -> None:
        self.table = table
        self.objects = objects
        self.clock = clock
        self.generator = generator
        self.on_completed = on_completed
        self.tasks: set[asyncio.Task[Any]] = set()
        self.unconfirmed_tasks: set[asyncio.Task[None]] = set()
        self.attempts_being_freed: set[str] = set()
        self.unrecorded_bytes = 0

    def start(self, work: Coroutine[Any, Any, T]) -> asyncio.Task[T]:
        """Start a task that `drain` waits for."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def wait_briefly(self, task: asyncio.Task[None]) -> None:
        """Wait for a task for a bounded time, without cancelling it."""
        timeout = asyncio.ensure_future(self.clock.sleep(RECORD_WAIT_TIMEOUT))
        await asyncio.wait({task, timeout}, return_when=asyncio.FIRST_COMPLETED)
        timeout.cancel()

    async def drain(self) -> None:
        """Wait a bounded time for pending tasks, then cancel the rest."""
        timeout = asyncio.ensure_future(self.clock.sleep(DRAIN_TIMEOUT))
        while self.tasks and not timeout.done():
            await asyncio.wait(
                {*self.tasks, timeout}, return_when=asyncio.FIRST_COMPLETED
            )
        for task in (*self.tasks, *self.unconfirmed_tasks, timeout):
            task.cancel()

    def record(self, claim: Claim, answer: RecordedAnswer) -> asyncio.Task[None]:
        """Record an answer under its claim."""
        return self.start(self.record_until_done(claim, answer))

    async def record_until_done(self, claim: Claim, answer: RecordedAnswer) -> None:
        """Record an answer with bounded retries, unless too many bytes are pending."""
        size = len(answer.body)
        pending = self.unrecorded_bytes
        if pending and pending + size > MAX_UNRECORDED_BYTES:
            log.error("answer_not_recorded", row=claim.row_key, reason="too many")
            return
        row = completed_row(claim.row, answer, self.clock.now())
        self.unrecorded_bytes += size
        try:
            await self.retry_until_done(
                "record",
                claim,
                RECORD_BACKOFF,
                lambda: self.try_record(claim, row, answer),
            )
        finally:
            self.unrecorded_bytes -= size

    async def try_record(
        self, claim: Claim, row: OperationRow, answer: RecordedAnswer
    ) -> Result[bool, Failure]:
        """Try once to record an answer."""
        if row.answer_object:
            stored = await self.objects.put(row.answer_object, answer.body)
            if stored.is_error():
                return Error(stored.error)
        match await self.write_if_unchanged(claim, encode(row).decode()):
            case Result(tag="ok", ok=current):
                self.handle_recorded(claim, row, current)
                return Ok(True)
            case Result(error=failure):
                return Error(failure)

    def handle_recorded(
        self, claim: Claim, row: OperationRow, current: Row | None
    ) -> None:
        """Queue a recorded answer for the sweep, or log why it was not recorded."""
        found = decode_row(current).default_value(None) if current else None
        if found is None or found.attempt_id != row.attempt_id:
            log.error("record_too_late", row=claim.row_key, reason="row was freed")
        elif found.state is not ClaimState.COMPLETED:
            log.error("record_too_late", row=claim.row_key, state=found.state)
        else:
            assert current is not None
            self.on_completed(
                SweepEntry(
                    key=claim.row_key,
                    revision=current.revision,
                    answer_object=row.answer_object,
                )
            )

    def free(self, claim: Claim) -> asyncio.Task[None]:
        """Free the claim of an operation that is known not to have run."""
        self.attempts_being_freed.add(claim.row.attempt_id)

        async def try_free() -> Result[bool, Failure]:
            result = await self.write_if_unchanged(claim, None)
            return result.map(lambda _: True)

        return self.start(self.free_until_done(claim, RECORD_BACKOFF, try_free))

    def free_unconfirmed(self, row_key: str, row: OperationRow) -> asyncio.Task[None]:
        """Free a claim that was not dispatched, if its lost write took effect."""
        self.attempts_being_freed.add(row.attempt_id)
        claim = Claim(row_key, row, 0)
        work = self.free_until_done(
            claim, UNCONFIRMED_FREE_BACKOFF, lambda: self.try_free_unconfirmed(claim)
        )
        task = asyncio.create_task(work)
        self.unconfirmed_tasks.add(task)
        task.add_done_callback(self.unconfirmed_tasks.discard)
        return task

    async def free_until_done(
        self, claim: Claim, backoff: Backoff, step: RetryStep
    ) -> None:
        """Free a claim, with bounded retries."""
        try:
            await self.retry_until_done("free", claim, backoff, step)
        finally:
            self.attempts_being_freed.discard(claim.row.attempt_id)

    async def try_free_unconfirmed(self, claim: Claim) -> Result[bool, Failure]:
        """Find the row of an attempt by its id and try once to free it."""
        match await self.table.read(claim.row_key):
            case Result(tag="ok", ok=current):
                pass
            case Result(error=failure):
                return Error(failure)
        found = decode_row(current).default_value(None) if current else None
        if current is None or found is None:
            return Ok(False)
        if found.attempt_id != claim.row.attempt_id:
            # Another attempt has the key; a late write of this one fails its condition.
            return Ok(False)
        written = Claim(claim.row_key, claim.row, current.revision)
        result = await self.write_if_unchanged(written, None)
        return result.map(lambda _: True)

    async def write_if_unchanged(
        self, claim: Claim, value: str | None
    ) -> Result[Row | None, Failure]:
        """Write the row of a claim if its revision is unchanged.

        Returns the current row. The condition fails if the row was changed by another
        writer, or by an earlier try whose answer was lost.
        """
        condition = RowCondition(key=claim.row_key, revision=claim.revision)
        write = RowWrite(key=claim.row_key, value=value)
        result = await self.table.transact(
            Transaction(conditions=[condition], writes=[write])
        )
        return result.map(lambda answer: answer.rows[0] if answer.rows else None)

    async def retry_until_done(
        self, work: str, claim: Claim, backoff: Backoff, step: RetryStep
    ) -> None:
        """Retry a step until it is done or its backoff is used up."""
        for delay in backoff_delays(backoff, self.generator):
            match await step():
                case Result(tag="ok", ok=True):
                    return
                case Result(tag="ok"):
                    pass
                case Result(error=failure):
                    log.warning(
                        "settlement_retried",
                        work=work,
                        row=claim.row_key,
                        reason=failure.message,
                    )
            await self.clock.sleep(delay)
        log.warning("settlement_abandoned", work=work, row=claim.row_key)
