import asyncio
from datetime import timedelta
from random import Random

import pytest

from magnoliatrail.clock import ManualClock
from magnoliatrail.errors import ErrorKind
from magnoliatrail.ids import CallerId, Incarnation
from magnoliatrail.operations.parts import operation_parts
from magnoliatrail.operations.rows import (
    MAX_INLINE_ANSWER_BYTES,
    Claim,
    Operation,
    RecordedAnswer,
)
from magnoliatrail.standins.objects import FakeObjects
from magnoliatrail.standins.table import FakeTable

ANSWER = RecordedAnswer(201, "application/json", b"{}", (("Location", "/b/1"),))
LARGE = RecordedAnswer(200, "text/plain", b"x" * (MAX_INLINE_ANSWER_BYTES + 1))


class Ledgers:
    """The ledgers of two instances on one table."""

    def __init__(self):
        self.clock = ManualClock()
        self.table = FakeTable()
        self.objects = FakeObjects()
        self.one = self.new("one")
        self.two = self.new("two")

    def new(self, name):
        return operation_parts(
            table=self.table,
            objects=self.objects,
            clock=self.clock,
            holder=Incarnation(name),
            generator=Random(1),
        )

    async def pass_time(self, seconds):
        """Advance the clock second by second, and run the tasks that wake up."""
        for _ in range(seconds):
            self.clock.advance(timedelta(seconds=1))
            for _ in range(5):
                await asyncio.sleep(0)


@pytest.fixture
def ledgers():
    return Ledgers()


def operation(body=b"body", caller="c", key="key"):
    return Operation(CallerId(caller), "bookings", "POST confirm", key, body)


def kind(result):
    return result.error.kind


def test_a_repeat_gets_the_recorded_answer(run, ledgers):
    async def scenario():
        claim = (await ledgers.one.ledger.claim(operation())).ok
        assert isinstance(claim, Claim)
        await ledgers.one.ledger.complete(claim, ANSWER)
        for parts in (ledgers.one, ledgers.two):
            assert (await parts.ledger.claim(operation())).ok == ANSWER

    run(scenario())


def test_an_operation_costs_two_table_writes(run, ledgers):
    async def scenario():
        claim = (await ledgers.one.ledger.claim(operation())).ok
        await ledgers.one.ledger.complete(claim, ANSWER)
        await ledgers.two.ledger.claim(operation())
        assert ledgers.table.writes == 2

    run(scenario())


def test_the_same_key_with_another_body_is_an_error(run, ledgers):
    async def scenario():
        await ledgers.one.ledger.claim(operation())
        for parts in (ledgers.one, ledgers.two):
            result = await parts.ledger.claim(operation(b"another"))
            assert kind(result) is ErrorKind.KEY_REUSED

    run(scenario())


def test_two_callers_with_one_key_do_not_collide(run, ledgers):
    async def scenario():
        await ledgers.one.ledger.claim(operation(caller="a", key="b"))
        other = await ledgers.one.ledger.claim(operation(caller="b", key="b"))
        assert isinstance(other.ok, Claim)
        joined = operation(caller="a\0bookings", key="b")
        assert joined.row_key != operation(caller="a", key="bookings\0b").row_key

    run(scenario())


def test_a_running_operation_is_running_at_every_instance(run, ledgers):
    async def scenario():
        await ledgers.one.ledger.claim(operation())
        for parts in (ledgers.one, ledgers.two):
            result = await parts.ledger.claim(operation())
            assert kind(result) is ErrorKind.OPERATION_RUNNING

    run(scenario())


def test_a_claim_of_unknown_outcome_is_never_granted_again(run, ledgers):
    async def scenario():
        claim = (await ledgers.one.ledger.claim(operation())).ok
        ledgers.one.ledger.abandon(claim)
        result = await ledgers.one.ledger.claim(operation())
        assert kind(result) is ErrorKind.OPERATION_UNKNOWN
        ledgers.clock.advance(timedelta(days=365))
        for parts in (ledgers.one, ledgers.two):
            result = await parts.ledger.claim(operation())
            assert kind(result) is ErrorKind.OPERATION_UNKNOWN

    run(scenario())


def test_a_released_key_can_be_claimed_again(run, ledgers):
    async def scenario():
        claim = (await ledgers.one.ledger.claim(operation())).ok
        await ledgers.one.ledger.release(claim)
        assert isinstance((await ledgers.two.ledger.claim(operation())).ok, Claim)

    run(scenario())


def test_a_claim_whose_answer_was_lost_is_recognised(run, ledgers):
    async def scenario():
        ledgers.table.faults.lose_answers = 1
        claim = (await ledgers.one.ledger.claim(operation())).ok
        assert isinstance(claim, Claim)
        await ledgers.one.ledger.complete(claim, ANSWER)
        assert (await ledgers.two.ledger.claim(operation())).ok == ANSWER

    run(scenario())


