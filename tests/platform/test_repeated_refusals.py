"""Servers that write an earlier refusal once more on a kept connection."""

import asyncio
from contextlib import asynccontextmanager, suppress
from datetime import timedelta

import pytest
from tornado.httputil import HTTPHeaders

from magnoliatrail.clock import SystemClock
from magnoliatrail.connections import MAX_CARRIED_REQUESTS, ConnectionPool
from magnoliatrail.forwarding.attempt import AttemptOutcome
from magnoliatrail.ids import FencingNumber, InstanceId
from magnoliatrail.platform.engine_calls import (
    Operation,
    Order,
    OrderOutcome,
    read_report,
    send_order,
)
from magnoliatrail.platform.rows import RowStore, RowWrite
from magnoliatrail.wire import CallLimits
from tests.platform.rig import running
from tests.platform.test_server_call import attempt, serving

LIMITS = CallLimits(timedelta(seconds=1), timedelta(seconds=2))
SIGNATURE = "Magnoliatrail-Response-Signature"
NAMES = {"Magnoliatrail-Request-Id": "r1"}
REFUSED = {"Magnoliatrail-Not-Executed": "1"}


def answer(status, *, body=b"", **fields):
    """Return an answer's bytes."""
    lines = [f"{name}: {value}" for name, value in fields.pop("fields", {}).items()]
    head = "\r\n".join([f"HTTP/1.1 {status} X", *lines, f"Content-Length: {len(body)}"])
    return head.encode() + b"\r\n\r\n" + body


class RepeatingServer:
    """Refuse the first request, run the others, and repeat refusals on connections."""

    def __init__(self, *, refusal=503, fields=None, request_id=""):
        self.refusal, self.fields = refusal, fields or {}
        # The id of requests that name none.
        self.request_id = request_id
        self.refusals_left = 1
        self.runs = []
        self.connections = 0
        self.writers = []

    async def serve(self, reader, writer):
        self.connections += 1
        self.writers.append(writer)
        written = b""
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                fields = HTTPHeaders.parse(head.partition("\r\n")[2])
                await reader.readexactly(int(fields.get("Content-Length", 0)))
                request = fields.get("Magnoliatrail-Request-Id", self.request_id)
                named = {"Magnoliatrail-Request-Id": request} if request else {}
                # The earlier refusal of this connection comes first.
                writer.write(written)
                if self.refusals_left:
                    self.refusals_left -= 1
                    written = answer(
                        self.refusal, fields={**REFUSED, **named, **self.fields}
                    )
                    writer.write(written)
                else:
                    self.runs.append(request)
                    signed = {SIGNATURE: "s", **named}
                    writer.write(answer(200, body=b"{}", fields=signed))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def close(self):
        """Close all connections."""
        for writer in self.writers:
            writer.close()
            with suppress(ConnectionError):
                await writer.wait_closed()


