"""Configuration, adapter versions and backend servers as one instance sees them."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from datetime import timedelta

from expression import Result

from magnoliatrail.backends import (
    BackendServer,
    LoadedAdapter,
    ServerNotice,
    ServerState,
)
from magnoliatrail.clock import Clock
from magnoliatrail.ids import ServerId
from magnoliatrail.logs import EventLog
from magnoliatrail.membership.departures import DepartureKind, Departures
from magnoliatrail.membership.request_limits import RequestLimits
from magnoliatrail.membership.server_refusals import ServerRefusals
from magnoliatrail.membership.table_view import TableView
from magnoliatrail.platform.configuration_rows import (
    decode_configuration,
    decode_version,
)
from magnoliatrail.platform.protocol import CONFIG_KEY, OPERATOR_TABLE, SERVERS_TABLE
from magnoliatrail.platform.rows import RowsRead, StoredRow
from magnoliatrail.platform.server_rows import decode_server
from magnoliatrail.platform.store_versions import era_of
from magnoliatrail.routes import RouteTable

log = EventLog("membership")

# The version of every adapter for which the store has no row.
FIRST_VERSION = 1
# A store without a successful read for this long may have dropped running servers.
STORE_OUTAGE_THRESHOLD = timedelta(seconds=1.8)
# Running servers that lapsed in a store outage are listed again within this time.
RELISTING_GRACE = timedelta(seconds=2)

# The first versions of a row after the store came back from a copy; peers get each.
UNCONFIRMED_VERSIONS = 2


@dataclass(frozen=True, slots=True)
class LapsedServer:
    """A server that the list dropped during a store outage."""

    server: BackendServer
    until: timedelta
    # Version of the store at which the list no longer had it.
    version: int


class FleetView:
    """View of the fleet, decoded from the rows of the store."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.tables = {OPERATOR_TABLE: TableView(), SERVERS_TABLE: TableView()}
        self.routes: RouteTable | None = None
        self.versions: dict[tuple[str, str], int] = {}
        self.servers: dict[ServerId, BackendServer] = {}
        # The servers as their rows describe them, whatever else is known of them.
        self.listed: dict[ServerId, BackendServer] = {}
        # How many versions of a server's row were read, in which era of the store.
        self.versions_read: dict[ServerId, tuple[int, int]] = {}
        self.lapsed: dict[ServerId, LapsedServer] = {}
        self.departures = Departures()
        self.refusals = ServerRefusals(clock)
        self.request_limits = RequestLimits(clock)
        self.on_change: list[Callable[[], None]] = []

    @property
    def lists_servers(self) -> bool:
        """Return whether the list of servers has been read."""
        return self.tables[SERVERS_TABLE].fresh_at is not None

    def age(self) -> timedelta:
        """Return the age of the older of both tables."""
        now = self.clock.monotonic()
        return max(table.age(now) for table in self.tables.values())

    def list_age(self) -> timedelta:
        """Return the greatest possible age of the list of servers."""
        return self.tables[SERVERS_TABLE].age(self.clock.monotonic())

    def apply(
        self, table: str, read: RowsRead, asked_at: timedelta, source: str
    ) -> None:
        """Apply updates of a table; `source` names their sender in the log."""
        view = self.tables[table]
        restored = bool(view.version) and era_of(read.version) > era_of(view.version)
        if restored:
            log.warning("table_restored", table=table, source=source)
        unavailable = restored or self.store_was_unavailable(table, asked_at)
        updates = view.updates_in(read)
        for row in updates:
            if table == OPERATOR_TABLE:
                self.apply_operator_row(row, asked_at, source)
            else:
                self.apply_server_row(
                    row, store_was_unavailable=unavailable, source=source
                )
        # Only now, so that a row that fails to apply is read again.
        if read.version > view.version:
            view.learned_at = self.clock.monotonic()
        view.record(read, updates, asked_at)
        self.expire_lapsed()
        if updates:
            for notify in self.on_change:
                notify()

    def store_was_unavailable(self, table: str, asked_at: timedelta) -> bool:
        """Return whether a read from the store failed since a table was last current.

        Updates that are only late, because a peer sent none, are no sign of a store
        outage.
        """
        fresh_at, failed_at = self.tables[table].fresh_at, self.tables[table].failed_at
        if fresh_at is None:
            return True
        failed = failed_at is not None and failed_at >= fresh_at
        return failed and asked_at - fresh_at > STORE_OUTAGE_THRESHOLD

    def apply_operator_row(
        self, row: StoredRow, asked_at: timedelta, source: str
    ) -> None:
        """Apply a configuration row or an adapter version row."""
        if row.value is None:
            return
        if row.key == CONFIG_KEY:
            self.apply_configuration(row, asked_at, source)
            return
        version = decode_version(row.key, row.value)
        if version is None:
            log.warning("row_unreadable", key=row.key, row_version=row.version)
            return
        key = (version.model, version.adapter)
        if version.version > self.versions.get(key, 0):
            self.versions[key] = version.version
            log.info(
                "adapter_version_in_force",
                adapter=version,
                row_version=row.version,
                source=source,
            )

    def apply_configuration(
        self, row: StoredRow, asked_at: timedelta, source: str
    ) -> None:
        """Activate a configuration unless a newer one is active."""
        assert row.value is not None
        received_at = self.clock.monotonic()
        match decode_configuration(row.value):
            case Result(tag="ok", ok=routes):
                if self.routes is None or routes.version > self.routes.version:
                    self.routes = routes
                    log.info(
                        "configuration_in_force",
                        version=routes.version,
                        row_version=row.version,
                        routes=len(routes.routes),
                        bytes=len(row.value),
                        age=received_at - asked_at,
                        decoded_in=self.clock.monotonic() - received_at,
                        source=source,
                    )
            case Result(error=failure):
                log.error(
                    "configuration_unreadable",
                    row_version=row.version,
                    reason=failure.message,
                )

    def apply_server_row(
        self, row: StoredRow, *, store_was_unavailable: bool, source: str
    ) -> None:
        """Apply a server's description or its removal."""
        id_ = ServerId(row.key)
        if row.value is None:
            self.tables[SERVERS_TABLE].changed_at[row.key] = row.version
        known, before = self.servers.get(id_), self.listed.get(id_)
        if row.value is None:
            self.listed.pop(id_, None)
            self.versions_read.pop(id_, None)
            self.drop_server(
                id_,
                row.version,
                store_was_unavailable=store_was_unavailable,
                source=source,
            )
            return
        match decode_server(row.key, row.value):
            case Result(tag="ok", ok=found):
                self.listed[id_] = found
                unconfirmed = self.record_version(id_, row.version)
                unchanged = before and shared_fields(before) == shared_fields(found)
                if unconfirmed or not unchanged:
                    self.tables[SERVERS_TABLE].changed_at[row.key] = row.version
                state = self.departures.state_of(found, row.version)
                if state is None:
                    log.info(
                        "departed_server_listed",
                        server=id_,
                        born=found.born,
                        source=source,
                    )
                    return
                self.lapsed.pop(id_, None)
                self.servers[id_] = server = replace(found, state=state)
                fields = self.described(server, source, row.version)
                if known is None or known.born != server.born:
                    log.info("server_listed", **fields)
                elif known.state is not server.state or (
                    before is not None and before.state is not found.state
                ):
                    log.info("server_state", **fields)
            case Result(error=failure):
                # The row describes no usable server; a known one with this id stays.
                log.warning("row_unreadable", key=row.key, reason=failure.message)

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
        store_was_unavailable: bool,
        source: str,
    ) -> None:
        """Remove a server, after a grace period if a store outage may be the cause."""
        server = self.servers.get(id_)
        if server is None:
            return
        if store_was_unavailable and server.state is ServerState.READY:
            until = self.clock.monotonic() + RELISTING_GRACE
            self.lapsed[id_] = LapsedServer(server, until, version)
            log.info("server_lapsed", **self.described(server, source, version))
            return
        self.departures.record_row(server.key, DepartureKind.REMOVED, version)
        del self.servers[id_]
        log.info("server_gone", **self.described(server, source, version))

    def expire_lapsed(self) -> None:
        """Remove the lapsed servers that were not listed again in time."""
        now = self.clock.monotonic()
        for id_, lapsed in list(self.lapsed.items()):
            if now >= lapsed.until:
                del self.lapsed[id_]
                self.servers.pop(id_, None)
                self.departures.record_row(
                    lapsed.server.key, DepartureKind.REMOVED, lapsed.version
                )
                fields = self.described(lapsed.server, "lapse", lapsed.version)
                log.info("server_gone", **fields)

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

    def server_addresses(self) -> set[str]:
        """Return the addresses of the servers that accept new requests."""
        self.expire_lapsed()
        return {
            server.address
            for server in self.servers.values()
            if server.state is ServerState.READY
        }

    def apply_notice(self, server: BackendServer, notice: ServerNotice) -> None:
        """Apply what a server said of itself in an answer."""
        if notice.refuses_for:
            self.refusals.record(server, notice.refuses_for)
        if notice.unlimited or notice.requests_per_second is not None:
            self.request_limits.record(server.key, notice.requests_per_second)
        if not notice.leaving or not self.departures.record_answer(server.key):
            return
        known = self.servers.get(server.id)
        if known is None or known.key != server.key:
            return
        self.servers[server.id] = replace(known, state=ServerState.LEAVING)
        log.info("server_state", **self.described(self.servers[server.id], "answer"))
        for changed in self.on_change:
            changed()

    def accepting(self, service: str) -> list[BackendServer]:
        """Return the usable servers of a service that want requests from here now."""
        return [
            item for item in self.usable(service) if not self.refusals.refuses(item)
        ]

    def accepts_in(self, service: str) -> timedelta:
        """Return the time until a usable server of a service wants requests from here.

        Zero if one does now, or if there is no usable server.
        """
        return self.refusals.shortest_wait(self.usable(service))

    def engines(self) -> list[BackendServer]:
        """Return the servers that run models and accept new requests."""
        services = self.engine_services()
        return [server for service in services for server in self.usable(service)]

    def required_version(self, adapter: LoadedAdapter) -> int:
        """Return the newest known version of an adapter."""
        return self.versions.get((adapter.model, adapter.adapter), FIRST_VERSION)

    def engine_services(self) -> list[str]:
        """Return the services whose servers run models."""
        if self.routes is None:
            return []
        return [item.name for item in self.routes.services.values() if item.engine]


def shared_fields(server: BackendServer) -> tuple[object, ...]:
    """Return the fields of a server that instances other than its owner need."""
    models = tuple(model.name for model in server.models)
    return (
        server.key,
        server.service,
        server.address,
        server.state,
        server.time_until_removal,
        server.software_version,
        models,
    )
