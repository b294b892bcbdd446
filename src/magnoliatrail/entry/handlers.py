"""Base class of the request handlers of the caller listener."""

import asyncio
from typing import Any, cast

from expression import Result
from tornado.http1connection import HTTP1Connection
from tornado.web import RequestHandler

from magnoliatrail.entry.context import read_context
from magnoliatrail.entry.parts import EntryParts
from magnoliatrail.errors import ErrorKind, Failure, answer_of, retry_after_of
from magnoliatrail.ids import new_request_id
from magnoliatrail.logs import EventLog
from magnoliatrail.open_connections import has_unread_input
from magnoliatrail.requests import RequestContext
from magnoliatrail.wire import JSON_TYPE, encode

log = EventLog("entry")

KIND_OF_STATUS = {
    400: ErrorKind.MALFORMED_REQUEST,
    404: ErrorKind.NOT_FOUND,
    405: ErrorKind.METHOD_NOT_ALLOWED,
    413: ErrorKind.BODY_TOO_LARGE,
}


class CallerHandler(RequestHandler):
    """Base class that answers every error with the same body format."""

    def initialize(self, parts: EntryParts) -> None:
        """Store the shared parts and assign a request id."""
        self.parts = parts
        self.request_id = new_request_id()

    async def prepare(self) -> None:
        """Delay the request while this instance refreshes its state after a pause."""
        await self.parts.lifecycle.wait_until_admitted()

    def set_default_headers(self) -> None:
        """Remove the Server header, which has the server's version."""
        self.clear_header("Server")

    def flush(self, include_footers: bool = False) -> "asyncio.Future[None]":
        """Send what was written; the answers of an ending instance close connections.

        After a close, a caller doesn't read the answers to requests sent ahead.
        """
        stream = cast(HTTP1Connection, self.request.connection).stream
        if self.parts.lifecycle.stopping and not has_unread_input(stream):
            self.set_header("Connection", "close")
        return super().flush(include_footers)

    def refuse(self, failure: Failure) -> None:
        """Respond with a failure."""
        self.set_status(failure.rule.status)
        self.set_header("Content-Type", JSON_TYPE)
        self.set_header("X-Request-Id", self.request_id)
        retry_after = retry_after_of(failure)
        if retry_after is not None:
            seconds = max(1, round(retry_after.total_seconds()))
            self.set_header("Retry-After", str(seconds))
        self.parts.metrics.count(f"refusals.{failure.kind.value}")
        log.info(
            "refused",
            request=self.request_id,
            kind=failure.kind,
            outcome=failure.rule.outcome,
            reason=failure.message,
        )
        self.finish(encode(answer_of(failure, self.request_id)))

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Convert an error raised by Tornado to the error body of this API."""
        kind = KIND_OF_STATUS.get(status_code, ErrorKind.INTERNAL)
        message = f"{self.request.method} {self.request.path}: {self._reason}"
        self.refuse(Failure(kind, message))

    def read_context(self) -> Result[RequestContext, Failure]:
        """Parse the caller, request class, deadline and idempotency key."""
        return read_context(
            self.request.headers,
            self.request_id,
            self.parts.settings,
            self.parts.clock,
        )


class UnknownPathHandler(CallerHandler):
    """Respond to paths that do not exist."""

    async def prepare(self) -> None:
        """Refuse the request with NOT_FOUND for any method."""
        self.refuse(Failure(ErrorKind.NOT_FOUND, f"no path {self.request.path}"))
