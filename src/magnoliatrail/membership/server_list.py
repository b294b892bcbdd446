"""Backend servers as their rows, and what else is known of them, describe them."""

from dataclasses import replace
from datetime import timedelta

from expression import Result

from magnoliatrail.backends import BackendServer, ServerState
from magnoliatrail.clock import Clock
from magnoliatrail.ids import ServerId
from magnoliatrail.logs import EventLog
from magnoliatrail.membership.departures import (
    Departure,
    DepartureKind,
    Departures,
    RunKey,
)
from magnoliatrail.membership.evidence import Outage
from magnoliatrail.membership.lapsed_servers import (
    LapsedServer,
    disproved,
    expired,
    outage_signs,
)
from magnoliatrail.membership.table_view import TableView
from magnoliatrail.platform.rows import StoredRow
from magnoliatrail.platform.server_rows import decode_departure, decode_server
from magnoliatrail.platform.store_versions import era_of

log = EventLog("membership")

# The first versions of a row after the store came back from a copy; peers get each.
UNCONFIRMED_VERSIONS = 2


class ServerList:
    """Servers that rows of the store list, and those that may get new requests."""

    def __init__(self, clock: Clock, table: TableView) -> None:
        self.clock = clock
        self.table = table
        self.servers: dict[ServerId, BackendServer] = {}
        # The servers as their rows describe them, whatever else is known of them.
        self.listed: dict[ServerId, BackendServer] = {}
        # How many versions of a server's row were read, in which era of the store.
        self.versions_read: dict[ServerId, tuple[int, int]] = {}
        self.lapsed: dict[ServerId, LapsedServer] = {}
        self.departures = Departures()
        # Departures that the newest rows of the servers don't show; peers get them.
        self.withheld: dict[ServerId, Departure] = {}

    def apply_row(self, row: StoredRow, *, outage: Outage | None, source: str) -> None:
        """Apply a server's description or its removal."""
        id_ = ServerId(row.key)
        if row.value is None:
            self.table.changed_at[row.key] = row.version
        if row.value is None:
            self.listed.pop(id_, None)
            self.versions_read.pop(id_, None)
            self.withheld.pop(id_, None)
            self.drop_server(id_, row.version, outage=outage, source=source)
            return
        match decode_server(row.key, row.value):
            case Result(tag="ok", ok=found):
                self.apply_description(found, row.version, source)
                self.update_withheld(id_, found)
            case Result(error=failure):
                # The row describes no usable server; a known one with this id stays.
                log.warning("row_unreadable", key=row.key, reason=failure.message)
                self.listed.pop(id_, None)
                self.table.changed_at[row.key] = row.version
                self.apply_odd_row(id_, row, source)
                self.update_withheld(id_, None)

    def apply_description(
        self, found: BackendServer, row_version: int, source: str
    ) -> None:
        """Apply the description of a server in its newest row."""
        id_ = found.id
        known, before = self.servers.get(id_), self.listed.get(id_)
        self.listed[id_] = found
        unconfirmed = self.record_version(id_, row_version)
        unchanged = before and before.shared_fields == found.shared_fields
        if unconfirmed or not unchanged:
            self.table.changed_at[id_] = row_version
        if self.has_ended(found.key):
            log.info("ended_run_listed", server=id_, born=found.born, source=source)
            return
        self.use_description(found, row_version, source)
        server = self.servers.get(id_)
        if (
            server is not None
            and known is not None
            and known.born == server.born
            and (
                known.state is not server.state
                or (before is not None and before.state is not found.state)
            )
        ):
            fields = self.described(server, source, row_version)
            log.info("server_state", **fields)

    def use_description(
        self, found: BackendServer, row_version: int, source: str
    ) -> None:
        """Use what a row says of a server's latest run, unless that is gone."""
        known = self.servers.get(found.id)
        state = self.departures.state_of(found, row_version)
        if state is None:
            log.info(
                "departed_server_listed",
                server=found.id,
                born=found.born,
                source=source,
            )
            return
        self.lapsed.pop(found.id, None)
        self.servers[found.id] = server = replace(found, state=state)
        if known is None or known.born != server.born:
            fields = self.described(server, source, row_version)
            log.info("server_listed", **fields)

    def update_withheld(self, id_: ServerId, listed: BackendServer | None) -> None:
        """Update whether a departure must be passed on beside a server's newest row.

        `listed` is what that row describes, None if it can't be read.
        """
        departure = self.departures.by_rows.get(id_)
        known = self.servers.get(id_)
        if known is not None and (listed is None or listed.born < known.born):
            # Peers may not have seen that a later run has ended the earlier ones.
            ended = known.born - 1
            if departure is None or departure.born <= ended:
                version = self.table.version
                departure = Departure(ended, DepartureKind.LEAVING, version)
        if departure is None or departure.is_shown_by(listed):
            self.withheld.pop(id_, None)
        else:
            self.withheld[id_] = departure

    def refresh_withheld(self, id_: ServerId) -> None:
        """Update the same by the newest row that is known."""
        row = self.table.rows.get(id_)
        if row is not None and row.value is not None:
            listed = decode_server(row.key, row.value)
            self.update_withheld(id_, listed.ok if listed.is_ok() else None)

    def apply_departure(self, id_: ServerId, departure: Departure, source: str) -> bool:
        """Apply a departure that another instance knows.

        Return whether a server leaves or is gone by it that did not before.
        """
        removed = departure.kind is DepartureKind.REMOVED
        if not self.departures.is_news(id_, departure) or (
            removed and self.is_listed_since(id_, departure)
        ):
            return False
        log.info(
            "departure_learned",
            server=id_,
            born=departure.born,
            kind=departure.kind,
            row_version=departure.version,
            source=source,
        )
        run = id_, departure.born
        if not removed:
            return self.record_leaving(run, departure.version, source)
        self.departures.record_row(run, departure.kind, departure.version)
        self.refresh_withheld(id_)
        known = self.servers.get(id_)
        if known is None or known.born > departure.born:
            return False
        self.lapsed.pop(id_, None)
        del self.servers[id_]
        log.info("server_gone", **self.described(known, source, departure.version))
        return True

    def record_leaving(self, run: RunKey, row_version: int, source: str) -> bool:
        """Record that a row said that a run leaves; earlier runs have ended.

        Return whether a server leaves by it that did not before.
        """
        id_, born = run
        self.departures.record_row(run, DepartureKind.LEAVING, row_version)
        self.refresh_withheld(id_)
        known = self.servers.get(id_)
        if known is None or known.born > born:
            return False
        return self.mark_leaving(known.key, source, row_version)

    def is_listed_since(self, id_: ServerId, removal: Departure) -> bool:
        """Return whether a run has written its row since it was removed."""
        row = self.table.rows.get(id_)
        if row is None or id_ not in self.listed or row.version < removal.version:
            return False
        era, versions = self.versions_read.get(id_, (era_of(row.version), 0))
        # The first version in a restored store is that of the copy.
        return era == era_of(removal.version) or versions >= UNCONFIRMED_VERSIONS

    def has_ended(self, run: RunKey) -> bool:
        """Return whether a later run of the server is known.

        A row of the earlier one was written late, or is from a copy of the store.
        """
        known = self.servers.get(run[0])
        if known is not None and run[1] < known.born:
            return True
        return self.departures.has_ended(run)

    def apply_older(
        self, row: StoredRow, *, outage: Outage | None, source: str
    ) -> bool:
        """Apply what still holds of a row that is older than the known one.

        A departure does, and that a later run has begun. Return whether a server
        changes by it.
        """
        if row.value is None:
            # A newer row that describes the server has listed it again.
            if ServerId(row.key) in self.listed:
                return False
            self.drop_server(
                ServerId(row.key), row.version, outage=outage, source=source
            )
            return True
        found = decode_server(row.key, row.value)
        if found.is_error():
            return self.apply_odd_row(ServerId(row.key), row, source)
        server = found.ok
        log.info(
            "older_server_row",
            server=row.key,
            born=server.born,
            row_state=server.state,
            row_version=row.version,
            source=source,
        )
        if server.state is ServerState.LEAVING:
            return self.record_leaving(server.key, row.version, source)
        return self.apply_later_run(server, row.version, source)

    def apply_later_run(
        self, server: BackendServer, row_version: int, source: str
    ) -> bool:
        """Use a run that the newest row of its server, of an earlier run, hides."""
        newest = self.table.rows.get(server.id)
        latest = self.latest_run(server.id)
        if newest is None or newest.value is None:
            return False
        if latest is not None and latest >= server.born:
            return False
        self.use_description(server, row_version, source)
        if server.id not in self.listed:
            # A newest row that can't be read may say that this run leaves.
            self.apply_odd_row(server.id, newest, source)
        self.refresh_withheld(server.id)
        return True

    def apply_odd_row(self, id_: ServerId, row: StoredRow, source: str) -> bool:
        """Apply what a row says of a departure that describes no usable server.

        Its key and its state are enough. Without a start time it is about the latest
        run that is known.
        """
        departure = None if row.value is None else decode_departure(row.value)
        if departure is None:
            return False
        born = departure.born
        if born is None:
            born = self.latest_run(id_)
        if born is None:
            return False
        return self.record_leaving((id_, born), row.version, source)

    def latest_run(self, id_: ServerId) -> int | None:
        """Return the start time of the latest known run of a server."""
        known, departure = self.servers.get(id_), self.departures.by_rows.get(id_)
        starts = [item.born for item in (known, departure) if item is not None]
        return max(starts, default=None)

    def mark_leaving(self, run: RunKey, source: str, row_version: int = 0) -> bool:
        """Let a run leave if it is listed as ready; return whether it was."""
        known = self.servers.get(run[0])
        if known is None or known.key != run or known.state is ServerState.LEAVING:
            return False
        self.lapsed.pop(known.id, None)
        self.servers[known.id] = leaving = replace(known, state=ServerState.LEAVING)
        log.info("server_state", **self.described(leaving, source, row_version))
        return True

    def record_version(self, id_: ServerId, version: int) -> bool:
        """Count a version of a row, and return whether its server may be gone.

        In the first one after the store came back from a copy, the server may be listed
        as of before. Peers that know it as gone use it from the second one on.
        """
        era = era_of(version)
        known_era, count = self.versions_read.get(id_, (era, 0))
        count = count + 1 if known_era == era else 1
        self.versions_read[id_] = era, count
        return era > 0 and count <= UNCONFIRMED_VERSIONS

    def drop_server(
        self,
        id_: ServerId,
        version: int,
        *,
        outage: Outage | None,
        source: str,
    ) -> None:
        """Remove a server, after a grace period if a store outage may be the cause."""
        server = self.servers.get(id_)
        if server is None:
            return
        if outage is not None and server.state is ServerState.READY:
            self.lapsed[id_] = LapsedServer(server, outage, version)
            fields = self.described(server, source, version)
            signs = outage_signs(self.table, outage, self.clock.monotonic())
            log.info("server_lapsed", **fields, **signs)
            return
        self.departures.record_row(server.key, DepartureKind.REMOVED, version)
        del self.servers[id_]
        log.info("server_gone", **self.described(server, source, version))

    def expire_lapsed(self) -> None:
        """Remove the lapsed servers that were not listed again in time."""
        for lapsed in expired(self.lapsed.values(), self.clock.monotonic()):
            self.end_lapse(lapsed, "lapse")

    def end_lapses(self, readable_since: timedelta, source: str) -> bool:
        """Remove the servers that lapsed in what turns out not to be an outage.

        Another instance could read the store since a time; return whether that ends
        any lapse.
        """
        ended = disproved(self.lapsed.values(), readable_since)
        for lapsed in ended:
            self.end_lapse(lapsed, source)
        return bool(ended)

    def end_lapse(self, lapsed: LapsedServer, source: str) -> None:
        """Remove a lapsed server."""
        server = lapsed.server
        del self.lapsed[server.id]
        self.servers.pop(server.id, None)
        self.departures.record_row(server.key, DepartureKind.REMOVED, lapsed.version)
        log.info("server_gone", **self.described(server, source, lapsed.version))

    def described(
        self, server: BackendServer, source: str, row_version: int = 0
    ) -> dict[str, object]:
        """Return what a line says of a server, of its row, and of where it is from."""
        listed = self.listed.get(server.id)
        return {
            "server": server.id,
            "born": server.born,
            "service": server.service,
            "address": server.address,
            "state": server.state,
            "row_state": listed.state if listed else "",
            "row_version": row_version,
            "software_version": server.software_version,
            "source": source,
        }

    def usable(self, service: str) -> list[BackendServer]:
        """Return the servers of a service that accept new requests."""
        self.expire_lapsed()
        return [
            server
            for server in self.servers.values()
            if server.service == service and server.state is ServerState.READY
        ]

    def is_usable(self, server: BackendServer) -> bool:
        """Return whether a server run, as it was chosen, still accepts new requests."""
        self.expire_lapsed()
        known = self.servers.get(server.id)
        return (
            known is not None
            and known.state is ServerState.READY
            and (known.key, known.address) == (server.key, server.address)
        )

    def addresses(self) -> set[str]:
        """Return the addresses of the servers that accept new requests."""
        self.expire_lapsed()
        return {
            server.address
            for server in self.servers.values()
            if server.state is ServerState.READY
        }

    def record_answer(self, server: BackendServer) -> bool:
        """Record that a run said in an answer that it leaves; return if that is new."""
        if not self.departures.record_answer(server.key):
            return False
        return self.mark_leaving(server.key, "answer")
