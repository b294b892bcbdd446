"""Which run of a server an answer, or the end of one, belongs to."""

from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st

from magnoliatrail.routing.server_runs import (
    MAX_SERVERS,
    MAX_SPANS_PER_SERVER,
    MIN_RESTART_TIME,
    BrokenRun,
    LiveSpan,
    LiveSpans,
)

SERVER = "s"
# How late an instance may see a crash.
LATE_SECONDS = 0.1


def seconds(value):
    return timedelta(seconds=value)


def broken(at, *, alive=None, connected=None, born=1):
    return BrokenRun(
        (SERVER, born),
        seconds(at),
        alive_at=None if alive is None else seconds(alive),
        connected_at=None if connected is None else seconds(connected),
    )


def spans(*times, born=1):
    found = LiveSpans()
    for begin, end in times:
        began_at = None if begin is None else seconds(begin)
        found.record(SERVER, LiveSpan(began_at, seconds(end), born))
    return found


def test_an_answer_on_a_connection_from_before_shows_that_the_run_lived_on():
    assert spans((5, 12)).refutes(broken(10, alive=9, connected=4))


# Guards against an answer of the next run that is taken for one of the crashed run.
def test_an_answer_on_a_later_connection_is_none_of_the_run_that_crashed():
    assert not spans((12, 14)).refutes(broken(10, alive=9, connected=4))


# Guards against an instance that was held up and saw the crash after the restart.
def test_an_answer_of_the_next_run_is_no_excuse_though_the_crash_was_seen_late():
    assert not spans((12, 14)).refutes(broken(13, alive=9, connected=4))


def test_an_answer_to_a_request_sent_before_the_crash_shows_nothing():
    assert not spans((5, 10)).refutes(broken(10, alive=9, connected=4))


def test_answers_of_one_run_are_joined():
    found = spans((5, 8), (7, 12))
    assert found.of(SERVER) == [LiveSpan(seconds(5), seconds(12), 1)]
    assert found.refutes(broken(10, alive=6, connected=4))


# Guards against a server that breaks off answers one after the other without a crash,
# so that each of them counts as one.
def test_breaks_of_a_server_that_takes_connections_at_once_are_of_one_run():
    crash = broken(10, alive=9.9, connected=9.9)
    for number in range(1, 100):
        at = 10 + number * 0.1
        another = broken(at, alive=at - 0.05, connected=at - 0.05)
        assert crash.is_same_run(another)
        crash = crash.merged(another)
    assert crash.at == seconds(10 + 99 * 0.1)


def test_an_answer_on_a_connection_right_after_a_break_shows_that_the_run_lived_on():
    assert spans((10.2, 10.3)).refutes(broken(10, alive=9.9, connected=4))
    assert not spans((10.6, 10.7)).refutes(broken(10, alive=9.9, connected=4))


def test_without_connections_the_list_tells_the_runs_apart():
    found = spans((None, 12))
    assert found.refutes(broken(10))
    assert not found.refutes(broken(10, born=2))
    assert not found.refutes(broken(10, alive=9, connected=4))


def test_the_same_run_is_seen_by_several_instances():
    first = broken(10, alive=9, connected=4)
    assert first.is_same_run(broken(10.2, alive=9.5, connected=9.5, born=2))
    assert not first.is_same_run(broken(14, alive=13, connected=13))
    assert not broken(14, alive=13, connected=13).is_same_run(first)


def test_another_server_is_another_run():
    other = BrokenRun(("other", 1), seconds(10))
    assert not broken(10).is_same_run(other)


def test_observations_of_a_run_are_narrowed_down():
    first, second = broken(10, alive=9, connected=4), broken(10.1, alive=9.5)
    assert first.merged(second) == broken(10, alive=9.5, connected=4)


def test_memory_is_bounded():
    found = spans(*((2 * n, 2 * n + 1) for n in range(2 * MAX_SPANS_PER_SERVER)))
    assert len(found.of(SERVER)) == MAX_SPANS_PER_SERVER
    for number in range(MAX_SERVERS + 5):
        found.record(f"server-{number}", LiveSpan(seconds(0), seconds(1), 1))
    assert len(found.spans) == MAX_SERVERS


@given(
    lives=st.lists(st.floats(0.1, 20), min_size=2, max_size=6),
    closed_in_order=st.booleans(),
    restart=st.floats(MIN_RESTART_TIME.total_seconds() + 2 * LATE_SECONDS, 10),
    observations=st.lists(
        st.tuples(
            st.integers(0, 5),
            st.floats(0, 1),
            st.floats(0, 1),
            st.floats(0, LATE_SECONDS),
        ),
        min_size=1,
        max_size=30,
    ),
    order=st.randoms(use_true_random=False),
)
def test_no_answer_refutes_a_crash_and_reports_of_one_crash_are_of_one_run(
    lives, closed_in_order, restart, observations, order
):
    """Each observation is of an answer or a crash, on a connection within one run."""
    runs, begin = [], 100.0
    for life in lives:
        runs.append((begin, begin + life))
        begin += life + restart
    found, crashes = LiveSpans(), []
    for drawn, connect, sent, late in observations:
        number = drawn % len(runs)
        began, crashed = runs[number]
        connected = began + (crashed - began) * connect
        sent_at = connected + (crashed - connected) * sent
        # The list never names another run than the first.
        found.record(SERVER, LiveSpan(seconds(connected), seconds(sent_at), 1))
        at = crashed + late
        alive = at if closed_in_order else sent_at
        crash = broken(at, alive=alive, connected=connected)
        crashes.append((number, crash))
    order.shuffle(crashes)
    for number, crash in crashes:
        assert not found.refutes(crash)
        for other, another in crashes:
            assert crash.is_same_run(another) == (number == other)


@pytest.mark.parametrize("late", [0.1, 3])
def test_a_run_that_was_merely_late_is_not_taken_for_two(late):
    first = broken(10, alive=9, connected=4)
    assert first.is_same_run(broken(10 + late, alive=9, connected=5))
