"""Values of rows as differences from earlier values."""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

from magnoliatrail.cells.value_differences import apply_difference, difference_of

blocks = st.lists(st.sampled_from([b"{a}", b"{b},", b"{", b"\xff", b"{c", b"", b"}"]))
values = st.one_of(st.binary(max_size=40), blocks.map(b"".join))


def document(routes):
    return json.dumps({"version": len(routes), "routes": routes}).encode()


@settings(derandomize=True)
@given(values, values)
def test_a_value_is_restored_from_its_difference(earlier, value):
    difference = difference_of(7, earlier, value)
    assert difference.base == 7
    assert apply_difference(difference, earlier).ok == value


@settings(derandomize=True)
@given(values, values, values)
def test_a_difference_never_gives_another_value(earlier, value, other):
    found = apply_difference(difference_of(1, earlier, value), other)
    assert found.is_error() or found.ok == value


def test_a_changed_route_costs_its_own_size():
    routes = [{"name": f"route-{n}", "prefix": f"/{n * 7919}/"} for n in range(1400)]
    earlier = document(routes)
    routes[700] = {**routes[700], "timeout_ms": 5}
    routes.append({"name": "new"})
    difference = difference_of(1, earlier, document(routes))
    changed = len(json.dumps([routes[699:701], routes[-2:]]))
    assert sum(len(piece.text) for piece in difference.pieces) <= changed + 40
    assert len(difference.pieces) <= 5


@pytest.mark.parametrize(
    ("start", "length"), [(-1, 3), (0, 10_000), (5, -2), (10**30, 1)]
)
def test_a_piece_out_of_range_is_refused(start, length):
    difference = difference_of(1, b"{a}{b}", b"{a}{c}")
    broken = replace(difference.pieces[0], start=start, length=length)
    refused = apply_difference(replace(difference, pieces=[broken]), b"{a}{b}")
    assert refused.is_error()


def test_text_that_is_no_bytes_is_refused():
    difference = difference_of(1, b"", b"x")
    broken = replace(difference.pieces[0], text="\u20ac")
    assert apply_difference(replace(difference, pieces=[broken]), b"").is_error()
