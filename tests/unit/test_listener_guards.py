"""What the configuration and the settings say of the listeners of an instance."""

from datetime import timedelta

import msgspec
from tornado.httputil import HTTPHeaders

from magnoliatrail.clock import ManualClock
from magnoliatrail.forwarding.guards import ListenerGuards
from magnoliatrail.forwarding.relay import REFUSED, TOKEN
from magnoliatrail.inbound.refusals import NO_MEMORY
from magnoliatrail.membership.fleet_view import FleetView
from magnoliatrail.memory_budget import budget_of
from magnoliatrail.metrics_text import TextMetrics
from magnoliatrail.platform.configuration_rows import decode_configuration
from magnoliatrail.routes import CallerLimits
from tests.platform.rig import settings

DOCUMENT = {"version": 1, "routes": [], "services": []}


def limits_in(**limits):
    """Return the limits of a configuration."""
    row = msgspec.json.encode({**DOCUMENT, "limits": limits})
    return decode_configuration(row).ok.limits


def guards():
    clock = ManualClock()
    return ListenerGuards(
        settings=settings(0, "127.0.0.1:1"),
        clock=clock,
        metrics=TextMetrics(),
        memory=budget_of(200),
        view=FleetView(clock),
        token="token",
    )


def test_the_limits_of_the_configuration_are_read():
    found = limits_in(
        body_bytes=1000, header_bytes=2000, header_timeout_ms=500, idle_timeout_ms=700
    )
    assert found == CallerLimits(
        body_bytes=1000,
        header_bytes=2000,
        header_timeout=timedelta(seconds=0.5),
        idle_timeout=timedelta(seconds=0.7),
    )


# Guards against a limit that closes every connection or refuses every request.
def test_a_limit_that_is_not_above_zero_has_its_default():
    absent = decode_configuration(msgspec.json.encode(DOCUMENT)).ok.limits
    assert absent == CallerLimits()
    zero = limits_in(
        body_bytes=0, header_bytes=-1, header_timeout_ms=0, idle_timeout_ms=0
    )
    assert zero == CallerLimits()


def test_callers_have_twice_the_time_for_a_head_and_more_to_be_idle():
    limits = guards().callers().limits()
    assert limits.header_timeout == timedelta(seconds=6)
    assert limits.idle_timeout == timedelta(seconds=18.75)
    assert limits.body_bytes == 4_194_304


def test_an_instance_that_relays_is_told_that_its_request_was_refused():
    peers = guards().peers()
    relayed = HTTPHeaders({TOKEN: "token", "Magnoliatrail-Request-Id": "r1"})
    fields, body = peers.render(NO_MEMORY, relayed)
    assert fields[REFUSED] == "1"
    assert fields["Magnoliatrail-Request-Id"] == "r1"
    fields, _ = peers.render(NO_MEMORY, HTTPHeaders({TOKEN: "wrong"}))
    assert REFUSED not in fields


def test_metrics_of_listeners_have_their_labels():
    metrics = TextMetrics()
    metrics.gauge("connections.callers", 3)
    metrics.count("connections.closed.idle")
    metrics.gauge("memory.held.bodies", 5)
    metrics.count("answers.200")
    text = metrics.text().decode()
    assert 'magnoliatrail_client_connections{listener="callers"} 3.0' in text
    assert 'connections_closed_total{reason="idle"} 1.0' in text
    assert 'magnoliatrail_memory_held_bytes{kind="bodies"} 5.0' in text
    assert 'magnoliatrail_answers_total{status="200"} 1.0' in text
