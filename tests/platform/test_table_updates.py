"""Table updates between instances: whole, compressed, and as differences."""

import json
from base64 import b64encode
from datetime import timedelta
from zlib import compress

import pytest
from msgspec import UNSET

from magnoliatrail.cells.table_updates import TableUpdateReceiver, TableUpdateSender
from magnoliatrail.clock import ManualClock
from magnoliatrail.generated.cells import (
    InstanceReport,
    RowUpdate,
    TableUpdate,
)
from magnoliatrail.membership.fleet_view import FleetView
from magnoliatrail.membership.table_view import MAX_EARLIER_VALUES
from magnoliatrail.metrics import RecordedMetrics
from magnoliatrail.platform.protocol import OPERATOR_TABLE, SERVERS_TABLE
from magnoliatrail.platform.rows import RowsRead, StoredRow
from magnoliatrail.wire import decode, encode
from tests.platform.rig import configuration, route
from tests.platform.test_views import read, server_row

HELD = f"{OPERATOR_TABLE}/config"


class Pair:
    """An instance that reads the store, and one that gets updates from it."""

    def __init__(self, *, link_mbps=1000.0):
        self.clock = ManualClock()
        self.source = FleetView(self.clock)
        self.sender = TableUpdateSender(
            self.source, self.clock, RecordedMetrics(), link_mbps=link_mbps
        )
        self.peer = FleetView(self.clock)
        self.receiver = TableUpdateReceiver(self.peer)
        none = RowsRead((), 1, whole=True)
        self.source.apply(SERVERS_TABLE, none, self.clock.monotonic(), "store")

    def write(self, version, *, routes=100):
        """Write a configuration in which one route differs in each version."""
        listed = [
            route(f"r{n}", f"/{n}/", "safe", "desk", timeout_ms=100 + n)
            for n in range(routes)
        ]
        listed[version % routes]["timeout_ms"] = version
        value = json.dumps(configuration(version, listed)).encode()
        read = RowsRead((StoredRow("config", version, value),), version, whole=False)
        self.source.apply(OPERATOR_TABLE, read, self.clock.monotonic(), "store")

    def report(self, *, held=None):
        versions = {name: table.version for name, table in self.peer.tables.items()}
        return InstanceReport(
            cell="0",
            instance="peer",
            incarnation="peer-1",
            address="peer:1",
            started=[],
            ended=[],
            running=[],
            full=False,
            store_answers=True,
            leaving=False,
            versions=versions,
            instances_digest=0,
            limits=[],
            held_rows=self.receiver.held_rows() if held is None else held,
        )

    def updates(self, **options):
        report = decode(encode(self.report(**options)), InstanceReport).ok
        return self.sender.since(report)

    def exchange(self, **options):
        """Let the peer apply what it lacks, and return the operator row as sent."""
        updates = self.updates(**options)
        sent = decode(encode(updates), list[TableUpdate]).ok
        self.receiver.apply(sent, self.clock.monotonic(), "source")
        rows = [r for item in sent if item.table == OPERATOR_TABLE for r in item.rows]
        return rows[0] if rows else None


def test_the_first_large_row_is_compressed_and_a_changed_one_is_a_difference():
    pair = Pair()
    pair.write(2)
    first = pair.exchange()
    assert first.compressed
    assert not first.value
    pair.write(3)
    second = pair.exchange()
    assert second.difference.base == 2
    assert pair.peer.routes == pair.source.routes


def test_an_earlier_release_that_names_no_rows_gets_them_whole():
    pair = Pair()
    pair.write(2)
    row = pair.exchange(held=UNSET)
    assert row.value
    assert (row.compressed, row.difference) == (UNSET, UNSET)
    assert pair.peer.routes.version == 2


def test_rows_of_an_earlier_release_are_read():
    """The messages of the release before have neither of the compact forms."""
    pair = Pair()
    pair.write(2)
    value = pair.source.tables[OPERATOR_TABLE].rows["config"].value.decode()
    message = {
        "table": OPERATOR_TABLE,
        "version": 2,
        "age_ms": 0,
        "rows": [{"key": "config", "version": 2, "value": value, "removed": False}],
    }
    update = decode(json.dumps(message).encode(), TableUpdate).ok
    pair.receiver.apply([update], pair.clock.monotonic(), "source")
    assert pair.peer.routes.version == 2


