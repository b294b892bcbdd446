"""Small HTTP/1.1 reading and writing for the stand-ins."""

import asyncio
from dataclasses import dataclass, field


@dataclass
class Message:
    """A request or an answer, with its start line and headers."""

    start: str
    fields: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def method(self) -> str:
        """Return the method of a request."""
        return self.start.split(" ")[0]

    @property
    def target(self) -> str:
        """Return the target of a request."""
        return self.start.split(" ")[1]

    @property
    def status(self) -> int:
        """Return the status of an answer."""
        return int(self.start.split(" ")[1])

    def get(self, name: str) -> str:
        """Return a header, empty if there is none."""
        return self.fields.get(name.lower(), "")


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Read a start line and headers."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    start, *lines = head[:-4].split("\r\n")
    pairs = (line.split(":", 1) for line in lines)
    return Message(start, {name.lower(): value.strip() for name, value in pairs})


async def read_request(reader: asyncio.StreamReader) -> Message:
    """Read a request with its body, which has a length."""
    message = await read_head(reader)
    message.body = await reader.readexactly(int(message.get("Content-Length") or 0))
    return message


def head_of(start: str, fields: dict[str, str]) -> bytes:
    """Return the bytes of a start line and headers."""
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"{start}\r\n{lines}\r\n".encode("latin-1")
