"""Infer which requests and prompt parts crash servers, from crashes and sound answers.

A crash breaks off every answer of its server, so it accuses many parts. A part is told
from the others by what all crashes have in common, and is cleared by any sound answer:
one that came whole, or went on for longer than a server takes to crash.

The fingerprint of a request, which its repeats have too, is one more part of it. It is
judged by itself: a request that crashes servers says nothing of the parts of its
prompt, and the other way round.
"""

from collections import Counter, OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from datetime import timedelta
from functools import partial

from magnoliatrail.clock import Clock
from magnoliatrail.ids import PartId
from magnoliatrail.requests import is_fingerprint
from magnoliatrail.routing.crash_causes import (
    MIN_REQUEST_CRASHES,
    Accusation,
    CrashEvent,
    Parts,
    Threshold,
    accuses_part,
    accuses_request,
    event_numbers,
    explain,
    is_part,
    suspects_part,
)
from magnoliatrail.routing.server_runs import BrokenRun, LiveSpan, LiveSpans, ServerRun

# A part that crashes servers does so within this time after an answer to it began.
MAX_CRASH_DELAY = timedelta(seconds=1)
CRASH_LIFETIME = timedelta(minutes=5)
MAX_CRASHES = 64
# Parts of all suspected prompts of a crash. As many again are taken of prompts with a
# part that stood in another crash too.
MAX_PARTS_PER_CRASH = 256
# Further parts of a prompt are not accused.
MAX_PARTS_PER_PROMPT = 64
MAX_PARTS = 20_000
MAX_FINGERPRINTS = 4_096


@dataclass(slots=True)
class Crash:
    """A server run that broke off answers."""

    run: BrokenRun
    # Parts of each request that may be its cause.
    prompts: set[Parts] = field(default_factory=set)
    parts: set[PartId] = field(default_factory=set)

    @property
    def at(self) -> timedelta:
        """Return when the first of the answers broke off."""
        return self.run.at


