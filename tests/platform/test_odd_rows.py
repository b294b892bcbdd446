"""Rows of other writers that describe nothing usable, among sound ones."""

import asyncio
import json
from datetime import timedelta

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from magnoliatrail.cells.fleet_layout import LAYOUT_KEY, layout_of
from magnoliatrail.cells.lease import owner_row
from magnoliatrail.clock import ManualClock
from magnoliatrail.connections import ConnectionPool
from magnoliatrail.generated.cells import LayoutRow
from magnoliatrail.ids import CellId
from magnoliatrail.membership.fleet_view import FleetView
from magnoliatrail.membership.store_reader import StoreReader
from magnoliatrail.platform.configuration_rows import (
    decode_configuration,
    decode_version,
)
from magnoliatrail.platform.protocol import SERVERS_TABLE
from magnoliatrail.platform.rows import StoredRow
from magnoliatrail.platform.server_rows import decode_server
from magnoliatrail.wire import CallFailed, decode
from tests.platform.rig import configuration, route
from tests.platform.test_table_updates import Pair
from tests.platform.test_views import NOW, read, server_row

DEPTH = 100_000
NESTED = b"[" * DEPTH + b"]" * DEPTH
SERVER = json.loads(server_row(1).value)


def with_nested(document, field):
    """Return a JSON object with one more field, which is nested very deeply."""
    return (
        json.dumps(document).encode()[:-1]
        + b', "%s": ' % field.encode()
        + NESTED
        + b"}"
    )


def address(text):
    return json.dumps({**SERVER, "address": text}).encode()


ODD_SERVERS = {
    "nested in a field that is not read": with_nested(SERVER, "x"),
    "nested in a field that is read": with_nested(SERVER, "models"),
    "duration too large": json.dumps({**SERVER, "remaining_ms": 1e300}).encode(),
    "negative duration": json.dumps({**SERVER, "remaining_ms": -1}).encode(),
    "start beyond 64 bits": json.dumps({**SERVER, "born": 10**30}).encode(),
    "sequence beyond 64 bits": json.dumps({**SERVER, "sequence": 2**64}).encode(),
    "negative slots": json.dumps({**SERVER, "slots": -5}).encode(),
    "too many slots": json.dumps({**SERVER, "slots": 10**18}).encode(),
    "port out of range": address("10.0.0.1:99999"),
    "port 0": address("10.0.0.1:0"),
    "port in other digits": address("10.0.0.1:\u0661\u0662"),
    "port of many digits": address("10.0.0.1:" + "9" * 5000),
    "line break as host": address("\n:80"),
    "NUL in the host": address("10.0.0.1\0:80"),
    "a name as host": address("server.example:80"),
}


@pytest.mark.parametrize("value", ODD_SERVERS.values(), ids=ODD_SERVERS.keys())
def test_an_odd_server_row_is_refused(value):
    assert decode_server("s1", value).is_error()


def test_an_adapter_with_a_version_of_many_digits_has_none():
    models = [{"name": "base", "adapters": ["a@" + "9" * 5000, "b@7"]}]
    server = decode_server("s1", json.dumps({**SERVER, "models": models}).encode()).ok
    assert [adapter.version for adapter in server.models[0].adapters] == [0, 7]


@pytest.mark.parametrize(
    "value",
    [
        with_nested(configuration(), "x"),
        json.dumps(
            configuration(routes=[route("r", "/", "safe", "desk", gap_target_ms=1e300)])
        ).encode(),
        json.dumps(configuration(version=10**30)).encode(),
    ],
    ids=["nested", "duration too large", "version beyond 64 bits"],
)
def test_an_odd_configuration_is_refused(value):
    assert decode_configuration(value).is_error()


def test_an_odd_adapter_version_is_refused():
    assert decode_version("version/base/a", with_nested({"model": "m"}, "x")) is None


ODD_VALUES = [
    *(None, True, -1, 0, 2**63, 10**30, -1e300, 1e300, float("inf"), float("nan")),
    *("", "a", "@", "a@" + "9" * 5000, "10.0.0.1:80", "10.0.0.1:99999", "ready"),
    *([], [None], [["a"]], ["a@1"], {}, {"name": "m"}, {"name": 1, "adapters": 7}),
    *([{"name": "m", "adapters": ["a@" + "9" * 5000, "@", ""]}],),
]
FIELDS = [*SERVER, "slots", "sequence", "models", "remaining_ms", "version"]


