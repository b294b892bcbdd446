"""Callers of a soak run take up streams that broke off."""

import asyncio
import time
from contextlib import suppress
from random import Random
from types import SimpleNamespace

import pytest

from tests.soak.servers import EVENTS, stream_answer
from tests.soak.traffic import (
    HANG_SECONDS,
    MAX_IDLE_SECONDS,
    RESUMING_TRIES,
    Caller,
    Ending,
    Exchange,
    RequestKind,
)

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


# Guards against callers that send on a connection which was closed as idle, and report
# that their request was dropped.
@pytest.mark.parametrize(
    ("idle_seconds", "connections"),
    [(0.0, 1), (MAX_IDLE_SECONDS - 1, 1), (MAX_IDLE_SECONDS + 1, 2)],
)
def test_a_connection_that_was_idle_for_long_is_not_used_again(
    run, idle_seconds, connections
):
    async def scenario():
        opened = []

        async def answer_all(reader, writer):
            opened.append(writer)
            with suppress(asyncio.IncompleteReadError):
                while True:
                    head = await reader.readuntil(b"\r\n\r\n")
                    length = head.partition(b"Content-Length: ")[2].split(b"\r\n")[0]
                    await reader.readexactly(int(length))
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
            writer.close()

        listener = await asyncio.start_server(answer_all, "127.0.0.1", 0)
        port = listener.sockets[0].getsockname()[1]
        instance = SimpleNamespace(name="one", ip="127.0.0.1", callers_port=port)
        caller = Caller("r", [instance], Random(1))
        await caller.send(instance, RequestKind.SAFE)
        caller.connections["one"].used_at -= idle_seconds
        again = await caller.send(instance, RequestKind.SAFE)
        assert (again.ending, len(opened)) == (Ending.WHOLE, connections)
        caller.forget(instance)
        listener.close()
        async with asyncio.timeout(HANG_SECONDS):
            await asyncio.gather(*(writer.wait_closed() for writer in opened))

    run(scenario())
