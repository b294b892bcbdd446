import json
from datetime import timedelta

from hypothesis import given, settings
from hypothesis import strategies as st

from magnoliatrail.backends import ServerNotice, ServerState
from magnoliatrail.clock import ManualClock
from magnoliatrail.membership.fleet_view import FleetView
from magnoliatrail.membership.lapsed_servers import RELISTING_GRACE
from magnoliatrail.membership.table_view import TableView
from magnoliatrail.platform.protocol import OPERATOR_TABLE, SERVERS_TABLE
from magnoliatrail.platform.rows import RowsRead, StoredRow
from tests.platform.rig import configuration

NOW = timedelta(seconds=1)


def server_row(row_version, *, state="ready", born=1, key="s1", **more):
    body = {
        "service": "models",
        "address": "10.0.0.1:80",
        "zone": "z",
        "state": state,
        "born": born,
        **more,
    }
    return StoredRow(key, row_version, json.dumps(body).encode())


def read(*rows, whole=False, version=None):
    return RowsRead(rows, version or max(row.version for row in rows), whole)


reads = st.lists(
    st.tuples(st.sampled_from("abc"), st.integers(1, 50), st.booleans()), max_size=8
)


@settings(derandomize=True)
@given(st.lists(st.tuples(reads, st.booleans(), st.integers(1, 60)), max_size=12))
def test_no_row_and_no_version_is_replaced_by_an_older_one(history):
    view = TableView()
    newest = {}
    for number, (rows, whole, version) in enumerate(history):
        taken = tuple(
            StoredRow(key, at, None if gone else f"{key}{at}".encode())
            for key, at, gone in rows
        )
        before = view.version
        view.apply(RowsRead(taken, version, whole), timedelta(seconds=number))
        assert view.version >= before
        for key, row in view.rows.items():
            assert row.version >= newest.get(key, 0)
            newest[key] = row.version


# Guards against a server that had left and is in use again: an instance that started
# after its row was removed got the row from an owner, or a copy, with older tables.
def test_a_row_that_was_removed_before_the_first_read_does_not_come_back():
    for whole in (False, True):
        view = TableView()
        view.apply(read(StoredRow("a", 3, b"x"), whole=True, version=9), NOW)
        rows = StoredRow("a", 3, b"x"), StoredRow("gone", 7, b"y")
        older = read(*rows, whole=whole, version=8)
        assert view.apply(older, NOW) == []
        assert "gone" not in view.rows
        assert view.apply(read(StoredRow("gone", 10, b"z")), NOW)


def test_a_whole_read_drops_rows_that_it_does_not_list():
    view = TableView()
    view.apply(read(StoredRow("a", 3, b"x"), StoredRow("b", 4, b"y")), NOW)
    updates = view.apply(read(StoredRow("b", 4, b"y"), whole=True, version=9), NOW)
    assert updates == [StoredRow("a", 9, None)]


def test_a_whole_read_that_is_older_does_not_drop_a_newer_row():
    view = TableView()
    view.apply(read(StoredRow("a", 12, b"x")), NOW)
    assert not view.apply(RowsRead((), 9, whole=True), NOW)
    assert view.rows["a"].value == b"x"


def test_a_read_of_an_older_version_does_not_make_the_table_fresh():
    view = TableView()
    view.apply(read(StoredRow("a", 12, b"x")), NOW)
    view.apply(RowsRead((), 9, whole=False), NOW * 2)
    assert view.fresh_at == NOW
    view.apply(RowsRead((), 12, whole=False), NOW * 3)
    assert view.fresh_at == NOW * 3


def test_only_the_newest_version_of_a_row_in_a_read_is_an_update():
    view = TableView()
    rows = [StoredRow("a", 3, b"x"), StoredRow("a", 5, b"z"), StoredRow("a", 4, b"y")]
    assert view.apply(read(*rows), NOW) == [StoredRow("a", 5, b"z")]


def test_rows_with_only_counter_changes_are_not_sent_to_peers():
    view = FleetView(ManualClock())
    view.apply(SERVERS_TABLE, read(server_row(3, sequence=1)), NOW, "store")
    view.apply(SERVERS_TABLE, read(server_row(8, sequence=2)), NOW, "store")
    assert not view.tables[SERVERS_TABLE].since(3).rows
    view.apply(SERVERS_TABLE, read(server_row(9, state="draining")), NOW, "store")
    assert [row.version for row in view.tables[SERVERS_TABLE].since(8).rows] == [9]


