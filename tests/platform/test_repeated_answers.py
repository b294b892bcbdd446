"""Servers that write an earlier success once more, on a connection in use again."""

import asyncio
from contextlib import asynccontextmanager, suppress
from datetime import timedelta

import pytest
from tornado.httpclient import HTTPRequest
from tornado.httputil import HTTPHeaders

from magnoliatrail.entry.engine_stream import EngineRequest, StreamLimits, open_stream
from magnoliatrail.forwarding.attempt import AttemptOutcome
from magnoliatrail.forwarding.server_call import ForwardedRequest, send_attempt
from magnoliatrail.platform.engine_calls import OrderOutcome, read_report, send_order
from magnoliatrail.wire import call, new_http_client
from tests.platform.rig import running
from tests.platform.test_repeated_refusals import (
    LIMITS,
    ORDER,
    SIGNATURE,
    answer,
    ignore_notice,
)
from tests.platform.test_server_call import serving
from tests.servers import hold


class CopyingServer:
    """Answer with the number of the request, after a copy of the answer before it.

    Before the first answer of a connection there is none to copy.
    """

    def __init__(self, *, named=True, statuses=()):
        self.named = named
        self.statuses = list(statuses)
        self.numbers = 0
        self.connections = 0
        self.writers = []

    async def serve(self, reader, writer):
        self.connections += 1
        self.writers.append(writer)
        written = b""
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                fields = HTTPHeaders.parse(head.partition("\r\n")[2])
                await reader.readexactly(int(fields.get("Content-Length", 0)))
                self.numbers += 1
                names = {SIGNATURE: "s"}
                request = fields.get("Magnoliatrail-Request-Id")
                if request and self.named:
                    names["Magnoliatrail-Request-Id"] = request
                status = self.statuses.pop(0) if self.statuses else 200
                body = b'{"sequence": %d}' % self.numbers
                writer.write(written)
                written = answer(status, body=body, fields=names)
                writer.write(written)
                await writer.drain()
        writer.close()


@asynccontextmanager
async def copying(**options):
    """Run a copying server; yield it, a target and a pool."""
    state = CopyingServer(**options)
    async with serving() as (target, pool, _):
        server = await asyncio.start_server(state.serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        object.__setattr__(target, "address", f"127.0.0.1:{port}")
        yield state, target, pool
        for writer in state.writers:
            writer.close()
            with suppress(ConnectionError):
                await writer.wait_closed()
        server.close()


async def ask(pool, target, request_id):
    """Send a request; return the outcome and what was relayed."""
    relayed = []

    async def head(status, headers):
        relayed.append(status)

    async def body(chunk):
        relayed.append(chunk)

    found = await send_attempt(
        pool,
        target,
        ForwardedRequest(
            request_id,
            "POST",
            "/x",
            HTTPHeaders(
                {"Host": "h", "Magnoliatrail-Request-Id": request_id}
                if request_id
                else {"Host": "h"}
            ),
            b"abc",
        ),
        time_left=timedelta(seconds=5),
        only_recently_used=True,
        head=head,
        body=body,
        hold=hold,
        notice=ignore_notice,
        max_relayed_bytes=None,
    )
    return found.outcome, b"".join(part for part in relayed if part != 200)


# Guards against the answer to an earlier request, whose copy names the same id.
@pytest.mark.parametrize("request_id", ["r1", ""])
def test_a_copy_of_a_success_is_not_the_answer_to_the_same_id(run, request_id):
    async def scenario():
        async with copying() as (_, target, pool):
            found = [await ask(pool, target, request_id) for _ in range(3)]
        assert found == [
            (AttemptOutcome.ANSWERED, b'{"sequence": %d}' % number)
            for number in (1, 2, 3)
        ]

    run(scenario())


# Guards against copies between requests of different ids, with and without an id.
def test_a_copy_of_a_success_is_not_the_answer_to_another_id(run):
    async def scenario():
        async with copying() as (state, target, pool):
            ids = ["r1", "r2", "", "r3", "r2", "", "r1"]
            found = [await ask(pool, target, name) for name in ids]
        assert found == [
            (AttemptOutcome.ANSWERED, b'{"sequence": %d}' % number)
            for number in range(1, len(ids) + 1)
        ]
        assert state.connections < len(ids)

    run(scenario())


# An answer that names no request may be a copy: it is not believed, and ends its
# connection, so that no later request gets it.
def test_answers_that_name_no_request_reach_nobody(run):
    async def scenario():
        async with copying(named=False) as (state, target, pool):
            found = [await ask(pool, target, name) for name in ("r1", "r2", "r1")]
        assert found == [(AttemptOutcome.INVALID, b"")] * 3
        assert state.connections == len(found)

    run(scenario())


# Guards against an order taken for done that its engine has refused.
@pytest.mark.parametrize("first", ["report", "order"])
def test_a_copy_of_an_engines_answer_is_not_the_answer_to_an_order(run, first):
    async def scenario():
        async with copying(statuses=[200, 409]) as (_, target, pool):
            if first == "report":
                await read_report(pool, target, LIMITS, ignore_notice)
            else:
                await send_order(pool, target, ORDER, LIMITS, ignore_notice)
            outcome, _ = await send_order(pool, target, ORDER, LIMITS, ignore_notice)
        assert outcome is OrderOutcome.CONFLICT

    run(scenario())


# Guards against the answer to an earlier order that is read as a report.
def test_a_copy_of_an_order_answer_is_not_a_report(run):
    async def scenario():
        async with copying() as (_, target, pool):
            await send_order(pool, target, ORDER, LIMITS, ignore_notice)
            found = await read_report(pool, target, LIMITS, ignore_notice)
        assert found.ok.orders_accepted == 2

    run(scenario())


def test_callers_of_forward_get_their_own_answers(run):
    async def scenario():
        state = CopyingServer()
        async with running() as rig:
            server = await rig.add_plain("p0", state.serve)
            (daemon,) = rig.daemons
            await rig.until(lambda: daemon.view.usable("desk"))
            for number, name in enumerate(["r1", "r1", "r2", "r1"], 1):
                found = await rig.send(daemon, "/plain/x", request=name)
                assert found.body == b'{"sequence": %d}' % number
            for writer in state.writers:
                writer.close()
            server.close()

    run(scenario())


# `/services` and `/v1` of `serve` use each connection once, so that no copy can come.
def test_the_calls_of_serve_use_no_connection_again(run):
    async def scenario():
        async with copying() as (state, target, _):
            client = new_http_client()
            url = f"http://{target.address}/x"
            for number in (1, 2):
                request = HTTPRequest(url, method="POST", body=b"abc")
                found = await call(client, request, LIMITS)
                assert found.body == b'{"sequence": %d}' % number
            client.close()
            for number in (3, 4):
                stream = await open_stream(
                    EngineRequest("POST", url, {}, b"abc"),
                    StreamLimits(timedelta(seconds=1), timedelta(seconds=1)),
                )
                content = []
                await stream.relay(content.append)
                stream.close()
                assert b"".join(content) == b'{"sequence": %d}' % number
            assert state.connections == 4

    run(scenario())
