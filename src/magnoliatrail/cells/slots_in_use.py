"""Batch slots in use, as instances report them to the owner of a cell."""

import zlib
from collections.abc import Callable, Collection
from datetime import timedelta

from magnoliatrail.backends import LoadedAdapter
from magnoliatrail.cells.answers import slot_answer
from magnoliatrail.cells.engine_state import EngineState, Grant
from magnoliatrail.cells.loading import AdapterLoads
from magnoliatrail.clock import Clock
from magnoliatrail.generated.cells import (
    EndedRun,
    InstanceReport,
    KnownInstance,
    RunningRequest,
    RunOutcome,
    SlotAnswer,
    SlotDecision,
)
from magnoliatrail.ids import ServerId
from magnoliatrail.logs import EventLog
from magnoliatrail.wire import encode

log = EventLog("cells")

# A grant that its instance no longer lists is revoked after this time.
UNCONFIRMED_GRANT_TIMEOUT = timedelta(seconds=2.5)
# An instance that does not report for this long is considered stopped.
INSTANCE_TIMEOUT = timedelta(seconds=4)
INSTANCE_EXPIRY_INTERVAL = timedelta(seconds=1)
# Consecutive failures after which an engine gets no requests for a while.
MAX_CONSECUTIVE_FAILURES = 3
FAILED_RUN_BACKOFF = timedelta(seconds=1.5)
SILENT_RUN_BACKOFF = timedelta(seconds=0.8)


class SlotsInUse:
    """Track granted slots by request, and the outcomes of requests by engine."""

    def __init__(
        self,
        *,
        clock: Clock,
        loads: AdapterLoads,
        engines: Callable[[], Collection[EngineState]],
        remove_from_queue: Callable[[str], None],
        record_run_time: Callable[[timedelta], None],
        pause_goal: Callable[[], timedelta],
    ) -> None:
        self.clock = clock
        self.loads = loads
        self.engines = engines
        # Removes a request that no longer needs a slot from the queue.
        self.remove_from_queue = remove_from_queue
        self.record_run_time = record_run_time
        self.pause_goal = pause_goal
        # Engine and answer of each granted request.
        self.granted: dict[str, tuple[EngineState, SlotAnswer]] = {}
        # When each instance last reported, and the address of its peer listener.
        self.instances: dict[str, timedelta] = {}
        self.addresses: dict[str, str] = {}
        # The instances as they are listed to others, until one comes or goes.
        self.listed: tuple[list[KnownInstance], int] | None = None
        # Instances that sent a full report of their running requests.
        self.fully_reported: set[str] = set()
        self.last_expiry_at = timedelta()

    def apply_report(self, report: InstanceReport) -> None:
        """Apply an instance's report."""
        now = self.clock.monotonic()
        self.instances[report.instance] = now
        if self.addresses.get(report.instance) != report.address:
            self.addresses[report.instance] = report.address
            self.listed = None
        for request in report.started:
            self.record_started(request)
        for ended in report.ended:
            self.record_ended(ended)
        if report.full:
            self.fully_reported.add(report.instance)
            self.apply_running(report, now)
        if now - self.last_expiry_at > INSTANCE_EXPIRY_INTERVAL:
            self.last_expiry_at = now
            self.expire_instances(now)

    def listed_instances(self) -> tuple[list[KnownInstance], int]:
        """Return the instances that report, and a digest of them."""
        if self.listed is None:
            listed = [
                KnownInstance(instance=name, address=address)
                for name, address in sorted(self.addresses.items())
            ]
            self.listed = listed, zlib.crc32(encode(listed))
        return self.listed

    def record_started(self, request: str) -> None:
        """Record that a request sent its first event."""
        granted = self.granted.get(request)
        grant = granted[0].grants.get(request) if granted else None
        if granted and grant:
            granted[0].start_grant(grant)
            granted[0].failures = 0

    def record_ended(self, ended: EndedRun) -> None:
        """Free the slot of an ended request, and apply its outcome to the engine."""
        granted = self.granted.pop(ended.request, None)
        self.remove_from_queue(ended.request)
        if granted is None:
            return
        engine, _ = granted
        grant = engine.remove_grant(ended.request)
        now = self.clock.monotonic()
        if grant and grant.delivered:
            self.record_run_time(now - grant.granted_at)
        match ended.outcome:
            case RunOutcome.SERVED:
                engine.failures = 0
                pause = timedelta(milliseconds=ended.longest_pause_ms)
                engine.prefill_budget.record_pause(pause, self.pause_goal(), now)
                if grant:
                    record_speed(engine, grant, ended, now)
            case RunOutcome.NOT_RUN if grant:
                self.loads.handle_denied(engine, grant.adapter)
            case RunOutcome.SILENT | RunOutcome.FAILED:
                self.record_failure(engine, ended, now)

    def record_failure(
        self, engine: EngineState, ended: EndedRun, now: timedelta
    ) -> None:
        """Count a failure; back off after a silent run or too many failures."""
        engine.failures += 1
        silent = ended.outcome is RunOutcome.SILENT
        if silent or engine.failures >= MAX_CONSECUTIVE_FAILURES:
            engine.backoff_until = now + (
                SILENT_RUN_BACKOFF if silent else FAILED_RUN_BACKOFF
            )
            log.warning(
                "engine_backoff",
                engine=engine.server.id,
                failures=engine.failures,
                outcome=ended.outcome,
                request=ended.request,
            )

    def apply_running(self, report: InstanceReport, now: timedelta) -> None:
        """Reconcile an instance's grants with its full list of running requests."""
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
        """Confirm a running request, also one that a previous owner granted."""
        grant = engine.grants.get(running.request)
        if grant is None:
            # The instance may have requested a slot again after a lost answer.
            self.remove_from_queue(running.request)
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
            answer = slot_answer(
                SlotDecision.GRANTED, engine, running.version, "runs already"
            )
            self.granted[running.request] = (engine, answer)
        if running.started:
            engine.start_grant(grant)
        grant.confirmed_at = now

    def drop_unconfirmed(
        self, engine: EngineState, grant: Grant, now: timedelta
    ) -> None:
        """Revoke a grant that its instance has not confirmed in time."""
        if grant.request in self.loads.reserved:
            return
        if now - grant.confirmed_at > UNCONFIRMED_GRANT_TIMEOUT:
            engine.remove_grant(grant.request)
            self.granted.pop(grant.request, None)
            log.info(
                "place_unused",
                request=grant.request,
                instance=grant.instance,
                engine=engine.server.id,
            )

    def expire_instances(self, now: timedelta) -> None:
        """Remove instances that stopped reporting, and revoke their grants."""
        silent = [
            name
            for name, seen in self.instances.items()
            if now - seen > INSTANCE_TIMEOUT
        ]
        for name in silent:
            del self.instances[name]
            self.addresses.pop(name, None)
            self.listed = None
            log.info("instance_silent", instance=name)
        for engine in self.engines():
            for grant in list(engine.grants.values()):
                if grant.instance not in self.instances:
                    self.drop_unconfirmed(engine, grant, now)


def record_speed(
    engine: EngineState, grant: Grant, ended: EndedRun, now: timedelta
) -> None:
    """Update the estimate of an engine's speed from a stream that it served."""
    estimate = engine.speed_estimate
    if grant.prefilled_alone:
        first = timedelta(milliseconds=ended.first_event_ms)
        estimate.record_first_event(grant.prompt_tokens, first, now)
    pause = timedelta(milliseconds=ended.usual_pause_ms)
    running = grant.running_at_delivery
    estimate.record_steps(running, pause, engine.spec.event_tokens, now)
