"""Forwarding of headers between callers and plain services."""

from tornado.httputil import HTTPHeaders

from magnoliatrail.wire import HOP_BY_HOP, connection_options

# The HTTP client and server set these for each message.
REGENERATED_HEADERS = {"host", "content-length", "expect"}


def end_to_end_headers(headers: HTTPHeaders) -> list[tuple[str, str]]:
    """Return the end-to-end headers, with one item for each repeated value."""
    dropped = HOP_BY_HOP | REGENERATED_HEADERS | connection_options(headers)
    return [
        (name, value)
        for name, value in headers.get_all()
        if name.lower() not in dropped
    ]


def is_framed(headers: HTTPHeaders, status: int, method: str) -> bool:
    """Return whether the framing shows if a lost connection truncated the answer."""
    if method == "HEAD" or status in (204, 304):
        return True
    return "Content-Length" in headers or "Transfer-Encoding" in headers
