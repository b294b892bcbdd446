"""Requests of all paths that come, wait or are retried late in a planned stop."""

import asyncio
from datetime import timedelta

import pytest

from magnoliatrail.forwarding.head_check import ENDS_TOO_SOON, SHUTTING_DOWN
from tests.platform.rig import configuration, model, route, running
from tests.platform.test_client_accounts import Recorder, add_recorders, send
from tests.platform.test_cut_from_servers import CutForm, cut_fleet

TIME_LEFT = timedelta(seconds=2)
PATHS = ["/plain/x", "/lookup/x", "/stream/x"]
# The routes allow 15 s.
DEADLINE = "Magnoliatrail-Deadline-Milliseconds"
KNOWN_ANSWERS = 25


def end_soon(daemon, left=TIME_LEFT):
    """Let an instance end as if a planned stop had begun some time ago."""
    context = daemon.forwarding_context
    context.answers_end_at = context.clock.monotonic() + left


def count_arrived(plain, rig):
    """Return the number of requests that reached servers."""
    return len(plain.heads) + sum(len(engine.ran) for engine in rig.engines)


def is_late_refusal(answer):
    """Return whether an answer is a refusal that sends the caller elsewhere."""
    refused = answer.status == 503 and ENDS_TOO_SOON.encode() in answer.body
    return refused and 0 < float(answer.headers["Retry-After"]) <= 0.1


# Guards against a request that is passed on, as answers were short so far, and cut off
# at the end; and against the refusal of one whose time limit ends before that.
@pytest.mark.parametrize("path", PATHS)
def test_a_late_request_is_sent_only_if_its_time_limit_ends_before_the_instance(
    run, path
):
    async def scenario():
        async with running() as rig:
            plain = Recorder([])
            await add_recorders(rig, plain=plain)
            daemon = rig.daemons[0]
            for number in range(KNOWN_ANSWERS):
                answer = await rig.send(
                    daemon, path, request=f"r{number}", headers=model()
                )
                assert answer.status == 200
            arrived = count_arrived(plain, rig)
            end_soon(daemon)
            late = await rig.send(daemon, path, request="late", headers=model())
            assert is_late_refusal(late)
            assert count_arrived(plain, rig) == arrived
            in_time = model() | {DEADLINE: "1500"}
            answer = await rig.send(daemon, path, request="in-time", headers=in_time)
            assert answer.status == 200

    run(scenario())


# Guards against a stream that gets its batch slot too late, and against a wait that
# ends with a refusal only when the caller's time is over.
def test_a_stream_that_waits_too_long_for_a_slot_is_refused_at_once(run):
    async def scenario():
        async with running() as rig:
            engine, daemon = rig.engines[0], rig.daemons[0]
            engine.events, engine.event_seconds = 100, 0.05
            running_streams = [
                asyncio.create_task(
                    rig.send(daemon, "/stream/x", request=f"r{n}", headers=model())
                )
                for n in range(8)
            ]
            await rig.until(lambda: len(engine.ran) == 8)
            waiting = asyncio.create_task(
                rig.send(daemon, "/stream/x", request="late", headers=model())
            )
            await rig.until(lambda: daemon.forwarding_context.waiting.timeouts)
            end_soon(daemon)
            daemon.forwarding_context.waiting.end_late()
            async with asyncio.timeout(1):
                answer = await waiting
            assert (answer.status, SHUTTING_DOWN in answer.body.decode()) == (503, True)
            assert "late" not in engine.ran
            for item in running_streams:
                item.cancel()
            await asyncio.wait(running_streams)

    run(scenario())


# Guards against a request that an instance cut from all servers lets another one serve,
# though it may itself end before the answer has passed through it.
def test_a_late_request_is_not_relayed(run):
    async def scenario():
        async with cut_fleet(instances=2) as fleet:
            cut, helper = fleet.rig.daemons
            await fleet.cut(CutForm.RESET, cut)
            sending = await fleet.send_for(1.5, cut, "/plain/x")
            await asyncio.gather(*sending)
            await fleet.rig.until(lambda: cut.reach.is_cut)
            assert (await fleet.send(cut, "/plain/x")).status == 200
            relayed = len(fleet.plain)
            end_soon(cut)
            assert is_late_refusal(await fleet.send(cut, "/plain/x"))
            assert len(fleet.plain) == relayed
            assert helper.handler.relayed == 0

    run(scenario())


# Guards against a retry that may outlast the instance, and against a 503, which says
# "not run", for a request whose first attempt has run.
def test_a_late_retry_is_not_sent_and_the_first_answer_is_passed_on(run):
    async def scenario():
        async with running(engines=0) as rig:
            let_answer = asyncio.Event()
            status = "500 Internal Server Error"
            servers = [Recorder([], let_answer, status) for _ in range(2)]
            await add_recorders(rig, one=servers[0], two=servers[1])
            sending = asyncio.create_task(send(rig, "/lookup/x", None))
            await rig.until(lambda: servers[0].heads or servers[1].heads)
            end_soon(rig.daemons[0])
            let_answer.set()
            assert (await sending).status == 500
            assert len(servers[0].heads + servers[1].heads) == 1

    run(scenario())


# Guards against a stop that asks for the time limit of another route, or for none.
def test_the_time_limit_of_the_route_decides_if_it_ends_before_the_deadline(run):
    async def scenario():
        async with running(engines=0) as rig:
            plain = Recorder([])
            await add_recorders(rig, plain=plain)
            routes = [
                route("plain", "/plain/", "unsafe", "desk"),
                route("lookup", "/lookup/", "safe", "desk", timeout_ms=1000),
            ]
            rig.store.put_json("op", "config", configuration(2, routes))
            daemon = rig.daemons[0]
            await rig.until(lambda: daemon.view.routes.version == 2)
            end_soon(daemon)
            assert is_late_refusal(await rig.send(daemon, "/plain/x", request="r1"))
            answer = await rig.send(daemon, "/lookup/x", request="r2")
            assert answer.status == 200
            assert len(plain.heads) == 1

    run(scenario())
