"""The checks of streams find planted faults, and accept what is allowed."""

import pytest

from tests.soak.checks import Observations, violations
from tests.soak.lost_streams import taken_up
from tests.soak.servers import EVENTS, Server, stream_answer
from tests.soak.stream_checks import resumed_streams
from tests.soak.traffic import Ending, Exchange, RequestKind

ASKED = b"body"
WHOLE = stream_answer(ASKED)
SIZE = len(stream_answer(ASKED, after=EVENTS - 1))


def first_events(count, version="v1", after=0):
    """Return the first events of a stream after an event."""
    answer = stream_answer(ASKED, version, after=after)
    return b"\n\n".join([*answer.split(b"\n\n")[:count], b""])


def attempt(number, body, *, ending=Ending.TRUNCATED, status=200, after=0):
    """Return a try of the stream r1, the first one or a later one."""
    return Exchange(
        f"r{number}",
        RequestKind.STREAM,
        "one",
        number,
        number,
        number + 1,
        ending,
        status,
        body,
        # Other checks compare whole answers.
        expected=body,
        asked=ASKED,
        resumes="r1" if number > 1 else "",
        after=after,
    )


def found(*attempts):
    return violations(Observations(exchanges=list(attempts)))


def rest(after, version="v1"):
    return stream_answer(ASKED, version, after=after)


# Guards against reports of streams that went on in order over several tries.
def test_a_stream_that_goes_on_where_it_broke_off_is_allowed():
    tries = [
        attempt(1, first_events(3)),
        attempt(2, b"no", ending=Ending.WHOLE, status=503, after=3),
        attempt(3, first_events(2, after=3) + rest(5)[:7], after=3),
        attempt(4, b"", after=5),
        attempt(5, rest(5), ending=Ending.WHOLE, after=5),
    ]
    assert found(*tries) == []


# Guards against reports of streams that broke off after all events, or inside one.
@pytest.mark.parametrize("size", [0, 3, 9, 14, 18, 30])
def test_a_stream_that_breaks_off_inside_an_event_is_allowed(size):
    assert found(attempt(1, first_events(1)[:size])) == []
    assert found(attempt(1, WHOLE), attempt(2, b"", ending=Ending.WHOLE)) == []


# Guards against unseen streams that were joined from two software versions.
def test_a_stream_that_goes_on_at_another_version_is_found():
    second = attempt(2, rest(3, "v1.1"), ending=Ending.WHOLE, after=3)
    lines = found(attempt(1, first_events(3)), second)
    assert len(lines) == EVENTS - 3
    assert "r2: event 4 of v1.1, the stream began at v1" in lines[0]


# Guards against unseen mixes within one answer.
def test_an_answer_of_two_versions_is_found():
    mixed = first_events(3) + rest(3, "v1.1")
    assert len(found(attempt(1, mixed, ending=Ending.WHOLE))) == EVENTS - 3


# Guards against unseen gaps, repeats and falls between tries and within an answer.
@pytest.mark.parametrize(
    ("begin", "after", "line"),
    [
        (first_events(3), 4, "r2: event 5 after 3"),
        (first_events(3), 2, "r2: event 3 after 3"),
        (first_events(3), 0, "r2: event 1 after 3"),
        (first_events(3) + first_events(1, after=2), 3, "r1: event 3 after 3"),
        (first_events(2) + first_events(1, after=3), 4, "r1: event 4 after 2"),
    ],
)
def test_events_that_are_missing_or_come_again_are_found(begin, after, line):
    second = attempt(2, rest(after), ending=Ending.WHOLE, after=after)
    assert found(attempt(1, begin), second) == [line]


# Guards against an unseen end before the last event.
def test_a_stream_that_ends_as_complete_too_early_is_found():
    second = attempt(2, first_events(4, after=3), ending=Ending.WHOLE, after=3)
    (line,) = found(attempt(1, first_events(3)), second)
    assert "r2: ended as complete after event 7" in line


# Guards against unseen events of another stream, or bytes that are no event.
def test_data_that_was_not_asked_for_is_found():
    (line,) = found(attempt(1, first_events(1).replace(b"body", b"other")))
    assert "event 1 has other data" in line
    (line,) = found(attempt(1, first_events(1).replace(b"v1 1", b"v1 2")))
    assert "event 1 has other data" in line
    (line,) = found(attempt(1, first_events(1) + b"data: lost"))
    assert "after event 1" in line


# Guards against figures that count tries instead of streams.
def test_streams_that_were_taken_up_are_counted_once():
    tries = [
        attempt(1, first_events(3)),
        attempt(2, b"", status=503, after=3),
        attempt(3, rest(3), ending=Ending.WHOLE, after=3),
    ]
    assert resumed_streams(tries) == (1, 1)
    assert resumed_streams(tries[:2]) == (1, 0)
    assert resumed_streams(tries[:1]) == (0, 0)


def taken_up_with(engines, *, streams, went_on):
    """Return the count of streams of v1, some of which go on, with so many engines."""
    servers = [Server(f"e{number}", None, engine=True) for number in range(engines)]
    servers.append(Server("newer", None, engine=True, version="v1.1"))
    first = attempt(1, first_events(3))
    refused = attempt(2, b"", status=503, ending=Ending.WHOLE, after=3)
    whole = attempt(2, rest(3), ending=Ending.WHOLE, after=3)
    answers = [whole] * went_on + [refused] * (streams - went_on)
    return taken_up([(first, again) for again in answers], servers)


# Guards against runs in which most streams are refused unseen after a restart of all.
def test_fewer_than_half_of_the_streams_that_go_on_are_found():
    (line,) = taken_up_with(2, streams=12, went_on=5).violations()
    assert "5 of 12 streams went on" in line
    assert taken_up_with(2, streams=12, went_on=6).violations() == []


# Guards against reports that rest on few streams, or on a version that hardly serves.
def test_few_streams_and_those_of_one_engine_are_allowed():
    assert not taken_up_with(2, streams=11, went_on=0).is_evaluated
    assert taken_up_with(2, streams=11, went_on=0).violations() == []
    assert taken_up_with(1, streams=12, went_on=0).streams == 0
