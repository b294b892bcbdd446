"""Streams of events that are slow, and streams that complete no event."""

from datetime import timedelta

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from magnoliatrail.event_progress import EventProgress, event_limits

LIMITS = event_limits(timedelta(seconds=2), timedelta(milliseconds=100))
EVENTS = [b"data: a\n\n", b"id: 1\r\ndata: b\r\n\r\n", b"data:c\r\r", b"data\n\n"]
COMMENT = b": wait\n\n"


def seconds(number):
    return timedelta(seconds=number)


def progress_after(*parts):
    """Return the progress of a stream that has sent some parts at time 0."""
    found = EventProgress(LIMITS)
    for part in parts:
        assert not found.feed(part, timedelta())
    return found


# Guards against slow streams that are cut although their events keep coming.
def test_a_stream_may_pause_between_events_for_any_time():
    found = EventProgress(LIMITS)
    for number in range(10):
        at = seconds(100 * number)
        assert not found.feed(b"data: ", at)
        assert not found.feed(b"x\n\n", at + seconds(1.9))
    assert found.completed == 10


# Guards against streams that send a byte now and then, and never end.
@pytest.mark.parametrize(
    ("begin", "limit"), [(b"", 2), (COMMENT, 2), (EVENTS[0], 11), (EVENTS[1], 11)]
)
@pytest.mark.parametrize("part", [b"x", b":", b"\n", b": wait\n\n", b"id: 1\n\n"])
def test_bytes_without_an_event_stall_a_stream_after_its_limit(begin, limit, part):
    found = progress_after(begin)
    at = 0.0
    while not found.feed(part, seconds(at)):
        at += 0.5
        assert at < 60
    assert limit < at <= limit + 1


def test_an_event_that_is_ended_in_time_starts_the_time_anew():
    found = progress_after(EVENTS[0], b"data: ")
    assert not found.feed(b"x\n", seconds(10.9))
    assert not found.feed(b"\n", seconds(10.95))
    assert not found.feed(b"d", seconds(50))
    assert not found.feed(b"a", seconds(60.9))
    assert found.feed(b"t", seconds(61.1))


def test_the_limit_after_the_first_event_follows_from_the_pause_goal():
    assert LIMITS.later == seconds(11)
    assert event_limits(seconds(2), timedelta()).later == seconds(10)


# The parts of a stream may be split anywhere.
@settings(derandomize=True, max_examples=300)
@given(
    st.lists(st.sampled_from([*EVENTS, COMMENT, b"event: x\n\n"]), max_size=6),
    st.integers(1, 20),
)
def test_events_are_found_in_any_split(blocks, size):
    found = EventProgress(LIMITS)
    stream = b"".join(blocks)
    for start in range(0, len(stream), size):
        found.feed(stream[start : start + size], seconds(start))
    last = max((n for n, block in enumerate(blocks) if block in EVENTS), default=None)
    assert (found.completed > 0) == (last is not None)
    if not blocks or last == len(blocks) - 1:
        assert found.unfinished_since is None
