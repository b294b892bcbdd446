"""An attempt to send a request to a backend server, and its outcome."""

from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

from tornado.httputil import HTTPHeaders

from magnoliatrail.backends import BackendServer
from magnoliatrail.forwarding.head_check import HeadAnswer


class Framing(Enum):
    """How an answer marks the end of its body."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION_CLOSE = "connection_close"


class AttemptOutcome(Enum):
    """The outcome of an attempt."""

    # A complete answer with the server's signature.
    ANSWERED = "answered"
    # The server answered that it did not run the request, or it was never sent.
    NOT_RUN = "not_run"
    # The request may have run; its answer is missing or incomplete.
    BROKEN = "broken"
    # No complete answer within the time limit.
    TIMED_OUT = "timed_out"
    # An answer without the server's signature.
    INVALID = "invalid"


@dataclass
class Attempt:
    """One server's answer to a request, and how the attempt ended."""

    server: BackendServer
    outcome: AttemptOutcome = AttemptOutcome.BROKEN
    status: int = 0
    headers: HTTPHeaders = field(default_factory=HTTPHeaders)
    body: bytes = b""
    reason: str = ""
    # Why the request was not sent after a last check.
    withheld: HeadAnswer | None = None
    # Whether it was not sent as another server must be chosen since.
    choice_outdated: bool = False
    # Whether the request may have reached the server.
    sent: bool = False
    # Age of the list of servers, and time since the request's start, as it was written.
    list_age: timedelta | None = None
    # Whose read or update the list of servers had its age from.
    list_source: str = ""
    written_after: timedelta | None = None
    started: bool = False
    reused: bool = False
    # When the connection was opened.
    connected_at: timedelta | None = None
    framing: Framing | None = None
    body_bytes: int = 0
    # Whether the body of a stream stops before the end of an event.
    inside_event: bool = False
    # Whether the connection was closed without an error, and not by a limit here.
    closed_in_order: bool = False
    # Why the connection failed, empty if it was closed or kept in order.
    connection_error: str = ""
    # Streams only: time to the first event, and the longest pause between two events.
    first_event: timedelta | None = None
    longest_pause: timedelta = timedelta()

    @property
    def held_back(self) -> bool:
        """Return whether the request was not sent after a last check."""
        return self.withheld is not None or self.choice_outdated


def framing_of(headers: HTTPHeaders) -> Framing:
    """Return how the headers of an answer say that its body ends."""
    if "Transfer-Encoding" in headers:
        return Framing.CHUNKS
    return Framing.LENGTH if "Content-Length" in headers else Framing.CONNECTION_CLOSE
