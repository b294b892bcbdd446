"""Refusals by which a listener ends the requests that exceed its limits."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from http import HTTPStatus

from tornado.httputil import HTTPHeaders

from magnoliatrail.clock import Clock
from magnoliatrail.logs import EventLog
from magnoliatrail.metrics import Metrics
from magnoliatrail.wire import JSON_TYPE, encode

# Lines about refused clients in a second, for each reason.
MAX_LINES_PER_SECOND = 10
SECOND = timedelta(seconds=1)
REASON_PHRASES = {431: "Request Header Fields Too Large"}


@dataclass(frozen=True, slots=True)
class Refusal:
    """An answer that a listener gives without serving the request."""

    status: int
    reason: str
    # Name of the reason in logs and metrics.
    cause: str
    retry_after: timedelta | None = None
    # Whether even a short body is not awaited.
    at_once: bool = False


HEAD_TOO_LARGE = Refusal(431, "the head of the request is too large", "head_too_large")
TOO_MANY_FIELDS = Refusal(431, "the request has too many fields", "too_many_fields")
BODY_TOO_LARGE = Refusal(
    413, "the body of the request is too large", "body_too_large", at_once=True
)
BODY_STALLED = Refusal(408, "the body of the request arrives too slowly", "slow_body")
NO_MEMORY = Refusal(
    503, "too many requests are being read", "no_memory", timedelta(seconds=1)
)

# Makes the headers and the body of a refusal, from the headers of the request; these
# are None if the head was not read.
Render = Callable[[Refusal, HTTPHeaders | None], tuple[HTTPHeaders, bytes]]


def render_plain(
    refusal: Refusal, request: HTTPHeaders | None
) -> tuple[HTTPHeaders, bytes]:
    """Return the headers and the body of a refusal that names only its reason."""
    del request
    return HTTPHeaders({"Content-Type": JSON_TYPE}), encode({"error": refusal.reason})


def refusal_bytes(refusal: Refusal, fields: HTTPHeaders, body: bytes) -> bytes:
    """Return a whole answer that ends its connection."""
    fields["Content-Length"] = str(len(body))
    fields["Connection"] = "close"
    if refusal.retry_after is not None:
        fields["Retry-After"] = f"{refusal.retry_after.total_seconds():.2f}"
    phrase = REASON_PHRASES.get(refusal.status) or HTTPStatus(refusal.status).phrase
    lines = [f"HTTP/1.1 {refusal.status} {phrase}"]
    lines.extend(f"{name}: {value}" for name, value in fields.get_all())
    return "\r\n".join([*lines, "", ""]).encode("latin1") + body


class RefusalLog:
    """Count refused clients, and log at most some of them in a second."""

    def __init__(self, *, clock: Clock, metrics: Metrics) -> None:
        self.clock = clock
        self.metrics = metrics
        self.log = EventLog("inbound")
        # By reason: when the current second began, and the lines written and omitted.
        self.seconds: dict[str, tuple[timedelta, int, int]] = {}

    def record(
        self, listener: str, cause: str, *, held: int, connections: int, request: str
    ) -> None:
        """Count a refusal, and log it if the second has room for it."""
        self.metrics.count(f"memory.refused.{cause}")
        now = self.clock.monotonic()
        began, written, omitted = self.seconds.get(cause, (now - SECOND, 0, 0))
        if now - began >= SECOND:
            began, written = now, 0
        if written >= MAX_LINES_PER_SECOND:
            self.seconds[cause] = (began, written, omitted + 1)
            return
        self.seconds[cause] = (began, written + 1, 0)
        self.log.warning(
            "client_refused",
            listener=listener,
            reason=cause,
            held=held,
            connections=connections,
            request=request,
            omitted=omitted,
        )
