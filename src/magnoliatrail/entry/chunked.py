"""Decoding of a chunked HTTP body, many chunks to a read."""

from tornado.http1connection import parse_hex_int
from tornado.httputil import HTTPInputError

LINE_END = b"\r\n"
MAX_SIZE_LINE_BYTES = 64
MAX_CHUNK_BYTES = 1024 * 1024


class ChunkedBody:
    """Decode a chunked body from reads of any size."""

    def __init__(self) -> None:
        self.partial = b""
        self.finished = False

    def take(self, data: bytes) -> bytes:
        """Return the content of the chunks that data completes.

        Raises HTTPInputError for what is not a chunked body.
        """
        if self.partial:
            data = self.partial + data
        content = []
        at = 0
        while not self.finished:
            size_end = data.find(LINE_END, at, at + MAX_SIZE_LINE_BYTES)
            if size_end < 0:
                check_size_line(data, at)
                break
            start = size_end + len(LINE_END)
            end = start + chunk_size(data[at:size_end])
            next_chunk = end + len(LINE_END)
            if len(data) < next_chunk:
                break
            if data[end:next_chunk] != LINE_END:
                raise HTTPInputError("a chunk does not end where its size says")
            content.append(data[start:end])
            self.finished = end == start
            at = next_chunk
        self.partial = data[at:]
        return content[0] if len(content) == 1 else b"".join(content)


def check_size_line(data: bytes, at: int) -> None:
    """Check that the line with a chunk's size can still come to its end."""
    if len(data) - at >= MAX_SIZE_LINE_BYTES:
        raise HTTPInputError("the size of a chunk is too long")


def chunk_size(line: bytes) -> int:
    """Return the size of a chunk."""
    try:
        size = parse_hex_int(line.decode("latin1"))
    except ValueError as error:
        raise HTTPInputError("the size of a chunk is no number") from error
    if size > MAX_CHUNK_BYTES:
        raise HTTPInputError(f"a chunk has more than {MAX_CHUNK_BYTES} bytes")
    return size
