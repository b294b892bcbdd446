"""Request limits of servers, as instances report them to the owners of cells."""

from collections.abc import Iterable
from datetime import timedelta

from magnoliatrail.generated.cells import ServerLimit
from magnoliatrail.ids import ServerId
from magnoliatrail.membership.request_limits import RequestLimits


def reported_limits(limits: RequestLimits) -> list[ServerLimit]:
    """Return what servers lately said of their limits."""
    now = limits.clock.monotonic()
    return [
        ServerLimit(
            server=run[0],
            born=run[1],
            limited=statement.per_second is not None,
            per_second=statement.per_second or 0.0,
            age_ms=(now - statement.at).total_seconds() * 1000,
        )
        for run, statement in limits.recent()
    ]


def apply_reported_limits(
    limits: RequestLimits, reported: Iterable[ServerLimit]
) -> None:
    """Apply what servers said to another instance; the latest statement holds."""
    now = limits.clock.monotonic()
    for item in reported:
        limits.record(
            (ServerId(item.server), item.born),
            item.per_second if item.limited else None,
            now - timedelta(milliseconds=item.age_ms),
        )
