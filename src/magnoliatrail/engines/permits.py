"""Permits at their holder: the right to use a handle on an engine."""

from collections.abc import Callable
from dataclasses import dataclass

from magnoliatrail.generated.permits import (
    PermitGrant,
    PermitRecall,
    RecallAnswer,
    RecallState,
)
from magnoliatrail.ids import AdapterVersion, EngineId, Handle
from magnoliatrail.logs import EventLog

log = EventLog("permits")


@dataclass
class Permit:
    """A grant and the number of requests that use it."""

    grant: PermitGrant
    in_flight: int = 0
    waiting: int = 0
    revoked: bool = False

    @property
    def engine(self) -> EngineId:
        """Return the engine that the permit is for."""
        return EngineId(self.grant.engine)

    @property
    def handle(self) -> Handle:
        """Return the handle that may be used."""
        return Handle(self.grant.handle)

    @property
    def model(self) -> AdapterVersion:
        """Return the adapter and version behind the handle."""
        return AdapterVersion(self.grant.adapter, self.grant.version)

    @property
    def awaited(self) -> bool:
        """Return whether a request uses the handle or waits for a batch slot."""
        return self.in_flight > 0 or self.waiting > 0


class PermitHolder:
    """Permits of one instance."""

    def __init__(self) -> None:
        self.permits: dict[AdapterVersion, dict[EngineId, Permit]] = {}
        self.superseded: list[Permit] = []

    def put(self, grant: PermitGrant) -> Permit:
        """Store a grant, or renew the permit that it repeats."""
        model = AdapterVersion(grant.adapter, grant.version)
        by_engine = self.permits.setdefault(model, {})
        permit = by_engine.get(EngineId(grant.engine))
        if permit and permit.handle == grant.handle and not permit.revoked:
            permit.grant = grant
            return permit
        if permit and permit.in_flight:
            # Requests still run on the old handle, so a recall of it has to wait.
            self.superseded.append(permit)
        permit = Permit(grant)
        by_engine[permit.engine] = permit
        return permit

    def usable(
        self, model: AdapterVersion, allowed: Callable[[EngineId], bool]
    ) -> list[Permit]:
        """Return the permits for an adapter that may be used."""
        permits = self.permits.get(model, {}).values()
        return [item for item in permits if not item.revoked and allowed(item.engine)]

    def drop(self, permit: Permit) -> None:
        """Remove a permit whose handle is no longer usable."""
        permit.revoked = True
        by_engine = self.permits.get(permit.model, {})
        if by_engine.get(permit.engine) is permit:
            del by_engine[permit.engine]
        if not by_engine:
            self.permits.pop(permit.model, None)

    def on_engine(self, engine: EngineId) -> list[Permit]:
        """Return all permits on an engine."""
        self.superseded = [permit for permit in self.superseded if permit.in_flight]
        superseded = [permit for permit in self.superseded if permit.engine == engine]
        return superseded + [
            by_engine[engine]
            for by_engine in self.permits.values()
            if engine in by_engine
        ]

    def recall(self, recall: PermitRecall) -> RecallAnswer:
        """Return a handle to the owner unless a request uses or awaits it."""
        for permit in self.on_engine(EngineId(recall.engine)):
            if permit.handle != recall.handle:
                continue
            if permit.awaited:
                return RecallAnswer(state=RecallState.BUSY)
            self.drop(permit)
            log.info("permit_returned", engine=permit.engine, handle=permit.handle)
        return RecallAnswer(state=RecallState.RETURNED)
