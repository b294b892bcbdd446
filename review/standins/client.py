"""Clients of the instances, which keep their connections."""

import asyncio
import time
from contextlib import suppress
from dataclasses import dataclass, field

from standins.http import head_of, read_head


@dataclass
class Outcome:
    """What became of one client attempt."""

    request: str
    sent_at: float
    # Whether the connection had brought an answer before.
    kept: bool = False
    # Whether the connection was open when the request was written.
    connected: bool = False
    # 0 if the connection ended, or the client left, without any answer.
    status: int = 0
    # Whether the answer came whole.
    whole: bool = False
    # Whether the client gave up.
    left: bool = False
    ended_at: float = 0.0
    body: bytes = b""
    retry_after: float = 0.0


@dataclass
class Client:
    """One client, which sends a request at a time to one machine."""

    address: tuple[str, int]
    # How long it waits for the next part of an answer.
    patience: float = 15.0
    reader: asyncio.StreamReader | None = None
    writer: asyncio.StreamWriter | None = None
    answers: int = 0
    outcomes: list[Outcome] = field(default_factory=list)

    async def ask(
        self,
        target: str,
        request: str,
        *,
        body: bytes = b"",
        method: str = "POST",
        deadline_ms: int = 15_000,
        fields: dict[str, str] | None = None,
    ) -> Outcome:
        """Send a request and read its answer."""
        outcome = Outcome(request, time.monotonic())
        self.outcomes.append(outcome)
        head = {
            "Host": "app.example",
            "Magnoliatrail-Request-Id": request,
            "Magnoliatrail-Deadline-Milliseconds": str(deadline_ms),
            "Content-Length": str(len(body)),
            **(fields or {}),
        }
        keeps = False
        try:
            if self.writer is None:
                async with asyncio.timeout(1.0):
                    self.reader, self.writer = await asyncio.open_connection(
                        *self.address
                    )
                self.answers = 0
            outcome.connected, outcome.kept = True, self.answers > 0
            self.writer.write(head_of(f"{method} {target} HTTP/1.1", head) + body)
            keeps = await self.read(outcome)
        except TimeoutError:
            outcome.left = outcome.connected
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        outcome.ended_at = time.monotonic()
        if not keeps:
            self.close()
        return outcome

    async def read(self, outcome: Outcome) -> bool:
        """Read an answer; return whether the connection is kept."""
        assert self.reader is not None, "there is no connection"
        async with asyncio.timeout(self.patience):
            answer = await read_head(self.reader)
        outcome.status = answer.status
        outcome.retry_after = float(answer.get("Retry-After") or 0)
        if answer.get("Transfer-Encoding") == "chunked":
            size = 1
            while size:
                async with asyncio.timeout(self.patience):
                    size = int((await self.reader.readline()) or b"x", 16)
                    piece = await self.reader.readexactly(size + 2)
                outcome.body += piece[:-2]
        else:
            length = int(answer.get("Content-Length") or 0)
            async with asyncio.timeout(self.patience):
                outcome.body = await self.reader.readexactly(length)
        outcome.whole = True
        self.answers += 1
        return answer.get("Connection").lower() != "close"

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            with suppress(RuntimeError):
                self.writer.close()
        self.reader = self.writer = None
