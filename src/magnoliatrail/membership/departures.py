"""Server runs that leave or are gone, by the rows of the store and by answers."""

from dataclasses import dataclass, replace

from magnoliatrail.backends import BackendServer, ServerState
from magnoliatrail.ids import ServerId
from magnoliatrail.platform.store_versions import era_of

# Server runs to remember, by rows and by answers; the oldest is forgotten first.
MAX_RUNS = 4096

# A server's id and the start time of the run.
RunKey = tuple[ServerId, int]


@dataclass(slots=True)
class Departure:
    """A server run that is known to leave or to be gone."""

    # Version of the row that said so.
    version: int
    draining: bool
    # Version of the row of the run that a restored store listed again, 0 if none.
    relisted_at: int = 0


class Departures:
    """Server runs that are known to leave or to be gone."""

    def __init__(self) -> None:
        self.by_rows: dict[RunKey, Departure] = {}
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

    def record_row(
        self, server: BackendServer, version: int, *, draining: bool
    ) -> None:
        """Record that a server run leaves or is gone, by a version of its row."""
        known = self.by_rows.pop(server.key, None)
        draining = draining or (known is not None and known.draining)
        self.by_rows[server.key] = Departure(version, draining)
        if len(self.by_rows) > MAX_RUNS:
            del self.by_rows[next(iter(self.by_rows))]

    def known_state(self, server: BackendServer, version: int) -> BackendServer | None:
        """Return a listed server in the state that is known of its run.

        A store that came back from a copy lists servers as they were before. One that
        had announced its departure is still leaving, and one that was gone, for which
        this returns None, is listed again only once its row is written anew.
        """
        if server.key in self.by_answers:
            server = replace(server, state=ServerState.LEAVING)
        departure = self.by_rows.get(server.key)
        if server.state is ServerState.LEAVING:
            self.record_row(server, version, draining=True)
            return server
        if departure is None:
            return server
        if era_of(version) == era_of(departure.version):
            del self.by_rows[server.key]
            return server
        if departure.draining:
            return replace(server, state=ServerState.LEAVING)
        if departure.relisted_at in (0, version):
            departure.relisted_at = version
            return None
        del self.by_rows[server.key]
        return server