@asynccontextmanager
async def raw_server(**options):
    """Run a repeating server; yield it, a target and a pool."""
    state = RepeatingServer(**options)
    async with serving() as (target, pool, _):
        server = await asyncio.start_server(state.serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        object.__setattr__(target, "address", f"127.0.0.1:{port}")
        yield state, target, pool
        await state.close()
        server.close()


# Guards against "not run" for a request that the server has run (REFUSED): a repeated
# refusal has the id of the request, so only the connection tells it from an answer.
def test_a_refusal_that_comes_again_is_not_the_answer_to_the_next_send(run):
    async def scenario():
        async with raw_server(request_id="r1") as (state, target, pool):
            first, _ = await attempt(target, pool)
            second, relayed = await attempt(target, pool)
        assert first.outcome is AttemptOutcome.NOT_RUN
        assert second.outcome is AttemptOutcome.ANSWERED
        assert (state.runs, relayed) == (["r1"], [200, b"{}"])
        assert state.connections == 2

    run(scenario())


def test_a_connection_that_carried_a_refusal_is_reused_for_other_requests(run):
    async def scenario():
        async with raw_server(request_id="r1") as (state, target, pool):
            await attempt(target, pool)
            (stream,) = pool.idle[target.address]
            assert stream.has_carried("r1")
            assert pool.acquire_idle(target.address, request_id="r1") is None
            assert pool.acquire_idle(target.address, request_id="r2") is stream

    run(scenario())


def test_a_connection_that_carried_many_requests_is_closed(run):
    async def scenario():
        async with raw_server(request_id="r1") as (_, target, pool):
            await attempt(target, pool)
            (stream,) = pool.idle.pop(target.address)
            while len(stream.carried) < MAX_CARRIED_REQUESTS:
                stream.record_carried(f"r{len(stream.carried)}")
            pool.release(target.address, stream, HTTPHeaders())
            assert stream.closed()

    run(scenario())


# Guards against stale notices: a repeated 503 was believed as news of its server.
def test_a_repeated_refusal_gives_no_notice(run):
    async def scenario():
        notices = []
        fields = {"Retry-After": "5", "Server-Leaving": "1"}
        async with raw_server(fields=fields, request_id="r1") as (_, target, pool):
            await attempt(target, pool, notices=notices)
            await attempt(target, pool, notices=notices)
        assert [notice.leaving for notice in notices] == [True, False]

    run(scenario())


@pytest.mark.parametrize("status", [200, 421, 503])
def test_an_answer_that_names_no_request_is_not_believed(run, status):
    async def scenario():
        unnamed = answer(status, fields={SIGNATURE: "s", **REFUSED})
        async with serving(unnamed) as (target, pool, _):
            notices = []
            found, relayed = await attempt(target, pool, notices=notices)
            return found, relayed, notices, sum(map(len, pool.idle.values()))

    found, relayed, notices, idle = run(scenario())
    assert found.outcome is AttemptOutcome.INVALID
    assert (relayed, notices, idle) == ([], [], 0)


ORDER = Order(
    operation=Operation.LOAD,
    model="base",
    adapter="a",
    version=1,
    holder=InstanceId("one"),
    fencing_number=FencingNumber(1),
    expected_orders=0,
)


def ignore_notice(server, notice):
    pass


# Guards against an order taken for refused that its engine has accepted.
def test_a_refusal_of_an_order_is_not_the_answer_to_the_next_one(run):
    async def scenario():
        async with raw_server(refusal=409) as (state, target, pool):
            outcomes = []
            for _ in range(2):
                outcome, _ = await send_order(
                    pool, target, ORDER, LIMITS, ignore_notice
                )
                outcomes.append(outcome)
        assert outcomes == [OrderOutcome.CONFLICT, OrderOutcome.DONE]

    run(scenario())


def test_a_late_answer_to_a_request_is_not_the_answer_to_an_order(run):
    async def scenario():
        late = answer(409, fields={**NAMES, **REFUSED})
        async with serving(late) as (target, pool, _):
            outcome, reason = await send_order(
                pool, target, ORDER, LIMITS, ignore_notice
            )
            assert sum(map(len, pool.idle.values())) == 0
        assert outcome is OrderOutcome.UNKNOWN
        assert "another request" in reason

    run(scenario())


def test_a_late_answer_to_a_request_is_not_an_engine_report(run):
    async def scenario():
        late = answer(200, body=b"{}", fields=NAMES)
        async with serving(late, late) as (target, pool, _):
            report = await read_report(pool, target, LIMITS, ignore_notice)
        assert report.is_error()

    run(scenario())


def test_a_refusal_of_a_write_is_not_the_answer_to_the_next_one(run):
    async def scenario():
        async with raw_server(refusal=503) as (_, target, _pool):
            pool = ConnectionPool(SystemClock().monotonic)
            store = RowStore(pool, target.address, LIMITS)
            writes = [RowWrite("cells", "k", b"v", 0)]
            first, second = [await store.commit(writes) for _ in range(2)]
            pool.close()
        assert first.is_error()
        assert second.is_ok()

    run(scenario())


# Guards against a second run of a request that is not idempotent (TWICE), and against
# "not run" for one that has run (REFUSED), at the door `forward`.
def test_a_plain_request_refused_once_runs_once(run):
    async def scenario():
        state = RepeatingServer()
        async with running() as rig:
            server = await rig.add_plain("p0", state.serve)
            (daemon,) = rig.daemons
            await rig.until(lambda: daemon.view.usable("desk"))
            found = await rig.send(daemon, "/plain/x", request="r1")
            await state.close()
            server.close()
        assert (found.status, state.runs) == (200, ["r1"])

    run(scenario())
