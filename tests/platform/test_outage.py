"""Lease extension during store outages: at most one instance may order."""

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
from magnoliatrail.cells.lease_takeover import OUTAGE_REPORT_VALIDITY, LeaseTakeover
from magnoliatrail.cells.outage import (
    MAX_LEASE_EXTENSION,
    SILENT_INSTANCE_EXPIRY,
    STORE_REPORT_VALIDITY,
)
from magnoliatrail.clock import ManualClock
from magnoliatrail.generated.cells import OwnerStatusRequest
from magnoliatrail.ids import CellId
from magnoliatrail.platform.protocol import CELLS_TABLE
from tests.platform.fake_store import FakeRows
from tests.platform.test_cell_lease import call, check_fencing_number

NO_TIME = timedelta()
NAMES = "abc"


class Instance:
    """The lease handling of a cell member, driven one step at a time."""

    def __init__(self, name, fleet, run=1):
        self.name, self.fleet, self.run = name, fleet, run
        identity = Identity(name, f"{name}-{run}", name)
        self.lease = CellLease(
            clock=fleet.clock,
            store=fleet.store.client(),
            identity=identity,
            cell=CellId("0"),
        )
        self.store_answers = True
        self.acknowledged = {}
        self.takeover = LeaseTakeover(
            clock=fleet.clock,
            lease=self.lease,
            acknowledged_at=self.acknowledged_at,
            ask=self.ask,
        )

    def acknowledged_at(self):
        """Return when the owner that the row names received the last report."""
        return self.acknowledged.get(self.lease.row.owner)

    def may_order(self):
        return self.takeover.may_order(NO_TIME)

    def act(self):
        """Renew the lease, or claim it if it is free and its owner does not order."""
        store = self.fleet.store
        store.down = self.fleet.down or self.name in self.fleet.rejected
        self.store_answers = not store.down
        self.lease.follow_era()
        if self.lease.may_reclaim:
            call(self.lease.claim())
            return
        if self.lease.is_mine:
            call(self.lease.renew())
            return
        call(self.lease.read())
        if self.lease.is_free() and call(self.takeover.may_claim()):
            call(self.lease.claim())
            if self.lease.is_mine:
                self.lease.outage.expect(set(NAMES) - {self.name})

    async def ask(self, row):
        """Request an owner's status, unless the link to it is cut."""
        if {row.owner, self.name} in self.fleet.cut:
            return None
        request = OwnerStatusRequest(cell="0", row_version=self.lease.row_version)
        return self.fleet.instances[row.owner].takeover.answer(request)

    def report(self):
        """Report to the reachable owners whether the store answers this instance."""
        now = self.fleet.clock.monotonic()
        if not self.store_answers:
            self.takeover.outage_reported_at = now
        for other in self.fleet.instances.values():
            reached = {other.name, self.name} not in self.fleet.cut
            if other is not self and other.lease.is_mine and reached:
                self.acknowledged = {other.name: now}
                other.lease.learn_era(self.lease.store.era)
                other.lease.outage.record_report(
                    self.name, store_answers=self.store_answers, leaving=False
                )


class Fleet:
    """Three instances and a store that may be down for all or reject some."""

    def __init__(self):
        self.store, self.clock = FakeRows(), ManualClock()
        self.down = False
        self.rejected = set()
        self.cut = []
        self.instances = {name: Instance(name, self) for name in NAMES}

    def with_owner(self):
        """Return an instance that owns the cell and has a report of each other one."""
        self.clock.advance(OUTAGE_REPORT_VALIDITY)
        for item in self.instances.values():
            item.act()
            item.report()
        owner = self.instances["a"]
        assert owner.may_order()
        return owner

    def pass_time(self, duration, step=timedelta(milliseconds=250)):
        """Let all instances act and report for a while."""
        until = self.clock.monotonic() + duration
        while self.clock.monotonic() < until:
            self.clock.advance(step)
            for item in self.instances.values():
                item.act()
                item.report()

    def owners(self):
        return [item.name for item in self.instances.values() if item.may_order()]


def test_the_owner_extends_its_lease_while_the_store_answers_no_instance():
    fleet = Fleet()
    fleet.with_owner()
    fleet.down = True
    fleet.pass_time(LEASE_DURATION * 2)
    assert fleet.owners() == ["a"]
    fleet.down = False
    fleet.pass_time(timedelta(seconds=3))
    assert fleet.owners() == ["a"]


