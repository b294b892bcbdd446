"""Exchange of crash evidence and quarantined parts between instances.

Each instance reports the crashes that it saw to two collectors, chosen by rendezvous
hashing. A collector that finds an accusation asks all instances for sound answers that
refute it, then sends the quarantined group to all.
"""

import asyncio
from collections.abc import Callable, Collection, Mapping
from contextlib import suppress
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any

from expression import Ok, Result
from msgspec import UNSET, UnsetType

from magnoliatrail.clock import Clock
from magnoliatrail.errors import Failure
from magnoliatrail.generated.quarantine import (
    CrashReport,
    CrashReports,
    CrashReportsAnswer,
    GroupRefused,
    PartAnswered,
    QuarantineAnswer,
    QuarantineUpdate,
    RunAnswered,
    SoundAnswers,
    SoundAnswersRequest,
)
from magnoliatrail.ids import InstanceId, PartId, ServerId
from magnoliatrail.logs import EventLog
from magnoliatrail.metrics import Metrics
from magnoliatrail.peers.client import PeerClient
from magnoliatrail.peers.crash_collector import (
    ANSWERS_PATH,
    PEER_LIMITS,
    RENEWAL_INTERVAL,
    UPDATE_PATH,
    CrashCollector,
    group_of,
    milliseconds,
)
from magnoliatrail.peers.server import PeerRoute
from magnoliatrail.rendezvous import ranked
from magnoliatrail.routing.crash_causes import Parts
from magnoliatrail.routing.crash_evidence import CrashEvidence
from magnoliatrail.routing.quarantine import Quarantine
from magnoliatrail.routing.server_runs import BrokenRun, ServerRun, latest

log = EventLog("quarantine")

REPORTS_PATH = "/quarantine/crashes"
COLLECTORS = 2
COLLECTORS_KEY = "crash-collectors"
# Answers that break off together are reported together.
BATCHING_TIME = timedelta(milliseconds=30)
# Own crashes are kept this long for a collector that takes over.
REPORT_LIFETIME = timedelta(seconds=60)
# Prompts of one crash, and crashes, that one instance reports.
MAX_OWN_PROMPTS = 256
MAX_OWN_CRASHES = 256


@dataclass(slots=True)
class OwnCrash:
    """A crash that this instance saw, and the collectors that know it."""

    run: BrokenRun
    # Suspects of each request whose answer broke off, in order of their time.
    prompts: dict[tuple[PartId, ...], None] = field(default_factory=dict)
    # How many of them each collector knows.
    reported: dict[InstanceId, int] = field(default_factory=dict)

    def unreported(self, collector: InstanceId) -> list[tuple[PartId, ...]]:
        """Return the prompts that a collector does not know yet."""
        return list(self.prompts)[self.reported.get(collector, 0) :]


