"""Routes of a configuration: prefixes, goals, and decoding."""

import json

from hypothesis import given, settings
from hypothesis import strategies as st

from magnoliatrail.platform.configuration_rows import decode_configuration
from tests.platform.rig import configuration, route

HOSTS = ("app.example", "other.example")
paths = st.text("/ab", max_size=6)
prefixes = st.lists(st.tuples(st.sampled_from(HOSTS), paths), min_size=1, max_size=12)


def table(routes, version=1):
    value = json.dumps(configuration(version, routes)).encode()
    return decode_configuration(value).ok


def longest_prefix(routes, host, path):
    """Return the first of the routes with the longest prefix of a path."""
    found = [r for r in routes if r.host == host and path.startswith(r.prefix)]
    return max(found, key=lambda r: len(r.prefix), default=None)


@settings(derandomize=True)
@given(prefixes, st.sampled_from(HOSTS), paths)
def test_the_first_route_with_the_longest_prefix_matches(listed, host, path):
    routes = table(
        [
            {**route(f"r{number}", prefix, "safe", "desk"), "host": at}
            for number, (at, prefix) in enumerate(listed)
        ]
    )
    assert routes.match(host, path) is longest_prefix(routes.routes, host, path)


def test_a_route_that_did_not_change_is_not_decoded_again():
    listed = [route(f"r{n}", f"/{n}/", "safe", "desk") for n in range(20)]
    before = table(listed)
    listed[7] = {**listed[7], "timeout_ms": 5}
    after = table(listed, version=2)
    same = [new is old for new, old in zip(after.routes, before.routes, strict=True)]
    assert same == [number != 7 for number in range(20)]


def test_an_invalid_route_is_named_and_makes_the_configuration_invalid():
    listed = [route(f"r{n}", f"/{n}/", "safe", "desk") for n in range(3)]
    listed[1]["kind"] = "sometimes"
    value = json.dumps(configuration(1, listed)).encode()
    failure = decode_configuration(value).error
    assert "route 1" in failure.message


def test_the_shortest_pause_goal_of_a_service_counts():
    split = [{"service": "models", "weight": 1}, {"service": "desk", "weight": 1}]
    routes = table(
        [
            route("a", "/a/", "streaming", "models", gap_target_ms=300),
            route("b", "/b/", "streaming", "models", gap_target_ms=250, split=split),
            route("c", "/c/", "safe", "desk"),
        ]
    )
    goals = [routes.pause_goal(name) for name in ("models", "desk", "none")]
    assert [goal.total_seconds() for goal in goals] == [0.25, 0.25, 0]
