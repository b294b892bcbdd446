"""At which service a stream goes on."""

from datetime import timedelta

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from magnoliatrail.forwarding.service_choice import (
    ROUTE_MOVED,
    UNKNOWN_SERVICE,
    UNKNOWN_VERSION,
    NoService,
    service_of_stream,
)
from magnoliatrail.generated.cells import BegunStream, StreamsOfVersion
from magnoliatrail.ids import InstanceId
from magnoliatrail.membership.stream_records import (
    StreamSoftware,
    common_software,
    row_of,
    software_of,
)
from magnoliatrail.routes import Route, RouteKind, ServiceShare
from magnoliatrail.wire import decode, encode


def route(**weights):
    return Route(
        name="r",
        host="h",
        prefix="/",
        kind=RouteKind.STREAMING,
        shares=tuple(ServiceShare(*item) for item in weights.items()),
        time_limit=timedelta(seconds=1),
        goal=timedelta(seconds=1),
        priority=0,
        attempts=1,
        resumable=True,
    )


def choose(found, service="", version="v1", served=()):
    return service_of_stream(
        found,
        StreamSoftware(version, service),
        lambda name, wanted: (name, wanted) in served,
    )


def test_a_stream_goes_on_where_it_began():
    assert choose(route(a=1.0, b=1.0), "b") == "b"


@pytest.mark.parametrize("found", [route(a=1.0), route(a=1.0, b=0.0)])
def test_a_stream_of_a_service_without_the_route_is_refused(found):
    refusal = choose(found, "b")
    assert refusal.reason == ROUTE_MOVED
    assert refusal.retry_after > timedelta()


def test_a_route_whose_shares_have_no_weight_leads_to_its_last_service():
    assert choose(route(a=0.0, b=0.0), "b") == "b"
    assert route(a=0.0, b=0.0).service_for(0.5) == "b"


def test_a_stream_that_nobody_recorded_is_refused():
    assert choose(route(a=1.0), "a", version="").reason == UNKNOWN_VERSION


# Records of the previous release don't name the service.
def test_a_stream_without_a_service_goes_on_where_only_one_can_have_begun_it():
    assert choose(route(a=1.0)) == "a"
    both = route(a=1.0, b=1.0)
    assert choose(both, served={("b", "v1"), ("a", "v2")}) == "b"
    same = choose(both, served={("b", "v1"), ("a", "v1")})
    assert same.reason == UNKNOWN_SERVICE
    assert choose(both).reason == UNKNOWN_SERVICE


# Guards against a stream that goes on at another service than the one that began it.
@given(
    weights=st.dictionaries(
        st.sampled_from("abc"), st.sampled_from([0.0, 1.0]), min_size=1
    ),
    service=st.sampled_from("abc"),
    served=st.sets(st.tuples(st.sampled_from("abc"), st.sampled_from(["v1", "v2"]))),
)
def test_a_known_service_is_the_only_one(weights, service, served):
    found = choose(route(**weights), service, served=served)
    assert isinstance(found, NoService) or found == service


def stream(request, service=msgspec.UNSET, version="v1"):
    return BegunStream(
        request=request, software_version=version, instance="i0", service=service
    )


@pytest.mark.parametrize(
    ("records", "found"),
    [
        ([], None),
        ([("", "v1")], ("", "v1")),
        ([("a", "v1"), ("", "v1")], ("a", "v1")),
        ([("", "v1"), ("a", "v1")], ("a", "v1")),
        ([("a", "v1"), ("b", "v1")], None),
        ([("", "v1"), ("a", "v1"), ("b", "v1")], None),
        ([("a", "v1"), ("a", "v2")], None),
    ],
)
def test_records_of_one_name_agree_or_say_nothing(records, found):
    software = common_software(
        StreamSoftware(version, service) for service, version in records
    )
    assert software == (found and StreamSoftware(found[1], found[0]))


class EarlierVersions(msgspec.Struct):
    """A part of a row as the previous release reads it."""

    software_version: str
    streams: list[str]


class EarlierRow(msgspec.Struct):
    writer: str
    versions: list[EarlierVersions]


# Guards against rows and messages that the build before can't read, or this one of it.
def test_rows_are_read_by_the_build_before_and_after():
    streams = [stream("r1", "a"), stream("r2", "b"), stream("r3")]
    value = encode(row_of(InstanceId("i0"), streams))
    earlier = decode(value, EarlierRow).ok
    assert [item.software_version for item in earlier.versions] == ["v1"] * 3
    again = decode(encode(earlier.versions[0]), StreamsOfVersion).ok
    assert software_of(again) == StreamSoftware("v1")
