"""What one instance knows of the fleet."""

from dataclasses import dataclass, field

from magnoliatrail.generated.membership import OwnerRow, SessionRow
from magnoliatrail.generated.platform import (
    ListedInstance,
    ListedKind,
    ListedState,
)
from magnoliatrail.ids import EngineId, InstanceId


@dataclass
class Fleet:
    """Keep the latest instance list, sessions and owners."""

    listed: dict[str, ListedInstance] = field(default_factory=dict)
    sessions: dict[InstanceId, SessionRow] = field(default_factory=dict)
    owners: dict[EngineId, OwnerRow] = field(default_factory=dict)

    def is_live(self, server: str) -> bool:
        """Return whether a backend server may get new work."""
        listed = self.listed.get(server)
        return listed is not None and listed.state is ListedState.LIVE

    def live_engines(self, base_model: str) -> list[ListedInstance]:
        """Return the engines of a base model that may get new work."""
        return self.live(ListedKind.ENGINE, base_model)

    def live_services(self, name: str) -> list[ListedInstance]:
        """Return the replicas of a plain service that may get new work."""
        return self.live(ListedKind.SERVICE, name)

    def live(self, kind: ListedKind, name: str) -> list[ListedInstance]:
        """Return the backend servers of a kind and name that may get new work."""
        return [
            item
            for item in self.listed.values()
            if item.kind is kind
            and item.name == name
            and item.state is ListedState.LIVE
        ]

    def engines(self) -> list[ListedInstance]:
        """Return all engines, live or leaving."""
        return [item for item in self.listed.values() if item.kind is ListedKind.ENGINE]

    def owner_of(self, engine: EngineId) -> InstanceId | None:
        """Return the instance that owns an engine, if it is known to live."""
        row = self.owners.get(engine)
        if row is None or InstanceId(row.instance) not in self.sessions:
            return None
        return InstanceId(row.instance)
