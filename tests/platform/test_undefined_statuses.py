"""Answers whose status is none of a final answer, at each place that reads one."""

from types import SimpleNamespace

import pytest

from magnoliatrail.clock import SystemClock
from magnoliatrail.entry.engine_cancel import EngineCanceller
from magnoliatrail.errors import ErrorKind
from magnoliatrail.forwarding.attempt import AttemptOutcome
from magnoliatrail.generated.platform import ListedInstance, ListedKind, ListedState
from magnoliatrail.memory_budget import MemoryBudget
from magnoliatrail.wire import new_http_client
from tests.platform.rig import running
from tests.platform.test_endless_answers_of_serve import (
    service_caller,
    service_request,
)
from tests.platform.test_server_call import SIGNED, attempt, outcome_of, serving
from tests.platform.test_stopped_heads import LIMITS, check_calls_fail

UNDEFINED = ["000", "020", "099", "600", "700", "999"]
DEFINED = ["200", "299", "418", "599"]


def answer(status):
    """Return a signed, framed answer that names its request."""
    return b"HTTP/1.1 %s X\r\n%sContent-Length: 5\r\n\r\nhello" % (
        status.encode(),
        SIGNED,
    )


# Guards against a status that HTTP lacks, which a caller got as the server's answer.
@pytest.mark.parametrize("close", [False, True])
@pytest.mark.parametrize("status", UNDEFINED)
def test_an_undefined_status_breaks_an_attempt_off(run, status, close):
    found, relayed, _, idle = outcome_of(run, answer(status), close=close)
    assert (found.outcome, relayed, idle) == (AttemptOutcome.BROKEN, [], 0)
    assert status in found.reason


@pytest.mark.parametrize("status", DEFINED)
def test_other_statuses_of_final_answers_are_passed_on(run, status):
    found, _, _, idle = outcome_of(run, answer(status))
    assert found.outcome is AttemptOutcome.ANSWERED
    assert (found.status, idle) == (int(status), 1)


@pytest.mark.parametrize("path", ["/plain/x", "/lookup/x"])
@pytest.mark.parametrize("status", UNDEFINED)
def test_a_caller_of_a_plain_service_gets_502_for_an_undefined_status(
    run, path, status
):
    async def handle(reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        name = head.partition(b"Magnoliatrail-Request-Id: ")[2].partition(b"\r\n")[0]
        writer.write(answer(status).replace(b"r1", name))
        writer.close()

    async def scenario():
        async with running(engines=0) as rig:
            server = await rig.add_plain("p0", handle)
            (daemon,) = rig.daemons
            await rig.until(lambda: daemon.view.servers)
            found = await rig.send(daemon, path, request="r1")
            assert (found.status, found.whole) == (502, True)
            server.close()

    run(scenario())


@pytest.mark.parametrize("status", UNDEFINED)
def test_an_undefined_status_is_no_answer_to_a_call(run, status):
    async def scenario():
        async with serving(*[answer(status)] * 3, close=True) as (target, pool, _):
            await check_calls_fail(target, pool, new_http_client())

    run(scenario())


# Guards against a run that counts as ended, so that its adapter may be evicted.
@pytest.mark.parametrize("status", UNDEFINED)
def test_an_undefined_status_is_no_sign_that_a_run_has_ended(run, status):
    async def scenario():
        async with serving(answer(status), close=True) as (target, _, _):
            canceller = EngineCanceller(
                clock=SystemClock(), client=new_http_client(), limits=LIMITS
            )
            grant = SimpleNamespace(engine_url=f"http://{target.address}")
            permit = SimpleNamespace(grant=grant)
            assert not await canceller.has_stopped(permit, "r1")

    run(scenario())


@pytest.mark.parametrize("status", UNDEFINED)
def test_a_caller_of_a_service_of_serve_gets_no_undefined_status(run, status):
    async def scenario():
        async with serving(answer(status), close=True) as (target, _, _):
            replica = ListedInstance(
                id="s1",
                kind=ListedKind.SERVICE,
                name="s",
                url=f"http://{target.address}",
                failure_domain="domain-0",
                state=ListedState.LIVE,
            )
            caller = service_caller(MemoryBudget(1_000_000))
            found = await caller.send_to(service_request(1), replica)
            assert found.error.kind is ErrorKind.BACKEND_FAILED

    run(scenario())


# Guards against a later attempt that takes the rest of such an answer for its own.
def test_the_connection_of_an_undefined_status_is_not_used_again(run):
    async def scenario():
        answers = [answer("000"), answer("200")]
        async with serving(*answers) as (target, pool, seen):
            await attempt(target, pool)
            found, _ = await attempt(target, pool)
            assert found.outcome is AttemptOutcome.ANSWERED
            assert seen["connections"] == 2

    run(scenario())
