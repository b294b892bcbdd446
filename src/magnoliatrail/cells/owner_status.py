"""Requests for the status of a cell's owner, made before its lease is taken over."""

from datetime import timedelta

from expression import Result

from magnoliatrail.generated.cells import OwnerRow, OwnerStatus, OwnerStatusRequest
from magnoliatrail.ids import CellId
from magnoliatrail.logs import EventLog
from magnoliatrail.peers.client import PeerClient
from magnoliatrail.wire import CallLimits

log = EventLog("cells")

OWNER_STATUS_PATH = "/cell/standing"
OWNER_STATUS_LIMITS = CallLimits(
    timedelta(milliseconds=200), timedelta(milliseconds=300)
)


async def request_owner_status(
    peers: PeerClient, cell: CellId, row: OwnerRow, row_version: int
) -> OwnerStatus | None:
    """Request the status of the owner that a row names; None if it does not answer."""
    request = OwnerStatusRequest(cell=cell, row_version=row_version)
    url = f"http://{row.address}{OWNER_STATUS_PATH}"
    match await peers.ask(url, request, OwnerStatus, OWNER_STATUS_LIMITS):
        case Result(tag="ok", ok=status):
            log.info("owner_status_requested", owner=row.owner, orders=status.orders)
            return status
        case Result(error=failure):
            log.info("owner_status_requested", owner=row.owner, reason=failure.message)
    return None
