"""The choice of a plain server from what one instance has seen."""

import random
from collections import Counter
from datetime import timedelta

import pytest

from magnoliatrail.routing.server_choice import (
    LATENCY_HALF_LIFE,
    AnswerTimes,
    ServerOption,
    choose_server,
)

MILLISECOND = timedelta(milliseconds=1)
NOW = timedelta(seconds=100)


def chosen(*options, draws=400):
    generator = random.Random(1)
    return Counter(choose_server(options, generator) for _ in range(draws))


def option(name, *, slots=6, in_flight=0.0, latency=1.0):
    return ServerOption(name, slots, in_flight, latency)


def test_without_servers_none_is_chosen():
    assert choose_server([], random.Random(1)) is None


def test_servers_that_look_equal_are_drawn():
    """All instances would send to the first of the list otherwise."""
    counts = chosen(*(option(name) for name in "abcd"))
    assert all(counts[name] > 60 for name in "abcd")


def test_larger_servers_are_drawn_more_often():
    counts = chosen(option("large", slots=24), option("small", slots=6), option("x"))
    assert counts["large"] > counts["small"]


def test_a_busy_or_failing_server_is_not_chosen():
    assert chosen(option("a", in_flight=1), option("b")) == {"b": 400}


def test_in_flight_counts_for_each_slot():
    counts = chosen(option("a", slots=24, in_flight=3), option("b", in_flight=2))
    assert counts == {"a": 400}


def test_the_faster_of_two_drawn_servers_is_chosen():
    assert chosen(option("slow", latency=2.5), option("b")) == {"b": 400}


def test_the_fastest_server_does_not_get_all_requests():
    """Its lower latency is known until its next answer: the others would get none."""
    counts = chosen(option("fast", latency=0.5), *(option(name) for name in "bcd"))
    assert counts["fast"] < 300


def test_an_old_latency_says_nothing():
    times = AnswerTimes()
    for name, latency in (("a", 90), ("b", 90), ("slow", 225)):
        times.record(name, latency * MILLISECOND, NOW)
    assert times.relative("slow", NOW) > 1.5
    half = times.relative("slow", NOW + LATENCY_HALF_LIFE) - 1
    assert half == pytest.approx((times.relative("slow", NOW) - 1) / 2)
    assert times.relative("unknown", NOW) == 1
    assert times.relative("slow", NOW + timedelta(seconds=20)) == pytest.approx(1)


def test_servers_that_no_longer_answer_are_forgotten():
    """Servers are replaced for ever: what is kept of each must not add up."""
    times = AnswerTimes()
    for number in range(1000):
        times.record(
            f"s{number}", 90 * MILLISECOND, NOW + number * timedelta(seconds=1)
        )
    assert len(times.servers) < 20
