"""Low-overhead writer for the chunks of a streamed answer."""

from collections.abc import Awaitable

from tornado.iostream import IOStream


class ChunkWriter:
    """Write HTTP chunks directly to a connection.

    Tornado must have written the response headers already.
    """

    def __init__(self, stream: IOStream) -> None:
        self.stream = stream

    def write(self, content: bytes) -> Awaitable[None] | None:
        """Write one chunk; return None if it was sent at once, else an awaitable.

        Raises OSError or StreamClosedError if the connection is closed.
        """
        chunk = b"%x\r\n%s\r\n" % (len(content), content)
        if self.stream.closed() or self.stream.writing():
            return self.stream.write(chunk)
        # Sending on the socket avoids a queue, three futures and their callbacks.
        try:
            sent = self.stream.socket.send(chunk)
        except BlockingIOError:
            sent = 0
        if sent == len(chunk):
            return None
        return self.stream.write(chunk[sent:])
