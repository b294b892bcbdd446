"""Refusals of quarantined parts at one instance, and how long they last."""

import asyncio
from datetime import timedelta
from itertools import pairwise

import pytest

from magnoliatrail.clock import ManualClock
from magnoliatrail.ids import InstanceId
from magnoliatrail.routing.crash_evidence import CrashEvidence
from magnoliatrail.routing.quarantine import (
    MAX_GROUPS,
    MAX_STORED_CHARACTERS,
    RENEWAL_TIMEOUT,
    RETRY_AFTER,
    SUSPECTED_RETRY_AFTER,
    Quarantine,
)
from magnoliatrail.routing.quarantine_terms import (
    DOUBTFUL_CRASHES,
    FIRST_TRIAL_AFTER,
    FIRST_TRIAL_IN_DOUBT,
    IDLE_TIMEOUT,
    LIFTED_NOTICE,
    MAX_TRIAL_INTERVAL,
    SETTLING_TIME,
    SUSPECTED_TRIAL_INTERVAL,
    QuarantineTerms,
)
from magnoliatrail.routing.server_runs import BrokenRun

GROUP = frozenset({"bad"})
PAIR = frozenset({"bad", "victim"})
OWN = InstanceId("i0")
SECOND = timedelta(seconds=1)


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def rules(clock):
    return Quarantine(clock)


def test_only_prompts_with_all_parts_of_a_group_are_refused(rules, clock):
    rules.enforce(PAIR, clock.monotonic())
    assert rules.refuses(("first", "bad", "victim"))
    assert not rules.refuses(("first", "victim"))
    assert not rules.refuses(())


def test_a_trial_lets_one_request_pass(rules, clock):
    rules.enforce(GROUP, clock.monotonic()).trial = True
    assert not rules.refuses(GROUP)
    assert not rules.refuses(GROUP, sending=True)
    assert rules.refuses(GROUP, sending=True)


def test_a_group_that_no_collector_renews_is_dropped(rules, clock):
    rules.enforce(GROUP, clock.monotonic())
    clock.advance(RENEWAL_TIMEOUT)
    assert rules.refuses(GROUP)
    clock.advance(SECOND)
    assert not rules.refuses(GROUP)


def test_the_number_of_groups_is_bounded(rules, clock):
    for number in range(2 * MAX_GROUPS):
        rules.enforce(frozenset({f"part-{number}"}), clock.monotonic())
    assert len(rules.groups) == MAX_GROUPS
    assert rules.refuses({f"part-{2 * MAX_GROUPS - 1}"})


def test_the_store_keeps_the_newest_groups_within_a_bound(rules, clock):
    for number in range(MAX_GROUPS):
        parts = frozenset(f"{number}-{part}-{'x' * 100}" for part in range(10))
        rules.enforce(parts, clock.monotonic())
    rows = rules.rows()
    assert rows[0][0].startswith(f"{MAX_GROUPS - 1}-")
    length = sum(len(part) for row in rows for part in row)
    assert MAX_STORED_CHARACTERS / 2 < length <= MAX_STORED_CHARACTERS


# Guards against requests that wait in a queue although their part is quarantined.
def test_the_wait_of_a_quarantined_request_ends_at_once(run, rules, clock):
    async def wait(parts):
        async with asyncio.timeout(None) as timeout:
            with rules.waiting_request(timeout, parts):
                await asyncio.sleep(60)

    async def scenario():
        waits = [asyncio.create_task(wait(parts)) for parts in (GROUP, {"sound"})]
        await asyncio.sleep(0)
        rules.enforce(GROUP, clock.monotonic())
        done, pending = await asyncio.wait(waits, timeout=0.2)
        assert done == {waits[0]}
        assert isinstance(waits[0].exception(), TimeoutError)
        pending.pop().cancel()
        assert len(rules.waiting) == 1

    run(scenario())


class Collector:
    """The terms of one group that another instance refuses requests by."""

    def __init__(self, clock):
        self.clock = clock
        self.rules = Quarantine(clock)
        self.terms = QuarantineTerms(clock)
        self.group = self.rules.enforce(GROUP, clock.monotonic())

    def trials_within(self, duration, step=SECOND):
        """Let time pass with a refusal in each step, and return when trials are due."""
        began, times = self.clock.monotonic(), []
        while self.clock.monotonic() - began < duration:
            self.clock.advance(step)
            now = self.clock.monotonic()
            self.terms.record_refusal(GROUP, InstanceId("i1"), now)
            due = self.terms.due_trials(self.rules.groups, OWN)
            assert set(due.values()) <= {"i1"}
            times += [now - began] * len(due)
        return times


