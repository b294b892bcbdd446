"""Division of an engine's batch slots among the holders of its permits."""

from collections.abc import Mapping
from dataclasses import dataclass

from magnoliatrail.ids import InstanceId

OVERCOMMIT_FACTOR = 1.25


@dataclass(frozen=True, slots=True)
class HolderDemand:
    """The running and waiting requests of a permit holder on one engine."""

    in_flight: int
    waiting: int

    @property
    def wanted(self) -> int:
        """Return the number of batch slots that the holder could use."""
        return self.in_flight + self.waiting


def share_batch_slots(
    demands: Mapping[InstanceId, HolderDemand], batch_slots: int
) -> dict[InstanceId, int]:
    """Divide the batch slots by demand, with slight overcommitment.

    All slots without demand are offered to every holder: while the engine has capacity,
    no request waits for the next division, and the few requests that exceed the batch
    wait in the engine's own queue. Every holder gets at least one slot.
    """
    slots = dict.fromkeys(demands, 0)
    left = round(batch_slots * OVERCOMMIT_FACTOR)
    while left > 0 and (short := holders_below_demand(demands, slots)):
        for holder in short[:left]:
            slots[holder] += 1
        left -= min(left, len(short))
    return {holder: max(1, given + left) for holder, given in slots.items()}


def holders_below_demand(
    demands: Mapping[InstanceId, HolderDemand], slots: Mapping[InstanceId, int]
) -> list[InstanceId]:
    """Return the holders that could use more slots, largest shortfall first."""
    short = [name for name in demands if demands[name].wanted > slots[name]]
    return sorted(short, key=lambda name: (slots[name] - demands[name].wanted, name))
