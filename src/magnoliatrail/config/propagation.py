"""Spread of accepted edits: push to peers, poll of the head, heartbeats."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from expression import Ok, Result
from msgspec.structs import replace

from magnoliatrail.config.changes import apply_change
from magnoliatrail.config.in_force import ConfigurationInForce
from magnoliatrail.config.store import ConfigurationStore
from magnoliatrail.errors import Failure
from magnoliatrail.generated.configuration import (
    AcceptedEdit,
    Configuration,
    ConfigurationEdit,
    ConfigurationPush,
    ConfigurationPushAnswer,
    ConfigurationRequest,
    History,
    HistoryRequest,
    InForceAtInstance,
    InForceEverywhere,
    InForceRequest,
)
from magnoliatrail.ids import InstanceId
from magnoliatrail.logs import EventLog
from magnoliatrail.metrics import Metrics

log = EventLog("configuration")


@dataclass(frozen=True, slots=True)
class PropagationLinks:
    """Hold the functions by which an instance reaches its peers."""

    push_targets: Callable[[], list[InstanceId]]
    all_peers: Callable[[], list[InstanceId]]
    push: Callable[
        [InstanceId, ConfigurationPush],
        Awaitable[Result[ConfigurationPushAnswer, Failure]],
    ]
    fetch: Callable[[InstanceId], Awaitable[Result[Configuration, Failure]]]


class ConfigurationPropagation:
    """Keep the configuration in force at one instance up to date."""

    def __init__(
        self,
        *,
        instance: InstanceId,
        store: ConfigurationStore,
        in_force: ConfigurationInForce,
        links: PropagationLinks,
        metrics: Metrics,
    ) -> None:
        self.instance = instance
        self.store = store
        self.in_force = in_force
        self.links = links
        self.metrics = metrics
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Take the head, or the highest revision among the peers."""
        await self.read_head()
        if not self.in_force.is_confirmed:
            await self.fetch_from_peers()

    async def poll(self) -> None:
        """Read the head if its revision is not the one in force."""
        match await self.store.read_revision():
            case Result(tag="ok", ok=revision) if (
                self.in_force.is_confirmed and revision == self.in_force.revision
            ):
                self.in_force.confirm(revision)
            case _:
                await self.read_head()

    async def read_head(self) -> None:
        """Read the head."""
        match await self.store.read():
            case Result(tag="ok", ok=configuration):
                self.apply_configuration(configuration, reason="head")
            case Result(error=failure):
                log.warning("head_not_read", reason=failure.message)
        self.metrics.gauge("configuration.revision", self.in_force.revision)

    async def fetch_from_peers(self) -> None:
        """Take the highest revision that any peer has in force."""
        peers = self.links.all_peers()
        answers = await asyncio.gather(*(self.links.fetch(peer) for peer in peers))
        for answer in answers:
            match answer:
                case Result(tag="ok", ok=configuration):
                    self.apply_configuration(configuration, reason="peer")

    async def catch_up(self, revision: int, peer: InstanceId) -> None:
        """Take the configuration of a peer that knows a newer revision."""
        if revision <= self.in_force.revision:
            self.in_force.confirm(revision)
            return
        match await self.links.fetch(peer):
            case Result(tag="ok", ok=configuration):
                self.apply_configuration(configuration, reason="heartbeat")
            case Result(error=failure):
                log.warning("peer_not_read", peer=peer, reason=failure.message)

    def apply_configuration(self, configuration: Configuration, *, reason: str) -> None:
        """Put a configuration in force if it is newer."""
        before = self.in_force.revision
        if self.in_force.apply_if_newer(configuration):
            log.info(
                "configuration_in_force",
                revision=configuration.revision,
                before=before,
                reason=reason,
            )

    async def edit(self, edit: ConfigurationEdit) -> Result[AcceptedEdit, Failure]:
        """Accept an edit for an operator, and push it to peers."""
        result = await self.store.edit(edit)
        match result:
            case Result(tag="ok", ok=accepted):
                log.info(
                    "edit_accepted",
                    revision=accepted.revision,
                    edit=edit.edit_id,
                    author=edit.author,
                )
                await self.apply(accepted)
                self.push_to_neighbours(accepted)
            case Result(error=failure):
                log.info(
                    "edit_refused",
                    edit=edit.edit_id,
                    author=edit.author,
                    reason=failure.message,
                )
        return result

    async def handle_push(
        self, push: ConfigurationPush
    ) -> Result[ConfigurationPushAnswer, Failure]:
        """Apply an edit that a peer pushes, and pass it on if it was new."""
        before = self.in_force.revision
        await self.apply(push.accepted)
        if self.in_force.revision > before:
            self.push_to_neighbours(push.accepted)
        return Ok(ConfigurationPushAnswer(revision=self.in_force.revision))

    async def apply(self, accepted: AcceptedEdit) -> None:
        """Put an accepted edit in force; read the head if edits are missing."""
        if accepted.revision <= self.in_force.revision:
            return
        if accepted.revision == self.in_force.revision + 1 and self.in_force.is_confirmed:
            match apply_change(self.in_force.configuration, accepted.edit.change):
                case Result(tag="ok", ok=changed):
                    document = replace(
                        changed,
                        revision=accepted.revision,
                        edit_id=accepted.edit.edit_id,
                    )
                    self.apply_configuration(document, reason="push")
                    return
        await self.read_head()

    def push_to_neighbours(self, accepted: AcceptedEdit) -> None:
        """Push an accepted edit to this instance's neighbours."""
        push = ConfigurationPush(accepted=accepted)
        for peer in self.links.push_targets():
            task = asyncio.create_task(self.push_to(peer, push))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def push_to(self, peer: InstanceId, push: ConfigurationPush) -> None:
        """Push an edit to one peer; heartbeats and polls make up for a loss."""
        result = await self.links.push(peer, push)
        if result.is_error():
            log.warning("push_failed", peer=peer, reason=result.error.message)

    async def answer_request(
        self, request: ConfigurationRequest
    ) -> Result[Configuration, Failure]:
        """Return the configuration in force here."""
        return Ok(self.in_force.configuration)

    async def answer_history(self, request: HistoryRequest) -> Result[History, Failure]:
        """Return accepted edits."""
        edits = await self.store.history(request.after, request.up_to)
        return edits.map(lambda found: History(edits=found))

    async def answer_in_force(
        self, request: InForceRequest
    ) -> Result[InForceEverywhere, Failure]:
        """Ask every peer which revision is in force there."""
        peers = self.links.all_peers()
        answers = await asyncio.gather(*(self.links.fetch(peer) for peer in peers))
        here = InForceAtInstance(
            instance=self.instance, revision=self.in_force.revision
        )
        others = [
            InForceAtInstance(
                instance=peer, revision=answer.ok.revision if answer.is_ok() else None
            )
            for peer, answer in zip(peers, answers, strict=True)
        ]
        return Ok(InForceEverywhere(instances=[here, *others]))
