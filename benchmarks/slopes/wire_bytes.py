"""A TCP proxy that counts the bytes of its connections, HTTP headers included."""

import asyncio

HOST = "127.0.0.1"
READ_BYTES = 65_536


class CountingProxy:
    """Relay connections to one port, and count the bytes in both directions."""

    def __init__(self, port: int) -> None:
        self.target_port = port
        self.bytes_relayed = 0
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    @classmethod
    async def in_front_of(cls, port: int) -> "CountingProxy":
        """Start a proxy in front of a port."""
        proxy = cls(port)
        proxy.server = await asyncio.start_server(proxy.connect, HOST, 0)
        return proxy

    @property
    def url(self) -> str:
        """Return the URL for clients."""
        assert self.server is not None
        return f"http://{HOST}:{self.server.sockets[0].getsockname()[1]}"

    async def connect(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Relay one connection in both directions."""
        upstream_reader, upstream_writer = await asyncio.open_connection(
            HOST, self.target_port
        )
        for source, target in ((reader, upstream_writer), (upstream_reader, writer)):
            task = asyncio.create_task(self.relay(source, target))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def relay(
        self, source: asyncio.StreamReader, target: asyncio.StreamWriter
    ) -> None:
        """Relay bytes in one direction until the source closes."""
        while data := await source.read(READ_BYTES):
            self.bytes_relayed += len(data)
            target.write(data)
        target.close()

    async def close(self) -> None:
        """Stop listening, and cancel open relays."""
        assert self.server is not None
        self.server.close()
        for task in self.tasks:
            task.cancel()