def test_an_owner_that_only_the_store_rejects_is_replaced():
    fleet = Fleet()
    fleet.with_owner()
    fleet.rejected = {"a"}
    fleet.pass_time(LEASE_DURATION + TAKEOVER_MARGIN + timedelta(seconds=0.5))
    assert fleet.owners()
    assert "a" not in fleet.owners()


def test_an_owner_that_is_cut_off_from_all_stops():
    fleet = Fleet()
    fleet.with_owner()
    fleet.rejected = {"a"}
    fleet.cut = [{"a", "b"}, {"a", "c"}]
    fleet.pass_time(LEASE_DURATION + TAKEOVER_MARGIN + timedelta(seconds=0.5))
    assert "a" not in fleet.owners()
    assert fleet.owners()


def test_an_instance_that_fell_silent_ends_the_lease_extension():
    fleet = Fleet()
    fleet.with_owner()
    fleet.down = True
    fleet.pass_time(LEASE_DURATION * 2)
    fleet.cut = [{"a", "c"}]
    fleet.pass_time(STORE_REPORT_VALIDITY + timedelta(seconds=0.5))
    assert not fleet.owners()


def test_the_next_owner_waits_until_its_own_outage_report_expires():
    fleet = Fleet()
    fleet.with_owner()
    fleet.down = True
    fleet.pass_time(LEASE_DURATION * 2)
    # The store recovers for one instance only, right after that instance's last report,
    # and the link to the owner is cut.
    fleet.down, fleet.rejected = False, {"a", "b"}
    fleet.cut = [{"a", "c"}]
    fleet.instances["c"].act()
    assert fleet.instances["c"].lease.is_mine
    assert fleet.owners() == ["a"]
    for _ in range(20):
        fleet.pass_time(timedelta(milliseconds=200), step=timedelta(milliseconds=100))
        assert len(fleet.owners()) <= 1
    assert fleet.owners() == ["c"]


def test_an_instance_without_a_report_prevents_a_lease_extension():
    fleet = Fleet()
    fleet.cut = [{"a", "c"}]
    fleet.with_owner()
    fleet.down = True
    fleet.pass_time(LEASE_DURATION * 2)
    assert not fleet.owners()


def test_an_owner_that_is_asked_by_a_newer_claim_ends_its_lease_extension():
    fleet = Fleet()
    owner = fleet.with_owner()
    fleet.down = True
    fleet.pass_time(LEASE_DURATION * 2)
    assert owner.may_order()
    request = OwnerStatusRequest(cell="0", row_version=owner.lease.row_version + 1)
    assert not owner.takeover.answer(request).orders
    assert not owner.may_order()


def test_a_renewal_conflict_ends_the_extension_though_nothing_can_be_read():
    fleet = Fleet()
    owner = fleet.with_owner()
    fleet.down = True
    fleet.pass_time(LEASE_DURATION * 2)
    assert owner.may_order()
    write = owner.lease.write

    async def conflict(row):
        fleet.store.down = False
        fleet.store.version += 1
        fleet.store.rows[CELLS_TABLE, owner.lease.key] = (b"{}", fleet.store.version)
        done = await write(row)
        fleet.store.down = True
        return done

    owner.lease.write = conflict
    call(owner.lease.renew())
    assert owner.lease.is_mine
    assert not owner.may_order()


def test_a_lease_extension_is_limited_in_time():
    fleet = Fleet()
    fleet.with_owner()
    fleet.down = True
    fleet.pass_time(LEASE_DURATION + MAX_LEASE_EXTENSION + timedelta(seconds=1))
    assert not fleet.owners()


def test_an_expired_instance_does_not_prevent_a_lease_extension():
    fleet = Fleet()
    fleet.with_owner()
    gone = fleet.instances.pop("c")
    fleet.pass_time(SILENT_INSTANCE_EXPIRY + timedelta(seconds=1))
    fleet.down = True
    fleet.pass_time(LEASE_DURATION * 2)
    assert fleet.owners() == ["a"]
    # The silent instance returns while the store still rejects the others.
    fleet.instances["c"] = gone
    fleet.down, fleet.rejected = False, {"a", "b"}
    fleet.cut = [{"a", "c"}]
    gone.act()
    gone.act()
    for _ in range(140):
        fleet.pass_time(timedelta(milliseconds=100), step=timedelta(milliseconds=100))
        assert len(fleet.owners()) <= 1
    assert fleet.owners() == ["c"]


