"""Infer which prompt parts crash servers, from crashes and sound answers.

A crash breaks off every answer of its server, so it accuses many parts. A part is told
from the others by what all crashes have in common, and is cleared by any sound answer:
one that came whole, or went on for longer than a server takes to crash.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from datetime import timedelta

from magnoliatrail.clock import Clock
from magnoliatrail.ids import PartId, ServerId

# A server and the start time of its run.
ServerRun = tuple[ServerId, int]
Parts = frozenset[PartId]

# Crashes under a part without a sound answer to it in between, before it is accused.
MIN_CRASHES = 4
# The same for a part that was sound before, which more likely stood by.
MIN_CRASHES_ONCE_SOUND = 8
# Crashes closer together count once: a loss of power takes many servers at a time.
SAME_EVENT_WITHIN = timedelta(milliseconds=100)
# A part that crashes servers does so within this time after an answer to it began.
MAX_CRASH_DELAY = timedelta(seconds=1)
CRASH_LIFETIME = timedelta(minutes=5)
MAX_CRASHES = 64
MAX_PROMPTS_PER_CRASH = 512
# Further parts of a prompt are not accused.
MAX_PARTS_PER_PROMPT = 64
MAX_PARTS = 20_000
MAX_RUNS = 8_192


@dataclass(slots=True)
class Crash:
    """A server run that broke off answers."""

    at: timedelta
    # Shared parts of each prompt that may be its cause.
    prompts: set[Parts] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class Accusation:
    """Parts that crash servers, as far as can be told only where all of them occur."""

    parts: Parts
    crashes: int


class CrashEvidence:
    """Crashes with their suspects, and the sound answers that clear them."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.crashes: OrderedDict[ServerRun, Crash] = OrderedDict()
        # When the last sound answer to a prompt with the part was known to be sound.
        self.answered: OrderedDict[PartId, timedelta] = OrderedDict()
        # When the last request that a server run answered was sent to it.
        self.run_answered: OrderedDict[ServerRun, timedelta] = OrderedDict()

    def record_crash(
        self, run: ServerRun, at: timedelta, prompts: Iterable[Iterable[PartId]]
    ) -> bool:
        """Add the suspects of a crash; return whether there are new ones."""
        crash = self.crashes.setdefault(run, Crash(at))
        crash.at = min(crash.at, at)
        known = len(crash.prompts)
        for prompt in prompts:
            parts = frozenset(list(prompt)[:MAX_PARTS_PER_PROMPT])
            if parts and len(crash.prompts) < MAX_PROMPTS_PER_CRASH:
                crash.prompts.add(parts)
        while len(self.crashes) > MAX_CRASHES:
            self.crashes.popitem(last=False)
        return len(crash.prompts) > known

    def record_sound_answer(self, parts: Iterable[PartId], at: timedelta) -> None:
        """Record that an answer to a prompt with these parts crashed no server."""
        for part in parts:
            self.answered[part] = max(at, self.answered.get(part, at))
            self.answered.move_to_end(part)
        while len(self.answered) > MAX_PARTS:
            self.answered.popitem(last=False)

    def record_run_answered(self, run: ServerRun, sent_at: timedelta) -> None:
        """Record that a server run answered a request that was sent then."""
        self.run_answered[run] = max(sent_at, self.run_answered.get(run, sent_at))
        self.run_answered.move_to_end(run)
        while len(self.run_answered) > MAX_RUNS:
            self.run_answered.popitem(last=False)

    def accusations(self) -> list[Accusation]:
        """Return the parts that crash servers, the most certain first.

        Parts that were sound before are accused only of crashes that no other part
        explains.
        """
        self.forget_old()
        events = self.crash_events()
        accusations: list[Accusation] = []
        for threshold, may_be_cause in (
            (MIN_CRASHES, self.was_never_sound),
            (MIN_CRASHES_ONCE_SOUND, lambda part: True),
        ):
            while found := strongest(events, threshold, may_be_cause):
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
        return part not in self.answered

    def forget_old(self) -> None:
        """Forget the crashes and sound answers that happened too long ago."""
        oldest = self.clock.monotonic() - CRASH_LIFETIME
        for run in [run for run, crash in self.crashes.items() if crash.at < oldest]:
            del self.crashes[run]
        for part in [part for part, at in self.answered.items() if at < oldest]:
            del self.answered[part]

    def crash_events(self) -> list["CrashEvent"]:
        """Return the crashes with the suspects that no sound answer cleared since.

        A run that answered a later request has not crashed.
        """
        crashes = sorted(
            (
                crash
                for run, crash in self.crashes.items()
                if self.run_answered.get(run, timedelta.min) <= crash.at
            ),
            key=lambda crash: crash.at,
        )
        numbers = event_numbers(crash.at for crash in crashes)
        return [
            CrashEvent(
                number,
                crash.at,
                tuple(
                    frozenset(
                        part
                        for part in prompt
                        if self.answered.get(part, timedelta.min) < crash.at
                    )
                    for prompt in crash.prompts
                ),
            )
            for number, crash in zip(numbers, crashes, strict=True)
        ]


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
    events: list[CrashEvent], threshold: int, may_be_cause: Callable[[PartId], bool]
) -> list[Accusation]:
    """Return the groups of parts with the most crashes, if these are enough.

    Of a group and a larger one with as many crashes only the larger one is returned:
    a part that many callers share comes along with the one that crashes.
    """
    suspects: dict[PartId, list[CrashEvent]] = {}
    for event in events:
        for part in frozenset[PartId]().union(*event.prompts):
            suspects.setdefault(part, []).append(event)
    counts = {
        part: len({event.number for event in accused})
        for part, accused in suspects.items()
    }
    causes = [part for part in suspects if may_be_cause(part)]
    most = max((counts[part] for part in causes), default=0)
    if most < threshold:
        return []
    groups = dict.fromkeys(
        companions(part, suspects[part], counts)
        for part in causes
        if counts[part] == most
    )
    return [
        Accusation(group, most)
        for group in groups
        if not any(group < other for other in groups)
    ]


def companions(
    part: PartId, events: list[CrashEvent], counts: dict[PartId, int]
) -> Parts:
    """Return a part with all suspects that stood in each suspected prompt with it."""
    prompts = [prompt for event in events for prompt in event.prompts if part in prompt]
    common = prompts[0].intersection(*prompts[1:])
    return frozenset(other for other in common if counts[other] >= MIN_CRASHES)
