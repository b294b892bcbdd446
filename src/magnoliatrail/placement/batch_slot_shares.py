"""Division of an engine's batch places among the holders of its permits."""

from collections.abc import Mapping
from dataclasses import dataclass

from magnoliatrail.ids import InstanceId

OVERCOMMIT_FACTOR = 1.25


@dataclass(frozen=True, slots=True)
class HolderDemand:
    """Say how many requests a holder has on an engine and waiting for it."""

    in_flight: int
    waiting: int

    @property
    def wanted(self) -> int:
        """Return the places that the holder could use."""
        return self.in_flight + self.waiting


def share_batch_slots(
    demands: Mapping[InstanceId, HolderDemand], batch_slots: int
) -> dict[InstanceId, int]:
    """Divide the places by demand, slightly more than there are.

    What nobody asks for is given to every holder in full: while the engine has room,
    no request waits for the next division, and the few that collide wait in the
    engine's own queue. Every holder gets at least one place.
    """
    places = dict.fromkeys(demands, 0)
    left = round(batch_slots * OVERCOMMIT_FACTOR)
    while left > 0 and (short := holders_below_demand(demands, places)):
        for holder in short[:left]:
            places[holder] += 1
        left -= min(left, len(short))
    return {holder: max(1, given + left) for holder, given in places.items()}


def holders_below_demand(
    demands: Mapping[InstanceId, HolderDemand], places: Mapping[InstanceId, int]
) -> list[InstanceId]:
    """Return the holders that could use more places, the neediest first."""
    short = [name for name in demands if demands[name].wanted > places[name]]
    return sorted(short, key=lambda name: (places[name] - demands[name].wanted, name))