def test_an_unconfirmed_claim_is_refused_and_freed_later(run, ledgers):
    async def scenario():
        table = ledgers.table
        table.faults.lose_answers = 1
        real_read = table.read

        async def failing_read(key):
            table.read = real_read
            table.faults.down = True
            return await real_read(key)

        table.read = failing_read
        result = await ledgers.one.ledger.claim(operation())
        assert kind(result) is ErrorKind.TABLE_UNAVAILABLE
        assert result.error.not_run
        table.faults.down = False
        result = await ledgers.one.ledger.claim(operation())
        assert kind(result) is ErrorKind.OPERATION_RUNNING
        await ledgers.pass_time(2)
        assert isinstance((await ledgers.two.ledger.claim(operation())).ok, Claim)

    run(scenario())


def test_a_claim_that_arrives_late_is_freed(run, ledgers):
    async def scenario():
        ledgers.table.faults.late_requests = 2
        result = await ledgers.one.ledger.claim(operation())
        assert kind(result) is ErrorKind.TABLE_UNAVAILABLE
        ledgers.table.commit_delayed()
        await ledgers.pass_time(5)
        assert isinstance((await ledgers.two.ledger.claim(operation())).ok, Claim)

    run(scenario())


def test_a_late_claim_does_not_displace_the_next_attempt(run, ledgers):
    async def scenario():
        ledgers.table.faults.late_requests = 2
        await ledgers.one.ledger.claim(operation())
        claim = (await ledgers.two.ledger.claim(operation())).ok
        assert isinstance(claim, Claim)
        ledgers.table.commit_delayed()
        await ledgers.pass_time(5)
        await ledgers.two.ledger.complete(claim, ANSWER)
        assert (await ledgers.one.ledger.claim(operation())).ok == ANSWER

    run(scenario())


def test_an_answer_is_recorded_once_the_table_is_back(run, ledgers):
    async def scenario():
        claim = (await ledgers.one.ledger.claim(operation())).ok
        ledgers.table.faults.down = True
        done = asyncio.create_task(ledgers.one.ledger.complete(claim, ANSWER))
        await ledgers.pass_time(2)
        assert done.done(), "the caller's answer does not wait for the table"
        assert (await ledgers.one.ledger.claim(operation())).ok == ANSWER
        ledgers.table.faults.down = False
        result = await ledgers.two.ledger.claim(operation())
        assert kind(result) is ErrorKind.OPERATION_RUNNING
        await ledgers.pass_time(40)
        assert (await ledgers.two.ledger.claim(operation())).ok == ANSWER

    run(scenario())


def test_a_completion_whose_answer_was_lost_is_recorded(run, ledgers):
    async def scenario():
        claim = (await ledgers.one.ledger.claim(operation())).ok
        ledgers.table.faults.lose_answers = 1
        done = asyncio.create_task(ledgers.one.ledger.complete(claim, ANSWER))
        await ledgers.pass_time(2)
        await done
        assert (await ledgers.two.ledger.claim(operation())).ok == ANSWER
        assert len(ledgers.one.sweeper.unflushed_entries) == 1

    run(scenario())


def test_a_large_answer_is_kept_in_the_object_store(run, ledgers):
    async def scenario():
        claim = (await ledgers.one.ledger.claim(operation())).ok
        await ledgers.one.ledger.complete(claim, LARGE)
        assert len(ledgers.objects.objects) == 1
        assert (await ledgers.two.ledger.claim(operation())).ok == LARGE

    run(scenario())


def test_an_unreadable_large_answer_is_not_reported_as_not_run(run, ledgers):
    async def scenario():
        claim = (await ledgers.one.ledger.claim(operation())).ok
        await ledgers.one.ledger.complete(claim, LARGE)
        ledgers.objects.faults.down = True
        result = await ledgers.two.ledger.claim(operation())
        assert kind(result) is ErrorKind.RECORDED_ANSWER_UNAVAILABLE
        assert not result.error.not_run

    run(scenario())


def test_a_large_answer_is_recorded_once_the_object_store_is_back(run, ledgers):
    async def scenario():
        claim = (await ledgers.one.ledger.claim(operation())).ok
        ledgers.objects.faults.down = True
        done = asyncio.create_task(ledgers.one.ledger.complete(claim, LARGE))
        await ledgers.pass_time(2)
        assert done.done()
        ledgers.objects.faults.down = False
        await ledgers.pass_time(40)
        assert (await ledgers.two.ledger.claim(operation())).ok == LARGE

    run(scenario())


def test_a_claim_refused_by_the_table_is_not_run(run, ledgers):
    async def scenario():
        ledgers.table.faults.down = True
        result = await ledgers.one.ledger.claim(operation())
        assert kind(result) is ErrorKind.TABLE_UNAVAILABLE
        ledgers.table.faults.down = False
        assert isinstance((await ledgers.one.ledger.claim(operation())).ok, Claim)

    run(scenario())
