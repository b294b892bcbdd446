"""Plays requests that crash servers, on instances that exchange what they see.

Servers return some seconds later, under their ids or others, and the list lags behind.
There is no network: messages between instances are passed in memory, or lost.
"""

import asyncio
import heapq
import itertools
import random
from dataclasses import dataclass, field
from datetime import timedelta

from expression import Error

from magnoliatrail.errors import ErrorKind, Failure
from magnoliatrail.peers.crash_collector import RENEWAL_INTERVAL
from magnoliatrail.requests import request_fingerprint
from magnoliatrail.routing.crash_evidence import MAX_CRASH_DELAY
from tests.unit.test_quarantine_exchange import Fleet

FIRST, CALLER, BAD = "first", "caller", "bad"
BAD_REQUEST = request_fingerprint("caller", "POST", "host/bad", b"")
STABILITY_SECONDS = 3
BATCHING_SECONDS = 0.03
# A lost message is sent again in time.
LOST_SECONDS, KEPT_SECONDS = 0.8, 3.0


@dataclass(frozen=True)
class Setting:
    """The parameters of a play."""

    seed: int = 0
    servers: int = 4
    instances: int = 3
    restart_seconds: float = 3.0
    list_lag_seconds: float = 0.8
    keeps_id: bool = True
    keeps_born: bool = False
    # Requests that crash servers come so many at a time, after so long a pause.
    batch: int = 1
    pause_seconds: float = 1.2
    batches: int = 16
    # Whether connections to a server that crashes are closed without an error.
    closes_in_order: bool = False
    sound_per_second: float = 8.0
    # Share of the messages between instances that are lost.
    lost: float = 0.0
    # The repeats of one request, or requests with one part and no two alike.
    repeats_one: bool = False
    attempts: int = 1
    # Sound requests have never had these parts before.
    warm_up_seconds: float = 3.0


@dataclass
class Server:
    """A server, its present run, and what the list says of it."""

    name: str
    born: int = 1
    listed_born: int = 1
    run: int = 0
    back_at: float = 0.0
    # The requests of the run, and the idle connections of each instance to it.
    running: dict = field(default_factory=dict)
    idle: dict = field(default_factory=dict)


@dataclass(frozen=True)
class Request:
    """A request on its way or under way."""

    parts: tuple
    bad: bool
    attempts: int = 1
    instance: str = ""
    sent_at: timedelta = timedelta()
    connected_at: timedelta = timedelta()


class LossyPeers:
    """Peers of one instance whose messages are lost at times."""

    def __init__(self, play, peers):
        self.play = play
        self.peers = peers

    async def ask(self, url, message, answer_type, limits):
        if self.play.loses((self.peers.name, url)):
            return Error(Failure(ErrorKind.PEER_UNAVAILABLE, "lost"))
        return await self.peers.ask(url, message, answer_type, limits)