def test_an_owner_that_answered_it_had_stopped_does_not_extend_its_lease():
    fleet = Fleet()
    owner = fleet.with_owner()
    fleet.down = True
    fleet.clock.advance(LEASE_DURATION + TAKEOVER_MARGIN)
    owner.lease.outage.renewal_fails = True
    owner.lease.outage.forbid_extension()
    fleet.pass_time(timedelta(seconds=1))
    assert not fleet.owners()


def test_a_lone_instance_does_not_extend_its_lease():
    fleet = Fleet()
    fleet.instances = {"a": fleet.instances["a"]}
    owner = fleet.instances["a"]
    owner.act()
    owner.lease.outage.reports.clear()
    fleet.down = True
    fleet.pass_time(LEASE_DURATION * 2)
    assert not fleet.owners()


class Outages(RuleBasedStateMachine):
    """Instances that act, report, pause and restart while store and links fail."""

    def __init__(self):
        super().__init__()
        self.fleet = Fleet()
        self.numbers = {}
        self.copied = None

    @rule(name=st.sampled_from(NAMES))
    def act(self, name):
        self.fleet.instances[name].act()

    @rule(names=st.sets(st.sampled_from(NAMES)))
    def act_and_report(self, names):
        for name in sorted(names):
            self.fleet.instances[name].act()
            self.fleet.instances[name].report()

    @rule(name=st.sampled_from(NAMES))
    def report(self, name):
        self.fleet.instances[name].report()

    @rule(milliseconds=st.integers(1, 900))
    def wait(self, milliseconds):
        self.fleet.clock.advance(timedelta(milliseconds=milliseconds))

    @rule(seconds=st.integers(1, 4))
    def all_go_on(self, seconds):
        self.fleet.pass_time(timedelta(seconds=seconds))

    @rule(down=st.booleans())
    def store_goes_down_or_comes_back(self, down):
        self.fleet.down = down

    @rule(names=st.sets(st.sampled_from(NAMES)))
    def store_rejects_some(self, names):
        self.fleet.rejected = names

    @rule(pairs=st.sets(st.sampled_from(["ab", "ac", "bc"])))
    def links_are_cut(self, pairs):
        self.fleet.cut = [set(pair) for pair in pairs]

    @rule(name=st.sampled_from(NAMES))
    def restart(self, name):
        run = self.fleet.instances[name].run + 1
        self.fleet.instances[name] = Instance(name, self.fleet, run)

    @rule()
    def the_store_is_copied(self):
        self.copied = self.fleet.store.copy()

    @rule()
    def the_store_comes_back_from_its_copy(self):
        if self.copied:
            self.fleet.store.restore(self.copied)
            self.copied = None

    @rule(seconds=st.integers(1, 4), paused=st.sampled_from(NAMES))
    def the_store_loses_the_last_seconds(self, seconds, paused):
        """Let time pass, and lose what was written; one instance may not act then."""
        copied = self.fleet.store.copy()
        self.fleet.pass_time(
            timedelta(seconds=seconds), step=timedelta(milliseconds=500)
        )
        self.fleet.store.restore(copied)
        for name in NAMES:
            if name != paused:
                self.fleet.instances[name].act()

    @rule(name=st.sampled_from(NAMES), fault=st.sampled_from(["lose", "delay"]))
    def act_with_a_fault(self, name, fault):
        setattr(self.fleet.store, f"{fault}_next", True)
        self.fleet.instances[name].act()
        setattr(self.fleet.store, f"{fault}_next", False)

    @rule()
    def delayed_writes_are_applied(self):
        self.fleet.store.apply_delayed()

    @rule(name=st.sampled_from(NAMES))
    def release(self, name):
        fleet = self.fleet
        fleet.store.down = fleet.down or name in fleet.rejected
        call(fleet.instances[name].lease.release())

    @invariant()
    def at_most_one_instance_may_order(self):
        assert len(self.fleet.owners()) <= 1

    @invariant()
    def fencing_numbers_only_rise(self):
        for name in self.fleet.owners():
            check_fencing_number(self.numbers, self.fleet.instances[name].lease)


Outages.TestCase.settings = settings(
    derandomize=True, max_examples=300, stateful_step_count=60, deadline=None
)
TestOutages = Outages.TestCase
