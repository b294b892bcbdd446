"""Backend servers as the platform lists them."""

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from magnoliatrail.ids import FailureDomain, ServerId


class ServerState(Enum):
    """Whether a backend server takes new work."""

    READY = "ready"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class LoadedAdapter:
    """An adapter that an engine holds, in one version; 0 where none is named."""

    model: str
    adapter: str
    version: int = 0

    def __str__(self) -> str:
        """Return the name for logs."""
        return f"{self.model}/{self.adapter}@{self.version}"


@dataclass(frozen=True, slots=True)
class LoadedModel:
    """Base weights that an engine holds."""

    name: str
    version: int
    adapters: tuple[LoadedAdapter, ...]


@dataclass(frozen=True, slots=True)
class BackendServer:
    """One start of one backend server."""

    id: ServerId
    # Unix milliseconds of its start: the same id with another value is another server.
    born: int
    service: str
    address: str
    failure_domain: FailureDomain
    batch_slots: int
    state: ServerState
    models: tuple[LoadedModel, ...]
    orders_accepted: int
    time_until_removal: timedelta | None = None

    @property
    def key(self) -> tuple[ServerId, int]:
        """Return what tells this start from all others."""
        return self.id, self.born
