"""Relaying of an answer's events from one connection to a caller."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from datetime import timedelta
from time import monotonic

from tornado.httputil import HTTPInputError

from magnoliatrail.entry.answer_check import AnswerCheck
from magnoliatrail.entry.answer_sink import AnswerSink
from magnoliatrail.entry.engine_stream import (
    ConnectionIdleTimeout,
    ContentHandler,
    EngineStream,
)
from magnoliatrail.errors import Failure
from magnoliatrail.event_progress import EventProgress, event_limits
from magnoliatrail.wire import CallFailed

STALLED_STREAM = "the stream sends bytes but completes no event"


@dataclass(frozen=True, slots=True)
class RelayFailure:
    """Describe why a connection did not deliver a complete answer.

    `final` is set if no resumption or other run can complete the answer.
    """

    reason: str
    idle_timeout: bool = False
    final: Failure | None = None


async def relay_events(
    stream: EngineStream,
    check: AnswerCheck,
    sink: AnswerSink,
    *,
    on_events: Callable[[], None] = lambda: None,
) -> RelayFailure | None:
    """Relay checked events until the answer is complete or the connection fails."""
    check.reconnect()
    idle = timedelta(seconds=stream.idle_seconds)
    progress = EventProgress(event_limits(idle, timedelta()))

    def handle_content(data: bytes) -> Awaitable[None] | None:
        if progress.feed(data, timedelta(seconds=monotonic())):
            raise ConnectionIdleTimeout(STALLED_STREAM, sent=True)
        events = check.feed(data)
        if check.finished or check.failure:
            stream.stop()
        if not events:
            return None
        on_events()
        return sink.write_events(events)

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
    """Relay a body to a handler, and return the failure of its connection, if any."""
    try:
        await stream.relay(handle_content)
    except ConnectionIdleTimeout as error:
        return RelayFailure(str(error), idle_timeout=True)
    except (CallFailed, HTTPInputError) as error:
        return RelayFailure(str(error))
    return None


def final_failure(check: AnswerCheck) -> Failure | None:
    """Return the failure of an answer that further attempts cannot complete."""
    return check.failure if check.replay_differs else None