def test_a_server_that_leaves_gets_no_more_requests():
    view = FleetView(ManualClock())
    view.apply(SERVERS_TABLE, read(server_row(3)), NOW, "store")
    assert [server.id for server in view.usable("models")] == ["s1"]
    view.apply(SERVERS_TABLE, read(server_row(4, state="draining")), NOW, "store")
    assert not view.usable("models")
    assert view.servers["s1"].state is ServerState.LEAVING


def test_an_unreadable_row_adds_no_server_and_affects_no_other():
    view = FleetView(ManualClock())
    broken = [
        StoredRow("b1", 4, b"\xff\x00"),
        StoredRow("b2", 5, b"[]"),
        server_row(6, key="b3", state="dreaming"),
        server_row(7, key="b4", born="yesterday"),
        server_row(8, key="b5", address="nowhere"),
    ]
    view.apply(SERVERS_TABLE, read(server_row(3), *broken), NOW, "store")
    assert list(view.servers) == ["s1"]


def test_a_restarted_server_gets_a_new_key():
    view = FleetView(ManualClock())
    view.apply(SERVERS_TABLE, read(server_row(3, born=1)), NOW, "store")
    first = view.servers["s1"].key
    view.apply(SERVERS_TABLE, read(server_row(4, born=2)), NOW, "store")
    assert view.servers["s1"].key != first


def fail_for(view, clock, duration):
    """Make the store's reads fail halfway through a period."""
    clock.advance(duration / 2)
    view.tables[SERVERS_TABLE].failed_at = clock.monotonic()
    clock.advance(duration / 2)


def test_a_server_that_lapsed_in_a_store_outage_stays_for_the_grace():
    clock = ManualClock()
    view = FleetView(clock)
    view.apply(SERVERS_TABLE, read(server_row(3)), clock.monotonic(), "store")
    fail_for(view, clock, timedelta(seconds=6))
    gone = StoredRow("s1", 9, None)
    view.apply(SERVERS_TABLE, read(gone), clock.monotonic(), "store")
    assert view.usable("models")
    clock.advance(RELISTING_GRACE)
    assert not view.usable("models")


def test_a_server_that_lapsed_and_is_listed_again_stays():
    clock = ManualClock()
    view = FleetView(clock)
    view.apply(SERVERS_TABLE, read(server_row(3)), clock.monotonic(), "store")
    fail_for(view, clock, timedelta(seconds=6))
    view.apply(
        SERVERS_TABLE, read(StoredRow("s1", 9, None)), clock.monotonic(), "store"
    )
    view.apply(SERVERS_TABLE, read(server_row(11)), clock.monotonic(), "store")
    clock.advance(RELISTING_GRACE * 2)
    assert view.usable("models")


def test_a_server_removed_while_updates_are_late_is_dropped_at_once():
    """The store refused only the peer that sends the updates to this instance."""
    clock = ManualClock()
    view = FleetView(clock)
    view.apply(SERVERS_TABLE, read(server_row(3)), clock.monotonic(), "store")
    clock.advance(timedelta(seconds=2.2))
    view.apply(
        SERVERS_TABLE, read(StoredRow("s1", 9, None)), clock.monotonic(), "store"
    )
    assert not view.usable("models")


def test_a_past_outage_does_not_delay_the_removal_of_a_server():
    clock = ManualClock()
    view = FleetView(clock)
    view.apply(SERVERS_TABLE, read(server_row(3)), clock.monotonic(), "store")
    fail_for(view, clock, timedelta(seconds=6))
    view.apply(SERVERS_TABLE, read(server_row(5)), clock.monotonic(), "store")
    clock.advance(timedelta(seconds=2.2))
    view.apply(
        SERVERS_TABLE, read(StoredRow("s1", 9, None)), clock.monotonic(), "store"
    )
    assert not view.usable("models")


def test_a_server_removed_while_the_store_answers_is_dropped_at_once():
    clock = ManualClock()
    view = FleetView(clock)
    view.apply(SERVERS_TABLE, read(server_row(3)), clock.monotonic(), "store")
    clock.advance(timedelta(seconds=0.7))
    view.apply(
        SERVERS_TABLE, read(StoredRow("s1", 9, None)), clock.monotonic(), "store"
    )
    assert not view.usable("models")


