"""Answers without end, in a head or a body, from servers, the store and peers."""

import asyncio
from contextlib import asynccontextmanager
from datetime import timedelta

import pytest
from tornado.httputil import HTTPHeaders

from magnoliatrail.clock import SystemClock
from magnoliatrail.connections import MAX_BUFFERED_BODY_BYTES, ConnectionPool
from magnoliatrail.errors import ErrorKind
from magnoliatrail.exchange import OutgoingRequest, exchange
from magnoliatrail.forwarding.answer_reader import MAX_DISCARDED_BODY_BYTES
from magnoliatrail.forwarding.attempt import AttemptOutcome
from magnoliatrail.forwarding.held_answers import AnswerNotHeld
from magnoliatrail.forwarding.server_call import ForwardedRequest, send_attempt
from magnoliatrail.generated.cells import ReportAnswer
from magnoliatrail.membership.fleet_view import FleetView
from magnoliatrail.peers.client import PeerClient
from magnoliatrail.peers.connections import PersistentConnections
from magnoliatrail.platform.engine_calls import read_report
from magnoliatrail.platform.rows import RowStore
from magnoliatrail.wire import CallFailed, CallLimits
from tests.servers import hold, server

CHUNK_BYTES = 64 * 1024
SIGNED = b"Magnoliatrail-Response-Signature: s\r\nMagnoliatrail-Request-Id: r1\r\n"
OK = b"HTTP/1.1 200 OK\r\n"
FILL = b"x" * CHUNK_BYTES
CHUNK = b"%x\r\n%s\r\n" % (CHUNK_BYTES, FILL)
# Bytes in flight beside those that the receiver takes: socket buffers of both sides.
MAX_IN_FLIGHT_BYTES = 16 * 1024 * 1024
LIMITS = CallLimits(timedelta(seconds=1), timedelta(seconds=5))

HEADS = {
    "line of a head": (b"HTTP/1.1 200 " + FILL, FILL),
    "lines of a head": (OK, b"Name: value\r\n" * 4096),
    "interim heads": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 1024),
    "no answer at all": (FILL, FILL),
}
BODIES = {
    "until the close": (b"\r\n", FILL),
    "in chunks": (b"Transfer-Encoding: chunked\r\n\r\n", CHUNK),
    "with a length": (b"Content-Length: 99999999999\r\n\r\n", FILL),
}
ANSWERS = {
    **HEADS,
    **{name: (OK + SIGNED + begin, more) for name, (begin, more) in BODIES.items()},
    **{
        f"unsigned, {name}": (OK + begin, more)
        for name, (begin, more) in BODIES.items()
    },
    **{
        f"an error, {name}": (b"HTTP/1.1 500 Oh\r\n" + SIGNED + begin, more)
        for name, (begin, more) in BODIES.items()
    },
    **{
        f"of another, {name}": (
            OK + SIGNED.replace(b"Id: r1", b"Id: r0") + begin,
            more,
        )
        for name, (begin, more) in BODIES.items()
    },
}


