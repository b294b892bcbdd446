"""Runs of instances that ended, and when they are confirmed stopped."""

from datetime import timedelta

from magnoliatrail.generated.membership import MemberState
from magnoliatrail.generated.settings import Settings
from magnoliatrail.ids import Incarnation, InstanceId
from magnoliatrail.membership.fleet import Fleet
from magnoliatrail.membership.members import Run

RUN_SEPARATOR = "#"


def former_id(run: Run) -> InstanceId:
    """Return the holder id of a run that ended."""
    return InstanceId(f"{run[0]}{RUN_SEPARATOR}{run[1]}")


def run_of(former: InstanceId) -> Run | None:
    """Return the run of a former id, None for the id of an instance."""
    instance, separator, incarnation = former.partition(RUN_SEPARATOR)
    if not separator:
        return None
    return InstanceId(instance), Incarnation(incarnation)


class EndedRuns:
    """Decide which ended runs are confirmed stopped."""

    def __init__(self, fleet: Fleet, settings: Settings) -> None:
        self.fleet = fleet
        self.grace = timedelta(
            seconds=settings.lease_seconds + settings.max_deadline_seconds
        )

    def announced_departure(self, run: Run) -> bool:
        """Return whether a run ended its requests and sent a departure notice."""
        record = self.fleet.members.records.get(run[0])
        return (
            record is not None
            and record.incarnation == run[1]
            and record.state is MemberState.LEFT
        )

    def confirmed_stopped(self, run: Run) -> bool:
        """Return whether no request or order of a run can still be in transit."""
        if self.announced_departure(run):
            return True
        ended_at = self.fleet.members.ended.get(run)
        if ended_at is None or not self.fleet.servers.is_delisted(run[0]):
            return False
        return self.fleet.clock.monotonic() - ended_at >= self.grace

    def unconfirmed(self) -> list[Run]:
        """Return the runs that ended and are not confirmed stopped."""
        return [
            run for run in self.fleet.members.ended if not self.confirmed_stopped(run)
        ]
