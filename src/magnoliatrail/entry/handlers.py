"""What all handlers of the caller's listener share."""

from typing import Any

from expression import Result
from tornado.web import RequestHandler

from magnoliatrail.entry.context import read_context
from magnoliatrail.entry.parts import EntryParts
from magnoliatrail.errors import ErrorKind, Failure, answer_of, retry_after_of
from magnoliatrail.ids import new_request_id
from magnoliatrail.logs import EventLog
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
    """Answer a caller, with one shape for every error."""

    def initialize(self, parts: EntryParts) -> None:
        """Take the parts that the handlers use."""
        self.parts = parts
        self.request_id = new_request_id()

    async def prepare(self) -> None:
        """Hold a request back while this instance refreshes after a pause."""
        await self.parts.lifecycle.wait_until_admitted()

    def set_default_headers(self) -> None:
        """Leave the server's version out."""
        self.clear_header("Server")

    def refuse(self, failure: Failure) -> None:
        """Answer with a failure."""
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
        """Answer with what tornado itself refused."""
        kind = KIND_OF_STATUS.get(status_code, ErrorKind.INTERNAL)
        message = f"{self.request.method} {self.request.path}: {self._reason}"
        self.refuse(Failure(kind, message))

    def read_context(self) -> Result[RequestContext, Failure]:
        """Read who asks, how urgently and until when."""
        return read_context(
            self.request.headers,
            self.request_id,
            self.parts.settings,
            self.parts.clock,
        )


class UnknownPathHandler(CallerHandler):
    """Refuse paths that do not exist."""

    async def prepare(self) -> None:
        """Refuse the request, whatever its method."""
        self.refuse(Failure(ErrorKind.NOT_FOUND, f"no path {self.request.path}"))
