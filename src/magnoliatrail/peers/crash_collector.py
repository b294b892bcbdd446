"""Collection of all instances' crash reports, and decisions on quarantines."""

import asyncio
from collections.abc import Callable, Collection, Iterable, Mapping
from datetime import timedelta

from expression import Result
from msgspec import UNSET

from magnoliatrail.clock import Clock
from magnoliatrail.generated.quarantine import (
    QuarantineAnswer,
    QuarantinedParts,
    QuarantineUpdate,
    ServerRunKey,
    SoundAnswers,
    SoundAnswersRequest,
)
from magnoliatrail.ids import InstanceId, PartId, ServerId
from magnoliatrail.logs import EventLog
from magnoliatrail.metrics import Metrics
from magnoliatrail.peers.client import PeerClient
from magnoliatrail.routing.crash_causes import (
    MAX_ACCUSATIONS,
    Accusation,
    Parts,
)
from magnoliatrail.routing.crash_evidence import CrashEvidence
from magnoliatrail.routing.quarantine import Quarantine, QuarantinedGroup, text_of
from magnoliatrail.routing.quarantine_terms import QuarantineTerms
from magnoliatrail.routing.server_runs import BrokenRun
from magnoliatrail.wire import CallLimits

log = EventLog("quarantine")

ANSWERS_PATH = "/quarantine/answers"
UPDATE_PATH = "/quarantine/groups"
PEER_LIMITS = CallLimits(timedelta(milliseconds=200), timedelta(milliseconds=500))
# Groups in quarantine are sent again this often, also for instances that started.
RENEWAL_INTERVAL = timedelta(seconds=1.5)
# Times that instances are asked for sound answers before a decision.
MAX_ROUNDS = 4
# Groups that a collector keeps in quarantine.
MAX_COLLECTED_GROUPS = 64


