"""Configuration, adapter versions and backend servers as one instance sees them."""

from collections.abc import Callable
from datetime import timedelta

from expression import Result

from magnoliatrail.backends import (
    BackendServer,
    LoadedAdapter,
    ServerNotice,
)
from magnoliatrail.clock import Clock
from magnoliatrail.ids import ServerId
from magnoliatrail.logs import EventLog
from magnoliatrail.membership.departures import Departure
from magnoliatrail.membership.evidence import (
    OWN_READ,
    Evidence,
    outage_before,
    unbroken_since,
)
from magnoliatrail.membership.request_limits import RequestLimits
from magnoliatrail.membership.server_list import ServerList
from magnoliatrail.membership.server_refusals import ServerRefusals
from magnoliatrail.membership.table_view import TableView
from magnoliatrail.platform.configuration_rows import (
    decode_configuration,
    decode_version,
)
from magnoliatrail.platform.protocol import CONFIG_KEY, OPERATOR_TABLE, SERVERS_TABLE
from magnoliatrail.platform.rows import RowsRead, StoredRow
from magnoliatrail.routes import RouteTable

log = EventLog("membership")

# The version of every adapter for which the store has no row.
FIRST_VERSION = 1


class FleetView:
    """View of the fleet, decoded from the rows of the store."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.tables = {OPERATOR_TABLE: TableView(), SERVERS_TABLE: TableView()}
        self.routes: RouteTable | None = None
        self.versions: dict[tuple[str, str], int] = {}
        self.server_list = ServerList(clock, self.tables[SERVERS_TABLE])
        self.refusals = ServerRefusals(clock)
        self.request_limits = RequestLimits(clock)
        self.on_change: list[Callable[[], None]] = []

    @property
    def servers(self) -> dict[ServerId, BackendServer]:
        """Return the known servers, those that leave among them."""
        return self.server_list.servers

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

    @property
    def list_source(self) -> str:
        """Return whose read or update the list of servers has its age from."""
        return self.tables[SERVERS_TABLE].dated_by

    def apply(
        self,
        table: str,
        read: RowsRead,
        asked_at: timedelta,
        source: str,
        *,
        evidence: Evidence = OWN_READ,
    ) -> None:
        """Apply updates of a table; `source` names their sender in the log.

        Rows that may not be all changes since the table's version are applied, but show
        neither a newer version nor its age.
        """
        view = self.tables[table]
        outage = outage_before(view, read, asked_at, evidence)
        if outage is not None and outage.began is None:
            log.warning("table_restored", table=table, source=source)
        since = unbroken_since(view, asked_at, evidence, outage)
        updates = view.updates_in(read)
        changed = bool(updates)
        if table == SERVERS_TABLE:
            for row in view.older_in(read):
                changed |= self.server_list.apply_older(
                    row, outage=outage, source=source
                )
        if read.whole:
            log.info(
                "table_read_whole",
                table=table,
                version=read.version,
                before=view.version,
                rows=len(read.rows),
                source=source,
            )
        if table == OPERATOR_TABLE:
            for row in updates:
                self.apply_operator_row(row, asked_at, source)
        else:
            for row in view.steps_in(read, updates):
                self.server_list.apply_row(row, outage=outage, source=source)
        # Only now, so that a row that fails to apply is read again.
        if evidence.complete and read.version > view.version:
            view.learned_at = self.clock.monotonic()
        view.record(
            read,
            updates,
            asked_at,
            source=source,
            complete=evidence.complete,
            unbroken_since=since,
        )
        if evidence.unbroken_since is not None and evidence.complete:
            changed |= self.server_list.end_lapses(evidence.unbroken_since, source)
        self.server_list.expire_lapsed()
        if changed:
            for notify in self.on_change:
                notify()

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

    def usable(self, service: str) -> list[BackendServer]:
        """Return the servers of a service that accept new requests."""
        return self.server_list.usable(service)

    def is_usable(self, server: BackendServer) -> bool:
        """Return whether a server run, as it was chosen, still accepts new requests."""
        return self.server_list.is_usable(server)

    def server_addresses(self) -> set[str]:
        """Return the addresses of the servers that accept new requests."""
        return self.server_list.addresses()

    def apply_notice(self, server: BackendServer, notice: ServerNotice) -> None:
        """Apply what a server said of itself in an answer."""
        if notice.refuses_for:
            self.refusals.record(server, notice.refuses_for)
        if notice.unlimited or notice.requests_per_second is not None:
            self.request_limits.record(server.key, notice.requests_per_second)
        if notice.leaving and self.server_list.record_answer(server):
            for changed in self.on_change:
                changed()

    def apply_departure(
        self, server: ServerId, departure: Departure, source: str
    ) -> None:
        """Apply a departure that another instance knows."""
        if self.server_list.apply_departure(server, departure, source):
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
