"""Passing the events of one connection on to a caller."""

from collections.abc import Awaitable
from dataclasses import dataclass

from tornado.httputil import HTTPInputError

from magnoliatrail.entry.answer_check import AnswerCheck
from magnoliatrail.entry.answer_sink import AnswerSink
from magnoliatrail.entry.engine_stream import (
    ConnectionIdleTimeout,
    ContentHandler,
    EngineStream,
)
from magnoliatrail.errors import Failure
from magnoliatrail.wire import CallFailed


@dataclass(frozen=True, slots=True)
class RelayFailure:
    """Say why a connection brought no whole answer."""

    reason: str
    idle_timeout: bool = False
    final: Failure | None = None


async def relay_events(
    stream: EngineStream, check: AnswerCheck, sink: AnswerSink
) -> RelayFailure | None:
    """Pass checked events on until the answer is whole or the connection fails."""
    check.reconnect()

    def handle_content(data: bytes) -> Awaitable[None] | None:
        events = check.feed(data)
        if check.finished or check.failure:
            stream.stop()
        return sink.write_events(events) if events else None

    failure = await relay_body(stream, handle_content)
    if check.finished:
        return None
    if check.failure:
        return RelayFailure(check.failure.message, final=final_failure(check))
    return failure or RelayFailure(
        f"the stream ended at position {check.next_position}"
    )


async def relay_body(
    stream: EngineStream, handle_content: ContentHandler
) -> RelayFailure | None:
    """Hand a body on, and return how its connection broke, if it did."""
    try:
        await stream.relay(handle_content)
    except ConnectionIdleTimeout as error:
        return RelayFailure(str(error), idle_timeout=True)
    except (CallFailed, HTTPInputError) as error:
        return RelayFailure(str(error))
    return None


def final_failure(check: AnswerCheck) -> Failure | None:
    """Return the failure of an answer that no further try can mend."""
    return check.failure if check.replay_differs else None
