"""Which prompt parts and requests explain crashes of servers."""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from magnoliatrail.ids import PartId
from magnoliatrail.requests import is_fingerprint

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
# So many crashes, simultaneous ones too, under a part without a sound answer to it make
# it suspected, and accused if they are further apart than those of a loss of power.
MIN_CRASHES_AT_ONCE = 5
MIN_SPREAD = timedelta(seconds=2)
# The strongest accusations, of which each may cost a message to all instances.
MAX_ACCUSATIONS = 16
# How often the crashes that one cause explains are set aside to look for another.
MAX_CAUSES = 4


@dataclass(frozen=True, slots=True)
class Accusation:
    """Parts that crash servers, as far as can be told only where all of them occur."""

    parts: Parts
    crashes: int
    # Higher if fewer other suspects stood in the same crashes.
    weight: float = 0.0
    # Whether a loss of power may explain the crashes as well.
    suspected: bool = False


@dataclass(frozen=True, slots=True)
class CrashCount:
    """How many crashes a part was in."""

    # Simultaneous ones as one.
    events: int
    # Each server for itself.
    crashes: int
    # Time from the first to the last.
    spread: timedelta


class Threshold(Protocol):
    """A check whether crashes are enough, for a part that was sound before or never."""

    def __call__(self, count: CrashCount, *, once_sound: bool) -> bool:
        """Return whether they are enough."""


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


def explain(
    events: list[CrashEvent],
    may_be_cause: Callable[[PartId], bool],
    is_enough: Callable[[CrashCount], bool],
) -> tuple[list[Accusation], list[CrashEvent]]:
    """Return the causes of crashes, the most certain first, and the crashes left over.

    A crash is explained by one cause; it says nothing of other suspects.
    """
    accusations: list[Accusation] = []
    for _ in range(MAX_CAUSES):
        found = strongest(events, is_enough, may_be_cause)
        if not found:
            break
        accusations += found
        events = [
            event
            for event in events
            if not any(event.has_prompt_with(item.parts) for item in found)
        ]
    return accusations, events


def strongest(
    events: list[CrashEvent],
    is_enough: Callable[[CrashCount], bool],
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
    counts = {
        part: count
        for part, accused in suspects.items()
        if may_be_cause(part) and is_enough(count := crash_count(part, accused))
    }
    most = max((count.events for count in counts.values()), default=0)
    weights = {
        part: sum(1 / len(event.prompts) for event in suspects[part])
        for part, count in counts.items()
        if count.events == most
    }
    heaviest = sorted(weights, key=lambda part: weights[part], reverse=True)
    groups: dict[Parts, float] = {}
    for part in heaviest[:MAX_ACCUSATIONS]:
        groups.setdefault(companions(part, suspects[part]), weights[part])
    return [
        Accusation(group, most, weight)
        for group, weight in groups.items()
        if not any(group < other for other in groups)
    ]


def crash_count(part: PartId, events: list[CrashEvent]) -> CrashCount:
    """Return how many crashes a part was in.

    A request that was sent again meets one crash after the other, however close.
    """
    numbers = {event.number for event in events}
    times = [event.at for event in events]
    return CrashCount(
        events=len(events) if is_fingerprint(part) else len(numbers),
        crashes=len(events),
        spread=max(times) - min(times),
    )


def is_part(part: PartId) -> bool:
    """Return whether a suspect is a part of a prompt."""
    return not is_fingerprint(part)


def accuses_request(count: CrashCount, *, once_sound: bool) -> bool:
    """Return whether crashes are enough to accuse a request."""
    enough = MIN_REQUEST_CRASHES_ONCE_SOUND if once_sound else MIN_REQUEST_CRASHES
    return count.crashes >= enough


def accuses_part(count: CrashCount, *, once_sound: bool) -> bool:
    """Return whether crashes are enough to accuse a part of prompts."""
    if once_sound:
        return count.events >= MIN_CRASHES_ONCE_SOUND
    apart = count.crashes >= MIN_CRASHES_AT_ONCE and count.spread >= MIN_SPREAD
    return apart or count.events >= MIN_CRASHES


def suspects_part(count: CrashCount, *, once_sound: bool) -> bool:
    """Return whether crashes are enough to try requests with a part one by one."""
    return not once_sound and count.crashes >= MIN_CRASHES_AT_ONCE


def companions(part: PartId, events: list[CrashEvent]) -> Parts:
    """Return a part with all suspects that stood in each suspected prompt with it.

    A fingerprint stands for its request alone.
    """
    if is_fingerprint(part):
        return frozenset([part])
    prompts = [prompt for event in events for prompt in event.prompts if part in prompt]
    return prompts[0].intersection(*prompts[1:])
