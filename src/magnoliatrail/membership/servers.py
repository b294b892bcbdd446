"""Which backend servers may get new work, according to the list and to peers."""

from datetime import timedelta

from magnoliatrail.clock import Clock
from magnoliatrail.generated.membership import LeavingServer
from magnoliatrail.generated.platform import (
    InstanceList,
    ListedInstance,
    ListedKind,
    ListedState,
)

# An instance that reached neither the list nor a peer for this long cannot tell
# which backend servers are leaving.
VIEW_VALIDITY = timedelta(seconds=2.5)
# A list that was read this much later than a peer's report overrides the report.
MAX_LIST_LAG = timedelta(seconds=10)
LEAVING_REPORT_VALIDITY = timedelta(seconds=60)
# Age of a list that was never read; it exceeds every limit.
UNKNOWN_AGE_SECONDS = 1e6


class ServerView:
    """The instance list, combined with peers' reports of leaving backend servers."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.listed: dict[str, ListedInstance] = {}
        self.listed_leaving: frozenset[str] = frozenset()
        self.last_list: InstanceList | None = None
        self.list_read_at: timedelta | None = None
        self.peer_list_read_at: timedelta | None = None
        self.leaving_reports: dict[str, timedelta] = {}
        self.leaving: frozenset[str] = frozenset()
        self.instances_seen: set[str] = set()
        self.names_software_versions = False

    def apply_list(self, instances: InstanceList, asked_at: timedelta) -> bool:
        """Apply a list, and return whether a server began to leave."""
        if instances is not self.last_list:
            self.last_list = instances
            self.apply_entries(instances)
        self.list_read_at = asked_at
        for server, reported_at in list(self.leaving_reports.items()):
            if asked_at - reported_at > MAX_LIST_LAG and self.listed_live(server):
                del self.leaving_reports[server]
        return self.update_leaving()

    def apply_entries(self, instances: InstanceList) -> None:
        """Apply the entries of a changed list."""
        self.listed = {item.id: item for item in instances.instances}
        self.listed_leaving = frozenset(
            item.id for item in instances.instances if item.state is ListedState.LEAVING
        )
        self.names_software_versions = any(
            item.software_version
            for item in instances.instances
            if item.kind is ListedKind.ENGINE
        )
        self.instances_seen.update(
            item.id for item in instances.instances if item.kind is ListedKind.INSTANCE
        )

    def listed_live(self, server: str) -> bool:
        """Return whether the list shows a server as live."""
        item = self.listed.get(server)
        return item is not None and item.state is ListedState.LIVE

    def software_version(self, server: str) -> str | None:
        """Return the listed version of an engine's software.

        Empty if no engine is listed with one, None if others are, but not this one.
        """
        item = self.listed.get(server)
        if item and item.software_version:
            return item.software_version
        return None if self.names_software_versions else ""

    def merge_peer_view(
        self, leaving: list[LeavingServer], list_age: timedelta
    ) -> bool:
        """Merge a peer's view, and return whether a server began to leave."""
        now = self.clock.monotonic()
        self.peer_list_read_at = max(
            self.peer_list_read_at or timedelta.min, now - list_age
        )
        for item in leaving:
            reported_at = now - timedelta(seconds=item.age_seconds)
            self.leaving_reports[item.server] = max(
                self.leaving_reports.get(item.server, timedelta.min), reported_at
            )
        return self.update_leaving()

    def update_leaving(self) -> bool:
        """Recompute the leaving servers, and return whether a server began to leave."""
        before = self.leaving
        self.leaving = frozenset(self.leaving_seen_at())
        return bool(self.leaving - before)

    def leaving_seen_at(self) -> dict[str, timedelta]:
        """Return the leaving servers and when each was last reported as leaving."""
        now = self.clock.monotonic()
        servers = {
            name: at
            for name, at in self.leaving_reports.items()
            if now - at < LEAVING_REPORT_VALIDITY
        }
        for name in self.listed_leaving:
            servers[name] = self.list_read_at or timedelta()
        return servers

    def describe_leaving(self) -> list[LeavingServer]:
        """Return the leaving servers in the form that is sent to peers."""
        now = self.clock.monotonic()
        return [
            LeavingServer(server=name, age_seconds=max(0.0, (now - at).total_seconds()))
            for name, at in sorted(self.leaving_seen_at().items())
        ]

    def is_live(self, server: str) -> bool:
        """Return whether a server is listed as live and not reported as leaving."""
        return self.listed_live(server) and server not in self.leaving

    def is_delisted(self, instance: str) -> bool:
        """Return whether an instance was on the list and no longer is."""
        return instance in self.instances_seen and instance not in self.listed

    def list_age(self) -> timedelta:
        """Return the age of the newest view of the list known here."""
        times = [at for at in (self.list_read_at, self.peer_list_read_at) if at]
        if not times:
            return timedelta(seconds=UNKNOWN_AGE_SECONDS)
        return max(timedelta(), self.clock.monotonic() - max(times))

    def own_list_age(self) -> timedelta:
        """Return the time since this instance read the list itself."""
        if self.list_read_at is None:
            return timedelta(seconds=UNKNOWN_AGE_SECONDS)
        return self.clock.monotonic() - self.list_read_at
