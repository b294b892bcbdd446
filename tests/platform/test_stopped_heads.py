"""Answers that stop inside their heads, at each place that reads one."""

from datetime import timedelta

import pytest
from tornado.httpclient import HTTPRequest

from magnoliatrail.entry.engine_stream import EngineRequest, StreamLimits, open_stream
from magnoliatrail.exchange import OutgoingRequest, exchange
from magnoliatrail.forwarding.attempt import AttemptOutcome
from magnoliatrail.wire import CallFailed, CallLimits, call, new_http_client
from tests.platform.test_server_call import GOOD, SIGNED, attempt, serving

LIMITS = CallLimits(timedelta(seconds=2), timedelta(seconds=2))
HEAD = GOOD.partition(b"\r\n\r\n")[0] + b"\r\n\r\n"
UNSIZED = b"HTTP/1.1 200 OK\r\n" + SIGNED + b"\r\n"
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"
# All places at which a head may stop, and each form of its lines.
STOPPED = {
    "head": [HEAD[:size] for size in range(1, len(HEAD))],
    "no length": [UNSIZED[:size] for size in range(1, len(UNSIZED))],
    "interim": [INTERIM + HEAD[:size] for size in range(0, len(HEAD), 5)],
    "bare LF": [
        HEAD.replace(b"\r\n", b"\n")[:size]
        for size in range(1, len(HEAD.replace(b"\r\n", b"\n")), 5)
    ],
}
each_form = pytest.mark.parametrize("form", STOPPED)


# Guards against a head that stops, passed on as a whole answer without a body.
@each_form
@pytest.mark.parametrize("kept", [False, True])
def test_an_attempt_whose_answer_stops_in_its_head_is_broken_off(run, form, kept):
    async def scenario():
        for head in STOPPED[form]:
            first = GOOD.replace(b"Id: r1", b"Id: r0")
            answers = [first, head] if kept else [head]
            async with serving(*answers, close_after=len(answers)) as (
                target,
                pool,
                seen,
            ):
                if kept:
                    before, _ = await attempt(target, pool, request="r0")
                    assert before.outcome is AttemptOutcome.ANSWERED
                found, relayed = await attempt(target, pool)
                assert found.outcome is AttemptOutcome.BROKEN, head
                assert relayed == []
                assert seen["connections"] == 1

    run(scenario())


async def check_calls_fail(target, pool, client):
    """Check that each way to call a server fails, and that the call may have run."""
    url = f"http://{target.address}/x"
    limits = StreamLimits(connect=LIMITS.connect, idle=LIMITS.total)
    for calling in (
        exchange(
            pool, target.address, OutgoingRequest("POST", "/x", body=b"abc"), LIMITS
        ),
        call(client, HTTPRequest(url, method="POST", body=b"abc"), LIMITS),
        open_stream(EngineRequest("POST", url, {}, b"abc"), limits),
    ):
        with pytest.raises(CallFailed) as failure:
            await calling
        assert failure.value.sent


@each_form
def test_a_call_whose_answer_stops_in_its_head_fails(run, form):
    async def scenario():
        client = new_http_client()
        for head in STOPPED[form]:
            async with serving(*[head] * 3, close=True) as (target, pool, _):
                await check_calls_fail(target, pool, client)

    run(scenario())


# Guards against a reset inside a head, at the same places.
@pytest.mark.parametrize("size", [5, 15, 17, 40, len(HEAD) - 2, len(HEAD) - 1])
def test_a_reset_inside_a_head_is_no_answer(run, size):
    async def scenario():
        async with serving(*[HEAD[:size]] * 4, reset=True) as (target, pool, _):
            found, relayed = await attempt(target, pool)
            assert (found.outcome, relayed) == (AttemptOutcome.BROKEN, [])
            await check_calls_fail(target, pool, new_http_client())

    run(scenario())


# Guards against an order, or another call, whose answer has lost its fields and body:
# nothing says whose answer it is, and whether it is whole.
@pytest.mark.parametrize("status", [b"200 OK", b"202 Accepted"])
def test_a_call_with_neither_a_length_nor_a_body_in_its_answer_fails(run, status):
    async def scenario():
        bare = b"HTTP/1.1 %s\r\n\r\n" % status
        async with serving(bare, close=True) as (target, pool, _):
            request = OutgoingRequest("POST", "/x", body=b"abc")
            with pytest.raises(CallFailed) as failure:
                await exchange(pool, target.address, request, LIMITS)
            assert failure.value.sent

    run(scenario())


@pytest.mark.parametrize(
    "whole",
    [
        b"HTTP/1.1 200 OK\r\n\r\n{}",
        b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 204 No Content\r\n\r\n",
    ],
)
def test_a_call_with_a_body_or_a_length_in_its_answer_succeeds(run, whole):
    async def scenario():
        async with serving(whole, close=True) as (target, pool, _):
            request = OutgoingRequest("POST", "/x", body=b"abc")
            answer = await exchange(pool, target.address, request, LIMITS)
            assert bytes(answer.body) == whole.partition(b"\r\n\r\n")[2]

    run(scenario())
