"""Bodies in flight to one server, which crashes if it holds too much."""

import pytest

from magnoliatrail.forwarding.bytes_in_flight import MAX_BYTES_PER_SERVER, BytesInFlight


def test_the_bound_is_a_share_of_a_small_budget():
    assert BytesInFlight(40_000_000).limit == 10_000_000
    assert BytesInFlight(1_000_000_000).limit == MAX_BYTES_PER_SERVER


def test_bodies_to_one_server_are_bounded_and_given_back():
    in_flight = BytesInFlight(40)
    with in_flight.hold("a", 6):
        assert in_flight.has_room("a", 4)
        assert not in_flight.has_room("a", 5)
        assert in_flight.has_room("b", 10)
    assert in_flight.has_room("a", 10)
    assert not in_flight.held


def test_a_single_body_is_always_sent():
    assert BytesInFlight(40).has_room("a", 1000)


def test_a_body_is_given_back_if_its_request_fails():
    in_flight = BytesInFlight(40)
    with pytest.raises(ValueError, match="x"), in_flight.hold("a", 6):
        raise ValueError("x")
    assert not in_flight.held
