"""What one instance knows of the fleet."""

from datetime import timedelta

from magnoliatrail.clock import Clock
from magnoliatrail.generated.membership import MemberRecord, OwnerRow
from magnoliatrail.generated.platform import ListedInstance, ListedKind
from magnoliatrail.ids import EngineId, InstanceId
from magnoliatrail.membership.members import Members
from magnoliatrail.membership.news import NewsLog
from magnoliatrail.membership.servers import VOUCH_LIMIT, ServerView


class Fleet:
    """Join the views of backend servers, members and owners."""

    def __init__(self, clock: Clock, own: MemberRecord) -> None:
        self.clock = clock
        self.news = NewsLog()
        self.members = Members(clock, self.news, own)
        self.servers = ServerView(clock)
        self.owners: dict[EngineId, OwnerRow] = {}
        self.last_contact: timedelta = clock.monotonic()

    @property
    def listed(self) -> dict[str, ListedInstance]:
        """Return the instance list as it was read last."""
        return self.servers.listed

    def is_live(self, server: str) -> bool:
        """Return whether a backend server may get new work."""
        return not self.cut_off() and self.servers.is_live(server)

    def cut_off(self) -> bool:
        """Return whether neither the list nor any peer was heard for too long."""
        if self.servers.own_list_age() <= VOUCH_LIMIT or not self.members.peers():
            return False
        return self.clock.monotonic() - self.last_contact > VOUCH_LIMIT

    def live_engines(self, base_model: str) -> list[ListedInstance]:
        """Return the engines of a base model that may get new work."""
        return self.live(ListedKind.ENGINE, base_model)

    def live_services(self, name: str) -> list[ListedInstance]:
        """Return the replicas of a plain service that may get new work."""
        return self.live(ListedKind.SERVICE, name)

    def live(self, kind: ListedKind, name: str) -> list[ListedInstance]:
        """Return the backend servers of a kind and name that may get new work."""
        if self.cut_off():
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
        """Return the instance that owns an engine, if it is known to live."""
        row = self.owners.get(engine)
        if row is None or not self.members.runs(row.instance, row.incarnation):
            return None
        return InstanceId(row.instance)

    def take_owner(self, row: OwnerRow, source: InstanceId) -> bool:
        """Take an owner unless a higher fencing number is known."""
        known = self.owners.get(EngineId(row.engine))
        if known and known.fencing_number >= row.fencing_number:
            return False
        self.owners[EngineId(row.engine)] = row
        self.news.put(row, source)
        return True

    def peer_url(self, instance: InstanceId) -> str | None:
        """Return the address of an instance that should answer."""
        record = self.members.get(instance)
        return record.peer_url if record else None
