"""Server runs that leave or are gone, by the rows of the store and by answers."""

from dataclasses import dataclass
from enum import Enum

from magnoliatrail.backends import BackendServer, ServerState
from magnoliatrail.ids import ServerId
from magnoliatrail.platform.store_versions import era_of

# Server runs to remember, by rows and by answers; the oldest is forgotten first.
MAX_RUNS = 4096

# A server's id and the start time of the run.
RunKey = tuple[ServerId, int]


class DepartureKind(Enum):
    """What the rows say of a run that leaves or is gone."""

    # Its row was removed, and may be written again.
    REMOVED = "removed"
    # Its row said that it leaves, which a run does not take back.
    LEAVING = "leaving"


@dataclass(slots=True)
class Departure:
    """The latest run of a server that is known to leave or to be gone."""

    # Start time of the run.
    born: int
    kind: DepartureKind
    # Version of the row that said so.
    version: int
    # Version of the row of the run that a restored store listed again, 0 if none.
    relisted_at: int = 0

    def is_shown_by(self, listed: BackendServer | None) -> bool:
        """Return whether a row, None if it can't be read, shows the departure."""
        if listed is None or listed.born < self.born:
            return False
        return listed.born > self.born or listed.state is ServerState.LEAVING


class Departures:
    """Server runs that are known to leave or to be gone.

    What is known of a run outlives its row: a heartbeat may be carried out late, and a
    store that comes back from a copy lists servers as they were before. A run has ended
    once a later one of the same server is known.
    """

    def __init__(self) -> None:
        self.by_rows: dict[ServerId, Departure] = {}
        # Server runs that said in an answer that they leave, the oldest first.
        self.by_answers: dict[RunKey, None] = {}

    def record_answer(self, run: RunKey) -> bool:
        """Record that a run said in an answer that it leaves; return if that is new."""
        if run in self.by_answers:
            return False
        self.by_answers[run] = None
        if len(self.by_answers) > MAX_RUNS:
            del self.by_answers[next(iter(self.by_answers))]
        return True

    def record_row(self, run: RunKey, kind: DepartureKind, version: int) -> None:
        """Record that a server run leaves or is gone, by a version of its row."""
        id_, born = run
        known = self.by_rows.get(id_)
        if known is not None and known.born > born:
            return
        if known is not None and known.born == born:
            # A run does not take back that it leaves.
            kind = known.kind if known.kind is DepartureKind.LEAVING else kind
            del self.by_rows[id_]
        self.by_rows[id_] = Departure(born, kind, version)
        if len(self.by_rows) > MAX_RUNS:
            del self.by_rows[next(iter(self.by_rows))]

    def is_news(self, server: ServerId, departure: Departure) -> bool:
        """Return whether a departure says more than is known of a server."""
        known = self.by_rows.get(server)
        if known is None or known.born != departure.born:
            return known is None or known.born < departure.born
        # A removed row may be written again, and one that says that it leaves may not.
        return (known.kind, departure.kind) == (
            DepartureKind.REMOVED,
            DepartureKind.LEAVING,
        )

    def has_ended(self, run: RunKey) -> bool:
        """Return whether a later run of the server is known to leave or to be gone."""
        id_, born = run
        departure = self.by_rows.get(id_)
        return departure is not None and born < departure.born

    def state_of(self, listed: BackendServer, version: int) -> ServerState | None:
        """Return the state of a listed run that has not ended.

        None if its row is no sign that it runs.
        """
        if listed.state is ServerState.LEAVING:
            self.record_row(listed.key, DepartureKind.LEAVING, version)
            return ServerState.LEAVING
        if listed.key in self.by_answers:
            return ServerState.LEAVING
        departure = self.by_rows.get(listed.id)
        if departure is None or departure.born < listed.born:
            return ServerState.READY
        if departure.kind is DepartureKind.LEAVING:
            return ServerState.LEAVING
        if era_of(version) != era_of(departure.version) and (
            departure.relisted_at in (0, version)
        ):
            # The restored store lists it as of before; it may be gone.
            departure.relisted_at = version
            return None
        del self.by_rows[listed.id]
        return ServerState.READY
