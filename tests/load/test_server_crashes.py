"""Servers that crash under load: what is refused, with and without a crashing part.

Six instances before nine engines get 72 streams a second. Their prompts have one of
three first parts, a second part of a caller of unequal demand, and a last part of
their own.
"""

import asyncio
import heapq
import itertools
import random
from collections import Counter
from datetime import timedelta

import pytest

from magnoliatrail.routing.crash_causes import MIN_CRASHES
from magnoliatrail.routing.crash_evidence import MAX_CRASH_DELAY
from tests.unit.test_quarantine_exchange import Fleet

ENGINES = 9
STREAMS_PER_SECOND = 72
WARM_UP_SECONDS = 10
DURATION_SECONDS = 60
RESTART_SECONDS = 4
CALLERS = 300
BAD = "bad"
# Of the sound requests at most this share may be refused for nothing.
MAX_REFUSED_SHARE = 0.01
# The platform's bounds for news of the fifth crash, and for what is sent after it.
STABILITY_SECONDS = 3
ALLOWED_LATE_REQUESTS = 3


class Run:
    """Plays traffic and crashes on instances that exchange what they see."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.fleet = Fleet()
        self.names = list(self.fleet.instances)
        self.born = dict.fromkeys(range(ENGINES), 1)
        self.back_at = dict.fromkeys(range(ENGINES), 0.0)
        self.streams = {engine: {} for engine in range(ENGINES)}
        self.numbers = itertools.count()
        self.events = []
        self.counts = Counter()
        # Streams that went on for longer than a crash takes.
        self.known_sound = set()
        # When requests with the crashing part were sent to engines, and crashed one.
        self.sent_bad = []
        self.crashed_by_part = []

    @property
    def now(self):
        return self.fleet.clock.monotonic().total_seconds()

    def at(self, delay, action, *arguments):
        heapq.heappush(
            self.events, (self.now + delay, next(self.numbers), action, arguments)
        )

    async def play(self, until):
        while self.events and self.events[0][0] < until:
            time, _, action, arguments = heapq.heappop(self.events)
            self.fleet.clock.advance(timedelta(seconds=max(0.0, time - self.now)))
            action(*arguments)
            if action in (self.crash, self.begin_crashing):
                await self.fleet.exchange()

    def arrive(self, bad):
        """Send a request to an engine that runs, unless its prompt is refused."""
        kind, caller = self.random.randrange(3), self.caller()
        parts = (f"first-{kind}", f"caller-{caller}", *([BAD] if bad else []))
        name = self.random.choice(self.names)
        self.counts["bad" if bad else "sound"] += 1
        if self.fleet.instances[name].refuses(parts, sending=True):
            self.counts["bad refused" if bad else "sound refused"] += 1
            return
        running = [item for item in self.born if self.back_at[item] <= self.now]
        if not running:
            return
        engine = self.random.choice(running)
        stream = next(self.numbers)
        sent_at = self.fleet.clock.monotonic()
        self.streams[engine][stream] = (name, parts, sent_at)
        if bad:
            self.sent_bad.append(self.now)
        self.at(0.1, self.begin_crashing if bad else self.begin, engine, stream)

    def caller(self):
        """Return a caller; few of them send most of the requests."""
        return int(CALLERS * self.random.random() ** 3)

    def begin(self, engine, stream):
        """Let a stream send its first event."""
        if stream in self.streams[engine]:
            duration = self.random.uniform(0.5, 6)
            self.at(duration, self.end, engine, stream)
            if duration > MAX_CRASH_DELAY.total_seconds():
                delay = MAX_CRASH_DELAY.total_seconds()
                self.at(delay, self.go_on, engine, stream)

    def go_on(self, engine, stream):
        """Let a stream send events for longer than a crash takes."""
        if stream in self.streams[engine]:
            name, parts, _ = self.streams[engine][stream]
            self.fleet.instances[name].record_sound(parts)
            self.known_sound.add(stream)

    def begin_crashing(self, engine, stream):
        """Let an engine crash as it begins an answer."""
        if stream in self.streams[engine]:
            self.crashed_by_part.append(self.now)
            self.crash(engine)

    def end(self, engine, stream):
        """Complete a stream."""
        ended = self.streams[engine].pop(stream, None)
        if ended:
            name, parts, sent_at = ended
            run = (f"engine-{engine}", self.born[engine])
            self.fleet.instances[name].record_answered(run, sent_at)
            self.fleet.instances[name].record_sound(parts)

    def crash(self, engine=None):
        """Break off all streams of an engine, which is back later."""
        engine = self.random.randrange(ENGINES) if engine is None else engine
        if self.back_at[engine] > self.now:
            return
        run = (f"engine-{engine}", self.born[engine])
        for stream, (name, parts, _) in self.streams[engine].items():
            if stream not in self.known_sound:
                self.fleet.instances[name].record_broken(run, parts)
        self.streams[engine] = {}
        self.born[engine] += 1
        self.back_at[engine] = self.now + RESTART_SECONDS
        self.counts["crashes"] += 1


def played(seed, *, crashes_per_second=0.0, bad_per_second=0.0):
    """Return the counts of a run with random crashes, crashing prompts or both."""
    run = Run(seed)
    for rate, begin, action, arguments in (
        (STREAMS_PER_SECOND, 0, run.arrive, (False,)),
        (crashes_per_second, WARM_UP_SECONDS, run.crash, ()),
        (bad_per_second, WARM_UP_SECONDS, run.arrive, (True,)),
    ):
        time = begin + run.random.expovariate(rate) if rate else DURATION_SECONDS
        while time < DURATION_SECONDS:
            run.at(time, action, *arguments)
            time += run.random.expovariate(rate)
    asyncio.run(run.play(DURATION_SECONDS))
    return run


# Guards against the refusal of sound prompts while servers crash for other reasons.
@pytest.mark.parametrize("crashes_per_second", [0.2, 1.0, 3.0])
@pytest.mark.parametrize("seed", range(3))
def test_crashes_for_other_reasons_get_few_sound_requests_refused(
    seed, crashes_per_second
):
    counts = played(seed, crashes_per_second=crashes_per_second).counts
    assert counts["crashes"] > DURATION_SECONDS * crashes_per_second / 4
    assert counts["sound refused"] <= counts["sound"] * MAX_REFUSED_SHARE


# Guards against a crashing part that hides behind crashes for other reasons.
@pytest.mark.parametrize("crashes_per_second", [0.0, 0.5])
@pytest.mark.parametrize("bad_per_second", [0.5, 2.0, 8.0])
@pytest.mark.parametrize("seed", range(3))
def test_a_crashing_part_is_refused_and_sound_requests_with_its_first_part_are_not(
    seed, bad_per_second, crashes_per_second
):
    run = played(
        seed, bad_per_second=bad_per_second, crashes_per_second=crashes_per_second
    )
    assert len(run.crashed_by_part) >= MIN_CRASHES
    if len(run.crashed_by_part) >= 5:
        known_at = run.crashed_by_part[4] + STABILITY_SECONDS
        late = [at for at in run.sent_bad if at > known_at]
        assert len(late) <= ALLOWED_LATE_REQUESTS
    assert run.counts["sound refused"] <= run.counts["sound"] * MAX_REFUSED_SHARE
