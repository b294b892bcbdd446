"""Callers of a soak run: they keep their connections, and record each exchange."""

import asyncio
import time
from dataclasses import dataclass, field
from enum import Enum
from random import Random

from tests.soak.events import last_event, version_of
from tests.soak.processes import Instance
from tests.soak.servers import MODEL, plain_answer, stream_answer

HTTP_OK = 200
DEADLINE_SECONDS = 8.0
# A caller without an answer for so long reports a hang.
HANG_SECONDS = 30.0
ADAPTERS = 12
PAUSE_SECONDS = 0.05
# An instance closes a connection that is idle for 18.75 s.
MAX_IDLE_SECONDS = 15.0
SHARED_PART = "shared"
# Tries to take a stream up again that an instance may answer, and the pause after one
# that none did.
RESUMING_TRIES = 5
UNANSWERED_PAUSE_SECONDS = 0.2


class RequestKind(Enum):
    """The routes of a soak run."""

    STREAM = "stream"
    UNSAFE = "plain"
    SAFE = "lookup"


SHARES = {RequestKind.STREAM: 6, RequestKind.UNSAFE: 3, RequestKind.SAFE: 2}


class Ending(Enum):
    """How an exchange ended."""

    WHOLE = "whole"
    # The answer began and broke off.
    TRUNCATED = "truncated"
    # The connection ended before an answer began.
    CLOSED = "closed"
    NOT_CONNECTED = "not_connected"
    HUNG = "hung"


@dataclass
class Exchange:
    """A request, and what its caller got."""

    request: str
    kind: RequestKind
    instance: str
    sent_at: float
    # When the connection was opened that the request was sent over.
    connected_at: float
    ended_at: float = 0.0
    ending: Ending = Ending.CLOSED
    status: int = 0
    body: bytes = b""
    expected: bytes = b""
    # The headers that depend on the kind, and the body.
    fields: dict[str, str] = field(default_factory=dict)
    asked: bytes = b""
    # Of a request that takes a stream up again: what began it, and the last event.
    resumes: str = ""
    after: int = 0
    retry_after: float = 0.0
    # The path, empty for that of the kind.
    path: str = ""