def test_trials_become_rarer(clock):
    trials = Collector(clock).trials_within(timedelta(hours=2), step=10 * SECOND)
    gaps = [after - before for before, after in pairwise(trials)]
    assert trials[0] == FIRST_TRIAL_AFTER
    assert gaps[:3] == [2 * trials[0], 4 * trials[0], 8 * trials[0]]
    assert max(gaps) <= MAX_TRIAL_INTERVAL


def test_without_requests_there_is_no_trial(clock):
    collector = Collector(clock)
    clock.advance(FIRST_TRIAL_AFTER)
    assert not collector.terms.due_trials(collector.rules.groups, OWN)


# Guards against the refusal of sound parts while servers crash for another reason.
def test_crashes_without_the_group_bring_its_trial_forward(clock):
    collector = Collector(clock)
    evidence = CrashEvidence(clock)
    clock.advance(SETTLING_TIME)
    for number in range(DOUBTFUL_CRASHES):
        clock.advance(SECOND)
        crash = BrokenRun((f"s{number}", 1), clock.monotonic())
        evidence.record_crash(crash, [["other"]])
    collector.terms.record_crashes([collector.group], evidence)
    trials = collector.trials_within(FIRST_TRIAL_IN_DOUBT)
    assert len(trials) == 1


def test_crashes_by_requests_on_their_way_are_no_reason_for_doubt(clock):
    collector = Collector(clock)
    evidence = CrashEvidence(clock)
    for number in range(DOUBTFUL_CRASHES):
        clock.advance(SECOND / 2)
        crash = BrokenRun((f"s{number}", 1), clock.monotonic())
        evidence.record_crash(crash, [["other"]])
    collector.terms.record_crashes([collector.group], evidence)
    assert not collector.trials_within(FIRST_TRIAL_IN_DOUBT)


def test_a_group_stays_while_requests_come(clock):
    collector = Collector(clock)
    collector.trials_within(3 * IDLE_TIMEOUT, step=10 * SECOND)
    assert not collector.terms.is_idle(collector.group)
    clock.advance(IDLE_TIMEOUT + SECOND)
    assert collector.terms.is_idle(collector.group)


def test_instances_are_told_for_a_while_that_a_group_was_lifted(clock):
    terms = QuarantineTerms(clock)
    terms.lift(GROUP)
    clock.advance(LIFTED_NOTICE)
    assert terms.recently_lifted() == [GROUP]
    clock.advance(SECOND)
    assert not terms.recently_lifted()


# Guards against requests with a suspected part that are under way at many instances.
def test_requests_of_a_suspected_group_pass_one_by_one(clock):
    collector = Collector(clock)
    group = collector.rules.enforce(PAIR, clock.monotonic(), suspected=True)
    collector.terms.record_refusal(PAIR, OWN, clock.monotonic())
    groups = {PAIR: group}
    assert collector.terms.due_trials(groups, OWN) == {PAIR: OWN}
    assert not collector.terms.due_trials(groups, OWN)
    clock.advance(SUSPECTED_TRIAL_INTERVAL)
    assert collector.terms.due_trials(groups, OWN) == {PAIR: OWN}


def test_a_suspected_group_is_accused_once_and_for_all(clock):
    rules = Quarantine(clock)
    group = rules.enforce(PAIR, clock.monotonic(), suspected=True)
    group.trial = True
    assert rules.retry_after(PAIR) == SUSPECTED_RETRY_AFTER
    assert not rules.rows()
    rules.enforce(PAIR, clock.monotonic())
    assert not group.trial
    rules.enforce(PAIR, clock.monotonic(), suspected=True)
    assert not group.suspected
    assert rules.retry_after(PAIR) == RETRY_AFTER
    assert rules.rows()


# Guards against a trial of a suspected group that lets an accused part pass.
def test_an_accused_group_goes_before_a_suspected_one(clock):
    rules = Quarantine(clock)
    suspected = rules.enforce(PAIR, clock.monotonic(), suspected=True)
    suspected.trial = True
    rules.enforce(GROUP, clock.monotonic())
    assert rules.refuses(PAIR, sending=True)
    assert suspected.trial


def test_a_group_that_few_crashes_accused_is_tried_earlier(clock):
    collector = Collector(clock)
    collector.terms.record_accusation(collector.group.parts, 2)
    assert len(collector.trials_within(FIRST_TRIAL_IN_DOUBT)) == 1
