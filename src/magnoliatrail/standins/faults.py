"""Fault injection shared by all stand-ins."""

import asyncio
from dataclasses import dataclass, fields
from typing import Any
from weakref import WeakKeyDictionary

import msgspec
from tornado.web import RequestHandler

# The value of `silence_open` at which each connection was first used.
SILENCE_COUNT_AT_OPEN: WeakKeyDictionary[Any, int] = WeakKeyDictionary()


@dataclass
class Faults:
    """Faults that a stand-in injects; all are off by default.

    Integer fields other than `silence_open` count how often the fault still applies.
    Incrementing `silence_open` silences all connections that are open now, while
    new connections work.
    """

    # Requests get 503; direct calls of the table and the object store fail.
    down: bool = False
    # Requests are neither handled nor answered; connections stay open.
    silent: bool = False
    # Delay before a request is handled.
    delay_seconds: float = 0.0
    # The request takes effect, then the connection closes without an answer.
    lose_answers: int = 0
    # The table service drops the transaction.
    lose_requests: int = 0
    # The table service commits the transaction only at `commit_delayed`.
    late_requests: int = 0
    # As `silent`, for a number of requests.
    silent_requests: int = 0
    # The request takes effect but gets no answer; the connection stays open.
    silent_answers: int = 0
    # The connection closes after half of the answer.
    cut_answers: int = 0
    silence_open: int = 0
    # The load of an adapter fails.
    fail_loads: int = 0
    # The connection closes within a stream.
    break_streams: int = 0
    # A stream stops while its connection stays open.
    silence_streams: int = 0
    # An event is followed by the first event of the stream and by its own copy.
    duplicate_events: int = 0
    # An event follows a copy of the previous one, with an id that is too high by one.
    reorder_events: int = 0
    # An event has the id of another request.
    cross_events: int = 0
    # A completion request is neither run nor answered.
    drop_answers: int = 0
    # An answer names another adapter than the request.
    wrong_adapter: int = 0
    # The engine restarts when it begins an answer to a prompt with this text.
    crashing_text: str = ""


def set_faults(faults: Faults, changes: dict[str, object]) -> None:
    """Set faults by name.

    Raises ValueError for a name that is not a fault.
    """
    known = {field.name for field in fields(Faults)}
    for name, value in changes.items():
        if name not in known:
            raise ValueError(f"fault {name!r} is unknown; use one of {sorted(known)}")
        setattr(faults, name, value)


class FaultSettingsHandler(RequestHandler):
    """Serve `POST /faults`, which sets the faults of a stand-in."""

    def initialize(self, faults: Faults) -> None:
        """Set the faults that requests change."""
        self.faults = faults

    def post(self) -> None:
        """Set faults by name."""
        set_faults(self.faults, msgspec.json.decode(self.request.body))
        self.write({"changed": True})


class FaultInjectingHandler(RequestHandler):
    """Base handler that injects faults into requests and answers."""

    faults: Faults

    async def prepare(self) -> None:
        """Apply outage, silence and delay faults before the request is handled."""
        self.stream = getattr(self.request.connection, "stream", None)
        SILENCE_COUNT_AT_OPEN.setdefault(self.stream, self.faults.silence_open)
        if self.faults.silent or self.consume_fault("silent_requests"):
            await asyncio.Event().wait()
        if self.faults.delay_seconds:
            await asyncio.sleep(self.faults.delay_seconds)
        if self.is_silenced():
            await asyncio.Event().wait()
        if self.faults.down:
            self.send_error(503)

    def is_silenced(self) -> bool:
        """Return whether this connection was silenced by `silence_open`."""
        opened_at = SILENCE_COUNT_AT_OPEN.get(getattr(self, "stream", None))
        return opened_at not in (None, self.faults.silence_open)

    def finish(self, chunk: Any = None) -> asyncio.Future[None]:
        """Send the answer, unless the connection is silenced."""
        if self.is_silenced():
            return asyncio.get_running_loop().create_future()
        return super().finish(chunk)

    def should_drop_answer(self) -> bool:
        """Return whether to drop this answer after the request took effect."""
        return self.consume_fault("lose_answers")

    async def answer(self, body: bytes) -> None:
        """Send the answer; a fault may drop, truncate or withhold it."""
        if self.consume_fault("silent_answers"):
            await asyncio.Event().wait()
        if self.should_drop_answer():
            self.drop_connection()
        elif self.consume_fault("cut_answers"):
            self.set_header("Content-Length", str(len(body)))
            self.write(body[: len(body) // 2])
            await self.flush()
            self.drop_connection()
        else:
            self.write(body)

    def consume_fault(self, fault: str) -> bool:
        """Return whether a counted fault is due, and decrement its count."""
        remaining: int = getattr(self.faults, fault)
        if not remaining:
            return False
        setattr(self.faults, fault, remaining - 1)
        return True

    def drop_connection(self) -> None:
        """Close the connection without an answer."""
        self.detach().close()
