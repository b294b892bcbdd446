import asyncio
import threading
from datetime import UTC, datetime, timedelta

import msgspec
import pytest
from click.testing import CliRunner

from magnoliatrail.cli.exit_codes import ExitCode
from magnoliatrail.cli.main import main
from magnoliatrail.clock import ManualClock
from magnoliatrail.errors import ErrorKind
from magnoliatrail.generated.operations import ClaimState, OperationRow, ResolutionRow
from magnoliatrail.generated.platform import RowWrite, Transaction
from magnoliatrail.listeners import listen
from magnoliatrail.operations.operators import (
    MAX_CLOCK_SKEW,
    OperatorLedger,
    Resolution,
)
from magnoliatrail.operations.rows import CLAIM_PREFIX, RESOLUTION_PREFIX
from magnoliatrail.standins.table import FakeTable, table_application

RAN = Resolution(ran=True, reason="the desk has it", author="Awa")
NOT_RUN = Resolution(ran=False, reason="the desk has nothing", author="Moussa")
CLAIM = "ab" * 32


def claimed(now, **changes):
    fields = {
        "caller": "agency",
        "service": "bookings",
        "operation": "POST bookings/confirm",
        "key": "k-1",
        "body_digest": "d",
        "attempt_id": "a-1",
        "state": ClaimState.CLAIMED,
        "claimed_at": now.isoformat(),
        "expires_at": (now + timedelta(seconds=90)).isoformat(),
    }
    return OperationRow(**{**fields, **changes})


def put(table, row, claim=CLAIM):
    write = RowWrite(key=CLAIM_PREFIX + claim, value=msgspec.json.encode(row).decode())
    table.commit(Transaction(conditions=[], writes=[write]))


class OperatorEnvironment:
    def __init__(self):
        self.clock = ManualClock()
        self.table = FakeTable()
        self.ledger = OperatorLedger(self.table, self.clock)
        put(self.table, claimed(self.clock.now()))
        self.clock.advance(timedelta(seconds=91) + MAX_CLOCK_SKEW)

    async def listed(self):
        return [item.ok.claim_id async for item in self.ledger.unknown_claims()]


@pytest.fixture
def environment():
    return OperatorEnvironment()


def test_only_claims_whose_attempt_has_ended_are_listed(run, environment):
    async def scenario():
        put(environment.table, claimed(environment.clock.now()), "cd" * 32)
        done = claimed(environment.clock.start, state=ClaimState.COMPLETED)
        put(environment.table, done, "ef" * 32)
        assert await environment.listed() == [CLAIM]

    run(scenario())


def test_a_running_claim_cannot_be_resolved(run, environment):
    async def scenario():
        put(environment.table, claimed(environment.clock.now()))
        result = await environment.ledger.resolve(CLAIM, NOT_RUN)
        assert result.error.kind is ErrorKind.CONFLICT

    run(scenario())


def test_a_resolution_is_recorded_and_frees_a_key_that_did_not_run(run, environment):
    async def scenario():
        assert (await environment.ledger.resolve(CLAIM, NOT_RUN)).is_ok()
        assert CLAIM_PREFIX + CLAIM not in environment.table.rows
        kept = environment.table.rows[RESOLUTION_PREFIX + "a-1"].value
        row = msgspec.json.decode(kept, type=ResolutionRow)
        assert not row.ran
        assert row.claim.resolved_by == "Moussa"
        assert row.claim.resolution == "the desk has nothing"
        assert row.claim.resolved_at == environment.clock.now().isoformat()

    run(scenario())


def test_of_two_operators_one_gets_a_conflict(run, environment):
    async def scenario():
        results = await asyncio.gather(
            environment.ledger.resolve(CLAIM, RAN),
            environment.ledger.resolve(CLAIM, NOT_RUN),
        )
        kinds = [result.error.kind for result in results if result.is_error()]
        assert kinds[0] in {ErrorKind.CONFLICT, ErrorKind.NOT_FOUND}
        assert len(kinds) == 1

    run(scenario())


def test_a_resolution_whose_answer_was_lost_is_recognised(run, environment):
    async def scenario():
        environment.table.faults.lose_answers = 1
        assert (await environment.ledger.resolve(CLAIM, RAN)).is_ok()
        assert (await environment.ledger.show(CLAIM)).ok.row.resolved_by == "Awa"

    run(scenario())


def test_a_lost_resolution_has_an_unknown_outcome(run, environment):
    async def scenario():
        environment.table.faults.lose_requests = 1
        result = await environment.ledger.resolve(CLAIM, RAN)
        assert result.error.kind is ErrorKind.TABLE_OUTCOME_UNKNOWN
        assert await environment.listed() == [CLAIM]

    run(scenario())


@pytest.fixture
def served_table():
    """Serve a table with one claim of unknown outcome from a separate thread."""
    table, started, stop = FakeTable(), threading.Event(), threading.Event()
    put(table, claimed(datetime.now(UTC) - timedelta(days=1)))
    urls = []

    async def serve():
        urls.append(listen(table_application(table), host="127.0.0.1").url)
        started.set()
        while not stop.is_set():
            await asyncio.sleep(0.01)

    thread = threading.Thread(target=asyncio.run, args=[serve()], daemon=True)
    thread.start()
    started.wait()
    yield urls[0]
    stop.set()
    thread.join()


def command(url, *arguments):
    return CliRunner().invoke(main, ["operations", f"--table-url={url}", *arguments])


def test_the_command_lists_shows_and_resolves(served_table):
    listed = command(served_table, "list")
    assert listed.exit_code == ExitCode.OK
    assert CLAIM in listed.output
    assert "'k-1'" in listed.output
    shown = command(served_table, "show", CLAIM)
    assert '"state": "claimed"' in shown.output
    flags = ["--author=Awa", "--reason=asked"]
    resolved = command(served_table, "resolve", CLAIM, "--ran", *flags)
    assert resolved.exit_code == ExitCode.OK
    again = command(served_table, "resolve", CLAIM, "--not-run", *flags)
    assert again.exit_code == ExitCode.CONFLICT
    assert command(served_table, "list").output == ""


@pytest.mark.parametrize(
    "flags",
    [
        ["--ran", "--author=Awa"],
        ["--ran", "--author=Awa", "--reason= "],
        ["--author=Awa", "--reason=asked"],
    ],
)
def test_a_resolution_needs_an_outcome_and_a_reason(served_table, flags):
    result = command(served_table, "resolve", CLAIM, *flags)
    assert result.exit_code == ExitCode.USAGE


def test_a_table_that_cannot_be_reached_has_its_own_exit_code():
    result = command("http://127.0.0.1:1", "list")
    assert result.exit_code == ExitCode.UNAVAILABLE


def test_a_claim_that_does_not_exist_fails(served_table):
    assert command(served_table, "show", "00").exit_code == ExitCode.FAILED
