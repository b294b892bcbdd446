"""Demand reports from permit holders to owners, and digests from owners to holders."""

import math
from collections import Counter
from dataclasses import dataclass, field
from datetime import timedelta

from magnoliatrail.generated.permits import (
    AdapterUses,
    DemandReport,
    EngineDemand,
    EngineDigest,
)
from magnoliatrail.ids import AdapterVersion, EngineId, InstanceId
from magnoliatrail.placement.batch_slot_shares import HolderDemand, share_batch_slots

DEMAND_REPORT_VALIDITY = timedelta(seconds=5)
# Sent as the slot value of an engine that can evict no adapter.
NO_EVICTION_CANDIDATE = -1.0


@dataclass
class DemandByHolder:
    """Latest demand of each permit holder on one engine."""

    reports: dict[InstanceId, tuple[timedelta, HolderDemand]] = field(
        default_factory=dict
    )

    def record(self, holder: InstanceId, demand: HolderDemand, now: timedelta) -> None:
        """Record a holder's report, and drop reports that are out of date."""
        self.reports[holder] = (now, demand)
        self.reports = {
            name: entry
            for name, entry in self.reports.items()
            if now - entry[0] <= DEMAND_REPORT_VALIDITY
        }

    def batch_slots_for(self, holder: InstanceId, batch_slots: int) -> int:
        """Return the number of batch slots of one holder."""
        demands = {name: demand for name, (_, demand) in self.reports.items()}
        demands.setdefault(holder, HolderDemand(0, 1))
        return share_batch_slots(demands, batch_slots)[holder]

    def total(self) -> HolderDemand:
        """Return the total demand of all holders."""
        demands = [demand for _, demand in self.reports.values()]
        return HolderDemand(
            sum(demand.in_flight for demand in demands),
            sum(demand.waiting for demand in demands),
        )


class EngineDirectory:
    """Latest digests of engines, and the adapter uses that are not reported yet."""

    def __init__(self) -> None:
        self.digests: dict[EngineId, EngineDigest] = {}
        self.loaded: dict[EngineId, frozenset[str]] = {}
        self.uses: dict[EngineId, Counter[AdapterVersion]] = {}

    def apply(self, digest: EngineDigest) -> None:
        """Apply an owner's newest digest of an engine."""
        engine = EngineId(digest.engine)
        self.digests[engine] = digest
        self.loaded[engine] = frozenset(digest.loaded)

    def record_use(self, engine: EngineId, model: AdapterVersion) -> None:
        """Count a use for the next report to the engine's owner."""
        self.uses.setdefault(engine, Counter())[model] += 1

    def report(
        self,
        holder: InstanceId,
        engines: list[EngineId],
        demand_on: dict[EngineId, HolderDemand],
    ) -> DemandReport:
        """Build the report to the owner of some engines, and reset their use counts."""
        return DemandReport(
            holder=holder,
            engines=[
                self.engine_demand(engine, demand_on.get(engine, HolderDemand(0, 0)))
                for engine in engines
            ],
        )

    def engine_demand(self, engine: EngineId, demand: HolderDemand) -> EngineDemand:
        """Build the report on one engine, and reset its use counts."""
        uses = self.uses.pop(engine, Counter())
        return EngineDemand(
            engine=engine,
            in_flight=demand.in_flight,
            waiting=demand.waiting,
            uses=[
                AdapterUses(adapter=model.adapter, version=model.version, uses=count)
                for model, count in uses.items()
            ],
        )

    def slot_value(self, engine: EngineId) -> float:
        """Return the value of the adapter that an engine would evict next.

        It is infinite if the engine can evict none, and 0 without a digest.
        """
        digest = self.digests.get(engine)
        if digest is None:
            return 0.0
        return math.inf if digest.slot_value < 0 else digest.slot_value