def test_an_older_configuration_never_comes_back():
    view = FleetView(ManualClock())
    new, old = (json.dumps(configuration(number)).encode() for number in (9, 7))
    view.apply(OPERATOR_TABLE, read(StoredRow("config", 5, new)), NOW, "store")
    view.apply(OPERATOR_TABLE, read(StoredRow("config", 6, old)), NOW, "peer")
    assert view.routes.version == 9


def test_an_unreadable_configuration_leaves_the_last_in_force():
    view = FleetView(ManualClock())
    good = json.dumps(configuration(3)).encode()
    view.apply(OPERATOR_TABLE, read(StoredRow("config", 5, good)), NOW, "store")
    view.apply(OPERATOR_TABLE, read(StoredRow("config", 6, b"{}")), NOW, "store")
    assert view.routes.version == 3


def test_the_longest_prefix_matches_and_the_port_of_the_host_is_ignored():
    view = FleetView(ManualClock())
    table = configuration(3)
    table["routes"].append(
        {**table["routes"][0], "name": "deep", "prefix": "/stream/d/"}
    )
    row = StoredRow("config", 5, json.dumps(table).encode())
    view.apply(OPERATOR_TABLE, read(row), NOW, "store")
    routes = view.routes
    assert routes.match("APP.example:8080", "/stream/d/x").name == "deep"
    assert routes.match("app.example", "/stream/x").name == "stream"
    assert routes.match("app.example", "/streams") is None
    assert routes.match("other.example", "/stream/x") is None


def test_the_software_version_of_a_server_is_read_from_its_row():
    view = FleetView(ManualClock())
    view.apply(SERVERS_TABLE, read(server_row(3, version="v1.1")), NOW, "store")
    assert view.servers["s1"].software_version == "v1.1"


# Guards against requests to servers that said in an answer that they leave.
def test_a_server_that_said_in_an_answer_that_it_leaves_stays_unused():
    view = FleetView(ManualClock())
    changes = []
    view.on_change.append(lambda: changes.append(1))
    view.apply(SERVERS_TABLE, read(server_row(3)), NOW, "store")
    server = view.servers["s1"]
    before = len(changes)
    view.apply_notice(server, ServerNotice(leaving=True))
    view.apply_notice(server, ServerNotice(leaving=True))
    assert len(changes) == before + 1
    view.apply(SERVERS_TABLE, read(server_row(4, sequence=2)), NOW, "store")
    assert view.servers["s1"].state is ServerState.LEAVING
    view.apply(SERVERS_TABLE, read(server_row(5, born=2)), NOW, "store")
    assert view.servers["s1"].state is ServerState.READY


def test_a_notice_of_an_earlier_run_does_not_concern_a_restarted_server():
    view = FleetView(ManualClock())
    view.apply(SERVERS_TABLE, read(server_row(3, born=1)), NOW, "store")
    earlier = view.servers["s1"]
    view.apply(SERVERS_TABLE, read(server_row(4, born=2)), NOW, "store")
    view.apply_notice(earlier, ServerNotice(leaving=True))
    assert view.servers["s1"].state is ServerState.READY


# Guards against requests to servers that asked for none with 503 and Retry-After.
def test_a_server_that_refuses_is_not_accepting_until_its_time_is_over():
    clock = ManualClock()
    view = FleetView(clock)
    view.apply(SERVERS_TABLE, read(server_row(3)), NOW, "store")
    server = view.servers["s1"]
    view.apply_notice(server, ServerNotice(refuses_for=timedelta(seconds=2)))
    view.apply_notice(server, ServerNotice(refuses_for=timedelta(seconds=1)))
    assert view.usable("models") == [server]
    assert view.accepting("models") == []
    assert view.accepts_in("models") == timedelta(seconds=2)
    clock.advance(timedelta(seconds=2))
    assert view.accepting("models") == [server]
    assert view.accepts_in("models") == timedelta()


def test_a_restarted_server_does_not_inherit_a_refusal():
    view = FleetView(ManualClock())
    view.apply(SERVERS_TABLE, read(server_row(3, born=1)), NOW, "store")
    refusing = view.servers["s1"]
    view.apply_notice(refusing, ServerNotice(refuses_for=timedelta(seconds=2)))
    view.apply(SERVERS_TABLE, read(server_row(4, born=2)), NOW, "store")
    assert view.accepting("models") == [view.servers["s1"]]
