"""The body of an engine's answer, in each framing that HTTP has for it."""

from typing import Protocol

from tornado.http1connection import is_transfer_encoding_chunked
from tornado.httputil import HTTPHeaders, HTTPInputError

from magnoliatrail.entry.chunked import ChunkedBody
from magnoliatrail.wire import CallFailed


class EngineBody(Protocol):
    """Decode a body and know its end."""

    finished: bool

    def decode(self, data: bytes) -> bytes:
        """Return the content of a read.

        Raises HTTPInputError if the body is malformed.
        """

    def handle_close(self) -> None:
        """Take the close of the connection.

        Raises CallFailed if it cuts the body.
        """


class SizedBody:
    """Take a body whose length is given."""

    def __init__(self, size: int) -> None:
        self.remaining_bytes = size
        self.finished = not size

    def decode(self, data: bytes) -> bytes:
        """Return the content of a read."""
        data = data[: self.remaining_bytes]
        self.remaining_bytes -= len(data)
        self.finished = not self.remaining_bytes
        return data

    def handle_close(self) -> None:
        """Take the close of the connection, which cuts the body."""
        raise CallFailed("the connection closed within the body", sent=True)


class UnsizedBody:
    """Take a body that ends with its connection."""

    def __init__(self) -> None:
        self.finished = False

    def decode(self, data: bytes) -> bytes:
        """Return the content of a read."""
        return data

    def handle_close(self) -> None:
        """Take the close of the connection, which ends the body."""
        self.finished = True


def body_decoder(headers: HTTPHeaders) -> EngineBody:
    """Return the decoder for an answer's body.

    Raises HTTPInputError if the headers do not say how the body is framed.
    """
    if is_transfer_encoding_chunked(headers):
        return ChunkedBody()
    size = content_length(headers)
    return UnsizedBody() if size is None else SizedBody(size)


def content_length(headers: HTTPHeaders) -> int | None:
    """Return the length of a body that is not chunked, None if it is not given.

    Raises HTTPInputError if it is no length.
    """
    text = headers.get("Content-Length")
    if text is None:
        return None
    if not text.isascii() or not text.isdigit():
        raise HTTPInputError("the length of the body is no number")
    return int(text)
