"""One instance's view of the fleet."""

from datetime import timedelta

from magnoliatrail.clock import Clock
from magnoliatrail.generated.membership import MemberRecord, OwnerRow
from magnoliatrail.generated.platform import ListedInstance, ListedKind
from magnoliatrail.ids import EngineId, InstanceId
from magnoliatrail.membership.gossip import GossipLog
from magnoliatrail.membership.members import Members
from magnoliatrail.membership.servers import VIEW_VALIDITY, ServerView


class Fleet:
    """Views of backend servers, members and engine owners."""

    def __init__(self, clock: Clock, own: MemberRecord) -> None:
        self.clock = clock
        self.gossip = GossipLog()
        self.members = Members(clock, self.gossip, own)
        self.servers = ServerView(clock)
        self.owners: dict[EngineId, OwnerRow] = {}
        self.last_contact: timedelta = clock.monotonic()

    @property
    def listed(self) -> dict[str, ListedInstance]:
        """Return the instance list as last read."""
        return self.servers.listed

    def is_live(self, server: str) -> bool:
        """Return whether a backend server may get new work."""
        return not self.is_isolated() and self.servers.is_live(server)

    def is_isolated(self) -> bool:
        """Return whether the list and all peers have been unreachable for too long."""
        if self.servers.own_list_age() <= VIEW_VALIDITY or not self.members.peers():
            return False
        return self.clock.monotonic() - self.last_contact > VIEW_VALIDITY

    def live_engines(self, base_model: str) -> list[ListedInstance]:
        """Return the engines of a base model that may get new work."""
        return self.live(ListedKind.ENGINE, base_model)

    def live_services(self, name: str) -> list[ListedInstance]:
        """Return the replicas of a plain service that may get new work."""
        return self.live(ListedKind.SERVICE, name)

    def live(self, kind: ListedKind, name: str) -> list[ListedInstance]:
        """Return the backend servers of a kind and name that may get new work."""
        if self.is_isolated():
            return []
        return [
            item
            for item in self.listed.values()
            if item.kind is kind and item.name == name and self.servers.is_live(item.id)
        ]

    def engines(self) -> list[ListedInstance]:
        """Return all engines, live or leaving."""
        return [item for item in self.listed.values() if item.kind is ListedKind.ENGINE]

    def owner_of(self, engine: EngineId) -> InstanceId | None:
        """Return the instance that owns an engine, if its run should answer."""
        row = self.owners.get(engine)
        if row is None or not self.members.is_running(row.instance, row.incarnation):
            return None
        return InstanceId(row.instance)

    def apply_owner(self, row: OwnerRow, source: InstanceId) -> bool:
        """Apply an ownership row unless an equal or higher fencing number is known."""
        known = self.owners.get(EngineId(row.engine))
        if known and known.fencing_number >= row.fencing_number:
            return False
        self.owners[EngineId(row.engine)] = row
        self.gossip.put(row, source)
        return True

    def peer_url(self, instance: InstanceId) -> str | None:
        """Return the address of an instance that should answer."""
        record = self.members.get(instance)
        return record.peer_url if record else None
