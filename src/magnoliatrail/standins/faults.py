"""Faults that can be switched on in every stand-in."""

import asyncio
from dataclasses import dataclass, fields

import msgspec
from tornado.web import RequestHandler


@dataclass
class Faults:
    """Say how a stand-in misbehaves; all off at first."""

    down: bool = False
    silent: bool = False
    delay_seconds: float = 0.0
    lose_answers: int = 0
    lose_requests: int = 0
    late_requests: int = 0
    fail_loads: int = 0
    break_streams: int = 0
    silence_streams: int = 0
    duplicate_events: int = 0
    reorder_events: int = 0
    cross_events: int = 0
    cut_answers: int = 0
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


class FaultHandler(RequestHandler):
    """Change the faults of a stand-in by `POST /faults`."""

    def initialize(self, faults: Faults) -> None:
        """Take the faults to change."""
        self.faults = faults

    def post(self) -> None:
        """Change some faults by name."""
        set_faults(self.faults, msgspec.json.decode(self.request.body))
        self.write({"changed": True})


class FaultyHandler(RequestHandler):
    """Answer requests unless a fault says otherwise."""

    faults: Faults

    async def prepare(self) -> None:
        """Apply outage, silence and slowness before the request takes effect."""
        if self.faults.silent:
            await asyncio.Event().wait()
        if self.faults.delay_seconds:
            await asyncio.sleep(self.faults.delay_seconds)
        if self.faults.down:
            self.send_error(503)

    def loses_answer(self) -> bool:
        """Return whether this answer is to be lost after its effect."""
        if not self.faults.lose_answers:
            return False
        self.faults.lose_answers -= 1
        return True

    def uses_up(self, fault: str) -> bool:
        """Return whether a counted fault is due, and count it down."""
        left: int = getattr(self.faults, fault)
        if not left:
            return False
        setattr(self.faults, fault, left - 1)
        return True

    def drop_connection(self) -> None:
        """Close the connection without an answer."""
        self.detach().close()
