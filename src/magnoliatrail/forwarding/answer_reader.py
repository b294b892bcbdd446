"""The reader of one server's answer, which relays, keeps or discards its body."""

from collections.abc import Awaitable, Callable
from http import HTTPStatus

from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)

from magnoliatrail.backends import NoticeSink
from magnoliatrail.exchange import AnswerBounds
from magnoliatrail.forwarding.attempt import Attempt, Framing, framing_of
from magnoliatrail.forwarding.request import is_event_stream
from magnoliatrail.platform.request_headers import (
    answers_request,
    is_signed,
    not_executed,
    server_notice,
)

STALLED_STREAM = "the stream sends bytes but completes no event"
# The body of an answer that is of no use is read up to here, so that its connection
# can be used again.
MAX_DISCARDED_BODY_BYTES = 256 * 1024
# A blank line ends an event; lines end with LF, CRLF or CR.
EVENT_ENDS = (b"\n\n", b"\n\r\n", b"\r\r")
LONGEST_EVENT_END = max(map(len, EVENT_ENDS))

# Return whether the bytes of a read leave a stream of events stalled.
ProgressCheck = Callable[[bytes], bool]
# Receive the status and headers of an answer, then each chunk of its body.
HeadSink = Callable[[int, HTTPHeaders], Awaitable[None]]
BodySink = Callable[[bytes], Awaitable[None]]
# Wait for room for a part of a body that is kept; raises AnswerNotHeld without room.
HoldBytes = Callable[[int], Awaitable[None]]
# Returns by its status and headers whether the body of an answer that is not relayed is
# of use to the caller.
KeepsBody = Callable[[int, HTTPHeaders], bool]


def is_servers_answer(status: int, headers: HTTPHeaders) -> bool:
    """Return whether an answer comes from the server and says that it ran."""
    return is_signed(headers) and not not_executed(status, headers)


class AnswerReader(HTTPMessageDelegate):
    """Read one answer, and relay, keep or discard its body."""

    def __init__(
        self,
        attempt: Attempt,
        request_id: str,
        head: HeadSink,
        body: BodySink,
        hold: HoldBytes,
        keeps_body: KeepsBody,
        notice: NoticeSink,
        bounds: AnswerBounds,
        max_relayed_bytes: int | None,
        progress: ProgressCheck | None = None,
    ) -> None:
        self.hold = hold
        self.keeps_body = keeps_body
        self.notice = notice
        self.progress = progress
        self.bounds = bounds
        self.max_relayed_bytes = max_relayed_bytes
        self.attempt = attempt
        self.stream = bounds.stream
        self.request_id = request_id
        self.head = head
        self.body_sink = body
        self.headers = HTTPHeaders()
        self.status = 0
        self.is_stray = False
        # Whether the answer names the request, None if it names none.
        self.names_request: bool | None = None
        self.relays = False
        # Whether the body is kept for the caller.
        self.keeps = False
        self.is_events = False
        self.finished = False
        self.buffered: list[bytes] = []
        self.last_bytes = b""
        # The error raised by `head`, `body` or `hold`, the caller's side.
        self.sink_error: BaseException | None = None

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        """Decide by its headers whether an answer is stray, relayed, kept or not."""
        assert isinstance(start_line, ResponseStartLine)
        if not self.bounds.is_final(start_line.code):
            return None
        self.status, self.headers = start_line.code, headers
        # The bound is one for each answer, and a stray one may have come before.
        self.bounds.body_bytes = 0
        self.names_request = answers_request(headers, self.request_id)
        self.is_stray = self.names_request is False
        if self.is_stray:
            self.bounds.check_head(headers)
            return None
        self.attempt.status, self.attempt.headers = self.status, headers
        self.attempt.framing = framing_of(headers)
        server = self.attempt.server
        if self.names_request:
            self.notice(
                server, server_notice(server, self.status, headers, to_request=True)
            )
        self.relays = (
            bool(self.names_request)
            and is_servers_answer(self.status, headers)
            and HTTPStatus.OK <= self.status < HTTPStatus.MULTIPLE_CHOICES
        )
        self.is_events = is_event_stream(headers)
        self.keeps = (
            not self.relays
            and bool(self.names_request)
            and self.keeps_body(self.status, headers)
        )
        if self.relays:
            self.bounds.max_body_bytes = self.max_relayed_bytes
        elif not self.keeps:
            self.bounds.max_body_bytes = MAX_DISCARDED_BODY_BYTES
        self.bounds.check_head(headers)
        if not self.relays or self.bounds.reason:
            return None
        return self.run_sink(self.head(self.status, headers))

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Relay, keep or discard a chunk of the body."""
        if not self.bounds.add(chunk) or self.is_stray or self.sink_error is not None:
            return None
        self.attempt.body_bytes += len(chunk)
        if self.relays:
            if self.progress and self.is_events and self.progress(chunk):
                self.bounds.give_up(STALLED_STREAM)
                return None
            self.attempt.started = True
            self.last_bytes = (self.last_bytes + chunk)[-LONGEST_EVENT_END:]
            return self.run_sink(self.body_sink(chunk))
        if self.keeps:
            return self.run_sink(self.keep(chunk))
        return None

    async def keep(self, chunk: bytes) -> None:
        """Keep a chunk of the body once there is room for it."""
        await self.hold(len(chunk))
        self.buffered.append(chunk)

    def finish(self) -> None:
        """Mark the answer as complete."""
        self.finished = True

    @property
    def is_truncated_stream(self) -> bool:
        """Return whether a finished stream lacks its end, whatever its framing says."""
        if self.is_inside_event:
            return True
        # The close of a connection is no sign that a stream without events is complete.
        return (
            self.relays
            and self.is_events
            and self.attempt.framing is Framing.CONNECTION_CLOSE
            and not self.last_bytes
        )

    @property
    def is_inside_event(self) -> bool:
        """Return whether a relayed stream stopped before the end of an event."""
        return (
            self.is_events
            and bool(self.last_bytes)
            and not self.last_bytes.endswith(EVENT_ENDS)
        )

    async def run_sink(self, sink: Awaitable[None]) -> None:
        """Await a sink; store an error of the caller's side and close the stream.

        Tornado logs and swallows errors raised here, including cancellation.
        """
        try:
            await sink
        except BaseException as error:
            self.sink_error = error
            self.stream.close()
