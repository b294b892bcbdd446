"""Infer which requests and prompt parts crash servers, from crashes and sound answers.

A crash breaks off every answer of its server, so it accuses many parts. A part is told
from the others by what all crashes have in common, and is cleared by any sound answer:
one that came whole, or went on for longer than a server takes to crash.

The fingerprint of a request, which its repeats have too, is one more part of it. It is
judged by itself: a request that crashes servers says nothing of the parts of its
prompt, and the other way round.
"""

from collections import Counter, OrderedDict
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from datetime import timedelta

from magnoliatrail.clock import Clock
from magnoliatrail.ids import PartId
from magnoliatrail.requests import is_fingerprint
from magnoliatrail.routing.server_runs import BrokenRun, LiveSpan, LiveSpans, ServerRun

Parts = frozenset[PartId]

# Crashes under a part without a sound answer to it in between, before it is accused.
MIN_CRASHES = 4
# The same for a part that was sound before, which more likely stood by.
MIN_CRASHES_ONCE_SOUND = 8
# The same for repeats of one request. Each run of a server that it ended counts, as an
# instance may send it to the next server within a moment.
MIN_REQUEST_CRASHES = 3
MIN_REQUEST_CRASHES_ONCE_SOUND = 5
# Crashes closer together count once: a loss of power takes many servers at a time.
SAME_EVENT_WITHIN = timedelta(milliseconds=100)
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
# The strongest accusations, of which each may cost a message to all instances.
MAX_ACCUSATIONS = 16
# How often the crashes that one cause explains are set aside to look for another.
MAX_CAUSES = 4


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


@dataclass(frozen=True, slots=True)
class Accusation:
    """Parts that crash servers, as far as can be told only where all of them occur."""

    parts: Parts
    crashes: int
    # Higher if fewer other suspects stood in the same crashes.
    weight: float = 0.0


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
            self.forget_crash(self.least_telling_crash())
        return crash if len(crash.prompts) > known else None

    def find_crash(self, run: BrokenRun) -> Crash | None:
        """Return the newest known crash of the same run, if there is one."""
        for crash in reversed(self.crashes):
            if crash.run.is_same_run(run):
                return crash
        return None

    def least_telling_crash(self) -> Crash:
        """Return the oldest crash, before it the oldest that was none."""
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
        return [
            *self.explanations(
                events,
                is_fingerprint,
                (MIN_REQUEST_CRASHES, MIN_REQUEST_CRASHES_ONCE_SOUND),
            ),
            *self.explanations(
                events,
                lambda part: not is_fingerprint(part),
                (MIN_CRASHES, MIN_CRASHES_ONCE_SOUND),
            ),
        ]

    def explanations(
        self,
        events: list["CrashEvent"],
        is_candidate: Callable[[PartId], bool],
        thresholds: tuple[int, int],
    ) -> list[Accusation]:
        """Return the candidates that explain the crashes, the most certain first.

        The thresholds are for parts that were never sound and for all others.
        """
        accusations: list[Accusation] = []
        for threshold, may_be_cause in zip(
            thresholds, (self.was_never_sound, lambda part: True), strict=True
        ):
            for _ in range(MAX_CAUSES):
                found = strongest(events, threshold, is_candidate, may_be_cause)
                if not found:
                    break
                accusations += found
                # A crash is explained by one cause; it says nothing of other suspects.
                events = [
                    event
                    for event in events
                    if not any(event.has_prompt_with(item.parts) for item in found)
                ]
        return accusations

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

    def crash_events(self) -> list["CrashEvent"]:
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


@dataclass(frozen=True, slots=True)
class CrashEvent:
    """A crash, with the number that simultaneous ones share, and its suspects."""

    number: int
    at: timedelta
    prompts: tuple[Parts, ...]

    def has_prompt_with(self, parts: Parts) -> bool:
        """Return whether a suspected prompt has all of these parts."""
        return any(parts <= prompt for prompt in self.prompts)


def event_numbers(times: Iterable[timedelta]) -> Iterator[int]:
    """Yield a number for each of the sorted times, the same for simultaneous ones."""
    number, began = 0, None
    for at in times:
        if began is None or at - began > SAME_EVENT_WITHIN:
            number, began = number + 1, at
        yield number


def strongest(
    events: list[CrashEvent],
    threshold: int,
    is_candidate: Callable[[PartId], bool],
    may_be_cause: Callable[[PartId], bool],
) -> list[Accusation]:
    """Return the groups of parts with the most crashes, if these are enough.

    Of a group and a larger one with as many crashes only the larger one is returned:
    a part that many callers share comes along with the one that crashes.
    """
    suspects: dict[PartId, list[CrashEvent]] = {}
    for event in events:
        for part in frozenset[PartId]().union(*event.prompts):
            suspects.setdefault(part, []).append(event)
    counts = {part: crash_count(part, accused) for part, accused in suspects.items()}
    causes = [part for part in suspects if is_candidate(part) and may_be_cause(part)]
    most = max((counts[part] for part in causes), default=0)
    if most < threshold:
        return []
    weights = {
        part: sum(1 / len(event.prompts) for event in suspects[part])
        for part in causes
        if counts[part] == most
    }
    heaviest = sorted(weights, key=lambda part: weights[part], reverse=True)
    groups: dict[Parts, float] = {}
    for part in heaviest[:MAX_ACCUSATIONS]:
        groups.setdefault(companions(part, suspects[part], counts), weights[part])
    return [
        Accusation(group, most, weight)
        for group, weight in groups.items()
        if not any(group < other for other in groups)
    ]


def crash_count(part: PartId, events: list[CrashEvent]) -> int:
    """Return how many crashes a part was in, simultaneous ones as one.

    A request that was sent again meets one crash after the other, however close.
    """
    if is_fingerprint(part):
        return len(events)
    return len({event.number for event in events})


def companions(
    part: PartId, events: list[CrashEvent], counts: dict[PartId, int]
) -> Parts:
    """Return a part with all suspects that stood in each suspected prompt with it.

    A fingerprint stands for its request alone.
    """
    if is_fingerprint(part):
        return frozenset([part])
    prompts = [prompt for event in events for prompt in event.prompts if part in prompt]
    common = prompts[0].intersection(*prompts[1:])
    return frozenset(other for other in common if counts[other] >= MIN_CRASHES)
