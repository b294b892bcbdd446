"""Writing the chunks of a streamed answer with few steps for each."""

from collections.abc import Awaitable

from tornado.iostream import IOStream


class ChunkWriter:
    """Write chunks to a connection whose head the library has written."""

    def __init__(self, stream: IOStream) -> None:
        self.stream = stream

    def write(self, content: bytes) -> Awaitable[None] | None:
        """Write one chunk; what is returned ends once it has left.

        Raises OSError or StreamClosedError if the connection is closed.
        """
        chunk = b"%x\r\n%s\r\n" % (len(content), content)
        if self.stream.closed() or self.stream.writing():
            return self.stream.write(chunk)
        # Sending at once spares a queue, three futures and their callbacks.
        try:
            sent = self.stream.socket.send(chunk)
        except BlockingIOError:
            sent = 0
        if sent == len(chunk):
            return None
        return self.stream.write(chunk[sent:])