class Play:
    """Requests, crashes and exchanges, in the order of their times."""

    def __init__(self, setting):
        self.setting = setting
        self.random = random.Random(setting.seed)
        self.fleet = Fleet(setting.instances)
        for instance in self.fleet.instances.values():
            peers = LossyPeers(self, instance.peers)
            instance.peers = instance.collector.peers = peers
        self.servers = [Server(f"s{number}") for number in range(setting.servers)]
        self.numbers = itertools.count()
        self.events = []
        self.losses = {}
        self.exchanging = False
        # When requests that crash servers were sent to one, and when each crashed one.
        self.bad_sent, self.crashed_by_bad = [], []
        # When sound requests came, and which of them were refused.
        self.sound, self.sound_refused = [], []

    @property
    def now(self):
        return self.fleet.clock.monotonic().total_seconds()

    def at(self, delay, action, *arguments):
        """Let something happen after a delay."""
        entry = (self.now + max(0.0, delay), next(self.numbers), action, arguments)
        heapq.heappush(self.events, entry)

    def loses(self, key):
        """Return whether a message is lost; it isn't when it is sent again."""
        lost_until, kept_until = self.losses.get(key, (0.0, 0.0))
        if self.now < lost_until:
            return True
        if self.now < kept_until or self.random.random() >= self.setting.lost:
            return False
        self.losses[key] = (
            self.now + LOST_SECONDS,
            self.now + LOST_SECONDS + KEPT_SECONDS,
        )
        return True

    def play(self, *, until=None):
        """Play the setting."""
        setting = self.setting
        begin = 1.0 + setting.warm_up_seconds
        end = until or begin + setting.batches * (setting.pause_seconds + 0.1) + 3
        if setting.sound_per_second:
            self.at(1.0, self.send_sound, end)
        if setting.batch:
            self.at(begin, self.send_batch, setting.batches)
        self.at(0.5, self.exchange_again, end)
        asyncio.run(self.play_events())

    async def play_events(self):
        while self.events:
            time, _, action, arguments = heapq.heappop(self.events)
            self.fleet.clock.advance(timedelta(seconds=max(0.0, time - self.now)))
            action(*arguments)
            if action in (self.exchange, self.exchange_again):
                await self.fleet.exchange()

    # Traffic

    def send_sound(self, end):
        """Send a sound request, and another one later."""
        own = f"own-{next(self.numbers)}"
        fingerprint = request_fingerprint("caller", "POST", f"host/{own}", b"")
        if self.setting.repeats_one:
            parts = (fingerprint,)
        else:
            parts = (FIRST, CALLER, own, fingerprint)
        self.send(Request(parts, bad=False))
        if self.now < end:
            rate = self.setting.sound_per_second
            self.at(self.random.expovariate(rate), self.send_sound, end)

    def send_batch(self, left):
        """Send requests that crash servers at once, and more of them later."""
        for _ in range(self.setting.batch):
            if self.setting.repeats_one:
                parts = (BAD_REQUEST,)
            else:
                own = f"own-{next(self.numbers)}"
                fingerprint = request_fingerprint("caller", "POST", f"host/{own}", b"")
                parts = (FIRST, CALLER, BAD, own, fingerprint)
            delay = self.random.uniform(0, 0.02)
            request = Request(parts, bad=True, attempts=self.setting.attempts)
            self.at(delay, self.send, request)
        if left > 1:
            pause = self.setting.pause_seconds * self.random.uniform(0.9, 1.1)
            self.at(0.02 + pause, self.send_batch, left - 1)

    def send(self, request, name=""):
        """Send a request to a server that runs, unless an instance refuses it."""
        name = name or self.random.choice(list(self.fleet.instances))
        instance = self.fleet.instances[name]
        running = [item for item in self.servers if item.back_at <= self.now]
        if not request.bad:
            self.sound.append(self.now)
        if instance.refuses(request.parts, sending=bool(running)):
            if not request.bad:
                self.sound_refused.append(self.now)
            return
        if not running:
            return
        server = self.random.choice(running)
        now = self.fleet.clock.monotonic()
        idle = server.idle.get(name)
        opened_at = idle.pop() if idle else now
        sent = Request(
            request.parts, request.bad, request.attempts, name, now, opened_at
        )
        number = next(self.numbers)
        server.running[number] = (sent, server.listed_born)
        if request.bad:
            self.bad_sent.append(self.now)
            self.at(self.random.uniform(0.01, 0.12), self.crash, server, number)
        elif self.setting.repeats_one:
            self.at(self.random.uniform(0.02, 0.05), self.end, server, number)
        else:
            work = self.random.uniform(0.2, 3)
            if work > MAX_CRASH_DELAY.total_seconds() + 0.1:
                self.at(1.1, self.go_on, server, number)
            self.at(work, self.end, server, number)

    def go_on(self, server, number):
        """Let a stream have sent events for longer than a crash takes."""
        if number in server.running:
            request, _ = server.running[number]
            self.fleet.instances[request.instance].record_sound(request.parts)

    def end(self, server, number):
        """Answer a request."""
        if number not in server.running:
            return
        request, born = server.running.pop(number)
        instance = self.fleet.instances[request.instance]
        instance.record_answered(
            (server.name, born), request.sent_at, connected_at=request.connected_at
        )
        instance.record_sound(request.parts)
        server.idle.setdefault(request.instance, []).append(request.connected_at)

    def crash(self, server, number=None):
        """End a server's run, by a request or for another reason."""
        if number is not None and number not in server.running:
            return
        if number is not None:
            self.crashed_by_bad.append(self.now)
        broken, server.running, server.idle = server.running, {}, {}
        server.run += 1
        server.back_at = self.now + self.setting.restart_seconds
        now = self.fleet.clock.monotonic()
        for request, born in broken.values():
            if now - request.sent_at > MAX_CRASH_DELAY + timedelta(seconds=0.1):
                continue
            self.fleet.instances[request.instance].record_broken(
                (server.name, born),
                request.parts,
                sent_at=request.sent_at,
                connected_at=request.connected_at,
                closed_in_order=self.setting.closes_in_order,
            )
        self.at(self.setting.restart_seconds, self.restart, server)
        for request, _ in broken.values():
            self.send_again(request)
        if not self.exchanging:
            self.exchanging = True
            self.at(BATCHING_SECONDS, self.exchange)

    def send_again(self, request):
        """Let an instance send a request once more that broke off, if it may."""
        instance = self.fleet.instances[request.instance]
        if request.attempts > 1 and instance.runs_broken(request.parts[-1]) < 2:
            again = Request(request.parts, request.bad, request.attempts - 1)
            self.send(again, request.instance)

    def restart(self, server):
        """Begin the next run of a server; the list follows."""
        if not self.setting.keeps_born:
            server.born += 1
        if not self.setting.keeps_id:
            server.name = f"{server.name.partition('-')[0]}-{server.run}"
        self.at(self.setting.list_lag_seconds, self.list_run, server, server.born)

    def list_run(self, server, born):
        """Let the instances read the entry of a run."""
        server.listed_born = max(server.listed_born, born)

    # Exchanges

    def exchange(self):
        """Let the instances exchange what they know after a crash."""
        self.exchanging = False

    def exchange_again(self, end):
        """Let the instances exchange again what is not known everywhere."""
        if self.now < end:
            self.at(RENEWAL_INTERVAL.total_seconds(), self.exchange_again, end)

    # Results

    def late(self, crash):
        """Return how many bad requests were sent once a crash had to be known."""
        if len(self.crashed_by_bad) < crash:
            return 0
        known_at = self.crashed_by_bad[crash - 1] + STABILITY_SECONDS
        return sum(at > known_at for at in self.bad_sent)

    def refused_from(self, begin):
        """Return the shares of sound requests that came since and were refused."""
        came = sum(at >= begin for at in self.sound)
        return sum(at >= begin for at in self.sound_refused) / max(1, came)
