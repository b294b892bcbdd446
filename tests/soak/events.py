"""The events of a stream of a soak run, as its caller reads them."""

import re
from dataclasses import dataclass

EVENT = re.compile(rb"id: (\d+)\ndata: (\S+) (\d+) ([^\n]*)\n\n")


@dataclass(frozen=True)
class Event:
    """One event: its id, and what its data tells."""

    id: int
    version: str
    number: int
    asked: bytes


def events_of(body: bytes) -> tuple[list[Event], bytes]:
    """Return the events that an answer begins with, and the bytes after them."""
    events, end = [], 0
    while found := EVENT.match(body, end):
        id_, version, number, asked = found.groups()
        events.append(Event(int(id_), version.decode(), int(number), asked))
        end = found.end()
    return events, body[end:]


def last_event(body: bytes) -> int:
    """Return the id of the last event of an answer, 0 if it has none."""
    events, _ = events_of(body)
    return events[-1].id if events else 0


def version_of(body: bytes) -> str:
    """Return the software version of the first event, that of the start without any."""
    events, _ = events_of(body)
    return events[0].version if events else "v1"
