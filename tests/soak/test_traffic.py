"""Callers of a soak run take up streams that broke off."""

import time
from random import Random

import pytest

from tests.soak.servers import EVENTS, stream_answer
from tests.soak.traffic import RESUMING_TRIES, Caller, Ending, Exchange, RequestKind

ASKED = b"body"


def answer(status, body=b"", ending=Ending.WHOLE):
    """Return what a caller got for a try."""
    return Exchange(
        "r1", RequestKind.STREAM, "one", 0, 0, 0, ending, status, body, asked=ASKED
    )


class ScriptedCaller(Caller):
    """A caller whose tries end as told."""

    def __init__(self, *answers):
        super().__init__("r", ["one", "two"], Random(1))
        self.answers = list(answers)
        self.tries = []

    async def send(self, instance, kind, *, first=None, after=0):
        self.tries.append((first.request, after))
        return self.answers.pop(0) if self.answers else answer(503)


@pytest.fixture(autouse=True)
def no_pauses(monkeypatch):
    """Don't wait between tries."""
    monkeypatch.setattr("tests.soak.traffic.UNANSWERED_PAUSE_SECONDS", 0)


def broken_after(count):
    """Return the first answer of a stream, which broke off after some events."""
    size = len(stream_answer(ASKED)) - len(stream_answer(ASKED, after=count))
    first = answer(200, stream_answer(ASKED)[:size], Ending.TRUNCATED)
    first.sent_at = time.monotonic()
    return first


# Guards against runs that see no resumed stream, or gaps that the caller makes itself.
def test_a_stream_is_taken_up_after_its_last_event_until_it_is_whole(run):
    more = stream_answer(ASKED, after=3).partition(b"id: 6")[0]
    caller = ScriptedCaller(
        answer(0, ending=Ending.NOT_CONNECTED),
        answer(503),
        answer(200, more + b"id: 6", Ending.TRUNCATED),
        answer(200, stream_answer(ASKED, after=5)),
    )
    run(caller.take_up(broken_after(3)))
    assert caller.tries == [("r1", 3), ("r1", 3), ("r1", 3), ("r1", 5)]


# Guards against callers that take up a stream which never began, or without an end.
def test_a_stream_is_taken_up_a_few_times_and_only_after_an_event(run):
    caller = ScriptedCaller()
    run(caller.take_up(broken_after(0)))
    assert caller.tries == []
    run(caller.take_up(broken_after(EVENTS)))
    assert len(caller.tries) == RESUMING_TRIES
