"""What connections and answers say of the way to the servers."""

from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st

from magnoliatrail.clock import ManualClock
from magnoliatrail.membership.server_reach import (
    FAILURE_LIFETIME,
    MIN_UNREACHABLE,
    SILENCE_TIMEOUT,
    ServerReach,
)

SERVERS = [f"10.0.0.{number}:1" for number in range(5)]
MOMENT = timedelta(milliseconds=10)


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def reach(clock):
    return ServerReach(clock)


def test_one_server_without_connections_is_no_reason_to_doubt(reach):
    for _ in range(5):
        reach.record_unreachable(SERVERS[0])
    assert not reach.is_doubtful(SERVERS)


def test_several_servers_without_connections_are(reach):
    for server in SERVERS[:MIN_UNREACHABLE]:
        assert not reach.is_doubtful(SERVERS)
        reach.record_unreachable(server)
    assert reach.is_doubtful(SERVERS)


def test_the_only_server_without_connections_is(reach):
    reach.record_unreachable(SERVERS[0])
    assert reach.is_doubtful(SERVERS[:1])
    assert not reach.is_doubtful([])


# Guards against a cut that is not found as old connections go on.
def test_answers_on_old_connections_do_not_end_the_doubt(reach):
    for server in SERVERS:
        reach.record_unreachable(server)
    reach.record_contact()
    assert reach.is_doubtful(SERVERS)
    reach.record_opened()
    assert not reach.is_doubtful(SERVERS)


def test_failures_are_forgotten(reach, clock):
    for server in SERVERS:
        reach.record_unreachable(server)
    clock.advance(FAILURE_LIFETIME + MOMENT)
    assert not reach.is_doubtful(SERVERS)


# Guards against connections that hang after a cut, on which nothing fails.
def test_silence_while_requests_wait_is_a_reason_to_doubt(reach, clock):
    with reach.awaiting_answer():
        clock.advance(SILENCE_TIMEOUT + MOMENT)
        assert reach.is_doubtful(SERVERS)
    assert not reach.is_doubtful(SERVERS)


# Guards against one silent server that is taken for a cut.
def test_one_silent_server_is_no_reason_while_others_answer(reach, clock):
    with reach.awaiting_answer():
        for _ in range(10):
            clock.advance(SILENCE_TIMEOUT / 2)
            reach.record_contact()
            assert not reach.is_doubtful(SERVERS)


def test_a_request_that_was_just_sent_is_no_silence(reach, clock):
    clock.advance(SILENCE_TIMEOUT * 10)
    with reach.awaiting_answer():
        clock.advance(SILENCE_TIMEOUT / 2)
        assert not reach.is_doubtful(SERVERS)


@given(
    steps=st.lists(
        st.tuples(st.sampled_from(SERVERS), st.booleans(), st.floats(0, 0.4)),
        max_size=40,
    )
)
def test_no_doubt_once_a_connection_was_opened_until_several_fail(steps):
    clock = ManualClock()
    reach = ServerReach(clock)
    failed = set()
    for server, opened, pause in steps:
        clock.advance(timedelta(seconds=pause))
        if opened:
            reach.record_opened()
            failed.clear()
        else:
            reach.record_unreachable(server)
            failed.add(server)
        if len(failed) < MIN_UNREACHABLE:
            assert not reach.is_doubtful(SERVERS)
