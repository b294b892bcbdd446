"""A stand-in for the platform's instance list, with a propagation lag."""

from datetime import timedelta

import msgspec
from expression import Ok, Result
from tornado.web import Application

from magnoliatrail.clock import Clock
from magnoliatrail.errors import Failure
from magnoliatrail.generated.platform import InstanceList, ListedInstance, ListedState
from magnoliatrail.standins.faults import (
    FaultInjectingHandler,
    Faults,
    FaultSettingsHandler,
)


class FakeInstanceList:
    """An instance list whose changes become visible after a lag."""

    def __init__(self, clock: Clock, *, lag: timedelta = timedelta()) -> None:
        self.clock = clock
        self.lag = lag
        self.faults = Faults()
        self.shown: dict[str, ListedInstance] = {}
        self.pending: list[tuple[timedelta, str, ListedInstance | None]] = []

    def put(self, instance: ListedInstance) -> None:
        """Add or change an entry."""
        due = self.clock.monotonic() + self.lag
        self.pending.append((due, instance.id, instance))

    def remove(self, instance_id: str) -> None:
        """Remove an entry."""
        due = self.clock.monotonic() + self.lag
        self.pending.append((due, instance_id, None))

    def set_leaving(self, instance_id: str) -> None:
        """Mark an entry as leaving."""
        current = self.latest()[instance_id]
        self.put(msgspec.structs.replace(current, state=ListedState.LEAVING))

    def latest(self) -> dict[str, ListedInstance]:
        """Return the entries with all pending changes applied, ignoring the lag."""
        entries = dict(self.shown)
        for _, instance_id, instance in self.pending:
            apply_change(entries, instance_id, instance)
        return entries

    def visible(self) -> InstanceList:
        """Apply the changes that are due and return the visible list."""
        now = self.clock.monotonic()
        for due, instance_id, instance in self.pending:
            if due <= now:
                apply_change(self.shown, instance_id, instance)
        self.pending = [entry for entry in self.pending if entry[0] > now]
        return InstanceList(instances=list(self.shown.values()))

    async def read(self) -> Result[InstanceList, Failure]:
        """Read the whole list."""
        return Ok(self.visible())


def apply_change(
    entries: dict[str, ListedInstance],
    instance_id: str,
    instance: ListedInstance | None,
) -> None:
    """Put or remove one entry."""
    if instance is None:
        entries.pop(instance_id, None)
    else:
        entries[instance_id] = instance


class InstanceListHandler(FaultInjectingHandler):
    """Serve `GET`, `PUT` and `DELETE /instances`."""

    def initialize(self, instances: FakeInstanceList) -> None:
        """Set the list to serve."""
        self.instances = instances
        self.faults = instances.faults

    def get(self) -> None:
        """Send the list."""
        self.write(msgspec.json.encode(self.instances.visible()))

    def put(self) -> None:
        """Add or change an entry."""
        entry = msgspec.json.decode(self.request.body, type=ListedInstance)
        self.instances.put(entry)

    def delete(self) -> None:
        """Remove an entry."""
        self.instances.remove(self.get_query_argument("id"))


def instance_list_application(instances: FakeInstanceList) -> Application:
    """Return the HTTP application of an instance list."""
    return Application(
        [
            ("/instances", InstanceListHandler, {"instances": instances}),
            ("/faults", FaultSettingsHandler, {"faults": instances.faults}),
        ]
    )
