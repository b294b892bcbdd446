"""How long the answers of routes take, as far as recent ones show."""

from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st

from magnoliatrail.routing.answer_durations import (
    INTERVAL,
    KEPT_INTERVALS,
    MIN_ANSWERS,
    SERVER_PAUSE,
    AnswerDurations,
)

LIMIT = timedelta(seconds=60)


def recorded(*seconds, at=timedelta()):
    found = AnswerDurations()
    for item in seconds:
        found.record("r", timedelta(seconds=item), at)
    return found


def test_few_answers_say_nothing():
    found = recorded(*[0.1] * (MIN_ANSWERS - 1))
    assert found.longest("r", timedelta()) is None
    assert found.latest_end("r", timedelta(), LIMIT) == LIMIT
    assert found.longest("unknown", timedelta()) is None


def test_the_longest_answer_and_a_pause_decide():
    found = recorded(*[0.1] * MIN_ANSWERS, 0.7)
    end = timedelta(seconds=0.7) + SERVER_PAUSE
    assert found.latest_end("r", timedelta(), LIMIT) == end


def test_no_answer_takes_longer_than_the_time_limit():
    found = recorded(*[50.0] * MIN_ANSWERS)
    limit = timedelta(seconds=2)
    assert found.latest_end("r", timedelta(), limit) == limit


def test_old_answers_are_forgotten():
    found = recorded(*[0.1] * MIN_ANSWERS, 9.0)
    later = INTERVAL * KEPT_INTERVALS
    assert found.longest("r", later) is None
    found.record("other", timedelta(), later)
    assert set(found.routes) == {"other"}


# Guards against a request that is sent though its answer comes after the end.
@given(
    before=st.lists(st.floats(0.0, 20.0), max_size=60),
    now=st.floats(0.0, 8.0),
    limit=st.floats(0.1, 30.0),
    share=st.floats(0.0, 1.0),
    pause=st.floats(0.0, 1.0),
)
def test_an_answer_like_the_recent_ones_comes_by_the_latest_end(
    before, now, limit, share, pause
):
    found, sent_at = recorded(*before), timedelta(seconds=now)
    ends_at = sent_at + timedelta(seconds=limit)
    latest = found.latest_end("r", sent_at, ends_at)
    # Servers work as long as before, and one of them pauses.
    work = max(before, default=0.0) * share + pause
    if len(before) < MIN_ANSWERS:
        assert latest == ends_at
    else:
        comes_at = min(ends_at, sent_at + timedelta(seconds=work))
        # Durations have microseconds.
        assert comes_at <= latest + timedelta(microseconds=2)
