"""A stand-in for a replica of a plain service, which runs each request once."""

import asyncio
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any

from standins.http import Message, head_of, read_request


@dataclass
class Run:
    """A request that a replica ran."""

    request: str
    began_at: float
    ended_at: float = 0.0


@dataclass
class Desk:
    """One replica of a plain service, at an address of its own."""

    name: str
    born: int
    work_seconds: Callable[[], float]
    service: str = "desk"
    slots: int = 16
    runs: dict[str, Run] = field(default_factory=dict)
    address: str = ""

    async def open(self) -> None:
        """Listen at a free port."""
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    @property
    def row(self) -> dict[str, Any]:
        """Return the replica's row in the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": "zone-a",
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "cold_remaining_ms": 0,
            "born": self.born,
            "sequence": 0,
        }

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        with suppress(OSError, asyncio.IncompleteReadError):
            while True:
                request = await read_request(reader)
                writer.write(await self.answer(request))
                await writer.drain()
        with suppress(RuntimeError):
            writer.close()

    async def answer(self, request: Message) -> bytes:
        """Run a request and return its answer."""
        name = request.get("Magnoliatrail-Request-Id")
        fields = {"Magnoliatrail-Request-Id": name}
        if request.get("Magnoliatrail-Expect-Instance") not in ("", self.name):
            fields |= {"Magnoliatrail-Instance-Id": self.name, "Content-Length": "0"}
            return head_of("HTTP/1.1 421 Misdirected Request", fields)
        if request.target == "/health":
            fields |= {"Magnoliatrail-Instance-Id": self.name, "Content-Length": "0"}
            return head_of("HTTP/1.1 200 OK", fields)
        run = self.runs[name] = Run(name, time.monotonic())
        await asyncio.sleep(self.work_seconds())
        run.ended_at = time.monotonic()
        body = f"done {name}".encode()
        fields["Magnoliatrail-Response-Signature"] = f"{self.name}.{name}"
        fields["Content-Length"] = str(len(body))
        return head_of("HTTP/1.1 200 OK", fields) + body
