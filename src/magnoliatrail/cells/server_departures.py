"""Departures of servers that their rows don't show, in messages between instances."""

from collections.abc import Iterable

from magnoliatrail.generated.cells import ServerDeparture
from magnoliatrail.ids import ServerId
from magnoliatrail.membership.departures import Departure, DepartureKind
from magnoliatrail.membership.fleet_view import FleetView


def departures_of(view: FleetView) -> list[ServerDeparture]:
    """Return the departures that an instance knows and the rows don't show."""
    return [
        ServerDeparture(
            server=id_,
            born=departure.born,
            leaving=departure.kind is DepartureKind.LEAVING,
            version=departure.version,
        )
        for id_, departure in view.server_list.withheld.items()
    ]


def apply_departures(
    view: FleetView, departures: Iterable[ServerDeparture], source: str
) -> None:
    """Apply the departures that another instance knows."""
    for item in departures:
        kind = DepartureKind.LEAVING if item.leaving else DepartureKind.REMOVED
        departure = Departure(item.born, kind, item.version)
        view.apply_departure(ServerId(item.server), departure, source)
