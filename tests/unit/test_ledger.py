import pytest

from magnoliatrail.clock import ManualClock
from magnoliatrail.errors import ErrorKind
from magnoliatrail.ids import CallerId
from magnoliatrail.operations.ledger import (
    Claim,
    Operation,
    OperationLedger,
    RecordedAnswer,
)
from magnoliatrail.standins.table import FakeTable

ANSWER = RecordedAnswer(200, "application/json", b"{}")


@pytest.fixture
def ledger():
    return OperationLedger(FakeTable(), ManualClock())


def operation(body=b"body"):
    return Operation(CallerId("c"), "bookings", "POST confirm", "key", body)


def test_a_repeat_gets_the_recorded_answer(run, ledger):
    async def scenario():
        claim = (await ledger.claim(operation())).ok
        assert isinstance(claim, Claim)
        await ledger.complete(operation(), claim, ANSWER)
        assert (await ledger.claim(operation())).ok == ANSWER

    run(scenario())


def test_the_same_key_with_another_body_is_an_error(run, ledger):
    async def scenario():
        await ledger.claim(operation())
        result = await ledger.claim(operation(b"another"))
        assert result.error.kind is ErrorKind.KEY_REUSED

    run(scenario())


def test_a_claim_of_unknown_fate_is_never_given_again(run, ledger):
    async def scenario():
        await ledger.claim(operation())
        result = await ledger.claim(operation())
        assert result.error.kind is ErrorKind.OPERATION_UNKNOWN

    run(scenario())


def test_a_released_claim_can_be_taken_again(run, ledger):
    async def scenario():
        claim = (await ledger.claim(operation())).ok
        await ledger.release(operation(), claim)
        assert isinstance((await ledger.claim(operation())).ok, Claim)

    run(scenario())
