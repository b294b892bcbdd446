"""Decoders for response bodies of engines, one for each HTTP framing."""

from typing import Protocol

from tornado.http1connection import is_transfer_encoding_chunked
from tornado.httputil import HTTPHeaders, HTTPInputError

from magnoliatrail.entry.chunked import ChunkedBody
from magnoliatrail.wire import CallFailed


class EngineBody(Protocol):
    """Decode a body and detect its end."""

    finished: bool

    def decode(self, data: bytes) -> bytes:
        """Return the body bytes in the data of one read.

        Raises HTTPInputError if the body is malformed.
        """

    def handle_close(self) -> None:
        """Handle the close of the connection.

        Raises CallFailed if the body is truncated.
        """


class SizedBody:
    """Decode a body with a Content-Length."""

    def __init__(self, size: int) -> None:
        self.remaining_bytes = size
        self.finished = not size

    def decode(self, data: bytes) -> bytes:
        """Return the body bytes in the data of one read."""
        data = data[: self.remaining_bytes]
        self.remaining_bytes -= len(data)
        self.finished = not self.remaining_bytes
        return data

    def handle_close(self) -> None:
        """Raise CallFailed, as a closed connection truncates the body."""
        raise CallFailed("the connection closed within the body", sent=True)


class UnsizedBody:
    """Decode a body that ends with its connection."""

    def __init__(self) -> None:
        self.finished = False

    def decode(self, data: bytes) -> bytes:
        """Return the body bytes in the data of one read."""
        return data

    def handle_close(self) -> None:
        """Mark the body as finished, as it ends with its connection."""
        self.finished = True


def body_decoder(headers: HTTPHeaders) -> EngineBody:
    """Return the decoder for the framing that the headers give.

    Raises HTTPInputError if the headers are ambiguous or malformed.
    """
    if is_transfer_encoding_chunked(headers):
        return ChunkedBody()
    size = content_length(headers)
    return UnsizedBody() if size is None else SizedBody(size)


def content_length(headers: HTTPHeaders) -> int | None:
    """Parse the Content-Length, None if it is absent.

    Raises HTTPInputError if it is not a number.
    """
    text = headers.get("Content-Length")
    if text is None:
        return None
    if not text.isascii() or not text.isdigit():
        raise HTTPInputError("the length of the body is no number")
    return int(text)
