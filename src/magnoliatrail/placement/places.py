"""Division of an engine's batch places among the holders of its permits."""

from collections.abc import Mapping
from dataclasses import dataclass

from magnoliatrail.ids import InstanceId

OVERBOOKING = 1.25


@dataclass(frozen=True, slots=True)
class HolderDemand:
    """Say how many requests a holder has on an engine and waiting for it."""

    in_flight: int
    waiting: int

    @property
    def wanted(self) -> int:
        """Return the places that the holder could use."""
        return self.in_flight + self.waiting


def share_places(
    demands: Mapping[InstanceId, HolderDemand], batch_slots: int
) -> dict[InstanceId, int]:
    """Divide the places by demand, slightly more than there are.

    Every holder gets at least one place, so that a request that comes before the
    next division need not wait for it.
    """
    total = max(len(demands), round(batch_slots * OVERBOOKING))
    places = dict.fromkeys(demands, 1)
    left = total - len(places)
    while left > 0 and (short := hungry(demands, places)):
        for holder in short[:left]:
            places[holder] += 1
        left -= min(left, len(short))
    for holder in sorted(places, key=lambda name: (-demands[name].wanted, name)):
        spare = -(-left // len(places))
        places[holder] += spare
    return places


def hungry(
    demands: Mapping[InstanceId, HolderDemand], places: Mapping[InstanceId, int]
) -> list[InstanceId]:
    """Return the holders that could use more places, the neediest first."""
    short = [name for name in demands if demands[name].wanted > places[name]]
    return sorted(short, key=lambda name: (places[name] - demands[name].wanted, name))