@asynccontextmanager
async def endless_server(begin, more):
    """Answer each request with bytes that end only when the caller closes."""
    sent = {"bytes": 0, "closed": asyncio.Event()}

    async def serve(reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(begin)
            while True:
                writer.write(more)
                sent["bytes"] += len(more)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            sent["closed"].set()
        finally:
            writer.close()

    listener = await asyncio.start_server(serve, "127.0.0.1", 0)
    try:
        yield f"127.0.0.1:{listener.sockets[0].getsockname()[1]}", sent
    finally:
        listener.close()


async def check_bounded(sent):
    """Check that the connection was closed after a bounded number of bytes."""
    async with asyncio.timeout(5):
        await sent["closed"].wait()
    assert sent["bytes"] <= MAX_BUFFERED_BODY_BYTES + MAX_IN_FLIGHT_BYTES


# Guards against servers whose answer takes all memory or never ends.
@pytest.mark.parametrize("name", ANSWERS)
def test_an_endless_answer_of_a_server_is_broken_off(run, name):
    async def scenario():
        async with endless_server(*ANSWERS[name]) as (address, sent):
            kept = []

            async def head(status, headers):
                del status, headers

            async def body(chunk):
                kept.append(chunk)

            attempt = await send_attempt(
                ConnectionPool(SystemClock().monotonic),
                server("s1", address),
                ForwardedRequest("r1", "GET", "/", HTTPHeaders({"Host": "h"}), b""),
                time_left=timedelta(seconds=5),
                only_recently_used=False,
                head=head,
                body=body,
                hold=hold,
                notice=FleetView(SystemClock()).apply_notice,
                max_relayed_bytes=MAX_BUFFERED_BODY_BYTES,
            )
            assert attempt.outcome is not AttemptOutcome.ANSWERED
            # The log names the cause.
            assert attempt.reason
            assert "closed" not in f"{attempt.reason} {attempt.connection_error}"
            assert sum(map(len, kept)) <= MAX_BUFFERED_BODY_BYTES
            if name.startswith("unsigned"):
                assert attempt.body_bytes <= MAX_DISCARDED_BODY_BYTES + CHUNK_BYTES
            if not name.startswith("an error"):
                assert not attempt.body
            await check_bounded(sent)

    run(scenario())


# Guards against errors without end that are kept outside of the memory budget.
@pytest.mark.parametrize("begin, more", BODIES.values(), ids=BODIES)
def test_an_endless_error_is_given_up_without_room(run, begin, more):
    async def scenario():
        error = b"HTTP/1.1 500 Oh\r\n" + SIGNED
        # A length over the bound is refused by the head.
        start = begin.replace(b"99999999999", b"9999999")
        async with endless_server(error + start, more) as (address, sent):
            room = 4 * CHUNK_BYTES
            held = []

            async def hold_some(size):
                if sum(held) + size > room:
                    raise AnswerNotHeld
                held.append(size)

            async def sink(*_):
                raise AssertionError("an error is not relayed")

            with pytest.raises(AnswerNotHeld):
                await send_attempt(
                    ConnectionPool(SystemClock().monotonic),
                    server("s1", address),
                    ForwardedRequest("r1", "GET", "/", HTTPHeaders({"Host": "h"}), b""),
                    time_left=timedelta(seconds=5),
                    only_recently_used=False,
                    head=sink,
                    body=sink,
                    hold=hold_some,
                    notice=FleetView(SystemClock()).apply_notice,
                    max_relayed_bytes=None,
                )
            assert held
            await check_bounded(sent)

    run(scenario())


# Guards against streams that are cut because they are long.
def test_a_relayed_stream_has_no_bound_but_its_time(run):
    async def scenario():
        begin, more = ANSWERS["in chunks"]
        async with endless_server(begin, more) as (address, sent):
            relayed = 0

            async def head(status, headers):
                del status, headers

            async def body(chunk):
                nonlocal relayed
                relayed += len(chunk)

            attempt = await send_attempt(
                ConnectionPool(SystemClock().monotonic),
                server("s1", address),
                ForwardedRequest("r1", "GET", "/", HTTPHeaders({"Host": "h"}), b""),
                time_left=timedelta(seconds=2),
                only_recently_used=False,
                head=head,
                body=body,
                hold=hold,
                notice=FleetView(SystemClock()).apply_notice,
                max_relayed_bytes=None,
            )
            assert attempt.outcome is AttemptOutcome.TIMED_OUT
            assert relayed > MAX_BUFFERED_BODY_BYTES
            async with asyncio.timeout(5):
                await sent["closed"].wait()

    run(scenario())


@pytest.mark.parametrize("name", {**HEADS, **BODIES})
def test_an_endless_answer_to_a_call_fails_with_its_cause(run, name):
    async def scenario():
        begin, more = ANSWERS[name]
        async with endless_server(begin, more) as (address, sent):
            pool = ConnectionPool(SystemClock().monotonic)
            with pytest.raises(CallFailed) as failed:
                await exchange(pool, address, OutgoingRequest("GET", "/"), LIMITS)
            assert failed.value.sent
            assert "closed" not in str(failed.value)
            await check_bounded(sent)

    run(scenario())


@pytest.mark.parametrize("name", {**HEADS, **BODIES})
def test_an_endless_answer_of_the_store_is_a_failed_read(run, name):
    async def scenario():
        begin, more = ANSWERS[name]
        async with endless_server(begin, more) as (address, sent):
            pool = ConnectionPool(SystemClock().monotonic)
            read = await RowStore(pool, address, LIMITS).read("cells")
            assert read.is_error()
            assert "closed" not in read.error.message
            await check_bounded(sent)

    run(scenario())


@pytest.mark.parametrize("name", {**HEADS, **BODIES})
def test_an_endless_report_of_an_engine_is_a_failure(run, name):
    async def scenario():
        begin, more = ANSWERS[name]
        async with endless_server(begin, more) as (address, sent):
            pool = ConnectionPool(SystemClock().monotonic)
            view = FleetView(SystemClock())
            report = await read_report(
                pool, server("s1", address), LIMITS, view.apply_notice
            )
            assert report.error.kind is ErrorKind.BACKEND_UNREACHABLE
            assert "closed" not in report.error.message
            await check_bounded(sent)

    run(scenario())


@pytest.mark.parametrize("name", {**HEADS, **BODIES})
def test_an_endless_answer_of_a_peer_is_a_failure(run, name):
    async def scenario():
        begin, more = ANSWERS[name]
        async with endless_server(begin, more) as (address, sent):
            pool = ConnectionPool(SystemClock().monotonic)
            peers = PeerClient("token", PersistentConnections(pool))
            answer = await peers.ask(f"http://{address}/x", {}, ReportAnswer, LIMITS)
            assert answer.error.kind is ErrorKind.PEER_UNAVAILABLE
            assert "closed" not in answer.error.message
            await check_bounded(sent)

    run(scenario())


def test_an_interim_answer_says_nothing_of_its_server(run):
    async def scenario():
        begin = b"HTTP/1.1 100 Continue\r\n\r\n" + OK + SIGNED
        more = b"Server-Limit: 2\r\nContent-Length: 0\r\n\r\n"
        async with endless_server(begin, more) as (address, _):
            view = FleetView(SystemClock())
            target = server("s1", address)
            view.request_limits.record(target.key, 2.0)
            seen = []

            def notice(of, said):
                seen.append(said)
                view.apply_notice(of, said)

            async def sink(*_):
                pass

            await send_attempt(
                ConnectionPool(SystemClock().monotonic),
                target,
                ForwardedRequest("r1", "GET", "/", HTTPHeaders({"Host": "h"}), b""),
                time_left=timedelta(seconds=2),
                only_recently_used=False,
                head=sink,
                body=sink,
                hold=hold,
                notice=notice,
                max_relayed_bytes=None,
            )
            assert [item.requests_per_second for item in seen] == [2.0]

    run(scenario())
