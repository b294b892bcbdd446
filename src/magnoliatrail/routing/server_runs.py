"""Tell the runs of a server apart by the connections to them.

A server's list entry may be older than the process that answers, so its start time
doesn't name the process. A connection does: it begins and ends within one run.
"""

from collections import OrderedDict
from dataclasses import dataclass, replace
from datetime import timedelta

from magnoliatrail.ids import ServerId

# A server and the start time of its run, as the list had it.
ServerRun = tuple[ServerId, int]

# A server that crashed takes no new connections for at least this long.
MIN_RESTART_TIME = timedelta(milliseconds=500)
MAX_SERVERS = 8_192
MAX_SPANS_PER_SERVER = 4


@dataclass(frozen=True, slots=True)
class BrokenRun:
    """A server run that broke off answers, as one instance or several saw it."""

    server: ServerRun
    # When the first of the answers broke off after which no connection was opened.
    at: timedelta
    # When the run was last known to be alive before, None if it is not known.
    alive_at: timedelta | None = None
    # When the latest of the broken connections was opened, None if it is not known.
    connected_at: timedelta | None = None

    def is_same_run(self, other: "BrokenRun") -> bool:
        """Return whether two observations are of one run of a server."""
        if self.server[0] != other.server[0]:
            return False
        if self.connected_at is None or other.connected_at is None:
            return self.server == other.server
        return (
            self.connected_at < other.at + MIN_RESTART_TIME
            and other.connected_at < self.at + MIN_RESTART_TIME
        )

    def merged(self, other: "BrokenRun") -> "BrokenRun":
        """Return what two observations of the same run say together.

        A run that took a connection after it broke off an answer had not ended then.
        """
        connected_at = latest(self.connected_at, other.connected_at)
        times = (self.at, other.at)
        ends = [at for at in times if connected_at is None or at >= connected_at]
        return BrokenRun(
            self.server,
            min(ends, default=max(times)),
            latest(self.alive_at, other.alive_at),
            connected_at,
        )


@dataclass(frozen=True, slots=True)
class LiveSpan:
    """A time through which one run of a server lived."""

    # When the connection was opened, None if only the list names the run.
    begin: timedelta | None
    end: timedelta
    # The start time of the run by the list, which may be that of an earlier one.
    born: int

    def refutes(self, broken: BrokenRun) -> bool:
        """Return whether the run lived on after it broke off answers.

        The next run takes no connection before it could have started again.
        """
        if self.end <= broken.at:
            return False
        if broken.connected_at is None:
            return self.born == broken.server[1]
        alive_at = broken.at if broken.alive_at is None else broken.alive_at
        return self.begin is not None and self.begin < alive_at + MIN_RESTART_TIME

    def is_same_run(self, other: "LiveSpan") -> bool:
        """Return whether two spans of a server are certainly of one run."""
        if self.begin is None or other.begin is None:
            return self.begin == other.begin and self.born == other.born
        return self.begin <= other.end and other.begin <= self.end

    def joined(self, other: "LiveSpan") -> "LiveSpan":
        """Return the span of two spans of one run."""
        newest = max(self, other, key=lambda item: item.end)
        if self.begin is None or other.begin is None:
            return newest
        return replace(newest, begin=min(self.begin, other.begin))


class LiveSpans:
    """Keep when runs of servers are known to have lived, by their answers."""

    def __init__(self) -> None:
        self.spans: OrderedDict[ServerId, list[LiveSpan]] = OrderedDict()

    def record(self, server: ServerId, span: LiveSpan) -> None:
        """Add a span, joined with those of the same run."""
        apart = []
        for known in self.spans.get(server, []):
            if known.is_same_run(span):
                span = span.joined(known)
            else:
                apart.append(known)
        spans = sorted([*apart, span], key=lambda item: item.end)
        self.spans[server] = spans[-MAX_SPANS_PER_SERVER:]
        self.spans.move_to_end(server)
        while len(self.spans) > MAX_SERVERS:
            self.spans.popitem(last=False)

    def of(self, server: ServerId) -> list[LiveSpan]:
        """Return the known spans of a server, the oldest first."""
        return self.spans.get(server, [])

    def refutes(self, broken: BrokenRun) -> bool:
        """Return whether a run that broke off answers is known to have lived on."""
        return any(span.refutes(broken) for span in self.of(broken.server[0]))


def latest(first: timedelta | None, second: timedelta | None) -> timedelta | None:
    """Return the later of two times, or the one that is known."""
    return max((at for at in (first, second) if at is not None), default=None)
