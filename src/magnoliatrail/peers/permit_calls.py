"""Calls between an engine's owner and the holders of its permits."""

from collections.abc import Awaitable, Callable
from datetime import timedelta

from expression import Ok, Result

from magnoliatrail.engines.permits import PermitHolder
from magnoliatrail.errors import Failure
from magnoliatrail.generated.permits import (
    PermitGrant,
    PermitRecall,
    PermitRequest,
    RecallAnswer,
    RecallState,
)
from magnoliatrail.ids import InstanceId
from magnoliatrail.membership.fleet import Fleet
from magnoliatrail.peers.client import PeerClient
from magnoliatrail.wire import CallLimits

AnswerPermit = Callable[[PermitRequest], Awaitable[Result[PermitGrant, Failure]]]


class PermitCalls:
    """Pass permit messages to this instance or to a peer."""

    def __init__(
        self,
        *,
        instance: InstanceId,
        fleet: Fleet,
        permits: PermitHolder,
        peers: PeerClient,
        limits: CallLimits,
    ) -> None:
        self.instance = instance
        self.fleet = fleet
        self.permits = permits
        self.peers = peers
        self.limits = limits
        self.answer_permit: AnswerPermit | None = None

    async def ask_owner(
        self, owner: InstanceId, request: PermitRequest
    ) -> Result[PermitGrant, Failure]:
        """Ask an engine's owner, here or at a peer, for a permit."""
        if owner == self.instance:
            assert self.answer_permit is not None
            return await self.answer_permit(request)
        url = f"{self.fleet.sessions[owner].peer_url}/peer/permits"
        limits = CallLimits(
            self.limits.connect, timedelta(seconds=request.deadline_seconds)
        )
        return await self.peers.ask(url, request, PermitGrant, limits)

    async def recall(self, holder: InstanceId, recall: PermitRecall) -> RecallState:
        """Ask a holder, here or at a peer, to give a handle back."""
        if holder == self.instance:
            return self.permits.recall(recall).state
        peer = self.fleet.sessions.get(holder)
        if peer is None:
            return RecallState.BUSY
        url = f"{peer.peer_url}/peer/recalls"
        match await self.peers.ask(url, recall, RecallAnswer, self.limits):
            case Result(tag="ok", ok=answer):
                return answer.state
            case _:
                return RecallState.BUSY

    async def answer_recall(
        self, recall: PermitRecall
    ) -> Result[RecallAnswer, Failure]:
        """Give a handle back that no request uses."""
        return Ok(self.permits.recall(recall))
