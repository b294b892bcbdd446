"""Which connections of a listener are closed, and when."""

from datetime import timedelta

import pytest

from magnoliatrail.clock import ManualClock
from magnoliatrail.forwarding.guards import caller_limits
from magnoliatrail.inbound.connections import (
    CloseReason,
    ConnectionState,
    Phase,
    longest_without_request,
    overdue,
)
from magnoliatrail.inbound.limits import (
    TEXT_LIMITS,
    max_caller_connections,
    max_peer_connections,
)
from magnoliatrail.inbound.refusals import MAX_LINES_PER_SECOND, RefusalLog
from magnoliatrail.metrics import RecordedMetrics
from magnoliatrail.routes import CallerLimits

LIMITS = caller_limits(CallerLimits())
MILLISECOND = timedelta(milliseconds=1)


def seconds(number):
    return timedelta(seconds=number)


def state_in(phase):
    state = ConnectionState(timedelta(), timedelta())
    state.enter(phase, timedelta())
    return state


@pytest.mark.parametrize(
    ("phase", "limit", "reason"),
    [
        (Phase.IDLE, 18.75, CloseReason.IDLE),
        (Phase.HEAD, 6, CloseReason.HEAD_TIMEOUT),
        (Phase.LINGER, 2, CloseReason.REFUSED),
    ],
)
def test_a_connection_is_closed_after_its_limit(phase, limit, reason):
    state = state_in(phase)
    assert overdue(state, LIMITS, seconds(limit)) is None
    assert overdue(state, LIMITS, seconds(limit) + MILLISECOND) is reason


def test_the_answer_of_a_text_listener_has_a_time_limit_and_others_have_none():
    state = state_in(Phase.ANSWER)
    assert overdue(state, LIMITS, seconds(10_000)) is None
    assert overdue(state, TEXT_LIMITS, seconds(6)) is CloseReason.ANSWER_TIMEOUT


def sent(state, rate, until, *, step=0.25):
    """Return why and when a body at a rate is not awaited, None if it is."""
    now = 0.0
    while now < until:
        now += step
        state.received += int(rate * step)
        reason = overdue(state, LIMITS, seconds(now))
        if reason:
            return reason, now
    return None


def test_a_slow_but_steady_body_is_awaited_for_ten_minutes():
    reason, now = sent(state_in(Phase.BODY), 1200, 700)
    assert reason is CloseReason.BODY_TIMEOUT
    assert now >= 600


def test_a_body_that_falls_below_a_kilobyte_a_second_counts_as_stalled():
    state = state_in(Phase.BODY)
    state.received = 100_000
    assert sent(state, 800, 60) == (CloseReason.BODY_STALLED, pytest.approx(10, abs=1))


def test_a_body_of_some_bytes_has_ten_seconds():
    reason, now = sent(state_in(Phase.BODY), 100, 60)
    assert reason is CloseReason.BODY_STALLED
    assert 10 <= now <= 10.5


def test_a_body_that_waits_for_memory_does_not_count_as_stalled():
    state = state_in(Phase.BODY)
    state.paused = True
    assert overdue(state, LIMITS, seconds(60)) is None
    state.resume(seconds(60))
    assert overdue(state, LIMITS, seconds(61)) is None


def test_the_connection_without_a_request_for_longest_gives_way():
    idle, newer, busy = (ConnectionState(seconds(0), seconds(0)) for _ in range(3))
    busy.enter(Phase.BODY, seconds(0))
    idle.enter(Phase.HEAD, seconds(2))
    newer.enter(Phase.IDLE, seconds(1))
    found = [("busy", busy), ("newer", newer), ("idle", idle)]
    assert longest_without_request(found) == "idle"
    assert longest_without_request([("busy", busy)]) is None


def test_the_smaller_limit_of_descriptors_and_memory_holds():
    smallest = {"file_descriptors": 4100, "memory_mb": 200}
    assert max_caller_connections(**smallest) == 1600
    assert max_peer_connections(**smallest) == 780
    assert max_caller_connections(file_descriptors=1000, memory_mb=200) == 480
    assert max_caller_connections(file_descriptors=100, memory_mb=200) == 1


# Guards against a crowd that fills the log.
def test_refusals_are_logged_at_most_ten_times_a_second_for_each_reason(monkeypatch):
    clock, metrics, lines = ManualClock(), RecordedMetrics(), []
    log = RefusalLog(clock=clock, metrics=metrics)
    monkeypatch.setattr(log.log, "warning", lambda event, **pairs: lines.append(pairs))

    def record(cause):
        log.record("callers", cause, held=0, connections=1, request="")

    for _ in range(50):
        record("slow_body")
    record("no_memory")
    assert len(lines) == MAX_LINES_PER_SECOND + 1
    clock.advance(seconds(1))
    record("slow_body")
    assert lines[-1]["omitted"] == 50 - MAX_LINES_PER_SECOND
    assert metrics.counters["memory.refused.slow_body"] == 51