class CrashCollector:
    """Decide what to quarantine, and send it to all instances."""

    def __init__(
        self,
        *,
        clock: Clock,
        metrics: Metrics,
        peers: PeerClient,
        instance: InstanceId,
        urls: Callable[[], Mapping[InstanceId, str]],
        evidence: CrashEvidence,
        quarantine: Quarantine,
    ) -> None:
        self.clock = clock
        self.metrics = metrics
        self.peers = peers
        self.instance = instance
        # URLs of the peer listeners of the other instances.
        self.urls = urls
        self.evidence = evidence
        self.quarantine = quarantine
        self.terms = QuarantineTerms(clock)
        self.renewed_at: timedelta | None = None
        # The groups that were sent last, and whether they were only suspected.
        self.sent_groups: dict[Parts, bool] = {}

    @property
    def has_news(self) -> bool:
        """Return whether instances have to be told of groups, or of their end."""
        return bool(self.quarantine.groups or self.terms.recently_lifted())

    def collect(self, run: BrokenRun, prompts: Iterable[Iterable[PartId]]) -> bool:
        """Add a report of a crash to the evidence; return whether it has news."""
        crash = self.evidence.record_crash(run, prompts)
        if crash is None:
            return False
        now = self.clock.monotonic()
        log.info(
            "crash_reported",
            server=run.server[0],
            born=run.server[1],
            age=now - crash.run.at,
            connected=age_of(crash.run.connected_at, now),
            prompts=len(crash.prompts),
        )
        return True

    def lift(self, parts: Parts, reason: str) -> None:
        """End the quarantine of a group, and tell all instances."""
        self.quarantine.lift(parts, reason)
        self.terms.lift(parts)

    async def decide(self) -> None:
        """Quarantine what is accused, unless an instance had a sound answer."""
        self.terms.record_crashes(self.quarantine.groups.values(), self.evidence)
        asked: set[PartId] = set()
        for _ in range(MAX_ROUNDS):
            # Once some parts are cleared, others may be accused instead.
            suspects = {
                part for item in self.new_accusations() for part in item.parts
            } - asked
            if not suspects:
                break
            await self.ask_for_sound_answers(suspects)
            asked |= suspects
        for item in self.new_accusations():
            if not item.parts <= asked:
                continue
            self.make_room()
            now = self.clock.monotonic()
            self.quarantine.enforce(item.parts, now, suspected=item.suspected)
            self.terms.record_accusation(item.parts, item.crashes)
            self.metrics.count("quarantine.groups")
            log.warning(
                "parts_accused",
                parts=text_of(item.parts),
                crashes=item.crashes,
                suspected=item.suspected,
            )

    def make_room(self) -> None:
        """Lift the groups that were not needed for the longest time, if too many."""
        while len(self.quarantine.groups) >= MAX_COLLECTED_GROUPS:
            unused = min(self.quarantine.groups.values(), key=self.terms.last_used_at)
            self.lift(unused.parts, "too many groups")

    def new_accusations(self) -> list[Accusation]:
        """Return the strongest accusations that no group in quarantine covers."""
        groups = self.quarantine.groups.values()
        accusations = [
            item
            for item in self.evidence.accusations()
            if not any(is_covered(item, group) for group in groups)
        ]
        accusations.sort(key=lambda item: (item.crashes, item.weight), reverse=True)
        return accusations[:MAX_ACCUSATIONS]

    async def ask_for_sound_answers(self, suspects: Collection[PartId]) -> None:
        """Ask all other instances for sound answers that clear suspects."""
        message = SoundAnswersRequest(
            parts=sorted(suspects),
            runs=[
                ServerRunKey(server=server, born=born)
                for server, born in {item.run.server for item in self.evidence.crashes}
            ],
        )
        # Ages are counted from here, so that no answer is dated too late.
        asked_at = self.clock.monotonic()
        asked = [
            self.peers.ask(url + ANSWERS_PATH, message, SoundAnswers, PEER_LIMITS)
            for url in self.urls().values()
        ]
        for answer in await asyncio.gather(*asked):
            match answer:
                case Result(tag="ok", ok=sound):
                    self.apply_sound_answers(sound, asked_at)
                case Result(error=failure):
                    log.info("sound_answers_unknown", reason=failure.message)

    def apply_sound_answers(self, sound: SoundAnswers, asked_at: timedelta) -> None:
        """Apply the last sound answers of another instance."""
        now = self.clock.monotonic()
        for part in sound.parts:
            at = now - timedelta(milliseconds=part.age_ms)
            self.evidence.record_sound_answer([PartId(part.part)], at)
        for run in sound.runs:
            connected_at = None
            if run.connected_age_ms is not UNSET:
                connected_at = now - timedelta(milliseconds=run.connected_age_ms)
            self.evidence.record_run_answered(
                (ServerId(run.server), run.born),
                asked_at - timedelta(milliseconds=run.age_ms),
                connected_at,
            )

    async def renew(self, *, gives_trials: bool) -> None:
        """Send all instances the groups in quarantine, if they changed or are due."""
        now = self.clock.monotonic()
        for group in [*self.quarantine.groups.values()]:
            if self.terms.is_idle(group):
                self.lift(group.parts, "no more requests")
            else:
                self.quarantine.enforce(
                    group.parts, group.since, suspected=group.suspected
                )
        groups = {key: item.suspected for key, item in self.quarantine.groups.items()}
        due = self.renewed_at is None or now - self.renewed_at >= RENEWAL_INTERVAL
        if not self.has_news or (groups == self.sent_groups and not due):
            return
        self.renewed_at, self.sent_groups = now, groups
        trials = {}
        if gives_trials:
            trials = self.terms.due_trials(self.quarantine.groups, self.instance)
        for parts, instance in trials.items():
            log.info("quarantine_trial_due", parts=text_of(parts), instance=instance)
            if instance == self.instance:
                self.quarantine.groups[parts].trial = True
        await asyncio.gather(
            *(
                self.send_update(instance, url, trials)
                for instance, url in self.urls().items()
            )
        )

    async def send_update(
        self, instance: InstanceId, url: str, trials: Mapping[Parts, InstanceId]
    ) -> None:
        """Send an instance the groups in quarantine, and learn of its refusals."""
        now = self.clock.monotonic()
        message = QuarantineUpdate(
            groups=[
                QuarantinedParts(
                    parts=sorted(group.parts),
                    age_ms=milliseconds(now - group.since),
                    trial=trials.get(group.parts) == instance,
                    suspected=group.suspected,
                )
                for group in self.quarantine.groups.values()
            ],
            lifted=[sorted(parts) for parts in self.terms.recently_lifted()],
        )
        url += UPDATE_PATH
        match await self.peers.ask(url, message, QuarantineAnswer, PEER_LIMITS):
            case Result(tag="ok", ok=answer):
                now = self.clock.monotonic()
                for item in answer.refused:
                    at = now - timedelta(milliseconds=item.age_ms)
                    self.terms.record_refusal(group_of(item.parts), instance, at)
            case Result(error=failure):
                log.info("quarantine_unsent", instance=instance, reason=failure.message)


def is_covered(accusation: Accusation, group: QuarantinedGroup) -> bool:
    """Return whether a group in quarantine is as strict as an accusation asks."""
    as_certain = accusation.suspected or not group.suspected
    return as_certain and group.parts <= accusation.parts


def age_of(at: timedelta | None, now: timedelta) -> timedelta | str:
    """Return the age of a time for the log, empty if the time is not known."""
    return "" if at is None else now - at


def milliseconds(duration: timedelta) -> float:
    """Return a duration in milliseconds."""
    return duration.total_seconds() * 1000


def group_of(parts: Iterable[str]) -> Parts:
    """Return a group from the parts in a message."""
    return frozenset(map(PartId, parts))
