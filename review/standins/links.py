"""A link to a server that can be cut, as TCP lets its two ends see it."""

import asyncio
import time
from contextlib import suppress

READ_BYTES = 65536
# Linux sends bytes again that were not acknowledged after 0.2 s, and each time after
# twice as long: 0.2, 0.6, 1.4 and 3.0 s after they were first sent.
RETRANSMISSIONS = (0.2, 0.6, 1.4, 3.0)
POLL_SECONDS = 0.01


class Link:
    """Relay connections to a server.

    While the link is cut, what is sent on open connections is held up, in both
    directions, and new connections are refused. What was held up arrives when it is
    sent again after the cut; that its sender has closed the connection in order
    meanwhile does not take it back. After the last time it is given up.
    """

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self.target = host, int(port)
        self.cut = False
        self.port = 0
        self.listener: asyncio.Server | None = None
        # When the link was last cut, and when it healed.
        self.healed_at = 0.0

    async def open(self) -> None:
        """Listen at a free port, the same as before."""
        self.listener = await asyncio.start_server(self.relay, "127.0.0.1", self.port)
        self.port = self.listener.sockets[0].getsockname()[1]

    @property
    def address(self) -> str:
        """Return the address of the server's end."""
        return f"127.0.0.1:{self.port}"

    def begin_cut(self) -> None:
        """Cut the link."""
        self.cut = True
        if self.listener is not None:
            self.listener.close()

    async def end_cut(self) -> None:
        """Let the link carry bytes again."""
        self.cut = False
        self.healed_at = time.monotonic()
        await self.open()

    async def relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Relay one connection."""
        try:
            other = await asyncio.open_connection(*self.target)
        except OSError:
            writer.close()
            return
        await asyncio.gather(self.copy(reader, other[1]), self.copy(other[0], writer))

    async def copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Copy one direction, and its end."""
        with suppress(OSError):
            while data := await reader.read(READ_BYTES):
                if self.cut and not await self.arrives():
                    break
                writer.write(data)
                await writer.drain()
        with suppress(RuntimeError, OSError):
            writer.close()

    async def arrives(self) -> bool:
        """Wait until held up bytes are sent again; return whether they arrive."""
        sent_at = time.monotonic()
        for after in RETRANSMISSIONS:
            await asyncio.sleep(sent_at + after - time.monotonic())
            if not self.cut:
                return True
        return False
