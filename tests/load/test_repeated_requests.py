"""Callers that repeat plain requests while servers crash, with and without a cause.

Six instances before four plain servers get 25 requests a second. A server that crashed
is back after four seconds. A request whose answer broke off is sent to one more server
by its instance, and then repeated by its caller at another instance, after a moment.
"""

import asyncio
import heapq
import itertools
import random
from collections import Counter
from datetime import timedelta

import pytest

from magnoliatrail.requests import request_fingerprint
from magnoliatrail.routing.crash_causes import MIN_REQUEST_CRASHES
from tests.unit.test_quarantine_exchange import Fleet

SERVERS = 4
REQUESTS_PER_SECOND = 25
WORK_SECONDS = 0.045
RESTART_SECONDS = 4
DURATION_SECONDS = 60
ATTEMPTS = 2
BAD = request_fingerprint("caller", "GET", "host/bad", b"")
# Of the sound requests at most this share may be refused for nothing.
MAX_REFUSED_SHARE = 0.01
# The platform's bounds for news of the third crash, and for the retries after it.
STABILITY_SECONDS = 3
ALLOWED_LATE_RETRIES = 3


class Run:
    """Plays requests, their repeats and crashes of their servers."""

    def __init__(self, seed, repeats, restart_seconds=RESTART_SECONDS):
        self.random = random.Random(seed)
        self.repeats = repeats
        self.restart_seconds = restart_seconds
        self.fleet = Fleet()
        self.names = list(self.fleet.instances)
        self.runs = dict.fromkeys(range(SERVERS), 1)
        self.back_at = dict.fromkeys(range(SERVERS), 0.0)
        self.working = {server: {} for server in range(SERVERS)}
        self.numbers = itertools.count()
        self.events = []
        self.counts = Counter()
        self.bad_sent, self.bad_crashes = [], []
        self.refused = {}

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
            crashes = self.counts["crashes"]
            action(*arguments)
            if self.counts["crashes"] > crashes:
                await self.fleet.exchange()

    def arrive(self, request, left=None):
        """Let a caller send a request, or repeat it, at some instance."""
        left = self.repeats if left is None else left
        self.counts["bad" if request == BAD else "sound"] += 1
        self.attempt(request, self.random.choice(self.names), ATTEMPTS, left)

    def attempt(self, request, name, attempts, left):
        """Send a request to a server that runs, unless it is refused."""
        if self.fleet.instances[name].refuses((request,), sending=True):
            if request != BAD:
                self.counts["sound refused"] += 1
                self.refused.setdefault(request, []).append(self.now)
            return
        running = [item for item, at in self.back_at.items() if at <= self.now]
        if not running:
            self.repeat(request, left)
            return
        if request == BAD:
            self.bad_sent.append(self.now)
        server, number = self.random.choice(running), next(self.numbers)
        sent_at = self.fleet.clock.monotonic()
        self.working[server][number] = (request, name, attempts, left, sent_at)
        self.at(WORK_SECONDS, self.end, server, number)

    def repeat(self, request, left):
        """Let a caller repeat a request that failed."""
        if left:
            self.at(self.random.uniform(0.02, 0.3), self.arrive, request, left - 1)

    def end(self, server, number):
        """Complete a request, or let its server crash under it."""
        if number not in self.working[server]:
            return
        if self.working[server][number][0] == BAD:
            self.bad_crashes.append(self.now)
            self.crash(server)
            return
        request, name, _, _, sent_at = self.working[server].pop(number)
        instance = self.fleet.instances[name]
        instance.record_answered((f"server-{server}", self.runs[server]), sent_at)
        instance.record_sound((request,))
        self.counts["served"] += 1

    def crash(self, server=None):
        """Break off all answers of a server, which is back later."""
        server = self.random.randrange(SERVERS) if server is None else server
        if self.back_at[server] > self.now:
            return
        run = (f"server-{server}", self.runs[server])
        broken, self.working[server] = self.working[server], {}
        self.runs[server] += 1
        self.back_at[server] = self.now + self.restart_seconds
        self.counts["crashes"] += 1
        for request, name, _, _, _ in broken.values():
            self.fleet.instances[name].record_broken(run, (request,))
        for request, name, attempts, left, _ in broken.values():
            if attempts > 1 and self.fleet.instances[name].runs_broken(request) < 2:
                self.attempt(request, name, attempts - 1, left)
            else:
                self.repeat(request, left)

    def crash_all(self):
        """Let all servers crash within a moment, as after a loss of power."""
        for server in range(SERVERS):
            self.at(self.random.uniform(0, 0.2), self.crash, server)


def played(
    seed,
    *,
    repeats,
    crashes_per_second=0.0,
    waves=0,
    bad_every=0.0,
    restart_seconds=RESTART_SECONDS,
):
    """Return a run with crashes for other reasons, a crashing request, or both."""
    run = Run(seed, repeats, restart_seconds)
    time = 0.0
    while time < DURATION_SECONDS:
        fingerprint = request_fingerprint("caller", "GET", f"host/{time}", b"")
        run.at(time, run.arrive, fingerprint)
        time += run.random.expovariate(REQUESTS_PER_SECOND)
    time = 5.0
    while crashes_per_second and time < DURATION_SECONDS:
        run.at(time, run.crash)
        time += run.random.expovariate(crashes_per_second)
    for wave in range(waves):
        run.at(5.0 + wave * 10, run.crash_all)
    time = 10.0
    while bad_every and time < DURATION_SECONDS:
        run.at(time, run.arrive, BAD, 1)
        time += run.random.expovariate(1 / bad_every)
    asyncio.run(run.play(DURATION_SECONDS))
    return run


# Guards against the refusal of sound requests that are repeated in a wave of crashes.
@pytest.mark.parametrize("repeats", [1, 6])
@pytest.mark.parametrize(
    "cause",
    [
        {"crashes_per_second": 0.5},
        {"crashes_per_second": 2.0},
        {"crashes_per_second": 8.0, "restart_seconds": 0.4},
        {"waves": 5},
    ],
)
@pytest.mark.parametrize("seed", range(3))
def test_few_sound_requests_are_refused_in_a_wave_of_crashes(seed, cause, repeats):
    run = played(seed, repeats=repeats, **cause)
    assert run.counts["crashes"] > SERVERS
    assert run.counts["sound refused"] <= run.counts["sound"] * MAX_REFUSED_SHARE


# Guards against a request that crashes one server after the other as it is repeated.
@pytest.mark.parametrize("bad_every", [0.2, 1.0, 4.0])
@pytest.mark.parametrize("crashes_per_second", [0.0, 0.5])
@pytest.mark.parametrize("seed", range(3))
def test_a_crashing_request_is_retried_at_most_three_times_once_known(
    seed, crashes_per_second, bad_every
):
    run = played(
        seed, repeats=1, crashes_per_second=crashes_per_second, bad_every=bad_every
    )
    assert len(run.bad_crashes) >= MIN_REQUEST_CRASHES
    known_at = run.bad_crashes[2] + STABILITY_SECONDS
    late = [at for at in run.bad_sent if at > known_at]
    assert len(late) <= ALLOWED_LATE_RETRIES
    assert run.counts["sound refused"] <= run.counts["sound"] * MAX_REFUSED_SHARE
