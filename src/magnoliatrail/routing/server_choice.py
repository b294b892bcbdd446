"""Choice of the server of a plain service, by what this instance has seen of each.

Many instances share the servers, and each sees its own requests only: it seldom has one
in flight, and its last answer of a server is often seconds old. So servers that look
equal are drawn, or else all instances would send to the same one.
"""

import random
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta

from magnoliatrail.ids import ServerId

# Servers are slow for less than a second at a time, and an instance gets an answer of
# each every few seconds: an older latency says little.
LATENCY_HALF_LIFE = timedelta(milliseconds=600)
# Weight of a new answer in the mean latency of all servers.
MEAN_SAMPLE_WEIGHT = 0.05
MIN_LATENCY_SECONDS = 0.001
# Answers of less weight are forgotten.
MIN_WEIGHT = 0.01
EXPIRY_INTERVAL = timedelta(seconds=10)
# Servers with less than this more in flight than the least busy one look equal.
EQUAL_REQUESTS = 0.5


@dataclass(slots=True)
class AnswerTime:
    """The latency of a server's last answers over the mean of all, and its weight."""

    excess: float
    weight: float
    at: timedelta

    def weight_at(self, now: timedelta) -> float:
        """Return the weight of the answers, 1 for one that came just now."""
        factor: float = 0.5 ** ((now - self.at) / LATENCY_HALF_LIFE)
        return self.weight * factor


class AnswerTimes:
    """Keep the latency of the answers of a service's servers, with the mean of all."""

    def __init__(self) -> None:
        self.mean_seconds = 0.0
        self.servers: dict[ServerId, AnswerTime] = {}
        self.expired_at = timedelta()

    def record(self, server: ServerId, latency: timedelta, now: timedelta) -> None:
        """Record the latency of an answer."""
        seconds = max(MIN_LATENCY_SECONDS, latency.total_seconds())
        if not self.mean_seconds:
            self.mean_seconds = seconds
        self.mean_seconds += MEAN_SAMPLE_WEIGHT * (seconds - self.mean_seconds)
        excess = seconds / self.mean_seconds - 1.0
        known = self.servers.get(server)
        before = known.weight_at(now) if known else 0.0
        if known:
            excess = (excess + before * known.excess) / (1.0 + before)
        self.servers[server] = AnswerTime(excess, 1.0, now)
        if now - self.expired_at >= EXPIRY_INTERVAL:
            self.expire(now)

    def relative(self, server: ServerId, now: timedelta) -> float:
        """Return the expected latency of a server over the mean, 1 if unknown."""
        known = self.servers.get(server)
        return 1.0 + known.excess * known.weight_at(now) if known else 1.0

    def expire(self, now: timedelta) -> None:
        """Forget answers that say nothing any more, also of servers that are gone."""
        self.expired_at = now
        self.servers = {
            server: known
            for server, known in self.servers.items()
            if known.weight_at(now) >= MIN_WEIGHT
        }


@dataclass(frozen=True, slots=True)
class ServerOption:
    """A server, and what this instance knows of it."""

    server: ServerId
    slots: int
    # Requests of this instance in flight, and what recent failures count as.
    in_flight: float
    # Expected latency over the mean of all servers.
    latency: float


def choose_server(
    options: Sequence[ServerOption], generator: random.Random
) -> ServerId | None:
    """Return the server with the lowest expected wait, None if there is none.

    Of the servers with the fewest requests in flight for each slot, two are drawn by
    their slots, and the one with the lower latency is taken. The lowest latency of all
    would send the requests of an instance to one server until its next answer.
    """
    if not options:
        return None
    least = min(option.in_flight / option.slots for option in options)
    equal = [
        option
        for option in options
        if option.in_flight <= least * option.slots + EQUAL_REQUESTS
    ]
    first = draw(equal, generator)
    others = [option for option in equal if option is not first]
    if not others:
        return first.server
    second = draw(others, generator)
    return min(first, second, key=expected_wait).server


def expected_wait(option: ServerOption) -> float:
    """Return the expected wait at a server, in mean latencies."""
    return (1.0 + option.in_flight) * option.latency


def draw(options: Sequence[ServerOption], generator: random.Random) -> ServerOption:
    """Draw a server, in proportion to its slots."""
    return generator.choices(options, [option.slots for option in options])[0]
