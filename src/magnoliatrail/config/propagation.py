"""Propagation of accepted edits by pushes, polls of the head and heartbeats."""

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
    FleetRevisions,
    FleetRevisionsRequest,
    History,
    HistoryRequest,
    InstanceRevision,
)
from magnoliatrail.ids import InstanceId
from magnoliatrail.logs import EventLog
from magnoliatrail.metrics import Metrics

log = EventLog("configuration")


@dataclass(frozen=True, slots=True)
class PropagationLinks:
    """Functions that list an instance's peers and send messages to them."""

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
        """Load the head, or the peers' highest revision if the read fails."""
        await self.read_head()
        if not self.in_force.is_confirmed:
            await self.fetch_from_peers()

    async def poll(self) -> None:
        """Read the head's revision, and the document if the revision changed."""
        match await self.store.read_revision():
            case Result(tag="ok", ok=revision) if (
                self.in_force.is_confirmed and revision == self.in_force.revision
            ):
                self.in_force.confirm(revision)
            case _:
                await self.read_head()

    async def read_head(self) -> None:
        """Read the head and apply it."""
        match await self.store.read():
            case Result(tag="ok", ok=configuration):
                self.apply_configuration(configuration, reason="head")
            case Result(error=failure):
                log.warning("head_not_read", reason=failure.message)
        self.metrics.gauge("configuration.revision", self.in_force.revision)

    async def fetch_from_peers(self) -> None:
        """Apply the highest revision that any peer has in force."""
        peers = self.links.all_peers()
        answers = await asyncio.gather(*(self.links.fetch(peer) for peer in peers))
        for answer in answers:
            match answer:
                case Result(tag="ok", ok=configuration):
                    self.apply_configuration(configuration, reason="peer")

    async def catch_up(self, revision: int, peer: InstanceId) -> None:
        """Fetch a peer's configuration if its revision is newer."""
        if revision <= self.in_force.revision:
            self.in_force.confirm(revision)
            return
        match await self.links.fetch(peer):
            case Result(tag="ok", ok=configuration):
                self.apply_configuration(configuration, reason="heartbeat")
            case Result(error=failure):
                log.warning("peer_not_read", peer=peer, reason=failure.message)

    def apply_configuration(self, configuration: Configuration, *, reason: str) -> None:
        """Put a configuration in force if it is newer, and log the change."""
        before = self.in_force.revision
        if self.in_force.apply_if_newer(configuration):
            log.info(
                "configuration_in_force",
                revision=configuration.revision,
                before=before,
                reason=reason,
            )

    async def edit(self, edit: ConfigurationEdit) -> Result[AcceptedEdit, Failure]:
        """Commit an operator's edit to the store, and push it to peers."""
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
        """Apply an edit that a peer pushed, and forward it if it was new."""
        before = self.in_force.revision
        await self.apply(push.accepted)
        if self.in_force.revision > before:
            self.push_to_neighbours(push.accepted)
        return Ok(ConfigurationPushAnswer(revision=self.in_force.revision))

    async def apply(self, accepted: AcceptedEdit) -> None:
        """Apply an accepted edit; read the head if earlier edits are missing."""
        if accepted.revision <= self.in_force.revision:
            return
        if (
            accepted.revision == self.in_force.revision + 1
            and self.in_force.is_confirmed
        ):
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
        """Push an accepted edit to this instance's neighbours in the background."""
        push = ConfigurationPush(accepted=accepted)
        for peer in self.links.push_targets():
            task = asyncio.create_task(self.push_to(peer, push))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def push_to(self, peer: InstanceId, push: ConfigurationPush) -> None:
        """Push an edit to one peer; heartbeats and polls repair a lost push."""
        result = await self.links.push(peer, push)
        if result.is_error():
            log.warning("push_failed", peer=peer, reason=result.error.message)

    async def answer_request(
        self, request: ConfigurationRequest
    ) -> Result[Configuration, Failure]:
        """Return the configuration in force at this instance."""
        return Ok(self.in_force.configuration)

    async def answer_history(self, request: HistoryRequest) -> Result[History, Failure]:
        """Return accepted edits."""
        edits = await self.store.history(request.after, request.up_to)
        return edits.map(lambda found: History(edits=found))

    async def answer_in_force(
        self, request: FleetRevisionsRequest
    ) -> Result[FleetRevisions, Failure]:
        """Return the revision in force at every instance, None if it did not answer."""
        peers = self.links.all_peers()
        answers = await asyncio.gather(*(self.links.fetch(peer) for peer in peers))
        here = InstanceRevision(instance=self.instance, revision=self.in_force.revision)
        others = [
            InstanceRevision(
                instance=peer, revision=answer.ok.revision if answer.is_ok() else None
            )
            for peer, answer in zip(peers, answers, strict=True)
        ]
        return Ok(FleetRevisions(instances=[here, *others]))
