"""Places that instances use, as they report them to the owner of a cell."""

from collections.abc import Callable, Collection
from datetime import timedelta

from magnoliatrail.backends import LoadedAdapter
from magnoliatrail.cells.answers import place_answer
from magnoliatrail.cells.engine_state import EngineState, Grant
from magnoliatrail.cells.loading import AdapterLoads
from magnoliatrail.clock import Clock
from magnoliatrail.generated.cells import (
    EndedRun,
    InstanceReport,
    PlaceAnswer,
    PlaceState,
    RunningRequest,
    RunOutcome,
)
from magnoliatrail.ids import ServerId
from magnoliatrail.logs import EventLog

log = EventLog("cells")

# A grant that its instance no longer lists is given up after this time.
UNCONFIRMED_AFTER = timedelta(seconds=2.5)
# An instance that does not report for this long has ended.
INSTANCE_GONE = timedelta(seconds=4)
FORGET_EVERY = timedelta(seconds=1)
# Failures in a row after which an engine gets no requests for a while.
MOST_FAILURES = 3
SHUN = timedelta(seconds=1.5)
SHUN_SILENT = timedelta(seconds=0.8)


class PlacesInUse:
    """Hold who uses which place, and learn from how requests end."""

    def __init__(
        self,
        *,
        clock: Clock,
        loads: AdapterLoads,
        engines: Callable[[], Collection[EngineState]],
        forget: Callable[[str], None],
        pause_goal: Callable[[], timedelta],
    ) -> None:
        self.clock = clock
        self.loads = loads
        self.engines = engines
        # Takes a request that needs no place any more.
        self.forget = forget
        self.pause_goal = pause_goal
        self.placed: dict[str, tuple[EngineState, PlaceAnswer]] = {}
        # When each instance last reported, and the address of its peer listener.
        self.instances: dict[str, timedelta] = {}
        self.addresses: dict[str, str] = {}
        # Instances that told all that they run.
        self.told_all: set[str] = set()
        self.forgotten_at = timedelta()

    def take_report(self, report: InstanceReport) -> None:
        """Take in what an instance says of its requests."""
        now = self.clock.monotonic()
        self.instances[report.instance] = now
        self.addresses[report.instance] = report.address
        for request in report.started:
            self.note_started(request)
        for ended in report.ended:
            self.note_ended(ended)
        if report.full:
            self.told_all.add(report.instance)
            self.take_running(report, now)
        if now - self.forgotten_at > FORGET_EVERY:
            self.forgotten_at = now
            self.forget_instances(now)

    def note_started(self, request: str) -> None:
        """Note that a request's first event came."""
        placed = self.placed.get(request)
        grant = placed[0].grants.get(request) if placed else None
        if placed and grant:
            placed[0].start_grant(grant)
            placed[0].failures = 0

    def note_ended(self, ended: EndedRun) -> None:
        """Free the place of a request, and learn from how it ended."""
        placed = self.placed.pop(ended.request, None)
        self.forget(ended.request)
        if placed is None:
            return
        engine, _ = placed
        grant = engine.remove_grant(ended.request)
        now = self.clock.monotonic()
        match ended.outcome:
            case RunOutcome.SERVED:
                engine.failures = 0
                pause = timedelta(milliseconds=ended.longest_pause_ms)
                engine.pace.record_pause(pause, self.pause_goal(), now)
            case RunOutcome.NOT_RUN if grant:
                self.loads.note_refused(engine, grant.adapter)
            case RunOutcome.SILENT | RunOutcome.FAILED:
                self.note_failure(engine, ended, now)

    def note_failure(
        self, engine: EngineState, ended: EndedRun, now: timedelta
    ) -> None:
        """Shun an engine that fails request after request."""
        engine.failures += 1
        silent = ended.outcome is RunOutcome.SILENT
        if silent or engine.failures >= MOST_FAILURES:
            engine.shunned_until = now + (SHUN_SILENT if silent else SHUN)
            log.warning(
                "engine_shunned",
                engine=engine.server.id,
                failures=engine.failures,
                outcome=ended.outcome,
                request=ended.request,
            )

    def take_running(self, report: InstanceReport, now: timedelta) -> None:
        """Make the grants of an instance what it says they are."""
        by_id = {engine.server.id: engine for engine in self.engines()}
        listed = set()
        for running in report.running:
            listed.add(running.request)
            engine = by_id.get(ServerId(running.server))
            if engine:
                self.confirm(engine, running, report.instance, now)
        for engine in self.engines():
            for grant in list(engine.grants.values()):
                if grant.instance == report.instance and grant.request not in listed:
                    self.drop_unconfirmed(engine, grant, now)

    def confirm(
        self,
        engine: EngineState,
        running: RunningRequest,
        instance: str,
        now: timedelta,
    ) -> None:
        """Note that a request runs, also one that an owner before had placed."""
        grant = engine.grants.get(running.request)
        if grant is None:
            # It may have asked again, as the first answer was lost.
            self.forget(running.request)
            adapter = LoadedAdapter(running.model, running.adapter, running.version)
            grant = Grant(
                request=running.request,
                instance=instance,
                adapter=adapter,
                prompt_tokens=running.prompt_tokens,
                output_tokens=running.output_tokens,
                granted_at=now,
            )
            engine.add_grant(grant)
            answer = place_answer(
                PlaceState.GRANTED, engine, running.version, "runs already"
            )
            self.placed[running.request] = (engine, answer)
        if running.started:
            engine.start_grant(grant)
        grant.confirmed_at = now

    def drop_unconfirmed(
        self, engine: EngineState, grant: Grant, now: timedelta
    ) -> None:
        """Give up a place that its instance does not use."""
        if grant.request in self.loads.reserved:
            return
        if now - grant.confirmed_at > UNCONFIRMED_AFTER:
            engine.remove_grant(grant.request)
            self.placed.pop(grant.request, None)
            log.info(
                "place_unused",
                request=grant.request,
                instance=grant.instance,
                engine=engine.server.id,
            )

    def forget_instances(self, now: timedelta) -> None:
        """Free the places of instances that have ended."""
        gone = [
            name for name, seen in self.instances.items() if now - seen > INSTANCE_GONE
        ]
        for name in gone:
            del self.instances[name]
            self.addresses.pop(name, None)
            log.info("instance_silent", instance=name)
        for engine in self.engines():
            for grant in list(engine.grants.values()):
                if grant.instance not in self.instances:
                    self.drop_unconfirmed(engine, grant, now)
