"""Connections that are opened after a server broke off an answer."""

import asyncio
from datetime import timedelta

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from magnoliatrail.clock import SystemClock
from magnoliatrail.connections import ConnectionPool
from magnoliatrail.forwarding.spare_connections import OPENING_DELAY, SpareConnections
from magnoliatrail.requests import request_fingerprint
from magnoliatrail.routing.server_runs import MIN_RESTART_TIME
from tests.unit.test_quarantine_exchange import BAD, Fleet

PARTS = (*BAD, request_fingerprint("caller", "POST", "host/bad", b""))
SERVER = ("s", 1)
BREAKS = 10
OPENING_SECONDS = st.floats(
    OPENING_DELAY.total_seconds(), MIN_RESTART_TIME.total_seconds() - 0.01
)


@pytest.fixture
def play(run):
    """Run a scenario with spare connections to a server that listens or has ended."""

    def play(scenario, *, ended=False):
        async def play_scenario():
            accepted = []

            async def keep_open(reader, writer):
                accepted.append(writer)
                await reader.read()
                writer.close()

            listener = await asyncio.start_server(keep_open, "127.0.0.1", 0)
            address = f"127.0.0.1:{listener.sockets[0].getsockname()[1]}"
            if ended:
                listener.close()
            clock = SystemClock()
            spares = SpareConnections(clock, ConnectionPool(clock.monotonic))
            try:
                await scenario(spares, address)
            finally:
                await spares.close()
                spares.pool.close()
                listener.close()
                await asyncio.gather(*(writer.wait_closed() for writer in accepted))

        run(play_scenario())

    return play


async def opened(spares):
    """Wait until no connection is being opened."""
    await asyncio.gather(*spares.opening.values())


# Guards against a connection for each of many answers that break off at once.
def test_answers_that_break_off_together_share_a_connection(play):
    async def scenario(spares, address):
        for _ in range(BREAKS):
            spares.schedule(address)
        await opened(spares)
        assert spares.pool.opened == 1

    play(scenario)


def test_the_next_request_gets_the_connection(play):
    async def scenario(spares, address):
        spares.schedule(address)
        await opened(spares)
        lent = await spares.pool.acquire(address, OPENING_DELAY)
        assert (lent.reused, spares.pool.opened) == (True, 1)
        lent.stream.close()

    play(scenario)


def test_a_server_that_has_ended_gets_none(play):
    async def scenario(spares, address):
        spares.schedule(address)
        await opened(spares)
        assert not spares.opening
        assert not spares.pool.idle_addresses()

    play(scenario, ended=True)


def test_a_connection_that_is_not_open_yet_is_given_up_at_the_end(play):
    async def scenario(spares, address):
        spares.schedule(address)
        await spares.close()
        assert spares.pool.opened == 0
        assert not spares.opening

    play(scenario)


# Guards against answers that a server breaks off without a crash, with no sound one in
# between, and that count as a crash each.
@settings(max_examples=60, deadline=None)
@given(
    breaks=st.lists(
        st.tuples(st.floats(0.6, 20), st.floats(0, 20), OPENING_SECONDS),
        min_size=BREAKS,
        max_size=BREAKS,
    ),
    instances=st.integers(1, 3),
)
def test_breaks_are_no_crashes_if_the_next_answer_is_on_a_spare_connection(
    breaks, instances
):
    """Each break follows a pause and a time of work; a spare is open a while later."""

    async def scenario():
        fleet = Fleet(instances)
        seen_by = fleet.instances["i0"]
        connected_at = fleet.clock.monotonic()
        for pause, work, opening in breaks:
            fleet.clock.advance(timedelta(seconds=pause))
            sent_at = fleet.clock.monotonic()
            fleet.clock.advance(timedelta(seconds=work))
            seen_by.record_broken(
                SERVER,
                PARTS,
                sent_at=sent_at,
                connected_at=connected_at,
                closed_in_order=True,
            )
            await fleet.exchange()
            fleet.clock.advance(timedelta(seconds=opening))
            connected_at = fleet.clock.monotonic()
            assert seen_by.runs_broken(PARTS[-1]) == 1
            assert not fleet.refusing(PARTS)

    asyncio.run(scenario())


# Guards against an answer that took long before it broke off, and that counts as a
# crash though the server answered the next request.
def test_an_answer_on_a_spare_connection_shows_that_the_server_has_not_crashed():
    instance = Fleet(1).instances["i0"]
    now = instance.clock.monotonic()
    long_ago = now - timedelta(seconds=20)
    instance.record_broken(
        SERVER, PARTS, sent_at=long_ago, connected_at=long_ago, closed_in_order=True
    )
    assert instance.runs_broken(PARTS[-1]) == 1
    opened_at = now + OPENING_DELAY
    instance.record_answered(SERVER, opened_at, connected_at=opened_at)
    assert instance.runs_broken(PARTS[-1]) == 0
