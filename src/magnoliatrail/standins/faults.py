"""Faults that can be switched on in every stand-in."""

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
    """Say how a stand-in misbehaves; all off at first.

    Raising `silence_open` makes the connections that are open now silent for good,
    while new ones work.
    """

    down: bool = False
    silent: bool = False
    delay_seconds: float = 0.0
    lose_answers: int = 0
    lose_requests: int = 0
    late_requests: int = 0
    silent_requests: int = 0
    silent_answers: int = 0
    cut_answers: int = 0
    silence_open: int = 0
    fail_loads: int = 0
    break_streams: int = 0
    silence_streams: int = 0
    duplicate_events: int = 0
    reorder_events: int = 0
    cross_events: int = 0
    drop_answers: int = 0
    wrong_adapter: int = 0


def set_faults(faults: Faults, changes: dict[str, object]) -> None:
    """Change some faults by name.

    Raises ValueError for a name that is not a fault.
    """
    known = {field.name for field in fields(Faults)}
    for name, value in changes.items():
        if name not in known:
            raise ValueError(f"fault {name!r} is unknown; use one of {sorted(known)}")
        setattr(faults, name, value)


class FaultSettingsHandler(RequestHandler):
    """Change the faults of a stand-in by `POST /faults`."""

    def initialize(self, faults: Faults) -> None:
        """Take the faults to change."""
        self.faults = faults

    def post(self) -> None:
        """Change some faults by name."""
        set_faults(self.faults, msgspec.json.decode(self.request.body))
        self.write({"changed": True})


class FaultInjectingHandler(RequestHandler):
    """Answer requests unless a fault says otherwise."""

    faults: Faults

    async def prepare(self) -> None:
        """Apply outage, silence and slowness before the request takes effect."""
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
        """Return whether this connection went silent for good."""
        opened_at = SILENCE_COUNT_AT_OPEN.get(getattr(self, "stream", None))
        return opened_at not in (None, self.faults.silence_open)

    def finish(self, chunk: Any = None) -> asyncio.Future[None]:
        """Send the answer, unless the connection went silent."""
        if self.is_silenced():
            return asyncio.get_running_loop().create_future()
        return super().finish(chunk)

    def should_drop_answer(self) -> bool:
        """Return whether this answer is to be lost after its effect."""
        return self.consume_fault("lose_answers")

    async def answer(self, body: bytes) -> None:
        """Send an answer after its effect, unless a fault loses, cuts or holds it."""
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
        """Return whether a counted fault is due, and count it down."""
        left: int = getattr(self.faults, fault)
        if not left:
            return False
        setattr(self.faults, fault, left - 1)
        return True

    def drop_connection(self) -> None:
        """Close the connection without an answer."""
        self.detach().close()
