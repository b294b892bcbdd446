import json
from datetime import timedelta

from hypothesis import given, settings
from hypothesis import strategies as st

from magnoliatrail.backends import ServerState
from magnoliatrail.clock import ManualClock
from magnoliatrail.membership.fleet_view import RELISTED_WITHIN, FleetView
from magnoliatrail.membership.table_view import TableView
from magnoliatrail.platform.protocol import OPERATOR_TABLE, SERVERS_TABLE
from magnoliatrail.platform.rows import RowsRead, StoredRow
from tests.platform.rig import configuration

NOW = timedelta(seconds=1)


def server_row(version, *, state="ready", born=1, key="s1", **more):
    body = {
        "service": "models",
        "address": "10.0.0.1:80",
        "zone": "z",
        "state": state,
        "born": born,
        **more,
    }
    return StoredRow(key, version, json.dumps(body).encode())


def read(*rows, whole=False, version=None):
    return RowsRead(rows, version or max(row.version for row in rows), whole)


reads = st.lists(
    st.tuples(st.sampled_from("abc"), st.integers(1, 50), st.booleans()), max_size=8
)


@settings(derandomize=True)
@given(st.lists(st.tuples(reads, st.booleans(), st.integers(1, 60)), max_size=12))
def test_no_row_and_no_version_ever_goes_back(history):
    view = TableView()
    newest = {}
    for number, (rows, whole, version) in enumerate(history):
        taken = tuple(
            StoredRow(key, at, None if gone else f"{key}{at}".encode())
            for key, at, gone in rows
        )
        before = view.version
        view.take(RowsRead(taken, version, whole), timedelta(seconds=number))
        assert view.version >= before
        for key, row in view.rows.items():
            assert row.version >= newest.get(key, 0)
            newest[key] = row.version


def test_a_whole_read_drops_what_it_no_longer_lists():
    view = TableView()
    view.take(read(StoredRow("a", 3, b"x"), StoredRow("b", 4, b"y")), NOW)
    news = view.take(read(StoredRow("b", 4, b"y"), whole=True, version=9), NOW)
    assert news == [StoredRow("a", 9, None)]


def test_a_whole_read_that_is_older_does_not_drop_a_newer_row():
    view = TableView()
    view.take(read(StoredRow("a", 12, b"x")), NOW)
    assert not view.take(RowsRead((), 9, whole=True), NOW)
    assert view.rows["a"].value == b"x"


def test_rows_whose_writer_only_counted_are_not_passed_on():
    view = FleetView(ManualClock())
    view.take(SERVERS_TABLE, read(server_row(3, sequence=1)), NOW, "store")
    view.take(SERVERS_TABLE, read(server_row(8, sequence=2)), NOW, "store")
    assert not view.tables[SERVERS_TABLE].since(3).rows
    view.take(SERVERS_TABLE, read(server_row(9, state="draining")), NOW, "store")
    assert [row.version for row in view.tables[SERVERS_TABLE].since(8).rows] == [9]


def test_a_server_that_leaves_gets_no_more_requests():
    view = FleetView(ManualClock())
    view.take(SERVERS_TABLE, read(server_row(3)), NOW, "store")
    assert [server.id for server in view.usable("models")] == ["s1"]
    view.take(SERVERS_TABLE, read(server_row(4, state="draining")), NOW, "store")
    assert not view.usable("models")
    assert view.servers["s1"].state is ServerState.LEAVING


def test_a_row_that_cannot_be_read_names_no_server_and_the_others_hold():
    view = FleetView(ManualClock())
    broken = [
        StoredRow("b1", 4, b"\xff\x00"),
        StoredRow("b2", 5, b"[]"),
        server_row(6, key="b3", state="dreaming"),
        server_row(7, key="b4", born="yesterday"),
        server_row(8, key="b5", address="nowhere"),
    ]
    view.take(SERVERS_TABLE, read(server_row(3), *broken), NOW, "store")
    assert list(view.servers) == ["s1"]


def test_the_same_id_born_again_is_another_server():
    view = FleetView(ManualClock())
    view.take(SERVERS_TABLE, read(server_row(3, born=1)), NOW, "store")
    first = view.servers["s1"].key
    view.take(SERVERS_TABLE, read(server_row(4, born=2)), NOW, "store")
    assert view.servers["s1"].key != first


