"""Decoder for chunked HTTP bodies that handles many chunks per read."""

import re

from tornado.httputil import HTTPInputError

from magnoliatrail.wire import CallFailed

LINE_END = b"\r\n"
SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,8})\r\n")
SIZE_LINE_START = re.compile(rb"(?:[0-9A-Fa-f]{1,8}\r?)?")
MAX_CHUNK_BYTES = 1024 * 1024


class ChunkedBody:
    """Decode a chunked body from reads of any size."""

    def __init__(self) -> None:
        self.partial = b""
        self.finished = False

    def decode(self, data: bytes) -> bytes:
        """Return the content of the chunks completed by `data`.

        Raises HTTPInputError if the body is malformed.
        """
        if self.partial:
            data = self.partial + data
        content = []
        offset = 0
        while not self.finished:
            matched = SIZE_LINE.match(data, offset)
            if matched is None:
                check_size_line(data, offset)
                break
            size = int(matched[1], 16)
            if size > MAX_CHUNK_BYTES:
                raise HTTPInputError(f"a chunk has more than {MAX_CHUNK_BYTES} bytes")
            start = matched.end()
            end = start + size
            if len(data) < end + 2:
                break
            if data[end : end + 2] != LINE_END:
                raise HTTPInputError("a chunk does not end where its size says")
            content.append(data[start:end])
            self.finished = not size
            offset = end + 2
        self.partial = data[offset:]
        return content[0] if len(content) == 1 else b"".join(content)

    def handle_close(self) -> None:
        """Raise CallFailed, as a closed connection truncates the body."""
        raise CallFailed("the connection closed within the body", sent=True)


def check_size_line(data: bytes, offset: int) -> None:
    """Raise HTTPInputError unless the data can be the start of a size line."""
    if not SIZE_LINE_START.fullmatch(data, offset):
        raise HTTPInputError("the size of a chunk is no number")
