"""Cell leases: at most one instance may order, despite store faults and pauses."""

import asyncio
from datetime import timedelta

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from magnoliatrail.cells.lease import (
    LEASE_DURATION,
    TAKEOVER_MARGIN,
    CellLease,
    Identity,
)
from magnoliatrail.clock import ManualClock
from magnoliatrail.generated.cells import OwnerRow
from magnoliatrail.ids import CellId
from tests.platform.fake_store import FakeRows

NO_TIME = timedelta()


def lease_of(name, store, clock, run="1"):
    identity = Identity(name, f"{name}-{run}", f"{name}:1")
    return CellLease(
        clock=clock, store=store.client(), identity=identity, cell=CellId("0")
    )


def call(coroutine):
    return asyncio.run(coroutine)


def check_fencing_number(numbers, lease):
    """Check that a fencing number is the highest so far and has one holder."""
    number, holder = lease.fencing_number, lease.identity.incarnation
    assert number >= max(numbers, default=0)
    assert numbers.setdefault(number, holder) == holder


def owned(store, clock, name="a"):
    lease = lease_of(name, store, clock)
    call(lease.read())
    assert call(lease.claim())
    return lease


def test_an_owner_that_cannot_renew_stops_by_itself():
    store, clock = FakeRows(), ManualClock()
    lease = owned(store, clock)
    store.down = True
    clock.advance(LEASE_DURATION / 2)
    call(lease.renew())
    assert lease.may_order(NO_TIME)
    clock.advance(LEASE_DURATION / 2)
    assert not lease.may_order(NO_TIME)


def test_an_order_must_end_within_the_lease():
    lease = owned(FakeRows(), ManualClock())
    assert lease.may_order(LEASE_DURATION - timedelta(milliseconds=1))
    assert not lease.may_order(LEASE_DURATION)


def test_the_next_owner_waits_until_the_last_order_is_over():
    store, clock = FakeRows(), ManualClock()
    first = owned(store, clock)
    second = lease_of("b", store, clock)
    call(second.read())
    clock.advance(LEASE_DURATION)
    assert not second.is_free()
    clock.advance(TAKEOVER_MARGIN + timedelta(milliseconds=1))
    assert second.is_free()
    assert not first.may_order(NO_TIME)


def test_a_renewal_restarts_the_wait_of_the_next_owner():
    store, clock = FakeRows(), ManualClock()
    first = owned(store, clock)
    second = lease_of("b", store, clock)
    call(second.read())
    clock.advance(LEASE_DURATION)
    call(first.renew())
    call(second.read())
    clock.advance(LEASE_DURATION)
    assert not second.is_free()


def test_a_released_lease_is_free_at_once_and_its_number_only_rises():
    store, clock = FakeRows(), ManualClock()
    first = owned(store, clock)
    number = first.fencing_number
    call(first.release())
    assert not first.may_order(NO_TIME)
    second = lease_of("b", store, clock)
    call(second.read())
    assert second.is_free()
    assert call(second.claim())
    assert second.fencing_number > number


def test_of_two_claims_one_is_refused():
    store, clock = FakeRows(), ManualClock()
    one, two = (lease_of(name, store, clock) for name in "ab")
    call(one.read())
    call(two.read())
    assert call(one.claim())
    assert not call(two.claim())
    assert not two.is_mine


def test_a_renewal_whose_answer_was_lost_is_recognised():
    store, clock = FakeRows(), ManualClock()
    lease = owned(store, clock)
    store.lose_next = True
    call(lease.renew())
    assert lease.is_mine
    call(lease.renew())
    assert lease.may_order(NO_TIME)


def test_a_claim_whose_answer_was_lost_gives_orders_only_after_a_renewal():
    store, clock = FakeRows(), ManualClock()
    lease = lease_of("a", store, clock)
    call(lease.read())
    store.lose_next = True
    assert call(lease.claim())
    assert lease.fencing_number == lease.row_version > 0
    assert not lease.may_order(NO_TIME)
    call(lease.renew())
    assert lease.may_order(NO_TIME)


def test_a_claim_that_is_carried_out_late_does_not_undo_a_newer_one():
    store, clock = FakeRows(), ManualClock()
    late, other = (lease_of(name, store, clock) for name in "ab")
    call(late.read())
    call(other.read())
    store.delay_next = True
    assert not call(late.claim())
    assert call(other.claim())
    store.apply_delayed()
    call(other.renew())
    assert other.is_mine
    call(late.read())
    assert not late.is_mine


def test_a_claim_that_is_carried_out_late_gets_its_rows_fencing_number():
    store, clock = FakeRows(), ManualClock()
    first = owned(store, clock, "b")
    call(first.release())
    late = lease_of("a", store, clock)
    call(late.read())
    store.delay_next = True
    assert not call(late.claim())
    store.apply_delayed()
    call(late.read())
    assert late.is_mine
    assert late.fencing_number == late.row_version > first.fencing_number


def test_an_older_row_version_is_not_applied():
    store, clock = FakeRows(), ManualClock()
    lease = lease_of("b", store, clock)
    row = OwnerRow(
        owner="a", incarnation="a-1", address="a:1", renewal=1, released=False
    )
    lease.apply_row(row, 9)
    lease.apply_row(row, 4)
    assert lease.row_version == 9


class Leases(RuleBasedStateMachine):
    """Instances that renew, claim, pause and restart, with a faulty store."""

    def __init__(self):
        super().__init__()
        self.store, self.clock = FakeRows(), ManualClock()
        self.runs = dict.fromkeys("abc", 1)
        self.leases = {name: lease_of(name, self.store, self.clock) for name in "abc"}
        self.numbers = {}

    def step(self, lease):
        """Renew the lease, or claim it if it is free, as a member does."""
        if lease.is_mine:
            call(lease.renew())
            return
        call(lease.read())
        if lease.is_free():
            call(lease.claim())

    @rule(name=st.sampled_from("abc"))
    def act(self, name):
        self.step(self.leases[name])

    @rule(name=st.sampled_from("abc"), fault=st.sampled_from(["lose", "delay"]))
    def act_with_a_fault(self, name, fault):
        setattr(self.store, f"{fault}_next", True)
        self.step(self.leases[name])
        setattr(self.store, f"{fault}_next", False)

    @rule(milliseconds=st.integers(1, 2600))
    def wait(self, milliseconds):
        self.clock.advance(timedelta(milliseconds=milliseconds))

    @rule(down=st.booleans())
    def store_goes_down_or_comes_back(self, down):
        self.store.down = down

    @rule()
    def delayed_writes_are_applied(self):
        self.store.apply_delayed()

    @rule(name=st.sampled_from("abc"))
    def release(self, name):
        call(self.leases[name].release())

    @rule(name=st.sampled_from("abc"))
    def restart(self, name):
        self.runs[name] += 1
        run = str(self.runs[name])
        self.leases[name] = lease_of(name, self.store, self.clock, run)

    @invariant()
    def at_most_one_instance_may_order(self):
        able = [item for item in self.leases.values() if item.may_order(NO_TIME)]
        assert len(able) <= 1

    @invariant()
    def fencing_numbers_only_rise(self):
        for lease in self.leases.values():
            if lease.may_order(NO_TIME):
                check_fencing_number(self.numbers, lease)


Leases.TestCase.settings = settings(
    derandomize=True, max_examples=150, stateful_step_count=40, deadline=None
)
TestLeases = Leases.TestCase
