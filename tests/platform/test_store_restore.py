"""The store comes back from a copy: its versions fall, and what came after is lost."""

import json
from datetime import timedelta

from magnoliatrail.backends import ServerState
from magnoliatrail.cells.lease import LEASE_DURATION, TAKEOVER_MARGIN, owner_key
from magnoliatrail.cells.lease_takeover import MAX_OWNERSHIP
from magnoliatrail.clock import ManualClock
from magnoliatrail.membership.fleet_view import FleetView
from magnoliatrail.membership.lapsed_servers import RELISTING_GRACE
from magnoliatrail.platform.protocol import (
    CELLS_TABLE,
    OPERATOR_TABLE,
    SERVERS_TABLE,
)
from magnoliatrail.platform.rows import RowsRead, RowWrite, StoredRow
from magnoliatrail.platform.store_versions import (
    era_of,
    number_of,
    version_in_era,
)
from tests.platform.rig import MODEL, configuration, model, running
from tests.platform.test_cell_lease import call
from tests.platform.test_outage import Fleet
from tests.platform.test_views import server_row

TICK = timedelta(milliseconds=100)


def test_a_version_of_a_later_era_is_higher_whatever_its_number():
    before, after = version_in_era(1, 900_000), version_in_era(2, 3)
    assert after > before
    assert (era_of(after), number_of(after)) == (2, 3)
    # JSON carries integers exactly up to 53 bits.
    assert version_in_era(8191, (1 << 40) - 1) < 1 << 53


# Leases


def fleet_with_copy(seconds):
    """Return a fleet with an owner, and a copy of the store some seconds old."""
    fleet = Fleet()
    fleet.with_owner()
    copied = fleet.store.copy()
    fleet.pass_time(timedelta(seconds=seconds))
    return fleet, copied


def test_the_owner_claims_its_lease_again_at_once_with_a_higher_number():
    fleet, copied = fleet_with_copy(5)
    owner = fleet.instances["a"]
    before = owner.lease.fencing_number
    fleet.store.restore(copied)
    assert fleet.store.version < number_of(owner.lease.row_version)
    fleet.pass_time(TICK, step=TICK)
    fleet.pass_time(TICK, step=TICK)
    assert fleet.owners() == ["a"]
    assert owner.lease.fencing_number > before


def test_nothing_is_ordered_by_a_lease_of_before_the_restoration():
    fleet, copied = fleet_with_copy(5)
    owner = fleet.instances["a"]
    fleet.store.restore(copied)
    call(owner.lease.store.read(CELLS_TABLE))
    assert not owner.may_order()


def test_others_wait_while_the_owner_of_before_is_paused():
    fleet, copied = fleet_with_copy(5)
    paused = fleet.instances.pop("a")
    fleet.instances["b"].acknowledged.clear()
    fleet.store.restore(copied)
    fleet.cut = [{"a", "b"}, {"a", "c"}]
    fleet.instances = {"a": paused, **fleet.instances}
    at = fleet.clock.monotonic()
    while fleet.clock.monotonic() - at < MAX_OWNERSHIP - TICK:
        for name in "bc":
            fleet.instances[name].act()
            assert not fleet.instances[name].may_order()
        fleet.clock.advance(TICK)
    for _ in range(8):
        fleet.clock.advance(TICK)
        for name in "bc":
            fleet.instances[name].act()
    assert [name for name in fleet.owners() if name != "a"]
    # The paused owner runs on, and finds its lease void.
    fleet.cut = []
    paused.act()
    paused.act()
    assert "a" not in fleet.owners()
    assert len(fleet.owners()) == 1


def test_an_owner_that_says_that_it_held_the_lease_and_stopped_is_replaced_early():
    fleet, copied = fleet_with_copy(5)
    owner = fleet.instances["a"]
    fleet.store.restore(copied)
    fleet.rejected = {"a"}
    call(fleet.instances["b"].lease.read())
    fleet.pass_time(LEASE_DURATION + TAKEOVER_MARGIN + TICK * 12, step=TICK)
    owners = fleet.owners()
    assert len(owners) == 1
    assert owners != ["a"]
    assert owner.lease.held_at_restore


def test_a_restoration_during_a_takeover_leaves_one_owner():
    fleet, copied = fleet_with_copy(1)
    fleet.rejected = {"a"}
    fleet.pass_time(LEASE_DURATION + TAKEOVER_MARGIN, step=TICK)
    fleet.store.restore(copied)
    fleet.rejected = set()
    for _ in range(130):
        fleet.pass_time(TICK, step=TICK)
        assert len(fleet.owners()) <= 1
    assert len(fleet.owners()) == 1


def test_two_restorations_within_a_lease_leave_one_owner_and_rising_numbers():
    fleet, copied = fleet_with_copy(3)
    numbers = []
    for _ in range(2):
        fleet.store.restore(copied)
        for _ in range(3):
            fleet.pass_time(TICK, step=TICK)
            assert len(fleet.owners()) <= 1
        numbers.append(fleet.instances["a"].lease.fencing_number)
    assert fleet.owners() == ["a"]
    assert numbers == sorted(set(numbers))


