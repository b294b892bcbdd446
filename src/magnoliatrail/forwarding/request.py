"""A caller's request, and the writer of its answer."""

import asyncio
import socket
import struct
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from datetime import timedelta
from functools import cached_property
from http import HTTPStatus

from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPHeaders, ResponseStartLine
from tornado.iostream import StreamClosedError

from magnoliatrail.accounts.accounts import ClientAccount
from magnoliatrail.accounts.keys import KeyProblem
from magnoliatrail.backends import BackendServer
from magnoliatrail.ids import PartId
from magnoliatrail.open_connections import has_unread_input
from magnoliatrail.platform.request_headers import (
    ModelWork,
    caller_of,
    deadline_of,
    headers_for_caller,
    model_work_of,
    name_request,
    request_id_of,
    resumed_request_of,
    shared_parts_of,
)
from magnoliatrail.reader_progress import AnswerWriter, ReaderStalled
from magnoliatrail.requests import request_fingerprint
from magnoliatrail.wire import JSON_TYPE, encode

# Header of an answer to another instance.
RELAY_SERVER = "Relay-Server"
EVENT_STREAM_TYPE = "text/event-stream"
# SO_LINGER on, with a timeout of 0: closing the socket resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class CallerDisconnected(Exception):  # noqa: N818
    """The caller closed its connection, or stopped reading."""


@dataclass(frozen=True, slots=True)
class RelayOrigin:
    """What the instance that relays a request says of it."""

    fingerprint: str
    # Version of the configuration that the instance routed it by.
    configuration: int
    # Name of the caller's account, empty if it is not known.
    account: str = ""


