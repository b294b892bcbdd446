"""A stand-in for the rate-limited weight store."""

from dataclasses import dataclass
from datetime import timedelta

import msgspec
from tornado.web import Application

from magnoliatrail.clock import Clock
from magnoliatrail.generated.platform import Catalogue, CatalogueEntry
from magnoliatrail.standins.faults import (
    FaultInjectingHandler,
    Faults,
    FaultSettingsHandler,
)


@dataclass(frozen=True, slots=True)
class WeightStoreLimits:
    """Rate limits of a weight store.

    Fetches slow down when more than `slowdown_threshold` are in flight.
    """

    loads_per_second: float
    burst: int
    slowdown_threshold: int
    load_time: timedelta = timedelta(seconds=0.25)


# Limits of the weight stores at the two modelled deployments.
NASSAR = WeightStoreLimits(loads_per_second=3.0, burst=1, slowdown_threshold=8)
ANJS = WeightStoreLimits(loads_per_second=4.5, burst=2, slowdown_threshold=16)


class FakeWeightStore:
    """A weight store with a limited fetch rate that slows down under load."""

    def __init__(
        self, clock: Clock, limits: WeightStoreLimits, adapters: list[CatalogueEntry]
    ) -> None:
        self.clock = clock
        self.limits = limits
        self.adapters = adapters
        self.faults = Faults()
        self.in_flight = 0
        self.loads = 0
        self.next_start = clock.monotonic()

    def reserve_start(self) -> timedelta:
        """Reserve the next start that the rate limit allows, and return the wait."""
        now = self.clock.monotonic()
        interval = timedelta(seconds=1 / self.limits.loads_per_second)
        earliest = now - interval * (self.limits.burst - 1)
        start = max(self.next_start, earliest)
        self.next_start = start + interval
        return max(start - now, timedelta())

    async def fetch(self) -> None:
        """Wait for as long as fetching one adapter takes."""
        await self.clock.sleep(self.reserve_start())
        self.in_flight += 1
        self.loads += 1
        try:
            slowdown = max(1.0, self.in_flight / self.limits.slowdown_threshold)
            await self.clock.sleep(self.limits.load_time * slowdown)
        finally:
            self.in_flight -= 1


class CatalogueHandler(FaultInjectingHandler):
    """Serve `GET /catalogue`."""

    def initialize(self, store: FakeWeightStore) -> None:
        """Set the store to serve."""
        self.store = store
        self.faults = store.faults

    def get(self) -> None:
        """Send the catalogue."""
        self.write(msgspec.json.encode(Catalogue(adapters=self.store.adapters)))


class WeightsHandler(CatalogueHandler):
    """Serve `GET /weights/<adapter>@<version>`."""

    async def get(self, name: str) -> None:  # type: ignore[override]
        """Send one adapter, at the store's limited rate."""
        known = {f"{entry.adapter}@{entry.version}" for entry in self.store.adapters}
        if name not in known:
            self.send_error(404)
            return
        await self.store.fetch()
        self.write({"name": name})


def weights_application(store: FakeWeightStore) -> Application:
    """Return the HTTP application of a weight store."""
    return Application(
        [
            ("/catalogue", CatalogueHandler, {"store": store}),
            (r"/weights/(.+)", WeightsHandler, {"store": store}),
            ("/faults", FaultSettingsHandler, {"faults": store.faults}),
        ]
    )
