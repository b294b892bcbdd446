"""Servers whose rows were removed, perhaps only for an outage of the store."""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

from magnoliatrail.backends import BackendServer
from magnoliatrail.membership.evidence import Outage
from magnoliatrail.membership.table_view import TableView

# Running servers that lapsed in a store outage are listed again within this time.
RELISTING_GRACE = timedelta(seconds=2)


@dataclass(frozen=True, slots=True)
class LapsedServer:
    """A server that the list dropped, perhaps only for an outage of the store."""

    server: BackendServer
    outage: Outage
    # Version of the store at which the list no longer had it.
    version: int

    @property
    def until(self) -> timedelta:
        """Return until when a running server has written its row again."""
        return self.outage.ended + RELISTING_GRACE


def expired(lapses: Iterable[LapsedServer], now: timedelta) -> list[LapsedServer]:
    """Return the servers that were not listed again in time."""
    return [lapsed for lapsed in lapses if now >= lapsed.until]


def disproved(
    lapses: Iterable[LapsedServer], readable_since: timedelta
) -> list[LapsedServer]:
    """Return the servers that lapsed while another instance could read the store."""
    return [
        lapsed
        for lapsed in lapses
        if lapsed.outage.began is not None and readable_since <= lapsed.outage.began
    ]


def outage_signs(
    table: TableView, outage: Outage, now: timedelta
) -> dict[str, timedelta | str]:
    """Return what a line says of how an outage of the store was concluded."""
    failed_at = table.failed_at
    return {
        "list_age": table.age(now),
        "read_failed_before": "" if failed_at is None else now - failed_at,
        "readable_again_before": now - outage.ended,
    }
