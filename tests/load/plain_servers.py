"""Servers of a plain service that many instances share, on a virtual clock."""

import heapq
import random
from collections import Counter, deque
from dataclasses import dataclass
from datetime import timedelta
from itertools import count

INSTANCES, SERVERS, SLOTS, QUEUE = 59, 4, 6, 24
WORK_SECONDS = 0.09
SLOW_FACTOR, SLOW_SECONDS = 2.5, 0.6
BURST_FACTOR, BURST_SECONDS, BURST_EVERY = 1.7, 4.0, 10.0
MAX_ATTEMPTS = 4


@dataclass(frozen=True, slots=True)
class PlainLoad:
    """Requests a second of all instances, and how the servers' speeds change."""

    per_second: float
    bursts: bool = False
    # Slow times of each server a second.
    slow_per_second: float = 0.0


class Server:
    """A server with slots, a queue and slow times."""

    def __init__(self, name, slow):
        self.name, self.slow = name, slow
        self.running, self.queue = 0, deque()

    def work(self, now, base):
        slow = any(start <= now < start + SLOW_SECONDS for start in self.slow)
        return base * (SLOW_FACTOR if slow else 1.0)


class Play:
    """One run of a load with one rule for the choice of the server."""

    def __init__(self, load, new_chooser, seconds, seed):
        self.load, self.seconds = load, seconds
        self.numbers = random.Random(seed)
        self.servers = [
            Server(f"s{number}", self.slow_times()) for number in range(SERVERS)
        ]
        self.choosers = [
            new_chooser(random.Random(f"{seed}-{number}"))
            for number in range(INSTANCES)
        ]
        self.events, self.order = [], count()
        self.waits, self.refused, self.sent = [], 0, Counter()

    def slow_times(self):
        """Return when a server is slow."""
        times, now = [], 0.0
        while self.load.slow_per_second and now < self.seconds:
            now += self.numbers.expovariate(self.load.slow_per_second)
            times.append(now)
        return times

    def at(self, when, action, *arguments):
        heapq.heappush(self.events, (when, next(self.order), action, arguments))

    def run(self):
        """Play all arrivals; return the play."""
        now, peak = 0.0, self.load.per_second * BURST_FACTOR
        while now < self.seconds:
            now += self.numbers.expovariate(peak)
            burst = self.load.bursts and now % BURST_EVERY < BURST_SECONDS
            if self.numbers.random() < (1.0 if burst else 1 / BURST_FACTOR):
                chooser = self.numbers.choice(self.choosers)
                work = WORK_SECONDS * self.numbers.uniform(0.7, 1.3)
                self.at(now, self.send, chooser, work, now, ())
        while self.events:
            when, _, action, arguments = heapq.heappop(self.events)
            action(when, *arguments)
        return self

    def send(self, now, chooser, work, arrived, tried):
        """Send a request, or refuse it after the last attempt."""
        if len(tried) >= MAX_ATTEMPTS:
            self.refused += 1
            return
        names = [server.name for server in self.servers]
        left = [name for name in names if name not in tried]
        name = chooser.choose(left or names, timedelta(seconds=now))
        server = self.servers[names.index(name)]
        self.sent[name] += 1
        if server.running >= SLOTS and len(server.queue) >= QUEUE:
            chooser.record_refusal(name, timedelta(seconds=now))
            self.at(now, self.send, chooser, work, arrived, (*tried, name))
            return
        chooser.in_flight[name] += 1
        server.queue.append((chooser, work, arrived, now))
        self.start(now, server)

    def start(self, now, server):
        """Start queued requests in free slots."""
        while server.queue and server.running < SLOTS:
            chooser, work, arrived, sent = server.queue.popleft()
            server.running += 1
            ends = now + server.work(now, work)
            self.at(ends, self.end, server, chooser, arrived, sent)

    def end(self, now, server, chooser, arrived, sent):
        """Answer a request."""
        server.running -= 1
        chooser.in_flight[server.name] -= 1
        latency = timedelta(seconds=now - sent)
        chooser.record_answer(server.name, latency, timedelta(seconds=now))
        self.waits.append(now - arrived)
        self.start(now, server)

    @property
    def mean(self):
        return sum(self.waits) / len(self.waits)

    @property
    def high(self):
        return sorted(self.waits)[int(len(self.waits) * 0.95)]
