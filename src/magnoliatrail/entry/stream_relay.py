"""Passing the events of one connection on to a caller."""

from collections.abc import Awaitable
from dataclasses import dataclass

from tornado.httputil import HTTPInputError

from magnoliatrail.entry.answer_check import AnswerCheck
from magnoliatrail.entry.answer_sink import AnswerSink
from magnoliatrail.entry.engine_stream import (
    EngineStream,
    SilentConnection,
    TakeContent,
)
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

    def take(data: bytes) -> Awaitable[None] | None:
        events = check.take(data)
        if check.finished or check.failure:
            stream.stop()
        return sink.write_events(events) if events else None

    broken = await pump(stream, take)
    if check.finished:
        return None
    if check.failure:
        return Broken(check.failure.message, final=final_failure(check))
    return broken or Broken(f"the stream ended at position {check.next_position}")


async def pump(stream: EngineStream, take: TakeContent) -> Broken | None:
    """Hand a body on, and return how its connection broke, if it did."""
    try:
        await stream.pump(take)
    except SilentConnection as error:
        return Broken(str(error), silent=True)
    except (CallFailed, HTTPInputError) as error:
        return Broken(str(error))
    return None


def final_failure(check: AnswerCheck) -> Failure | None:
    """Return the failure of an answer that no further try can mend."""
    return check.failure if check.replay_differs else None