@settings(derandomize=True, max_examples=300)
@given(st.dictionaries(st.sampled_from(FIELDS), st.sampled_from(ODD_VALUES)))
def test_no_row_raises(fields):
    value = json.dumps({**SERVER, **fields}).encode()
    for decoder in (decode_server, decode_version):
        decoder("version/x", value)
    decode_configuration(value)


# Guards against lost servers: the version of the table had moved on before the rows
# were decoded, so that rows behind an odd one were skipped until written again.
@pytest.mark.parametrize("value", ODD_SERVERS.values(), ids=ODD_SERVERS.keys())
def test_rows_behind_an_odd_one_are_applied(value):
    view = FleetView(ManualClock())
    odd = StoredRow("odd", 4, value)
    view.apply(
        SERVERS_TABLE,
        read(server_row(3, key="s1"), odd, server_row(5, key="s2")),
        NOW,
        "store",
    )
    assert sorted(view.servers) == ["s1", "s2"]
    assert view.tables[SERVERS_TABLE].version == 5


def test_rows_that_fail_to_apply_are_read_again(monkeypatch):
    view = FleetView(ManualClock())
    rows = read(server_row(3, key="s1"), server_row(5, key="s2"))

    def fail(*arguments, **options):
        raise RuntimeError("a fault in the code that applies a row")

    with monkeypatch.context() as patched:
        patched.setattr(view.server_list, "apply_row", fail)
        with pytest.raises(RuntimeError):
            view.apply(SERVERS_TABLE, rows, NOW, "store")
    assert view.tables[SERVERS_TABLE].fresh_at is None
    view.apply(SERVERS_TABLE, rows, NOW, "store")
    assert sorted(view.servers) == ["s1", "s2"]


# Guards against one more reader of the store each time that a row cannot be applied.
def test_a_follower_that_fails_ends_the_other_one(run):
    async def scenario():
        reader = StoreReader(
            clock=ManualClock(),
            store=None,
            view=FleetView(ManualClock()),
            read_due_in=None,
        )
        running = []

        async def follow(table, wait, pause):
            running.append(table)
            try:
                if table == SERVERS_TABLE:
                    raise RuntimeError("a fault in one follower")
                await asyncio.sleep(60)
            finally:
                running.remove(table)

        reader.follow = follow
        with pytest.raises(ExceptionGroup):
            await reader.run()
        assert not running

    run(scenario())


def test_an_odd_row_that_an_owner_passes_on_stops_no_receiver():
    pair = Pair()
    rows = [server_row(3, key="s1"), server_row(5, key="s2")]
    odd = StoredRow("odd", 4, ODD_SERVERS["nested in a field that is not read"])
    now = pair.clock.monotonic()
    pair.source.apply(SERVERS_TABLE, read(rows[0], odd, rows[1]), now, "store")
    pair.write(6)
    pair.exchange()
    assert sorted(pair.peer.servers) == ["s1", "s2"]
    assert pair.peer.routes.version == 6


def test_a_message_that_is_nested_too_deeply_is_refused():
    assert decode(b'{"cells": ' + NESTED + b"}", LayoutRow).is_error()


@pytest.mark.parametrize(
    "value", [NESTED, b"\xff", b"{}", b'{"cells": -1}', b'{"cells": 1000000}']
)
def test_an_odd_layout_is_none(value):
    assert layout_of(read(StoredRow(LAYOUT_KEY, 3, value))) is None


def test_an_odd_owner_row_names_no_owner_and_keeps_its_version():
    row = StoredRow("owner/0", 3, b'{"owner": ' + NESTED + b"}")
    assert owner_row(read(row), CellId("0")) == (None, 3)


@pytest.mark.parametrize(
    "address", ["127.0.0.1:99999", "127.0.0.1:-1", "a\0b:80", "\ud800:80", ":", ""]
)
def test_a_connection_to_an_impossible_address_fails_as_not_sent(run, address):
    async def scenario():
        pool = ConnectionPool(ManualClock().monotonic)
        with pytest.raises(CallFailed) as failed:
            await pool.open(address, timedelta(seconds=1))
        assert not failed.value.sent

    run(scenario())
