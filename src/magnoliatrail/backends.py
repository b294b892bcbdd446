"""Backend servers and their models, from the platform's server list."""

from collections.abc import Callable
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
    """One version of an adapter on an engine; version 0 if none is given."""

    model: str
    adapter: str
    version: int = 0

    def __str__(self) -> str:
        """Return the name that logs show."""
        return f"{self.model}/{self.adapter}@{self.version}"


@dataclass(frozen=True, slots=True)
class LoadedModel:
    """Base weights that an engine holds."""

    name: str
    version: int
    adapters: tuple[LoadedAdapter, ...]


@dataclass(frozen=True, slots=True)
class ServerNotice:
    """What a server says of itself in an answer, beside the answer."""

    leaving: bool = False
    # The server refused a request and wants no other from this instance for so long.
    refuses_for: timedelta = timedelta()
    # Requests a second that the server takes from all instances together, None if it
    # says nothing of it.
    requests_per_second: float | None = None
    # Whether it answered a request without naming a limit.
    unlimited: bool = False


@dataclass(frozen=True, slots=True)
class BackendServer:
    """One run of one backend server."""

    id: ServerId
    # Start time in Unix milliseconds. A restarted server keeps its id and gets a new
    # start time, so only both identify it.
    born: int
    service: str
    address: str
    failure_domain: FailureDomain
    batch_slots: int
    state: ServerState
    models: tuple[LoadedModel, ...]
    orders_accepted: int
    time_until_removal: timedelta | None = None
    # Version of the server's software, not of its models; it has no order.
    software_version: str = ""

    @property
    def key(self) -> tuple[ServerId, int]:
        """Return the key that distinguishes this run from other runs of the server."""
        return self.id, self.born

    @property
    def shared_fields(self) -> tuple[object, ...]:
        """Return the fields that instances other than the owner need."""
        models = tuple(model.name for model in self.models)
        return (
            self.key,
            self.service,
            self.address,
            self.state,
            self.time_until_removal,
            self.software_version,
            models,
        )

    def has_software_version(self, required: str) -> bool:
        """Return whether the software has a required version; empty allows any."""
        return required in ("", self.software_version)


# Receives what a server says of itself in an answer.
NoticeSink = Callable[[BackendServer, ServerNotice], None]