def test_a_renewal_from_before_does_not_replace_a_row_with_the_same_number():
    fleet, copied = fleet_with_copy(5)
    old = fleet.instances["a"].lease
    expected = number_of(old.row_version)
    fleet.store.restore(copied)
    # The number of the old row is given out again, for the lease of the new era.
    key = owner_key(old.cell, fleet.store.era)
    fleet.store.version = expected - 1
    client = fleet.store.client()
    client.record_era(fleet.store.era)
    written = call(client.commit([RowWrite(CELLS_TABLE, key, b"{}", 0)]))
    assert number_of(written.ok) == expected
    call(old.write(old.new_row(released=False)))
    assert fleet.store.rows[CELLS_TABLE, key] == (b"{}", expected)


# Views


def test_rows_of_a_new_era_replace_newer_numbers_and_late_old_ones_change_nothing():
    view = FleetView(ManualClock())
    old = version_in_era(1, 500)
    view.apply(SERVERS_TABLE, RowsRead((server_row(old),), old, True), timedelta(), "s")
    new = version_in_era(2, 20)
    row = server_row(new, address="10.0.0.9:80")
    view.apply(SERVERS_TABLE, RowsRead((row,), new, True), timedelta(), "s")
    assert view.servers["s1"].address == "10.0.0.9:80"
    late = version_in_era(1, 600)
    read = RowsRead((server_row(late),), late, True)
    view.apply(SERVERS_TABLE, read, timedelta(seconds=9), "s")
    assert view.servers["s1"].address == "10.0.0.9:80"
    assert view.tables[SERVERS_TABLE].fresh_at == timedelta()


def restored_view(*, state_before, rows_after):
    """Return a view whose store came back from a copy."""
    clock = ManualClock()
    view = FleetView(clock)
    first = RowsRead((server_row(5),), 5, whole=True)
    view.apply(SERVERS_TABLE, first, timedelta(), "store")
    if state_before == "gone":
        second = RowsRead((StoredRow("s1", 9, None),), 9, whole=False)
    else:
        second = RowsRead((server_row(9, state=state_before),), 9, whole=False)
    view.apply(SERVERS_TABLE, second, timedelta(), "store")
    version = version_in_era(1, 6)
    rows = tuple(rows_after)
    view.apply(SERVERS_TABLE, RowsRead(rows, version, True), timedelta(), "store")
    return clock, view


def test_a_server_that_announced_its_departure_stays_leaving():
    row = server_row(version_in_era(1, 5))
    _, view = restored_view(state_before="draining", rows_after=[row])
    assert not view.usable("models")
    assert view.servers["s1"].state is ServerState.LEAVING


def test_a_server_that_was_gone_is_used_only_once_it_writes_again():
    row = server_row(version_in_era(1, 5))
    _, view = restored_view(state_before="gone", rows_after=[row])
    assert not view.usable("models")
    again = version_in_era(1, 11)
    read = RowsRead((server_row(again, sequence=3),), again, whole=False)
    view.apply(SERVERS_TABLE, read, timedelta(), "store")
    assert view.usable("models")


def test_a_server_that_the_copy_lacks_stays_until_it_could_have_written_again():
    clock, view = restored_view(state_before="ready", rows_after=[])
    assert view.usable("models")
    clock.advance(RELISTING_GRACE)
    assert not view.usable("models")


def test_a_configuration_that_was_lost_with_the_copy_stays_in_force():
    view = FleetView(ManualClock())
    rows = [json.dumps(configuration(number)).encode() for number in (7, 9)]
    for version, row in ((5, rows[0]), (8, rows[1])):
        read = RowsRead((StoredRow("config", version, row),), version, whole=False)
        view.apply(OPERATOR_TABLE, read, timedelta(), "store")
    restored = version_in_era(1, 5)
    read = RowsRead((StoredRow("config", restored, rows[0]),), restored, whole=True)
    view.apply(OPERATOR_TABLE, read, timedelta(), "store")
    assert view.routes.version == 9


# The whole path, on loopback


def test_instances_go_on_after_the_store_comes_back_from_a_copy(run):
    async def scenario():
        async with running(instances=2) as rig:
            copied = rig.store.copy_rows()
            old = configuration(1)
            rig.store.put_json("op", "config", configuration(5))
            await rig.until(
                lambda: all(item.view.routes.version == 5 for item in rig.daemons)
            )
            members = [item.cells.members["0"] for item in rig.daemons]
            owner = next(item for item in members if item.owner)
            before = owner.lease.fencing_number
            rig.store.restore(*copied)
            await rig.until(lambda: owner.lease.fencing_number > before)
            await rig.until(lambda: owner.lease.is_mine)
            # The operator writes again what it had written.
            rig.store.put_json("op", "config", {**old, "version": 6})
            await rig.until(
                lambda: all(item.view.routes.version == 6 for item in rig.daemons)
            )
            answers = [
                await rig.send(
                    daemon, "/stream/x", request=f"r{number}", headers=model("a1")
                )
                for number, daemon in enumerate(rig.daemons)
            ]
            assert [item.status for item in answers] == [200, 200]
            assert all(item.whole for item in answers)
            assert rig.engines[0].models == {MODEL}

    run(scenario())


def test_a_layout_that_was_lost_is_written_again_by_those_who_use_it(run):
    async def scenario():
        async with running(instances=2) as rig:
            empty = {"op": dict(rig.store.tables["op"])}
            empty["servers"] = dict(rig.store.tables["servers"])
            rig.store.restore(empty, 3)
            await rig.until(
                lambda: rig.store.tables.get(CELLS_TABLE, {}).get("layout") is not None
            )
            await rig.until(
                lambda: any(
                    item.cells.members["0"].lease.is_mine for item in rig.daemons
                )
            )

    run(scenario())
