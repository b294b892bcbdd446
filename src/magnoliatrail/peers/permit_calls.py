"""Calls between an engine's owner and the holders of its permits."""

from collections.abc import Awaitable, Callable
from datetime import timedelta

from expression import Error, Ok, Result

from magnoliatrail.engines.permits import PermitHolder
from magnoliatrail.errors import ErrorKind, Failure
from magnoliatrail.generated.membership import TakeoverInquiry
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
ReadOwner = Callable[[EngineId], Awaitable[None]]


class PermitCalls:
    """Pass permit messages to this instance or to a peer."""

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

    async def ask_owner(
        self, owner: InstanceId, request: PermitRequest
    ) -> Result[PermitGrant, Failure]:
        """Ask an engine's owner, here or at a peer, for a permit."""
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
        """Send a permit request to an engine's owner."""
        if owner == self.instance:
            return await self.answer_permit(request)
        url = self.fleet.peer_url(owner)
        if url is None:
            message = f"owner {owner} does not answer"
            return Error(Failure(ErrorKind.PEER_UNAVAILABLE, message))
        limits = CallLimits(
            self.limits.connect, timedelta(seconds=request.deadline_seconds)
        )
        return await self.peers.ask(f"{url}/peer/permits", request, PermitGrant, limits)

    def check_fencing(self, grant: PermitGrant) -> Result[PermitGrant, Failure]:
        """Refuse a grant of an owner that another has replaced."""
        if self.is_stale(grant.engine, grant.fencing_number):
            message = f"{grant.engine} has a newer owner"
            return Error(Failure(ErrorKind.STALE_FENCING_NUMBER, message))
        return Ok(grant)

    def is_stale(self, engine: str, fencing_number: int) -> bool:
        """Return whether a higher fencing number is known for an engine."""
        known = self.fleet.owners.get(EngineId(engine))
        return known is not None and known.fencing_number > fencing_number

    async def answer_permit(
        self, request: PermitRequest
    ) -> Result[PermitGrant, Failure]:
        """Grant a permit, once nothing known here is older than the last pause."""
        assert self.grant_locally is not None
        if self.gate:
            await self.gate.passed()
        return await self.grant_locally(request)

    async def recall(self, holder: InstanceId, recall: PermitRecall) -> RecallState:
        """Ask a holder, here or at a peer, to give a handle back.

        Silence is not consent: only a run that is surely gone needs no answer.
        """
        run = run_of(holder)
        if run and not self.fleet.members.runs(*run):
            gone = self.ended.surely_gone(run)
            return RecallState.RETURNED if gone else RecallState.BUSY
        name = run[0] if run else holder
        if name == self.instance:
            return self.permits.recall(recall).state
        record = self.fleet.members.records.get(name)
        if record and self.ended.said_goodbye((name, record.incarnation)):  # type: ignore[arg-type]
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
        """Give a handle back that no request uses, unless the asker is stale."""
        if self.is_stale(recall.engine, recall.fencing_number):
            message = f"{recall.engine} has a newer owner"
            return Error(Failure(ErrorKind.STALE_FENCING_NUMBER, message))
        return Ok(self.permits.recall(recall))

    async def inquire(
        self, peer: InstanceId, inquiry: TakeoverInquiry
    ) -> Result[HeldPermits, Failure]:
        """Tell a peer of an engine's new owner, and ask which permits it holds."""
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
        """Take an engine's new owner, and say which permits are held here."""
        owner = inquiry.owner
        if self.is_stale(owner.engine, owner.fencing_number):
            message = f"{owner.engine} has a newer owner"
            return Error(Failure(ErrorKind.STALE_FENCING_NUMBER, message))
        self.fleet.take_owner(owner, InstanceId(owner.instance))
        held = self.permits.on_engine(EngineId(owner.engine))
        grants = [permit.grant for permit in held]
        return Ok(HeldPermits(holder=self.instance, permits=grants))


INQUIRY_LIMITS = CallLimits(timedelta(seconds=0.5), timedelta(seconds=1))
