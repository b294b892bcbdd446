"""The operator's configurations of a soak run, and probes of the routes they add."""

import asyncio
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random

from magnoliatrail.standins.row_store import RowStoreState
from tests.platform.rig import configuration, route
from tests.soak.checks import RouteProbe
from tests.soak.processes import Instance
from tests.soak.traffic import Caller, RequestKind

# Routes of a large configuration that no request uses.
MANY_ROUTES = 400
CHANGE_INTERVAL_SECONDS = 0.33
# The platform's bound on the time until a change is in force.
PROPAGATION_SECONDS = 2.0


@dataclass
class Configurations:
    """Write configurations as the operator does."""

    store: RowStoreState
    version: int = 1
    unused_routes: int = 0
    # Names of the routes that were added one after the other.
    added: list[str] = field(default_factory=list)
    probes: list[RouteProbe] = field(default_factory=list)

    def write(self) -> None:
        """Write the newest configuration."""
        routes = [
            route(
                "stream", "/stream/", "streaming", "models", attempts=2, resumable=True
            ),
            route("plain", "/plain/", "unsafe", "desk"),
            route("lookup", "/lookup/", "safe", "desk", attempts=2),
        ]
        if self.version > 1:
            name = f"v{self.version}"
            routes.append(route(name, f"/{name}/", "safe", "desk"))
        unused = [f"unused-{number}" for number in range(self.unused_routes)]
        routes.extend(
            route(name, f"/{name}/", "safe", "desk") for name in [*unused, *self.added]
        )
        value = configuration(self.version, routes)
        self.store.put_json("op", "config", value)

    def change(self) -> None:
        """Write a newer configuration."""
        self.version += 1
        self.write()

    async def change_often(
        self, seconds: float, instances: Sequence[Instance], callers: list[Caller]
    ) -> None:
        """Add routes in quick succession, and request each once it must be known."""
        self.unused_routes = MANY_ROUTES
        until = time.monotonic() + seconds
        probing = []
        while time.monotonic() < until:
            name = f"added-{len(self.added)}"
            self.added.append(name)
            self.change()
            probing.append(asyncio.create_task(self.probe(name, instances, callers)))
            await asyncio.sleep(CHANGE_INTERVAL_SECONDS)
        await asyncio.gather(*probing)

    async def probe(
        self, name: str, instances: Sequence[Instance], callers: list[Caller]
    ) -> None:
        """Request a route at each instance, once its change must be in force."""
        written_at = time.monotonic()
        await asyncio.sleep(PROPAGATION_SECONDS)
        for instance in instances:
            caller = Caller(f"{name}-{instance.name}", list(instances), Random(0))
            callers.append(caller)
            sent = await caller.send(instance, RequestKind.SAFE, path=f"/{name}/x")
            caller.close()
            self.probes.append(
                RouteProbe(name, instance.name, written_at, sent.sent_at, sent.status)
            )
