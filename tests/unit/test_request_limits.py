"""Limits of requests a second that servers name, and the pace that follows."""

from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st

from magnoliatrail.cells.reported_limits import apply_reported_limits, reported_limits
from magnoliatrail.clock import ManualClock
from magnoliatrail.forwarding.request_paces import RequestPaces
from magnoliatrail.ids import InstanceId
from magnoliatrail.membership.recent_instances import INSTANCE_MEMORY, RecentInstances
from magnoliatrail.membership.request_limits import (
    MAX_RUNS,
    PROBES_PER_SECOND,
    STATEMENT_LIFETIME,
    WITHDRAWAL_LIFETIME,
    RequestLimits,
)
from magnoliatrail.routing.request_rate import RequestPace, share_of_limit
from tests.servers import server

RUN = ("s1", 1)
SECOND = timedelta(seconds=1)
# The platform's bound on what a server gets in a window.
WINDOW_SECONDS = 4


def allowed(limit):
    return 1.5 * limit * WINDOW_SECONDS + 5


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def limits(clock):
    return RequestLimits(clock)


def test_a_server_that_names_no_limit_takes_no_memory(limits):
    limits.record(RUN, None)
    assert limits.find(RUN) is None
    assert not limits.statements


def test_the_last_statement_holds(limits, clock):
    limits.record(RUN, 2.0)
    clock.advance(SECOND)
    limits.record(RUN, 3.5)
    assert limits.find(RUN) == 3.5
    clock.advance(SECOND)
    limits.record(RUN, None)
    assert limits.find(RUN) is None


def test_an_older_statement_does_not_replace_a_later_one(limits, clock):
    clock.advance(2 * SECOND)
    limits.record(RUN, None, SECOND)
    limits.record(RUN, 2.0)
    limits.record(RUN, None, SECOND)
    assert limits.find(RUN) == 2.0


def test_a_server_that_starts_again_has_no_limit(limits):
    limits.record(RUN, 2.0)
    assert limits.find(("s1", 2)) is None


# Guards against a server that gets nothing for ever and so cannot lift its limit.
def test_a_server_that_was_not_heard_of_gets_a_request_now_and_then(limits, clock):
    limits.record(RUN, 0.0)
    assert limits.find(RUN) == 0.0
    clock.advance(STATEMENT_LIFETIME + SECOND)
    assert limits.find(RUN) == PROBES_PER_SECOND


def test_the_number_of_remembered_runs_is_bounded(limits):
    for born in range(2 * MAX_RUNS):
        limits.record(("s1", born), 1.0)
    assert len(limits.statements) == MAX_RUNS


def test_owners_learn_limits_and_their_end_from_reports(limits, clock):
    owner = RequestLimits(ManualClock())
    limits.record(RUN, 2.0)
    clock.advance(SECOND)
    apply_reported_limits(owner, reported_limits(limits))
    assert owner.find(RUN) == 2.0
    clock.advance(SECOND)
    owner.clock.advance(2 * SECOND)
    limits.record(RUN, None)
    apply_reported_limits(owner, reported_limits(limits))
    assert owner.find(RUN) is None
    clock.advance(WITHDRAWAL_LIFETIME + SECOND)
    assert not reported_limits(limits)


@pytest.mark.parametrize("limit", [0.0, 0.3, 1.3, 1.6, 10.0, 55.5])
def test_a_pace_keeps_to_its_limit_in_each_window(limit):
    pace, sent = RequestPace(timedelta()), []
    for tick in range(3000):
        now = timedelta(milliseconds=10 * tick)
        # A pause in demand must not save up a burst.
        while not 1000 < tick < 2000 and pace.may_send(limit, now):
            pace.record_sent(limit, now)
            sent.append(now.total_seconds())
    windows = [sum(at <= other < at + WINDOW_SECONDS for other in sent) for at in sent]
    assert max(windows, default=0) <= allowed(limit)
    assert len(sent) >= int(limit * 20 * 0.9)


def test_the_time_until_the_next_request_is_known_and_bounded():
    pace = RequestPace(timedelta())
    assert pace.time_until_token(2.0, timedelta()) == SECOND / 2
    assert pace.time_until_token(0.0, timedelta()) == timedelta(minutes=1)
    assert pace.time_until_token(2.0, SECOND) == timedelta()


@given(
    limit=st.floats(0, 200),
    instances=st.sets(st.text("abcdef", min_size=1, max_size=3), min_size=1),
)
def test_the_shares_of_all_instances_add_up_to_the_limit(limit, instances):
    shares = [share_of_limit(limit, "s1", name, instances) for name in instances]
    assert sum(shares) == pytest.approx(limit)
    used = [share for share in shares if share]
    assert not used or min(used) >= min(1.0, limit)


class LimitedFleet:
    """Instances that come, go and know each other late, before a limited server."""

    def __init__(self, limit):
        self.clock = ManualClock()
        self.limit = limit
        self.listed = {}
        self.instances = {}
        self.sent = []
        self.server = server("s1", "10.0.0.1:1")

    def add(self, name):
        limits = RequestLimits(self.clock)
        limits.record(self.server.key, self.limit)
        self.listed[name] = f"{name}:1"
        listed = dict(self.listed)
        self.instances[name] = (
            listed,
            RequestPaces(
                clock=self.clock,
                limits=limits,
                instance=InstanceId(name),
                recent_instances=RecentInstances(self.clock, lambda: listed),
            ),
        )

    def remove(self, name):
        self.listed.pop(name, None)
        self.instances.pop(name, None)

    def learn(self):
        """Let all instances know which others there are."""
        for listed, _ in self.instances.values():
            listed.clear()
            listed.update(self.listed)

    def send_all(self, seconds):
        """Let each instance send whenever it may."""
        for _ in range(int(seconds * 20)):
            self.clock.advance(SECOND / 20)
            for _, paces in self.instances.values():
                if paces.may_send(self.server):
                    paces.record_sent(self.server)
                    self.sent.append(self.clock.monotonic().total_seconds())

    def most_in_window(self):
        return max(
            sum(at <= other < at + WINDOW_SECONDS for other in self.sent)
            for at in self.sent
        )


# Guards against shares that exceed the limit while instances come and go.
@pytest.mark.parametrize("limit", [1.3, 4.0, 30.0])
@pytest.mark.parametrize("count", [2, 6, 91])
def test_instances_together_keep_to_a_limit_while_they_come_and_go(limit, count):
    fleet = LimitedFleet(limit)
    for number in range(count):
        fleet.add(f"i{number}")
    fleet.learn()
    fleet.send_all(12)
    fleet.remove("i0")
    fleet.send_all(2)
    fleet.learn()
    fleet.send_all(INSTANCE_MEMORY.total_seconds() + 2)
    fleet.add("new")
    fleet.learn()
    fleet.send_all(8)
    assert fleet.most_in_window() <= allowed(limit)
    assert len(fleet.sent) >= limit * 8


def test_without_a_limit_nothing_is_paced():
    fleet = LimitedFleet(None)
    fleet.add("i0")
    _, paces = fleet.instances["i0"]
    assert paces.may_send(fleet.server)
    paces.record_sent(fleet.server)
    assert not paces.paces
    assert paces.time_until_any([fleet.server]) == timedelta()
