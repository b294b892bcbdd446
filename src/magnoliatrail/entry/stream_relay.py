"""Passing the events of one connection on to a caller."""

from dataclasses import dataclass

from tornado.httputil import HTTPInputError

from magnoliatrail.entry.answer_check import AnswerCheck
from magnoliatrail.entry.answer_sink import AnswerSink
from magnoliatrail.entry.engine_stream import EngineStream, SilentConnection
from magnoliatrail.errors import Failure
from magnoliatrail.wire import CallFailed


@dataclass(frozen=True, slots=True)
class Broken:
    """Say why a connection brought no whole answer."""

    reason: str
    silent: bool = False
    final: Failure | None = None


async def pass_events_on(
    stream: EngineStream, check: AnswerCheck, sink: AnswerSink
) -> Broken | None:
    """Pass checked events on until the answer is whole or the connection fails."""
    check.reconnect()
    try:
        while data := await stream.read():
            events = check.take(data)
            if events:
                written = sink.write_events(events)
                if written is not None:
                    await written
            if check.finished:
                return None
            if check.failure:
                return Broken(check.failure.message, final=final_failure(check))
    except SilentConnection as error:
        return Broken(str(error), silent=True)
    except (CallFailed, HTTPInputError) as error:
        return Broken(str(error))
    return Broken(f"the stream ended at position {check.next_position}")


def final_failure(check: AnswerCheck) -> Failure | None:
    """Return the failure of an answer that no further try can mend."""
    return check.failure if check.replay_differs else None
