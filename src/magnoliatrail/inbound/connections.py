"""What the connections of one listener do, and which of them are to be closed."""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from typing import TypeVar

from magnoliatrail.inbound.limits import (
    BODY_TIMEOUT,
    PROGRESS_BYTES,
    PROGRESS_INTERVAL,
    SMALL_BODY_TIMEOUT,
    ClientLimits,
)

# After a refusal, what the client still sends is discarded for this long, because the
# refusal would be lost if the connection were reset at once.
LINGER_TIMEOUT = timedelta(seconds=2)


class Phase(Enum):
    """What a connection is doing."""

    IDLE = "idle"
    HEAD = "head"
    BODY = "body"
    # The request is complete, and its answer is not yet written.
    ANSWER = "answer"
    # The request was refused; the rest of it is discarded.
    LINGER = "linger"


class CloseReason(Enum):
    """Why a connection was closed by its listener."""

    IDLE = "idle"
    HEAD_TIMEOUT = "head_timeout"
    BODY_STALLED = "body_stalled"
    BODY_TIMEOUT = "body_timeout"
    ANSWER_TIMEOUT = "answer_timeout"
    REFUSED = "refused"
    CONNECTION_LIMIT = "connection_limit"


@dataclass(eq=False, slots=True)
class ConnectionState:
    """The state of one connection."""

    since: timedelta
    # When the connection was opened or its last request ended.
    idle_since: timedelta
    phase: Phase = Phase.IDLE
    # Body bytes, and those at the begin of the current interval.
    received: int = 0
    interval_at: timedelta = timedelta()
    interval_received: int = 0
    # Whether reading is stopped because memory is short.
    paused: bool = False

    def enter(self, phase: Phase, now: timedelta) -> None:
        """Begin a phase."""
        self.phase = phase
        self.since = now
        if phase is Phase.IDLE:
            self.idle_since = now
        elif phase is Phase.BODY:
            self.received = self.interval_received = 0
            self.interval_at = now
            self.paused = False

    def resume(self, now: timedelta) -> None:
        """Begin a new interval, because reading goes on."""
        self.paused = False
        self.interval_at = now
        self.interval_received = self.received

    @property
    def has_request(self) -> bool:
        """Return whether a request is in progress."""
        return self.phase in (Phase.BODY, Phase.ANSWER)


def overdue(
    state: ConnectionState, limits: ClientLimits, now: timedelta
) -> CloseReason | None:
    """Return why a connection is to be closed, None if it may stay."""
    age = now - state.since
    match state.phase:
        case Phase.IDLE if age > limits.idle_timeout:
            return CloseReason.IDLE
        case Phase.HEAD if age > limits.header_timeout:
            return CloseReason.HEAD_TIMEOUT
        case Phase.ANSWER if limits.answer_timeout and age > limits.answer_timeout:
            return CloseReason.ANSWER_TIMEOUT
        case Phase.LINGER if age > LINGER_TIMEOUT:
            return CloseReason.REFUSED
        case Phase.BODY if not state.paused:
            return overdue_body(state, now)
    return None


def overdue_body(state: ConnectionState, now: timedelta) -> CloseReason | None:
    """Return why a body is not awaited any longer, None if it makes progress."""
    age = now - state.since
    if age > BODY_TIMEOUT:
        return CloseReason.BODY_TIMEOUT
    if now - state.interval_at < PROGRESS_INTERVAL:
        return None
    if state.received < PROGRESS_BYTES:
        # A body may be smaller than what is asked for in one interval.
        return CloseReason.BODY_STALLED if age > SMALL_BODY_TIMEOUT else None
    if state.received - state.interval_received < PROGRESS_BYTES:
        return CloseReason.BODY_STALLED
    state.resume(now)
    return None


C = TypeVar("C")


def longest_without_request(
    connections: Iterable[tuple[C, ConnectionState]],
) -> C | None:
    """Return the connection without a request for longest, None if all have one."""
    found, since = None, None
    for connection, state in connections:
        if not state.has_request and (since is None or state.idle_since < since):
            found, since = connection, state.idle_since
    return found