class QuarantineExchange:
    """Report crashes to the collectors, and apply the quarantines that they send."""

    def __init__(
        self,
        *,
        clock: Clock,
        metrics: Metrics,
        peers: PeerClient,
        instance: InstanceId,
        urls: Callable[[], Mapping[InstanceId, str]],
    ) -> None:
        self.clock = clock
        self.metrics = metrics
        self.peers = peers
        self.instance = instance
        # URLs of the peer listeners of the other instances.
        self.urls = urls
        self.evidence = CrashEvidence(clock)
        self.rules = Quarantine(clock)
        self.collector = CrashCollector(
            clock=clock,
            metrics=metrics,
            peers=peers,
            instance=instance,
            urls=urls,
            evidence=self.evidence,
            quarantine=self.rules,
        )
        self.own_crashes: list[OwnCrash] = []
        # Groups that stood in a sound answer here, and the collectors to tell.
        self.refuted: dict[Parts, set[InstanceId]] = {}
        self.wake = asyncio.Event()

    # Observations of this instance

    def record_broken(
        self,
        server: ServerRun,
        parts: tuple[PartId, ...],
        *,
        sent_at: timedelta | None = None,
        connected_at: timedelta | None = None,
        closed_in_order: bool = False,
    ) -> None:
        """Record that a server broke off an answer that may have crashed it.

        The parts are those of the prompt, and the fingerprint of the request, which was
        sent then on a connection that was opened then. A connection that was closed in
        order was closed by the run that took it, one that failed perhaps by the next.
        """
        if not parts:
            return
        now = self.clock.monotonic()
        run = BrokenRun(
            server,
            now,
            alive_at=now if closed_in_order else latest(sent_at, connected_at),
            connected_at=connected_at,
        )
        crash = self.find_own_crash(run)
        if crash is None:
            crash = OwnCrash(run)
            self.own_crashes.append(crash)
        crash.run = crash.run.merged(run)
        if len(crash.prompts) < MAX_OWN_PROMPTS:
            crash.prompts[parts] = None
        del self.own_crashes[:-MAX_OWN_CRASHES]
        self.wake.set()

    def find_own_crash(self, run: BrokenRun) -> OwnCrash | None:
        """Return the crash of the same run that is known here, if there is one."""
        for crash in reversed(self.own_crashes):
            if crash.run.is_same_run(run):
                return None if self.evidence.live_spans.refutes(crash.run) else crash
        return None

    def runs_broken(self, part: PartId) -> int:
        """Return how many server runs lately broke off an answer to a part here.

        Those before a sound answer to it, and those that lived on, don't count.
        """
        sound_at = self.evidence.answered_at(part) or timedelta.min
        lived_on = self.evidence.live_spans.refutes
        return sum(
            any(part in prompt for prompt in crash.prompts)
            for crash in self.own_crashes
            if crash.run.at > sound_at and not lived_on(crash.run)
        )

    def record_sound(self, parts: tuple[PartId, ...]) -> None:
        """Record that an answer to a prompt with these parts crashed no server."""
        if not parts:
            return
        self.evidence.record_sound_answer(parts, self.clock.monotonic())
        for group in [*self.rules.groups]:
            if group.issubset(parts):
                self.collector.lift(group, "a sound answer")
                self.refuted[group] = {*self.collectors()} - {self.instance}
                self.wake.set()

    def record_answered(
        self,
        server: ServerRun,
        sent_at: timedelta,
        *,
        connected_at: timedelta | None = None,
    ) -> None:
        """Record that a server answered a request that was sent to it then."""
        self.evidence.record_run_answered(server, sent_at, connected_at)

    def refuses(self, parts: Collection[PartId], *, sending: bool = False) -> bool:
        """Return whether a request must not be sent; sending it uses up a trial."""
        refused = self.rules.refuses(parts, sending=sending)
        if refused:
            self.metrics.count("quarantine.refused")
        return refused

    def restore(self, groups: list[list[str]]) -> None:
        """Apply the groups that were in quarantine before this instance started."""
        for parts in groups:
            self.rules.enforce(group_of(parts), self.clock.monotonic())
        if groups:
            self.wake.set()

    # Background work

    def collectors(self) -> list[InstanceId]:
        """Return the instances that collect the reports of all others."""
        names = ranked(COLLECTORS_KEY, {*self.urls(), self.instance})
        return [InstanceId(name) for name in names[:COLLECTORS]]

    async def run(self) -> None:
        """Report, decide and renew; wait for events while there is nothing to do."""
        while True:
            if self.is_idle:
                await self.wake.wait()
            else:
                with suppress(TimeoutError):
                    async with asyncio.timeout(RENEWAL_INTERVAL.total_seconds()):
                        await self.wake.wait()
            self.wake.clear()
            await self.clock.sleep(BATCHING_TIME)
            await self.exchange()

    async def exchange(self) -> None:
        """Report what is new; as a collector, decide on it and tell all instances."""
        self.forget_old()
        collectors = self.collectors()
        await asyncio.gather(*(self.report_to(name) for name in collectors))
        if self.instance in collectors:
            await self.collector.decide()
            gives_trials = collectors[0] == self.instance
            await self.collector.renew(gives_trials=gives_trials)

    @property
    def is_idle(self) -> bool:
        """Return whether nothing has to be sent again."""
        return not (self.own_crashes or self.refuted or self.collector.has_news)

    def forget_old(self) -> None:
        """Forget the crashes and refutations that no collector needs any more."""
        oldest = self.clock.monotonic() - REPORT_LIFETIME
        self.own_crashes = [
            crash for crash in self.own_crashes if crash.run.at >= oldest
        ]
        collectors = set(self.collectors())
        self.refuted = {
            group: names & collectors
            for group, names in self.refuted.items()
            if names & collectors
        }

    async def report_to(self, collector: InstanceId) -> None:
        """Send a collector the crashes and refutations that it does not know yet."""
        crashes = [
            (crash, prompts)
            for crash in self.own_crashes
            if (prompts := crash.unreported(collector))
        ]
        refuted = [group for group, names in self.refuted.items() if collector in names]
        if not crashes and not refuted:
            return
        if collector == self.instance:
            for crash, prompts in crashes:
                self.collector.collect(crash.run, prompts)
                crash.reported[collector] = len(crash.prompts)
            return
        now = self.clock.monotonic()
        message = CrashReports(
            crashes=[report_of(crash.run, prompts, now) for crash, prompts in crashes],
            lifted=[sorted(group) for group in refuted],
        )
        url = self.urls().get(collector, "") + REPORTS_PATH
        match await self.peers.ask(url, message, CrashReportsAnswer, PEER_LIMITS):
            case Result(tag="ok"):
                for group in refuted:
                    self.refuted[group].discard(collector)
                for crash, prompts in crashes:
                    known = crash.reported.get(collector, 0)
                    crash.reported[collector] = known + len(prompts)
            case Result(error=failure):
                log.warning(
                    "crashes_unreported",
                    collector=collector,
                    crashes=len(crashes),
                    reason=failure.message,
                )

    # Messages

    async def answer_reports(
        self, message: CrashReports
    ) -> Result[CrashReportsAnswer, Failure]:
        """Take another instance's reports."""
        now = self.clock.monotonic()
        for report in message.crashes:
            news = self.collector.collect(
                broken_run_of(report, now),
                [[PartId(part) for part in prompt] for prompt in report.prompts],
            )
            if news:
                self.wake.set()
        for parts in message.lifted:
            self.evidence.record_sound_answer(map(PartId, parts), now)
            self.collector.lift(group_of(parts), "a sound answer elsewhere")
            self.wake.set()
        return Ok(CrashReportsAnswer(taken=len(message.crashes)))

    async def answer_sound_answers(
        self, message: SoundAnswersRequest
    ) -> Result[SoundAnswers, Failure]:
        """Answer which suspects had sound answers here."""
        now = self.clock.monotonic()
        parts = []
        for name in message.parts:
            at = self.evidence.answered_at(PartId(name))
            if at is not None:
                parts.append(PartAnswered(part=name, age_ms=milliseconds(now - at)))
        runs = [
            RunAnswered(
                server=server,
                born=span.born,
                age_ms=milliseconds(now - span.end),
                connected_age_ms=age_in_milliseconds(span.begin, now),
            )
            for server in dict.fromkeys(ServerId(run.server) for run in message.runs)
            for span in self.evidence.live_spans.of(server)
        ]
        return Ok(SoundAnswers(parts=parts, runs=runs))

    async def answer_update(
        self, message: QuarantineUpdate
    ) -> Result[QuarantineAnswer, Failure]:
        """Apply a collector's groups, and answer which ones refused requests here."""
        now = self.clock.monotonic()
        for lifted in message.lifted:
            self.rules.lift(group_of(lifted), "a collector")
        for item in message.groups:
            parts = group_of(item.parts)
            if parts in self.refuted:
                continue
            since = now - timedelta(milliseconds=item.age_ms)
            group = self.rules.enforce(parts, since, suspected=item.suspected is True)
            group.trial = group.trial or item.trial
        refused = [
            GroupRefused(
                parts=sorted(group.parts),
                age_ms=milliseconds(now - group.last_refusal_at),
            )
            for group in self.rules.groups.values()
            if group.last_refusal_at is not None
        ]
        return Ok(QuarantineAnswer(refused=refused))

    def peer_routes(self) -> list[PeerRoute[Any]]:
        """Return the routes of the peer messages about quarantines."""
        return [
            PeerRoute(REPORTS_PATH, CrashReports, self.answer_reports),
            PeerRoute(ANSWERS_PATH, SoundAnswersRequest, self.answer_sound_answers),
            PeerRoute(UPDATE_PATH, QuarantineUpdate, self.answer_update),
        ]