def test_an_instance_that_missed_many_versions_gets_the_row_compressed():
    pair = Pair()
    pair.write(2)
    pair.exchange()
    for version in range(3, 4 + MAX_EARLIER_VALUES):
        pair.write(version)
    assert pair.exchange().compressed
    assert pair.peer.routes == pair.source.routes


def test_a_difference_from_a_row_that_is_not_held_is_replaced_by_the_whole_row():
    pair = Pair()
    pair.write(2)
    pair.write(3)
    pair.clock.advance(timedelta(seconds=1))
    assert pair.exchange(held={HELD: 2}).difference
    assert pair.peer.routes is None
    assert pair.peer.tables[OPERATOR_TABLE].fresh_at is None
    assert pair.exchange().compressed
    assert pair.peer.routes.version == 3


def test_a_row_whose_difference_did_not_fit_is_requested_in_full():
    pair = Pair()
    pair.write(2)
    pair.exchange()
    held = pair.peer.tables[OPERATOR_TABLE]
    held.rows["config"] = StoredRow("config", 2, b"{" * 4000)
    pair.write(3)
    pair.exchange()
    assert (pair.peer.routes.version, held.version) == (2, 2)
    assert HELD not in pair.receiver.held_rows()
    pair.exchange()
    assert pair.peer.routes.version == 3
    assert HELD in pair.receiver.held_rows()


@pytest.mark.parametrize(
    "fields",
    [
        {"compressed": "no base64!"},
        {"compressed": b64encode(b"no zlib").decode()},
        {"compressed": b64encode(compress(b"x" * 100)[:-8]).decode()},
        {"compressed": b64encode(compress(bytes(20_000_000))).decode()},
        {"value": "\u20ac"},
    ],
)
def test_a_row_that_cannot_be_decoded_leaves_the_table_as_it_was(fields):
    pair = Pair()
    pair.write(2)
    pair.exchange()
    row = {"key": "config", "version": 9, "value": "", "removed": False, **fields}
    update = TableUpdate(
        table=OPERATOR_TABLE, version=9, age_ms=0, rows=[RowUpdate(**row)]
    )
    pair.clock.advance(timedelta(seconds=1))
    pair.receiver.apply([update], pair.clock.monotonic(), "source")
    table = pair.peer.tables[OPERATOR_TABLE]
    assert (table.version, table.age(pair.clock.monotonic())) == (
        2,
        timedelta(seconds=1),
    )


# Guards against work in each report that grows with the rows of a table.
def test_a_table_knows_its_large_rows_without_a_search():
    pair = Pair()
    table = pair.source.tables[OPERATOR_TABLE]
    pair.write(2)
    pair.write(3)
    assert table.large_rows == {"config": 3}
    now = pair.clock.monotonic()
    for version, value in ((4, b"{}"), (5, b"x" * 5000), (6, None)):
        row = StoredRow("config", version, value)
        pair.source.apply(OPERATOR_TABLE, read(row), now, "store")
        assert bool(table.large_rows) == (version == 5)


def test_small_rows_and_removals_are_sent_whole():
    pair = Pair()
    gone = StoredRow("s2", 6, None)
    read = RowsRead((server_row(5), gone), 6, whole=False)
    pair.source.apply(SERVERS_TABLE, read, pair.clock.monotonic(), "store")
    sent = next(item for item in pair.updates() if item.table == SERVERS_TABLE)
    assert [(row.removed, bool(row.value)) for row in sent.rows] == [
        (False, True),
        (True, False),
    ]


# Guards against large updates that fill the link, so that all other messages are lost.
def test_large_updates_wait_until_the_link_is_free():
    pair = Pair(link_mbps=0.1)
    pair.write(2, routes=1400)
    sent = 0
    for _ in range(50):
        tables = [item.table for item in pair.updates()]
        sent += OPERATOR_TABLE in tables
        assert SERVERS_TABLE in tables
    assert 1 <= sent < 50
    assert pair.sender.metrics.counters["table_updates.postponed"] == 50 - sent
    pair.clock.advance(timedelta(seconds=10))
    assert OPERATOR_TABLE in [item.table for item in pair.updates()]