def fail_for(view, clock, duration):
    """Let the store fail its reads for a while."""
    clock.advance(duration / 2)
    view.tables[SERVERS_TABLE].failed_at = clock.monotonic()
    clock.advance(duration / 2)


def test_a_server_that_lapsed_with_the_store_away_stays_for_a_while():
    clock = ManualClock()
    view = FleetView(clock)
    view.take(SERVERS_TABLE, read(server_row(3)), clock.monotonic(), "store")
    fail_for(view, clock, timedelta(seconds=6))
    gone = StoredRow("s1", 9, None)
    view.take(SERVERS_TABLE, read(gone), clock.monotonic(), "store")
    assert view.usable("models")
    clock.advance(RELISTED_WITHIN)
    assert not view.usable("models")


def test_a_server_that_lapsed_and_is_listed_again_stays():
    clock = ManualClock()
    view = FleetView(clock)
    view.take(SERVERS_TABLE, read(server_row(3)), clock.monotonic(), "store")
    fail_for(view, clock, timedelta(seconds=6))
    view.take(SERVERS_TABLE, read(StoredRow("s1", 9, None)), clock.monotonic(), "store")
    view.take(SERVERS_TABLE, read(server_row(11)), clock.monotonic(), "store")
    clock.advance(RELISTED_WITHIN * 2)
    assert view.usable("models")


def test_a_server_that_is_removed_while_news_is_late_is_gone_at_once():
    """The peer that passes news on was turned away; the store served all others."""
    clock = ManualClock()
    view = FleetView(clock)
    view.take(SERVERS_TABLE, read(server_row(3)), clock.monotonic(), "store")
    clock.advance(timedelta(seconds=2.2))
    view.take(SERVERS_TABLE, read(StoredRow("s1", 9, None)), clock.monotonic(), "store")
    assert not view.usable("models")


def test_an_outage_long_past_says_nothing_of_a_server_that_is_removed_now():
    clock = ManualClock()
    view = FleetView(clock)
    view.take(SERVERS_TABLE, read(server_row(3)), clock.monotonic(), "store")
    fail_for(view, clock, timedelta(seconds=6))
    view.take(SERVERS_TABLE, read(server_row(5)), clock.monotonic(), "store")
    clock.advance(timedelta(seconds=2.2))
    view.take(SERVERS_TABLE, read(StoredRow("s1", 9, None)), clock.monotonic(), "store")
    assert not view.usable("models")


def test_a_server_that_is_removed_while_the_store_answers_is_gone_at_once():
    clock = ManualClock()
    view = FleetView(clock)
    view.take(SERVERS_TABLE, read(server_row(3)), clock.monotonic(), "store")
    clock.advance(timedelta(seconds=0.7))
    view.take(SERVERS_TABLE, read(StoredRow("s1", 9, None)), clock.monotonic(), "store")
    assert not view.usable("models")


def test_an_older_configuration_never_comes_back():
    view = FleetView(ManualClock())
    new, old = (json.dumps(configuration(number)).encode() for number in (9, 7))
    view.take(OPERATOR_TABLE, read(StoredRow("config", 5, new)), NOW, "store")
    view.take(OPERATOR_TABLE, read(StoredRow("config", 6, old)), NOW, "peer")
    assert view.routes.version == 9


def test_a_configuration_that_cannot_be_read_leaves_the_last_in_force():
    view = FleetView(ManualClock())
    good = json.dumps(configuration(3)).encode()
    view.take(OPERATOR_TABLE, read(StoredRow("config", 5, good)), NOW, "store")
    view.take(OPERATOR_TABLE, read(StoredRow("config", 6, b"{}")), NOW, "store")
    assert view.routes.version == 3


def test_the_longest_prefix_wins_and_the_port_of_the_host_does_not_count():
    view = FleetView(ManualClock())
    table = configuration(3)
    table["routes"].append(
        {**table["routes"][0], "name": "deep", "prefix": "/stream/d/"}
    )
    row = StoredRow("config", 5, json.dumps(table).encode())
    view.take(OPERATOR_TABLE, read(row), NOW, "store")
    routes = view.routes
    assert routes.match("APP.example:8080", "/stream/d/x").name == "deep"
    assert routes.match("app.example", "/stream/x").name == "stream"
    assert routes.match("app.example", "/streams") is None
    assert routes.match("other.example", "/stream/x") is None
