"""Messages between an engine's owner and the holders of its permits."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta

from expression import Error, Ok, Result

from magnoliatrail.engines.permits import PermitHolder
from magnoliatrail.errors import ErrorKind, Failure
from magnoliatrail.generated.membership import MemberRecord, TakeoverInquiry
from magnoliatrail.generated.permits import (
    HeldPermits,
    PermitGrant,
    PermitRecall,
    PermitRequest,
    RecallAnswer,
    RecallState,
)
from magnoliatrail.ids import EngineId, InstanceId
from magnoliatrail.membership.ended import EndedRuns, run_of
from magnoliatrail.membership.fleet import Fleet
from magnoliatrail.membership.pause import PauseGate
from magnoliatrail.peers.client import PeerClient
from magnoliatrail.wire import CallLimits

GrantPermit = Callable[[PermitRequest], Awaitable[Result[PermitGrant, Failure]]]
PermitCall = asyncio.Future[Result[PermitGrant, Failure]]
ReadOwner = Callable[[EngineId], Awaitable[None]]


class PermitCalls:
    """Route permit messages to this instance or to a peer."""

    def __init__(
        self,
        *,
        fleet: Fleet,
        permits: PermitHolder,
        peers: PeerClient,
        ended: EndedRuns,
        limits: CallLimits,
        read_owner: ReadOwner,
    ) -> None:
        self.fleet = fleet
        self.instance = fleet.members.instance
        self.permits = permits
        self.peers = peers
        self.ended = ended
        self.limits = limits
        self.read_owner = read_owner
        self.grant_locally: GrantPermit | None = None
        self.gate: PauseGate | None = None
        self.open_requests: set[tuple[InstanceId, PermitCall]] = set()
        fleet.members.on_change.append(self.end_requests_to)

    async def ask_owner(
        self, owner: InstanceId, request: PermitRequest
    ) -> Result[PermitGrant, Failure]:
        """Request a permit from an engine's owner; read the owner row on NOT_OWNER."""
        result = await self.ask(owner, request)
        match result:
            case Result(tag="ok", ok=grant):
                return self.check_fencing(grant)
            case Result(error=failure) if failure.kind is ErrorKind.NOT_OWNER:
                await self.read_owner(EngineId(request.engine))
        return result

    async def ask(
        self, owner: InstanceId, request: PermitRequest
    ) -> Result[PermitGrant, Failure]:
        """Send a permit request to an engine's owner, local or at a peer."""
        if owner == self.instance:
            return await self.answer_permit(request)
        url = self.fleet.peer_url(owner)
        if url is None:
            message = f"owner {owner} does not answer"
            return Error(Failure(ErrorKind.PEER_UNAVAILABLE, message))
        limits = CallLimits(
            self.limits.connect, timedelta(seconds=request.deadline_seconds)
        )
        call = asyncio.ensure_future(
            self.peers.ask(f"{url}/peer/permits", request, PermitGrant, limits)
        )
        return await self.answer_unless_gone(owner, call)

    async def answer_unless_gone(
        self, owner: InstanceId, call: PermitCall
    ) -> Result[PermitGrant, Failure]:
        """Wait for an owner's answer, but no longer than the owner is expected to run.

        The listener of a process that is stopped still accepts connections.
        """
        self.open_requests.add((owner, call))
        try:
            await asyncio.wait([call])
        finally:
            self.open_requests.discard((owner, call))
            call.cancel()
        if call.cancelled():
            message = f"owner {owner} does not answer"
            return Error(Failure(ErrorKind.PEER_UNAVAILABLE, message))
        return call.result()

    def end_requests_to(self, record: MemberRecord) -> None:
        """End the permit requests to a run that is no longer expected to answer."""
        name = InstanceId(record.instance)
        if name in self.fleet.members.reachable():
            return
        for owner, call in list(self.open_requests):
            if owner == name:
                call.cancel()

    def check_fencing(self, grant: PermitGrant) -> Result[PermitGrant, Failure]:
        """Reject a grant from an owner that has been replaced."""
        if self.is_stale(grant.engine, grant.fencing_number):
            message = f"{grant.engine} has a newer owner"
            return Error(Failure(ErrorKind.STALE_FENCING_NUMBER, message))
        return Ok(grant)

    def is_stale(self, engine: str, fencing_number: int) -> bool:
        """Return whether an owner with a higher fencing number is known."""
        known = self.fleet.owners.get(EngineId(engine))
        return known is not None and known.fencing_number > fencing_number

    async def answer_permit(
        self, request: PermitRequest
    ) -> Result[PermitGrant, Failure]:
        """Grant a permit, once the state here has been refreshed after a pause."""
        assert self.grant_locally is not None
        if self.gate:
            await self.gate.wait_until_open()
        return await self.grant_locally(request)

    async def recall(self, holder: InstanceId, recall: PermitRecall) -> RecallState:
        """Recall a handle from its holder, local or at a peer.

        Without an answer, the handle counts as returned only if the holder's run is
        confirmed stopped.
        """
        run = run_of(holder)
        if run and not self.fleet.members.is_running(*run):
            stopped = self.ended.confirmed_stopped(run)
            return RecallState.RETURNED if stopped else RecallState.BUSY
        name = run[0] if run else holder
        if name == self.instance:
            return self.permits.recall(recall).state
        record = self.fleet.members.records.get(name)
        if record and self.ended.announced_departure((name, record.incarnation)):  # type: ignore[arg-type]
            return RecallState.RETURNED
        url = self.fleet.peer_url(name)
        if url is None:
            return RecallState.BUSY
        match await self.peers.ask(
            f"{url}/peer/recalls", recall, RecallAnswer, self.limits
        ):
            case Result(tag="ok", ok=answer):
                return answer.state
            case _:
                return RecallState.BUSY

    async def answer_recall(
        self, recall: PermitRecall
    ) -> Result[RecallAnswer, Failure]:
        """Return a handle that no request uses, unless the sender is a stale owner."""
        if self.is_stale(recall.engine, recall.fencing_number):
            message = f"{recall.engine} has a newer owner"
            return Error(Failure(ErrorKind.STALE_FENCING_NUMBER, message))
        return Ok(self.permits.recall(recall))

    async def inquire(
        self, peer: InstanceId, inquiry: TakeoverInquiry
    ) -> Result[HeldPermits, Failure]:
        """Send an engine's new owner to a peer, and return the permits it holds."""
        if peer == self.instance:
            return await self.answer_inquiry(inquiry)
        url = self.fleet.peer_url(peer)
        if url is None:
            return Error(Failure(ErrorKind.PEER_UNAVAILABLE, f"{peer} is gone"))
        return await self.peers.ask(
            f"{url}/peer/takeovers", inquiry, HeldPermits, INQUIRY_LIMITS
        )

    async def answer_inquiry(
        self, inquiry: TakeoverInquiry
    ) -> Result[HeldPermits, Failure]:
        """Apply an engine's new owner, and return the permits that are held here."""
        owner = inquiry.owner
        if self.is_stale(owner.engine, owner.fencing_number):
            message = f"{owner.engine} has a newer owner"
            return Error(Failure(ErrorKind.STALE_FENCING_NUMBER, message))
        self.fleet.apply_owner(owner, InstanceId(owner.instance))
        held = self.permits.on_engine(EngineId(owner.engine))
        grants = [permit.grant for permit in held]
        return Ok(HeldPermits(holder=self.instance, permits=grants))


INQUIRY_LIMITS = CallLimits(timedelta(seconds=0.5), timedelta(seconds=1))