@dataclass
class Connection:
    """A caller's connection to an instance."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    opened_at: float
    used_at: float


@dataclass
class Caller:
    """Send requests to any instance, one after the other."""

    name: str
    instances: list[Instance]
    generator: Random
    connections: dict[str, Connection] = field(default_factory=dict)
    exchanges: list[Exchange] = field(default_factory=list)
    stopped: bool = False
    # A part of the prompts beside those that all callers share.
    part: str = ""

    async def run(self) -> None:
        """Send requests until the run ends."""
        while not self.stopped:
            kind = self.generator.choices(list(SHARES), list(SHARES.values()))[0]
            exchange = await self.send(self.generator.choice(self.instances), kind)
            if kind is RequestKind.STREAM and exchange.ending is Ending.TRUNCATED:
                await self.take_up(exchange)
            await asyncio.sleep(self.generator.uniform(0, 2 * PAUSE_SECONDS))
        self.close()

    def close(self) -> None:
        """Close all connections."""
        for connection in self.connections.values():
            connection.writer.close()

    async def take_up(self, first: Exchange) -> None:
        """Take a stream that broke off up again, at any instance, until it is whole.

        A stream without an event has nothing to go on from.
        """
        after = last_event(first.body)
        until, tries = first.sent_at + DEADLINE_SECONDS, RESUMING_TRIES
        while after and tries and time.monotonic() < until and not self.stopped:
            sent = await self.send(
                self.generator.choice(self.instances),
                RequestKind.STREAM,
                first=first,
                after=after,
            )
            if sent.status == HTTP_OK:
                after = last_event(sent.body) or after
                if sent.ending is Ending.WHOLE:
                    return
            tries -= bool(sent.status)
            await asyncio.sleep(sent.retry_after or UNANSWERED_PAUSE_SECONDS)

    async def send(
        self,
        instance: Instance,
        kind: RequestKind,
        *,
        first: Exchange | None = None,
        after: int = 0,
        path: str = "",
    ) -> Exchange:
        """Send one request, and record what came back.

        It takes the stream of a first one up again after an event, if there is one.
        """
        request = f"{self.name}-{len(self.exchanges)}"
        if first:
            body, fields = first.asked, first.fields
        else:
            body = request.encode() * self.generator.randint(1, 40)
            fields = self.head(kind)
        now = time.monotonic()
        exchange = Exchange(
            request,
            kind,
            instance.name,
            now,
            now,
            fields=fields,
            asked=body,
            resumes=first.request if first else "",
            after=after,
            path=path,
        )
        self.exchanges.append(exchange)
        sent = dict(fields)
        if first:
            sent |= {"Resumes": first.request, "Last-Event-Id": str(after)}
        try:
            async with asyncio.timeout(HANG_SECONDS):
                await self.exchange(instance, exchange, sent, body)
        except TimeoutError:
            exchange.ending = Ending.HUNG
        except (OSError, asyncio.IncompleteReadError, ValueError):
            exchange.ending = Ending.TRUNCATED if exchange.status else Ending.CLOSED
        exchange.ended_at = time.monotonic()
        if kind is RequestKind.STREAM:
            version = version_of(exchange.body)
            exchange.expected = stream_answer(body, version, after=after)
        else:
            exchange.expected = plain_answer(body)
        if exchange.ending is not Ending.WHOLE:
            self.forget(instance)
        return exchange

    def head(self, kind: RequestKind) -> dict[str, str]:
        """Return the headers that depend on the kind of a request."""
        fields = {}
        if kind is RequestKind.STREAM:
            number = int(ADAPTERS * self.generator.random() ** 2)
            fields["Magnoliatrail-Model"] = f"{MODEL}/a{number}"
            fields["Magnoliatrail-Token-Counts"] = "100,20"
            parts = [SHARED_PART, self.part or self.name, f"own{len(self.exchanges)}"]
            prefix = ",".join(f"{part}:30" for part in parts)
            fields["Magnoliatrail-Prompt-Prefix"] = prefix
        return fields

    async def exchange(
        self,
        instance: Instance,
        exchange: Exchange,
        fields: dict[str, str],
        body: bytes,
    ) -> None:
        """Send a request over the kept connection, or over a new one."""
        connection = self.connections.get(instance.name)
        if connection and exchange.sent_at - connection.used_at > MAX_IDLE_SECONDS:
            self.forget(instance)
            connection = None
        if connection is None:
            try:
                reader, writer = await asyncio.open_connection(
                    instance.ip, instance.callers_port
                )
            except OSError:
                exchange.ending = Ending.NOT_CONNECTED
                return
            sent_at = exchange.sent_at
            connection = Connection(reader, writer, opened_at=sent_at, used_at=sent_at)
            self.connections[instance.name] = connection
        exchange.connected_at = connection.opened_at
        sent = {
            "Host": "app.example",
            "Magnoliatrail-Request-Id": exchange.request,
            "Magnoliatrail-Deadline-Milliseconds": str(round(DEADLINE_SECONDS * 1000)),
            "Content-Length": str(len(body)),
            **fields,
        }
        lines = "".join(f"{name}: {value}\r\n" for name, value in sent.items())
        path = exchange.path or f"/{exchange.kind.value}/x"
        connection.writer.write(f"POST {path} HTTP/1.1\r\n{lines}\r\n".encode() + body)
        answered = await self.read(connection.reader, exchange)
        exchange.ending = Ending.WHOLE
        connection.used_at = time.monotonic()
        if answered.get("connection", "").lower() == "close":
            self.forget(instance)

    async def read(
        self, reader: asyncio.StreamReader, exchange: Exchange
    ) -> dict[str, str]:
        """Read an answer into the exchange, and return its headers."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        lines = head.split("\r\n")
        exchange.status = int(lines[0].split()[1])
        fields = dict(line.split(": ", 1) for line in lines[1:] if line)
        fields = {name.lower(): value for name, value in fields.items()}
        exchange.retry_after = float(fields.get("retry-after", "0"))
        if fields.get("transfer-encoding") == "chunked":
            while size := int(await reader.readline(), 16):
                exchange.body += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readexactly(2)
        else:
            length = int(fields["content-length"])
            exchange.body = await reader.readexactly(length)
        return fields

    def forget(self, instance: Instance) -> None:
        """Close the connection to an instance, if there is one."""
        connection = self.connections.pop(instance.name, None)
        if connection:
            connection.writer.close()