@dataclass
class CallerRequest:
    """A request as received, with its connection and the state of the answer."""

    connection: HTTP1Connection
    method: str
    target: str
    headers: HTTPHeaders
    received_at: timedelta
    http_version: str = "HTTP/1.1"
    body: bytes = b""
    # Close the connection after the answer.
    closes: bool = False
    # Whether the listener closes each connection after its current answer.
    listener_closes: Callable[[], bool] = lambda: False
    answer_started: bool = False
    answer_finished: bool = False
    # Set if another instance relays the request.
    origin: RelayOrigin | None = None
    # The caller's account, None if it is not known or accounts are not in force.
    account: ClientAccount | None = None
    # Why the key was refused.
    key_problem: KeyProblem | None = None
    # Number of servers that have run the request, or may have.
    runs: int = 0
    # Further headers of the answer.
    answer_fields: dict[str, str] = field(default_factory=dict)
    # Whether the answer has neither a length nor chunks.
    ends_with_connection: bool = False
    status: int = 0
    writer: AnswerWriter | None = None

    @property
    def id(self) -> str:
        """Return the id that the caller gave."""
        return request_id_of(self.headers)

    @property
    def path(self) -> str:
        """Return the path without the query."""
        return self.target.partition("?")[0]

    @property
    def host(self) -> str:
        """Return the value of the Host header."""
        return self.headers.get("Host", "")

    @property
    def deadline(self) -> timedelta:
        """Return the caller's deadline, on the monotonic clock."""
        return self.received_at + deadline_of(self.headers)

    @property
    def resumes(self) -> str | None:
        """Return which request began the stream that this one resumes, if any."""
        return resumed_request_of(self.headers)

    @property
    def work(self) -> ModelWork | None:
        """Return the requested model work, None if the headers name no model."""
        return model_work_of(self.headers)

    @cached_property
    def shared_parts(self) -> tuple[PartId, ...]:
        """Return the parts of the prompt that other requests may have."""
        return shared_parts_of(self.headers)

    @cached_property
    def fingerprint(self) -> PartId:
        """Return what the repeats of this request have in common."""
        if self.origin is not None:
            return PartId(self.origin.fingerprint)
        target = f"{self.host.lower()}{self.target}"
        caller = caller_of(self.headers)
        return request_fingerprint(caller, self.method, target, self.body)

    @cached_property
    def suspects(self) -> tuple[PartId, ...]:
        """Return all that may be the cause if a server crashes under this request."""
        return (*self.shared_parts, self.fingerprint)

    def name_server(self, server: BackendServer) -> None:
        """Name the server that answers to the instance that relays the request."""
        if self.origin is not None:
            self.answer_fields[RELAY_SERVER] = f"{server.id} {server.born}"

    async def start(self, status: int, headers: HTTPHeaders) -> None:
        """Start the answer with the status and headers of a server's answer."""
        fields = headers_for_caller(headers)
        if is_event_stream(headers) and self.method != "HEAD":
            # A stream of this length may still stop inside an event. Without it, the
            # caller sees that the stream is not ended.
            fields.pop("Content-Length", None)
        await self.send_head(status, fields)

    async def send_head(self, status: int, fields: HTTPHeaders) -> None:
        """Send the status line and headers unchanged."""
        assert not self.answer_started, "the answer has already started"
        stream = self.connection.stream
        # After a close, a caller doesn't read the answers to requests sent ahead.
        if self.closes or (self.listener_closes() and not has_unread_input(stream)):
            fields["Connection"] = "close"
        fields.update(self.answer_fields)
        self.answer_started = True
        self.ends_with_connection = (
            self.http_version == "HTTP/1.0" and "Content-Length" not in fields
        )
        self.status = status
        line = ResponseStartLine("HTTP/1.1", status, reason_of(status))
        await self.wait_written(self.connection.write_headers(line, fields))

    async def write(self, chunk: bytes) -> None:
        """Send a chunk of the body."""
        await self.wait_written(self.connection.write(chunk))

    async def wait_written(self, written: "asyncio.Future[None]") -> None:
        """Wait until the written bytes are sent; raises CallerDisconnected.

        A caller may read slowly, as long as it goes on reading.
        """
        if self.writer is None:
            self.writer = AnswerWriter(self.connection.stream)
        try:
            await self.writer.wait(written)
        except (StreamClosedError, ReaderStalled) as error:
            raise CallerDisconnected(str(error)) from error

    def finish(self) -> None:
        """End a complete answer."""
        self.answer_finished = True
        self.connection.finish()

    def abort(self) -> None:
        """Close the connection, so that the caller sees an incomplete answer."""
        stream = self.connection.stream
        if self.ends_with_connection and not stream.closed():
            # An orderly close would be the end of a complete answer.
            stream.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
        self.connection.close()

    async def answer_complete(
        self, status: int, headers: HTTPHeaders, body: bytes
    ) -> None:
        """Send a server's complete answer."""
        fields = headers_for_caller(headers)
        if self.method != "HEAD" and status not in (204, 304):
            fields["Content-Length"] = str(len(body))
        await self.send_head(status, fields)
        if body:
            await self.write(body)
        self.finish()

    async def answer_error(
        self, status: int, reason: str, retry_after: timedelta | None = None
    ) -> None:
        """Send an error that this instance generates."""
        await self.send_error(status, reason, retry_after)
        self.finish()

    async def answer_early(
        self, status: int, reason: str, retry_after: timedelta | None = None
    ) -> None:
        """Send an error before the whole body has arrived.

        Reading goes on, as closing a connection with unread data would reset it before
        the caller has read the answer.
        """
        self.closes = True
        await self.send_error(status, reason, retry_after)
        self.answer_finished = True
        with suppress(OSError):
            self.connection.stream.socket.shutdown(socket.SHUT_WR)

    async def send_error(
        self, status: int, reason: str, retry_after: timedelta | None
    ) -> None:
        """Send the head and the body of an error."""
        body = encode({"error": reason, "request": self.id})
        fields = HTTPHeaders(
            {"Content-Type": JSON_TYPE, "Content-Length": str(len(body))}
        )
        if self.origin is not None:
            # The instance that relays the request takes no answer without its id.
            name_request(fields, self.id)
        if retry_after is not None:
            fields["Retry-After"] = f"{retry_after.total_seconds():.2f}"
        await self.send_head(status, fields)
        await self.write(body)


def is_event_stream(headers: HTTPHeaders) -> bool:
    """Return whether the body of an answer is a stream of events."""
    media_type = headers.get("Content-Type", "").partition(";")[0]
    return media_type.strip().lower() == EVENT_STREAM_TYPE


def reason_of(status: int) -> str:
    """Return the reason phrase of a status."""
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"
