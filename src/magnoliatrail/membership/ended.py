"""Runs of instances that ended, and when nothing more can come of them."""

from datetime import timedelta

from magnoliatrail.generated.membership import MemberState
from magnoliatrail.generated.settings import Settings
from magnoliatrail.ids import Incarnation, InstanceId
from magnoliatrail.membership.fleet import Fleet
from magnoliatrail.membership.members import Run

RUN_SEPARATOR = "#"


def former_id(run: Run) -> InstanceId:
    """Return the name under which a run that ended is kept as a holder."""
    return InstanceId(f"{run[0]}{RUN_SEPARATOR}{run[1]}")


def run_of(former: InstanceId) -> Run | None:
    """Return the run that a former id names, None for the id of an instance."""
    instance, separator, incarnation = former.partition(RUN_SEPARATOR)
    if not separator:
        return None
    return InstanceId(instance), Incarnation(incarnation)


class EndedRuns:
    """Tell which runs are surely gone."""

    def __init__(self, fleet: Fleet, settings: Settings) -> None:
        self.fleet = fleet
        self.grace = timedelta(
            seconds=settings.lease_seconds + settings.max_deadline_seconds
        )

    def announced_departure(self, run: Run) -> bool:
        """Return whether a run ended its requests and left."""
        record = self.fleet.members.records.get(run[0])
        return (
            record is not None
            and record.incarnation == run[1]
            and record.state is MemberState.LEFT
        )

    def confirmed_stopped(self, run: Run) -> bool:
        """Return whether no request and no order of a run can still be on its way."""
        if self.announced_departure(run):
            return True
        ended_at = self.fleet.members.ended.get(run)
        if ended_at is None or not self.fleet.servers.is_delisted(run[0]):
            return False
        return self.fleet.clock.monotonic() - ended_at >= self.grace

    def unconfirmed(self) -> list[Run]:
        """Return the runs that ended and are not surely gone."""
        return [
            run for run in self.fleet.members.ended if not self.confirmed_stopped(run)
        ]
