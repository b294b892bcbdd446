"""Answers without end, at the calls of `serve`, are bounded together."""

import asyncio
import tracemalloc
from datetime import timedelta
from random import Random

import pytest
from expression import Error
from tornado.httputil import HTTPHeaders

from magnoliatrail.clock import SystemClock
from magnoliatrail.entry.engine_stream import EngineRequest, StreamLimits, open_stream
from magnoliatrail.entry.held_body import NO_MEMORY
from magnoliatrail.entry.service_call import (
    ServiceCaller,
    ServiceRequest,
    is_retryable,
)
from magnoliatrail.entry.whole_answer import read_whole
from magnoliatrail.errors import ErrorKind, Failure
from magnoliatrail.generated.permits import RequestClass
from magnoliatrail.generated.platform import ListedInstance, ListedKind, ListedState
from magnoliatrail.generated.settings import Settings
from magnoliatrail.ids import CallerId, RequestId
from magnoliatrail.memory_budget import HeldKind, Holding, MemoryBudget
from magnoliatrail.metrics import NoMetrics
from magnoliatrail.requests import RequestContext
from magnoliatrail.wire import new_http_client
from tests.lone_quarantine import lone_quarantine
from tests.platform.test_endless_answers import BODIES, OK, endless_server

CALLS = 4
BUDGET_BYTES = 4_000_000
# The budget, the copy of a read for each call, and the buffers of connections.
MAX_PEAK_BYTES = 16_000_000
SETTINGS = Settings(
    instance_id="one",
    failure_domain="domain-0",
    peer_token="token-for-tests-only",
    table_url="http://127.0.0.1:1",
    objects_url="http://127.0.0.1:1",
    weights_url="http://127.0.0.1:1",
    instance_list_url="http://127.0.0.1:1",
)
# The client of `serve` refuses a longer length by the head.
BEGINNINGS = {
    name: (begin.replace(b"99999999999", b"60000000"), more)
    for name, (begin, more) in BODIES.items()
}


def service_caller(memory):
    clock = SystemClock()
    return ServiceCaller(
        settings=SETTINGS,
        clock=clock,
        client=new_http_client(),
        fleet=None,
        metrics=NoMetrics(),
        quarantine=lone_quarantine(clock),
        retry_share=lambda: 0.0,
        generator=Random(1),
        memory=memory,
    )


def service_request(number):
    now = SystemClock().monotonic()
    return ServiceRequest(
        context=RequestContext(
            request_id=RequestId(f"r{number}"),
            caller=CallerId("c"),
            request_class=RequestClass.INTERACTIVE,
            started=now,
            deadline=now + timedelta(seconds=5),
            idempotency_key="",
        ),
        service="s",
        method="GET",
        path="x",
        query="",
        headers=HTTPHeaders(),
        body=b"",
    )


async def call_service(address, number, memory):
    """Return the failure of a call to an endless replica."""
    replica = ListedInstance(
        id="s1",
        kind=ListedKind.SERVICE,
        name="s",
        url=f"http://{address}",
        failure_domain="domain-0",
        state=ListedState.LIVE,
    )
    answer = await service_caller(memory).send_to(service_request(number), replica)
    return answer.error


async def call_engine(address, number, memory):
    """Return the failure of a whole answer of an endless engine."""
    limits = StreamLimits(timedelta(seconds=5), timedelta(seconds=5))
    url = f"http://{address}/v1/completions"
    stream = await open_stream(EngineRequest("GET", url, {}), limits)
    try:
        with Holding(memory, HeldKind.ANSWERS) as holding:
            failure = await read_whole(stream, f"r{number}", "a@1~1", holding)
    finally:
        stream.close()
    return failure.final


# Guards against answers without end that are kept outside of the memory budget.
@pytest.mark.parametrize("calls", [call_service, call_engine])
@pytest.mark.parametrize("begin, more", BEGINNINGS.values(), ids=BEGINNINGS)
def test_endless_answers_are_bounded_together(run, calls, begin, more):
    async def scenario():
        memory = MemoryBudget(BUDGET_BYTES)
        async with endless_server(OK + begin, more) as (address, _):
            tracemalloc.start()
            try:
                failures = await asyncio.gather(
                    *(calls(address, number, memory) for number in range(CALLS))
                )
                _, peak = tracemalloc.get_traced_memory()
            finally:
                tracemalloc.stop()
        assert [item.kind for item in failures] == [ErrorKind.BACKEND_FAILED] * CALLS
        assert {item.message for item in failures} == {NO_MEMORY}
        assert peak < MAX_PEAK_BYTES
        assert memory.held[HeldKind.ANSWERS] == 0

    run(scenario())


# Guards against a request that is refused as one that crashes replicas, or is sent once
# more, because this instance had no memory for its answer.
def test_an_answer_without_room_accuses_no_request_and_is_not_retried():
    caller, request = service_caller(MemoryBudget(0)), service_request(1)
    replica = ListedInstance(
        id="s1",
        kind=ListedKind.SERVICE,
        name="s",
        url="http://10.0.0.1:1",
        failure_domain="domain-0",
        state=ListedState.LIVE,
    )
    accused = []
    caller.quarantine.record_broken = lambda run, parts: accused.append(parts)
    without_room = Error(Failure(ErrorKind.BACKEND_FAILED, NO_MEMORY))
    broken = Error(Failure(ErrorKind.BACKEND_FAILED, "the connection broke"))
    caller.record_answer(request, replica, without_room)
    assert not accused
    caller.record_answer(request, replica, broken)
    assert accused == [(request.fingerprint,)]
    assert (is_retryable(without_room), is_retryable(broken)) == (False, True)
