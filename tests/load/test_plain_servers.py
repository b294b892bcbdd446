"""Many instances share few plain servers: each chooses by what it has seen itself."""

from collections import Counter

import pytest

from magnoliatrail.forwarding.plain_path import FAILURE_WEIGHT_REQUESTS, FailureScore
from magnoliatrail.routing.server_choice import (
    AnswerTimes,
    ServerOption,
    choose_server,
)
from tests.load import plain_servers
from tests.load.plain_servers import SERVERS, SLOTS, PlainLoad, Play

SECONDS, SEEDS = 60, (1, 2, 3)
# Requests a second of all instances, bursts of 1.7 times as many, and the slow times of
# each server a second.
LOADS = {
    "usual": PlainLoad(47),
    "usual with bursts to 80": PlainLoad(47, bursts=True),
    "bursts and slow servers": PlainLoad(47, bursts=True, slow_per_second=0.25),
    "steady 80 and slow servers": PlainLoad(80, slow_per_second=0.25),
    "bursts to 136 and often slow servers": PlainLoad(
        80, bursts=True, slow_per_second=0.6
    ),
    "200, near what slow servers do": PlainLoad(200, slow_per_second=0.25),
}


class Chooser:
    """What one instance knows of the servers."""

    def __init__(self, generator):
        self.generator = generator
        self.in_flight, self.failures = Counter(), {}
        self.times, self.used = AnswerTimes(), set()

    def penalty(self, name, now):
        failed = self.failures.get(name)
        return FAILURE_WEIGHT_REQUESTS * failed.value_at(now) if failed else 0.0

    def record_answer(self, name, latency, now):
        self.failures.setdefault(name, FailureScore()).add(-0.2, now)
        self.times.record(name, latency, now)
        self.used.add(name)

    def record_refusal(self, name, now):
        self.failures.setdefault(name, FailureScore()).add(1.0, now)

    def choose(self, names, now):
        options = [
            ServerOption(
                name,
                SLOTS,
                self.in_flight[name] + self.penalty(name, now),
                self.times.relative(name, now),
            )
            for name in names
        ]
        return choose_server(options, self.generator)


class FewestInFlight(Chooser):
    """The rule before: the fewest in flight, then an idle connection, then the list."""

    def choose(self, names, now):
        return min(
            names,
            key=lambda name: (
                (self.in_flight[name] + self.penalty(name, now)) / SLOTS,
                name not in self.used,
            ),
        )


def played(load, rule):
    return [Play(load, rule, SECONDS, seed).run() for seed in SEEDS]


def mean_of(plays, attribute):
    return sum(getattr(play, attribute) for play in plays) / len(plays)


@pytest.mark.parametrize("instances", [1, 6, 59])
@pytest.mark.parametrize("load", LOADS.values(), ids=LOADS)
def test_the_choice_is_no_worse_than_the_fewest_in_flight(monkeypatch, load, instances):
    monkeypatch.setattr(plain_servers, "INSTANCES", instances)
    new, old = played(load, Chooser), played(load, FewestInFlight)
    for attribute in ("mean", "high", "refused"):
        assert mean_of(new, attribute) <= mean_of(old, attribute), attribute


def test_no_server_gets_most_requests_of_all_instances():
    """All instances list the servers in one order; the first one got 92 of 100."""
    plays = played(LOADS["usual"], Chooser)
    sent = sum((play.sent for play in plays), Counter())
    assert max(sent.values()) <= 1.25 * sent.total() / SERVERS
