"""A stand-in for a replica that runs models: orders, reports and streams of events."""

import asyncio
import json
import time
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any

from standins.http import Message, head_of, read_request

MODEL = "base"


@dataclass(frozen=True)
class OrderSeen:
    """An order as it arrived."""

    at: float
    holder: str
    fencing_token: int
    operation: str
    adapter: str
    status: int


@dataclass
class Engine:
    """One replica, at an address of its own."""

    name: str
    born: int
    slots: int = 64
    adapter_slots: int = 16
    events: int = 16
    event_seconds: float = 0.06
    # Until the head and the first event: prompts are read first.
    prefill_seconds: float = 0.095
    load_seconds: float = 0.25
    adapters: dict[str, float] = field(default_factory=dict)
    sequence: int = 0
    orders: list[OrderSeen] = field(default_factory=list)
    # When which request began to run.
    ran: list[tuple[float, str]] = field(default_factory=list)
    running: int = 0
    address: str = ""
    server: asyncio.Server | None = None

    async def open(self) -> None:
        """Listen at a free port."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    @property
    def row(self) -> dict[str, Any]:
        """Return the replica's row in the store."""
        return {
            "service": "models",
            "address": self.address,
            "zone": "zone-a",
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "cold_remaining_ms": 0,
            "born": self.born,
            "stage": "both",
            "models": self.models(),
            "sequence": self.sequence,
        }

    def models(self) -> list[dict[str, Any]]:
        """Return the model, with the adapters that can be used."""
        now = time.monotonic()
        ready = [f"{name}@1" for name, at in self.adapters.items() if at <= now]
        return [{"name": MODEL, "version": 1, "adapters": ready}]

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        with suppress(OSError, asyncio.IncompleteReadError):
            while True:
                request = await read_request(reader)
                if not await self.answer(request, writer):
                    break
        with suppress(RuntimeError):
            writer.close()

    async def answer(self, request: Message, writer: asyncio.StreamWriter) -> bool:
        """Answer a request; return whether the connection is kept."""
        expected = request.get("Magnoliatrail-Expect-Instance")
        fields = {"Magnoliatrail-Instance-Id": self.name}
        if request_id := request.get("Magnoliatrail-Request-Id"):
            fields["Magnoliatrail-Request-Id"] = request_id
        if expected and expected != self.name:
            await send(writer, 421, fields)
        elif request.target == "/v1/report":
            await send(writer, 200, fields, self.report())
        elif request.target == "/v1/order":
            await send(writer, self.order(json.loads(request.body)), fields)
        elif request.target == "/health":
            await send(writer, 200, fields)
        else:
            return await self.run(request, fields, writer)
        return True

    def report(self) -> dict[str, Any]:
        """Return what the replica reports of itself."""
        now = time.monotonic()
        return {
            "stage": "both",
            "models": self.models(),
            "incoming": [
                f"{MODEL}/{name}@1" for name, at in self.adapters.items() if at > now
            ],
            "busy": False,
            "sequence": self.sequence,
            "waiting": 0,
            "running": self.running,
            "kv_cache_used": 0,
            "kv_cache_total": 129_004,
            "handles": 0,
            "born": self.born,
        }

    def order(self, order: dict[str, Any]) -> int:
        """Apply an order and return the status of its answer."""
        status = self.status_of(order)
        self.orders.append(
            OrderSeen(
                time.monotonic(),
                order["holder"],
                int(order["fencing_token"]),
                order["operation"],
                order.get("adapter", ""),
                status,
            )
        )
        if status not in (200, 202):
            return status
        self.sequence += 1
        name = order["adapter"]
        if order["operation"] == "load":
            self.adapters[name] = time.monotonic() + self.load_seconds
        else:
            self.adapters.pop(name, None)
        return status

    def status_of(self, order: dict[str, Any]) -> int:
        """Return the status of the answer to an order."""
        name = order.get("adapter", "")
        if order.get("precondition", self.sequence) != self.sequence or not name:
            return 409
        if order["operation"] == "unload" or name in self.adapters:
            return 200
        return 202 if len(self.adapters) < self.adapter_slots else 500

    async def run(
        self, request: Message, fields: dict[str, str], writer: asyncio.StreamWriter
    ) -> bool:
        """Run a request, unless its adapter is missing or all slots are in use."""
        _, _, adapter = request.get("Magnoliatrail-Model").partition("/")
        ready_at = self.adapters.get(adapter) if adapter else 0.0
        if ready_at is None or ready_at > time.monotonic():
            fields["Magnoliatrail-Not-Executed"] = "1"
            await send(writer, 421, fields)
            return True
        if self.running >= self.slots:
            fields["Magnoliatrail-Not-Executed"] = "1"
            await send(writer, 503, fields)
            return True
        self.running += 1
        self.ran.append((time.monotonic(), request.get("Magnoliatrail-Request-Id")))
        try:
            return await self.write_answer(request, fields, writer)
        finally:
            self.running -= 1

    async def write_answer(
        self, request: Message, fields: dict[str, str], writer: asyncio.StreamWriter
    ) -> bool:
        """Write a stream of events."""
        name = request.get("Magnoliatrail-Request-Id")
        fields["Magnoliatrail-Response-Signature"] = f"{self.name}.{name}"
        fields["Magnoliatrail-Weight-Versions"] = "1"
        fields["Content-Type"] = "text/event-stream"
        fields["Transfer-Encoding"] = "chunked"
        await asyncio.sleep(self.prefill_seconds)
        writer.write(head_of("HTTP/1.1 200 OK", fields))
        for number in range(1, self.events + 1):
            event = f"id: {number}\ndata: {name} {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.event_seconds)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


async def send(
    writer: asyncio.StreamWriter,
    status: int,
    fields: dict[str, str],
    body: dict[str, Any] | None = None,
) -> None:
    """Write a whole answer."""
    content = json.dumps(body).encode() if body is not None else b""
    head = {**fields, "Content-Length": str(len(content))}
    if content:
        head["Content-Type"] = "application/json"
    writer.write(head_of(f"HTTP/1.1 {status} Status", head) + content)
    await writer.drain()
