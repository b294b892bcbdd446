"""How long a collector of crash reports keeps groups of parts in quarantine."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from datetime import timedelta

from magnoliatrail.clock import Clock
from magnoliatrail.ids import InstanceId
from magnoliatrail.routing.crash_causes import (
    MIN_CRASHES,
    Parts,
    event_numbers,
)
from magnoliatrail.routing.crash_evidence import (
    CRASH_LIFETIME,
    CrashEvidence,
)
from magnoliatrail.routing.quarantine import QuarantinedGroup

# A group that refused no request for so long is no longer needed; the crashes that
# accused it are forgotten by then.
IDLE_TIMEOUT = CRASH_LIFETIME
# One request is let through after this time, and again after twice as long each time.
FIRST_TRIAL_AFTER = timedelta(minutes=1)
MAX_TRIAL_INTERVAL = timedelta(minutes=16)
# Servers that go on crashing without a group's parts make it doubtful, and so do few
# crashes with them: its first trial comes earlier.
FIRST_TRIAL_IN_DOUBT = timedelta(seconds=15)
DOUBTFUL_CRASHES = 2
# Requests of a suspected group are let through one by one: the first at once, and the
# next after this time, by which the outcome of the last one is known.
SUSPECTED_TRIAL_INTERVAL = timedelta(seconds=4)
# Requests that were on their way may still crash servers for so long.
SETTLING_TIME = timedelta(seconds=3)
# How long instances are told that a group was lifted.
LIFTED_NOTICE = timedelta(seconds=10)


@dataclass(slots=True)
class Terms:
    """What a collector knows of one group."""

    # The last known refusal of each instance.
    refusals: dict[InstanceId, timedelta] = field(default_factory=dict)
    trials: int = 0
    last_trial_at: timedelta | None = None
    in_doubt: bool = False
    # How many crashes accused the group, simultaneous ones as one.
    crashes: int = MIN_CRASHES


class QuarantineTerms:
    """Decide when the quarantine of a group ends, and when a request may test it."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.terms: dict[Parts, Terms] = {}
        self.lifted: dict[Parts, timedelta] = {}

    def record_refusal(self, parts: Parts, instance: InstanceId, at: timedelta) -> None:
        """Record when an instance last refused a request of a group."""
        self.terms.setdefault(parts, Terms()).refusals[instance] = at

    def record_accusation(self, parts: Parts, crashes: int) -> None:
        """Record how many crashes accused a group; its trials begin anew."""
        terms = self.terms.setdefault(parts, Terms())
        terms.crashes, terms.trials, terms.last_trial_at = crashes, 0, None

    def lift(self, parts: Parts) -> None:
        """Forget a group, and let it be told to all instances for a while."""
        self.terms.pop(parts, None)
        self.lifted[parts] = self.clock.monotonic()

    def recently_lifted(self) -> list[Parts]:
        """Return the groups that were lifted lately."""
        oldest = self.clock.monotonic() - LIFTED_NOTICE
        self.lifted = {key: at for key, at in self.lifted.items() if at >= oldest}
        return list(self.lifted)

    def is_idle(self, group: QuarantinedGroup) -> bool:
        """Return whether no instance has refused a request of a group for long."""
        return self.clock.monotonic() - self.last_used_at(group) > IDLE_TIMEOUT

    def last_used_at(self, group: QuarantinedGroup) -> timedelta:
        """Return when a group last refused a request at any instance, or else began."""
        terms = self.terms.setdefault(group.parts, Terms())
        return max([group.last_used_at, *terms.refusals.values()])

    def record_crashes(
        self, groups: Iterable[QuarantinedGroup], evidence: CrashEvidence
    ) -> None:
        """Record which groups do not explain the crashes since their quarantine."""
        events = evidence.crash_events()
        for group in groups:
            others = [
                event.at
                for event in events
                if event.at > group.since + SETTLING_TIME
                and not event.has_prompt_with(group.parts)
            ]
            terms = self.terms.setdefault(group.parts, Terms())
            terms.in_doubt = len(set(event_numbers(others))) >= DOUBTFUL_CRASHES

    def due_trials(
        self, groups: Mapping[Parts, QuarantinedGroup], own: InstanceId
    ) -> dict[Parts, InstanceId]:
        """Return the groups with a due trial, and the instance that shall make it."""
        now = self.clock.monotonic()
        due = {}
        for parts, group in groups.items():
            terms = self.terms.setdefault(parts, Terms())
            refusals = dict(terms.refusals)
            if group.last_refusal_at is not None:
                refusals[own] = group.last_refusal_at
            if not refusals or now < self.next_trial_at(group, terms):
                continue
            due[parts] = max(refusals, key=lambda name: refusals[name])
            terms.trials += 1
            terms.last_trial_at = now
        return due

    def next_trial_at(self, group: QuarantinedGroup, terms: Terms) -> timedelta:
        """Return when the next request of a group may be let through."""
        if group.suspected:
            if terms.last_trial_at is None:
                return group.since
            return terms.last_trial_at + SUSPECTED_TRIAL_INTERVAL
        if terms.last_trial_at is None:
            in_doubt = terms.in_doubt or terms.crashes < MIN_CRASHES
            after = FIRST_TRIAL_IN_DOUBT if in_doubt else FIRST_TRIAL_AFTER
            return group.since + after
        wait = FIRST_TRIAL_AFTER * (1 << min(terms.trials, 10))
        return terms.last_trial_at + min(wait, MAX_TRIAL_INTERVAL)
