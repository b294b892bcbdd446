"""Announcements of a new owner of a cell to the other instances."""

from collections.abc import Iterable
from datetime import timedelta
from functools import partial

from expression import Result

from magnoliatrail.cells.lease import CellLease
from magnoliatrail.clock import Clock
from magnoliatrail.generated.cells import AnnouncementAnswer, OwnershipAnnouncement
from magnoliatrail.logs import EventLog
from magnoliatrail.peers.client import PeerClient
from magnoliatrail.periodic import PeriodicTasks
from magnoliatrail.wire import CallLimits

log = EventLog("cells")

ANNOUNCEMENT_PATH = "/cell/owner"
ANNOUNCEMENT_LIMITS = CallLimits(
    timedelta(milliseconds=300), timedelta(milliseconds=600)
)
ANNOUNCEMENT_RETRY_DELAY = timedelta(milliseconds=400)
MAX_ANNOUNCEMENT_ATTEMPTS = 8


class OwnershipAnnouncer:
    """Announce this instance's ownership of a cell."""

    def __init__(
        self, *, clock: Clock, peers: PeerClient, tasks: PeriodicTasks, lease: CellLease
    ) -> None:
        self.clock = clock
        self.peers = peers
        self.tasks = tasks
        self.lease = lease

    async def announce(self, addresses: Iterable[str]) -> None:
        """Announce the ownership to the instances at these addresses."""
        row, version = self.lease.row, self.lease.row_version
        assert row is not None, "ownership without an owner row"
        message = OwnershipAnnouncement(
            cell=self.lease.cell, row=row, row_version=version
        )
        for address in set(addresses) - {"", self.lease.identity.address}:
            self.tasks.once(partial(self.announce_to, address, message))

    async def announce_to(self, address: str, message: OwnershipAnnouncement) -> None:
        """Send an announcement to one instance until it acknowledges it."""
        url = f"http://{address}{ANNOUNCEMENT_PATH}"
        for _ in range(MAX_ANNOUNCEMENT_ATTEMPTS):
            if not self.lease.is_mine:
                return
            match await self.peers.ask(
                url, message, AnnouncementAnswer, ANNOUNCEMENT_LIMITS
            ):
                case Result(tag="ok", ok=answer):
                    if answer.row_version >= message.row_version:
                        return
                case Result(error=failure):
                    log.info(
                        "announcement_failed", address=address, reason=failure.message
                    )
            await self.clock.sleep(ANNOUNCEMENT_RETRY_DELAY)