class CrashEvidence:
    """Crashes with their suspects, and the sound answers that clear them."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        # In the order of their first reports.
        self.crashes: list[Crash] = []
        # In how many crashes each part was a suspect.
        self.occurrences: Counter[PartId] = Counter()
        # When the last sound answer to a prompt with the part was known to be sound.
        self.answered: OrderedDict[PartId, timedelta] = OrderedDict()
        # The same for the fingerprints of requests, of which there are many more.
        self.fingerprints_answered: OrderedDict[PartId, timedelta] = OrderedDict()
        self.live_spans = LiveSpans()

    def record_crash(
        self, run: BrokenRun, prompts: Iterable[Iterable[PartId]]
    ) -> Crash | None:
        """Add the suspects of a crash; return the crash if there are new ones."""
        crash = self.find_crash(run)
        if crash is not None and self.live_spans.refutes(crash.run):
            # It broke off an answer without a crash before.
            self.forget_crash(crash)
            crash = None
        if crash is None:
            crash = Crash(run)
            self.crashes.append(crash)
        crash.run = crash.run.merged(run)
        known = len(crash.prompts)
        for prompt in prompts:
            parts = frozenset(list(prompt)[:MAX_PARTS_PER_PROMPT])
            if parts and parts not in crash.prompts and self.has_room(crash, parts):
                self.occurrences.update(parts - crash.parts)
                crash.prompts.add(parts)
                crash.parts |= parts
        while len(self.crashes) > MAX_CRASHES:
            self.forget_crash(self.crash_to_forget())
        return crash if len(crash.prompts) > known else None

    def find_crash(self, run: BrokenRun) -> Crash | None:
        """Return the newest known crash of the same run, if there is one."""
        for crash in reversed(self.crashes):
            if crash.run.is_same_run(run):
                return crash
        return None

    def crash_to_forget(self) -> Crash:
        """Return the oldest crash that was none, or else the oldest of all."""
        refuted = (item for item in self.crashes if self.live_spans.refutes(item.run))
        return next(refuted, self.crashes[0])

    def has_room(self, crash: Crash, parts: Parts) -> bool:
        """Return whether a crash may get a suspected prompt with these parts."""
        size = len(crash.parts | parts)
        if size <= MAX_PARTS_PER_CRASH:
            return True
        recurs = any(self.occurrences[part] for part in parts - crash.parts)
        return recurs and size <= 2 * MAX_PARTS_PER_CRASH

    def forget_crash(self, crash: Crash) -> None:
        """Forget a crash and its suspects."""
        self.crashes = [item for item in self.crashes if item is not crash]
        for part in crash.parts:
            self.occurrences[part] -= 1
            if not self.occurrences[part]:
                del self.occurrences[part]

    def record_sound_answer(self, parts: Iterable[PartId], at: timedelta) -> None:
        """Record that an answer to a prompt with these parts crashed no server."""
        for part in parts:
            known = (
                self.fingerprints_answered if is_fingerprint(part) else self.answered
            )
            known[part] = max(at, known.get(part, at))
            known.move_to_end(part)
        while len(self.answered) > MAX_PARTS:
            self.answered.popitem(last=False)
        while len(self.fingerprints_answered) > MAX_FINGERPRINTS:
            self.fingerprints_answered.popitem(last=False)

    def answered_at(self, part: PartId) -> timedelta | None:
        """Return when an answer to the part was last known to be sound, if any was."""
        known = self.fingerprints_answered if is_fingerprint(part) else self.answered
        return known.get(part)

    def record_run_answered(
        self, run: ServerRun, sent_at: timedelta, connected_at: timedelta | None = None
    ) -> None:
        """Record that a server run answered a request that was sent then.

        Without the time at which its connection was opened, only the list tells the run
        from others.
        """
        server, born = run
        end = sent_at if connected_at is None else max(sent_at, connected_at)
        self.live_spans.record(server, LiveSpan(connected_at, end, born))

    def accusations(self) -> list[Accusation]:
        """Return the parts that crash servers, the most certain first.

        Parts that were sound before are accused only of crashes that no other part
        explains.
        """
        self.forget_old()
        events = self.crash_events()
        requests, _ = self.explanations(events, is_fingerprint, accuses_request)
        accused, unexplained = self.explanations(events, is_part, accuses_part)
        suspected, _ = self.explanations(unexplained, is_part, suspects_part)
        return [
            *requests,
            *accused,
            *(replace(item, suspected=True) for item in suspected),
        ]

    def explanations(
        self,
        events: list[CrashEvent],
        is_candidate: Callable[[PartId], bool],
        threshold: Threshold,
    ) -> tuple[list[Accusation], list[CrashEvent]]:
        """Return the candidates that explain crashes, and the crashes left over.

        The most certain come first, and those that were never sound before all others.
        """

        def is_new(part: PartId) -> bool:
            return is_candidate(part) and self.was_never_sound(part)

        new, events = explain(events, is_new, partial(threshold, once_sound=False))
        others, events = explain(
            events, is_candidate, partial(threshold, once_sound=True)
        )
        return [*new, *others], events

    def was_never_sound(self, part: PartId) -> bool:
        """Return whether no sound answer with a part is remembered."""
        return self.answered_at(part) is None

    def forget_old(self) -> None:
        """Forget the crashes and sound answers that happened too long ago."""
        oldest = self.clock.monotonic() - CRASH_LIFETIME
        for crash in [crash for crash in self.crashes if crash.at < oldest]:
            self.forget_crash(crash)
        for known in (self.answered, self.fingerprints_answered):
            for part in [part for part, at in known.items() if at < oldest]:
                del known[part]

    def crash_events(self) -> list[CrashEvent]:
        """Return the crashes with the suspects that no sound answer cleared since.

        A run that answered a later request has not crashed. Prompts of which no part
        stood in enough crashes to be accused are left out.
        """
        crashes = sorted(
            (item for item in self.crashes if not self.live_spans.refutes(item.run)),
            key=lambda crash: crash.at,
        )
        numbers = event_numbers(crash.at for crash in crashes)
        return [
            CrashEvent(number, crash.at, self.suspected_prompts(crash))
            for number, crash in zip(numbers, crashes, strict=True)
        ]

    def suspected_prompts(self, crash: Crash) -> tuple[Parts, ...]:
        """Return the prompts that may be accused of a crash, without cleared parts."""
        recurring = {
            part
            for part in crash.parts
            if self.occurrences[part] >= MIN_REQUEST_CRASHES
        }
        suspected = {
            part
            for part in crash.parts
            if (self.answered_at(part) or timedelta.min) < crash.at
        }
        return tuple(
            prompt & suspected
            for prompt in crash.prompts
            if not recurring.isdisjoint(prompt)
        )
