import pytest
from benchmarks.capacity.figures import permit_load
from benchmarks.marked_cuckoo_filter import MarkedCuckooFilter, buckets_for
from benchmarks.slopes.fit import fit_slope
from hypothesis import given, settings
from hypothesis import strategies as st

SET_COUNT = 5
names = st.sets(st.text("abcdefgh", min_size=4, max_size=8), min_size=1, max_size=40)


def test_a_line_is_fitted_exactly():
    slope = fit_slope("cost", "item", "B", (1, 10, 100), lambda size: 7 + 3 * size)
    assert slope.slope == pytest.approx(3)
    assert slope.intercept == pytest.approx(7)
    assert slope.r_squared == pytest.approx(1)
    assert slope.worst_residual == pytest.approx(0, abs=1e-9)


def test_two_sizes_make_no_slope():
    with pytest.raises(ValueError, match="three sizes"):
        fit_slope("cost", "item", "B", (1, 10), float)


@settings(derandomize=True, max_examples=30)
@given(names)
def test_a_decoded_filter_finds_every_element(elements):
    buckets = buckets_for(len(elements))
    cuckoo_filter = MarkedCuckooFilter(buckets, SET_COUNT)
    for element in elements:
        assert cuckoo_filter.add(element, 0b101)
    decoded = MarkedCuckooFilter.decode(cuckoo_filter.encode(), buckets, SET_COUNT)
    assert all(decoded.marks(element) & 0b101 == 0b101 for element in elements)


def test_an_aggregate_names_every_set_that_holds_an_element():
    one, other = MarkedCuckooFilter(8, SET_COUNT), MarkedCuckooFilter(8, SET_COUNT)
    one.add("shared", 0b001)
    other.add("shared", 0b010)
    other.add("own", 0b010)
    assert one.aggregate(other)
    assert (one.marks("shared"), one.marks("own")) == (0b011, 0b010)


def test_a_removed_element_is_gone_from_its_set_only():
    cuckoo_filter = MarkedCuckooFilter(8, SET_COUNT)
    cuckoo_filter.add("element", 0b011)
    cuckoo_filter.remove("element", 0b001)
    assert cuckoo_filter.marks("element") == 0b010
    cuckoo_filter.remove("element", 0b010)
    assert cuckoo_filter.marks("element") == 0


def test_longer_permit_lifetimes_need_fewer_permit_requests():
    short, long = permit_load(30.0, 60.0), permit_load(30.0, 6_000.0)
    assert short.requested_per_second > long.requested_per_second
    assert short.held < long.held
    assert long.requested_per_second < 30.0
