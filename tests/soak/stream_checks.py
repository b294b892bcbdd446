"""What must hold of each stream of a soak run, over all tries of its caller."""

from collections import defaultdict
from collections.abc import Iterable

from tests.soak.events import events_of
from tests.soak.servers import EVENTS, stream_answer
from tests.soak.traffic import HTTP_OK, Ending, Exchange, RequestKind


def disordered_streams(exchanges: Iterable[Exchange]) -> list[str]:
    """Return the streams with events that are missing, twice, wrong, or mixed."""
    tries: defaultdict[str, list[Exchange]] = defaultdict(list)
    for item in exchanges:
        if item.kind is RequestKind.STREAM and item.status == HTTP_OK:
            tries[item.resumes or item.request].append(item)
    return [line for stream in tries.values() for line in faults_of(stream)]


def resumed_streams(exchanges: Iterable[Exchange]) -> tuple[int, int]:
    """Return how many streams were taken up again, and how many of them went on."""
    resumed = [item for item in exchanges if item.resumes]
    went_on = {item.resumes for item in resumed if item.status == HTTP_OK}
    return len({item.resumes for item in resumed}), len(went_on)


def faults_of(tries: list[Exchange]) -> list[str]:
    """Return what is wrong with a stream that came in one or more answers."""
    found, last, version = [], 0, ""
    for item in tries:
        events, rest = events_of(item.body)
        for event in events:
            if event.id != last + 1:
                found.append(f"{item.request}: event {event.id} after {last}")
            if (event.number, event.asked) != (event.id, item.asked):
                found.append(f"{item.request}: event {event.id} has other data")
            if version and event.version != version:
                found.append(
                    f"{item.request}: event {event.id} of {event.version}, "
                    f"the stream began at {version}"
                )
            last, version = event.id, version or event.version
        if not may_go_on(rest, item.asked, version, last):
            found.append(f"{item.request}: {rest[:40]!r} after event {last}")
        if item.ending is Ending.WHOLE and last != EVENTS:
            found.append(f"{item.request}: ended as complete after event {last}")
    return found


def may_go_on(rest: bytes, asked: bytes, version: str, last: int) -> bool:
    """Return whether bytes begin what follows an event, at a version if it is known."""
    if version:
        return stream_answer(asked, version, after=last).startswith(rest)
    begin = b"id: %d\ndata: v" % (last + 1)
    return begin.startswith(rest) or rest.startswith(begin)
