"""The owner's digests of its engine, and its use of the holders' demand reports."""

from datetime import timedelta

from magnoliatrail.engines.demand import NO_EVICTION_CANDIDATE
from magnoliatrail.engines.owner import EngineOwner, eviction_candidate
from magnoliatrail.generated.permits import EngineDemand, EngineDigest
from magnoliatrail.ids import AdapterVersion, InstanceId
from magnoliatrail.placement.batch_slot_shares import HolderDemand
from magnoliatrail.placement.eviction import eviction_order

ASSUMED_BATCH_SLOTS = 1  # until the engine's first load report


def apply_demand(
    owner: EngineOwner, holder: InstanceId, demand: EngineDemand, now: timedelta
) -> None:
    """Apply a holder's demand report on an engine."""
    owner.demand.record(holder, HolderDemand(demand.in_flight, demand.waiting), now)
    for item in demand.uses:
        model = AdapterVersion(item.adapter, item.version)
        owner.popularity.record(model, now, uses=item.uses)
        if model in owner.slots:
            owner.slots[model].last_used = now


def digest_of(owner: EngineOwner, holder: InstanceId, now: timedelta) -> EngineDigest:
    """Build the digest of an engine for one holder."""
    report = owner.report
    batch_slots = report.batch_slots if report else ASSUMED_BATCH_SLOTS
    total = owner.demand.total()
    return EngineDigest(
        engine=owner.engine,
        places=owner.demand.batch_slots_for(holder, batch_slots),
        batch_slots=batch_slots,
        in_flight=total.in_flight,
        waiting=total.waiting,
        free_slots=owner.free_slots(),
        slot_value=slot_value(owner, now),
        loaded=[str(model) for model in owner.slots],
    )


def slot_value(owner: EngineOwner, now: timedelta) -> float:
    """Return the value of the adapter that would be evicted next.

    Pending loads take the cheapest slots first, so that the next load would have
    to evict a more valuable adapter.
    """
    slots = [eviction_candidate(owner, slot, now) for slot in owner.slots.values()]
    order = eviction_order(slots, now)
    ahead = owner.loads.waiting_for(owner.engine) if owner.loads else 0
    if ahead >= len(order):
        return NO_EVICTION_CANDIDATE
    values = {item.handle: item.value for item in slots}
    return values[order[ahead]]