def report_of(
    run: BrokenRun, prompts: list[tuple[PartId, ...]], now: timedelta
) -> CrashReport:
    """Return the report of a crash to a collector."""
    server, born = run.server
    return CrashReport(
        server=server,
        born=born,
        age_ms=milliseconds(now - run.at),
        alive_age_ms=age_in_milliseconds(run.alive_at, now),
        connected_age_ms=age_in_milliseconds(run.connected_at, now),
        prompts=[list(prompt) for prompt in prompts],
    )


def broken_run_of(report: CrashReport, now: timedelta) -> BrokenRun:
    """Return the server run that a report is about."""
    return BrokenRun(
        (ServerId(report.server), report.born),
        now - timedelta(milliseconds=report.age_ms),
        alive_at=time_of(report.alive_age_ms, now),
        connected_at=time_of(report.connected_age_ms, now),
    )


def age_in_milliseconds(at: timedelta | None, now: timedelta) -> float | UnsetType:
    """Return the age of a time, unset if the time is not known."""
    return UNSET if at is None else max(0.0, milliseconds(now - at))


def time_of(age_ms: float | UnsetType, now: timedelta) -> timedelta | None:
    """Return the time of an age, None if it is not known."""
    return None if age_ms is UNSET else now - timedelta(milliseconds=age_ms)
