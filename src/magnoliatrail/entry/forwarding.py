"""Headers that are passed on between a caller and a plain service."""

from tornado.httputil import HTTPHeaders

from magnoliatrail.wire import HOP_BY_HOP, connection_options

# What the HTTP client or server sets by itself for each message.
SET_AGAIN = {"host", "content-length", "expect"}


def end_to_end(headers: HTTPHeaders) -> list[tuple[str, str]]:
    """Return the headers that are passed on, repeated ones each by itself."""
    dropped = HOP_BY_HOP | SET_AGAIN | connection_options(headers)
    return [
        (name, value)
        for name, value in headers.get_all()
        if name.lower() not in dropped
    ]


def is_framed(headers: HTTPHeaders, status: int, method: str) -> bool:
    """Return whether the end of an answer can be told from a lost connection."""
    if method == "HEAD" or status in (204, 304):
        return True
    return "Content-Length" in headers or "Transfer-Encoding" in headers
