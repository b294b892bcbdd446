"""All instances of a fleet start again at the same moment, under load."""

import random
from datetime import timedelta

from magnoliatrail.clock import ManualClock
from magnoliatrail.forwarding.context import ForwardingContext
from magnoliatrail.membership.fleet_view import FleetView
from magnoliatrail.metrics import NoMetrics
from tests.platform.rig import BOUNDS

INSTANCES = 59


def restarted_context():
    """Return the context of an instance that has heard of no other instance yet."""
    clock = ManualClock()
    return ForwardingContext(
        clock=clock,
        metrics=NoMetrics(),
        view=FleetView(clock),
        pool=None,
        bounds=BOUNDS,
        generator=random.Random(1),
        ensure_fresh=None,
        stream_versions=None,
        quarantine=None,
        reach=None,
        paces=None,
    )


# Guards against instances that each use the whole fleet's retry slack after a restart.
def test_instances_that_restart_together_share_the_retry_slack():
    contexts = [restarted_context() for _ in range(INSTANCES)]
    allowed = sum(
        item.budget("desk").allowance(item.clock.monotonic()) for item in contexts
    )
    assert allowed <= BOUNDS.retry_slack


def test_an_instance_has_its_part_of_the_slack_after_one_window():
    context = restarted_context()
    context.instances = INSTANCES
    context.clock.advance(BOUNDS.retry_window)
    allowed = context.budget("desk").allowance(context.clock.monotonic())
    assert 0 < allowed <= BOUNDS.retry_slack / INSTANCES


# Guards against instances that each take the part of many while a new owner lists few.
def test_a_change_of_owner_gives_no_instance_a_larger_part_of_the_slack():
    context = restarted_context()
    context.clock.advance(BOUNDS.retry_window)
    context.record_instances(INSTANCES)
    for _ in range(3):
        context.clock.advance(timedelta(seconds=1))
        context.record_instances(2)
    allowed = context.budget("desk").allowance(context.clock.monotonic())
    assert 0 < allowed <= BOUNDS.retry_slack / INSTANCES


def test_a_fleet_that_stays_smaller_divides_the_slack_among_fewer():
    context = restarted_context()
    context.record_instances(INSTANCES)
    context.clock.advance(BOUNDS.retry_window + timedelta(seconds=1))
    context.record_instances(2)
    allowed = context.budget("desk").allowance(context.clock.monotonic())
    assert BOUNDS.retry_slack / INSTANCES < allowed <= BOUNDS.retry_slack / 2
