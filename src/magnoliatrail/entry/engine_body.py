"""The body of an engine's answer, in each framing that HTTP has for it."""

from tornado.http1connection import is_transfer_encoding_chunked
from tornado.httputil import HTTPHeaders, HTTPInputError

from magnoliatrail.entry.chunked import ChunkedBody
from magnoliatrail.wire import CallFailed


class EngineBody:
    """Decode a body and know its end."""

    def __init__(self, headers: HTTPHeaders) -> None:
        self.chunks = ChunkedBody() if is_transfer_encoding_chunked(headers) else None
        self.left = None if self.chunks else length_of(headers)
        self.finished = self.left == 0

    def take(self, data: bytes) -> bytes:
        """Return the content of a read, which is empty if the connection closed.

        Raises CallFailed if the body is cut, HTTPInputError if it is malformed.
        """
        if not data:
            return self.take_close()
        if self.chunks:
            content = self.chunks.take(data)
            self.finished = self.chunks.finished
            return content
        if self.left is not None:
            data = data[: self.left]
            self.left -= len(data)
            self.finished = not self.left
        return data

    def take_close(self) -> bytes:
        """End a body that a close ends, else raise CallFailed."""
        if self.chunks or self.left is not None:
            raise CallFailed("the connection closed within the body", sent=True)
        self.finished = True
        return b""


def length_of(headers: HTTPHeaders) -> int | None:
    """Return the length of a body that is not chunked, None if it is not given.

    Raises HTTPInputError if it is no length.
    """
    text = headers.get("Content-Length")
    if text is None:
        return None
    if not text.isascii() or not text.isdigit():
        raise HTTPInputError("the length of the body is no number")
    return int(text)
