from datetime import timedelta

import pytest
from tornado.httputil import HTTPHeaders

from magnoliatrail.backends import BackendServer, ServerState
from magnoliatrail.platform.request_headers import (
    deadline_of,
    headers_for_caller,
    headers_for_server,
    is_signed,
    model_work_of,
    not_executed,
    resumed_request_of,
    server_notice,
    shared_parts_of,
)

SERVER = BackendServer(
    id="s1",
    born=1,
    service="models",
    address="10.0.0.1:80",
    failure_domain="z",
    batch_slots=1,
    state=ServerState.READY,
    models=(),
    orders_accepted=0,
)
SECOND = timedelta(seconds=1)


def forwarded(headers, **more):
    return headers_for_server(HTTPHeaders(headers), SERVER, SECOND, **more)


@pytest.mark.parametrize(
    "name",
    [
        "Magnoliatrail-Hold",
        "Magnoliatrail-Pin-Milliseconds",
        "Magnoliatrail-Kv-Cache-Backup",
        "Kv-From",
        "Kv-Fetch",
        "Magnoliatrail-Request-Priority",
        "Magnoliatrail-Expect-Version",
        "Connection",
        "Transfer-Encoding",
        "Keep-Alive",
    ],
)
def test_system_and_hop_by_hop_headers_are_not_forwarded(name):
    assert name not in forwarded({name: "3"})


@pytest.mark.parametrize(
    ("prefix", "shared"),
    [
        ("5c:800,91:410,e4:250", ("5c", "91")),
        ("5c:800,5c:410,e4:250", ("5c",)),
        ("e4:250", ()),
        ("", ()),
        ("5c:800,:4,91,e4:250", ("5c",)),
    ],
)
def test_the_last_part_of_a_prompt_is_not_shared(prefix, shared):
    headers = HTTPHeaders({"Magnoliatrail-Prompt-Prefix": prefix})
    assert shared_parts_of(headers) == shared


def test_a_caller_cannot_set_the_expected_instance():
    fields = forwarded({"Magnoliatrail-Expect-Instance": "forged"})
    assert fields.get_list("Magnoliatrail-Expect-Instance") == ["s1"]


def test_a_connection_header_cannot_remove_protocol_headers():
    fields = forwarded(
        {
            "Connection": "X-Local, Magnoliatrail-Model",
            "X-Local": "1",
            "Magnoliatrail-Model": "m/a1",
        }
    )
    assert "X-Local" not in fields
    assert fields["Magnoliatrail-Model"] == "m/a1"


def test_a_repeated_header_is_forwarded_with_all_values():
    headers = HTTPHeaders()
    headers.add("X-Tag", "1")
    headers.add("X-Tag", "2")
    assert headers_for_server(headers, SERVER, SECOND).get_list("X-Tag") == ["1", "2"]


def test_the_forwarded_deadline_is_the_time_left():
    fields = forwarded({"Magnoliatrail-Deadline-Milliseconds": "9000"})
    assert fields["Magnoliatrail-Deadline-Milliseconds"] == "1000"


@pytest.mark.parametrize("text", ["", "soon", "1e400", "nan"])
def test_an_invalid_deadline_gives_the_default(text):
    headers = HTTPHeaders({"Magnoliatrail-Deadline-Milliseconds": text})
    assert deadline_of(headers) == timedelta(seconds=30)


def test_model_work_is_read_from_the_headers():
    headers = {
        "Magnoliatrail-Model": "m/a3",
        "Magnoliatrail-Token-Counts": "1460,172",
        "Magnoliatrail-Length-Hint": "90",
        "Magnoliatrail-Prompt-Prefix": "5c:800,91:410",
    }
    work = model_work_of(HTTPHeaders(headers))
    assert (work.adapter.model, work.adapter.adapter) == ("m", "a3")
    assert (work.prompt_tokens, work.output_tokens) == (1460, 90)
    assert work.parts == (("5c", 800), ("91", 410))


def test_an_answer_with_a_content_encoding_is_not_signed():
    signed = {"Magnoliatrail-Response-Signature": "x"}
    assert is_signed(HTTPHeaders(signed))
    assert not is_signed(HTTPHeaders({**signed, "Content-Encoding": "gzip"}))


def test_only_explicit_answers_count_as_not_executed():
    assert not_executed(421, HTTPHeaders())
    assert not_executed(503, HTTPHeaders({"Magnoliatrail-Not-Executed": "1"}))
    assert not not_executed(503, HTTPHeaders())


def test_content_length_is_dropped_from_chunked_answers():
    framed = headers_for_caller(HTTPHeaders({"Content-Length": "5", "Keep-Alive": "x"}))
    assert dict(framed.get_all()) == {"Content-Length": "5"}
    chunked = {"Content-Length": "5", "Transfer-Encoding": "chunked"}
    assert "Content-Length" not in headers_for_caller(HTTPHeaders(chunked))


@pytest.mark.parametrize(
    ("fields", "resumed"),
    [
        ({}, None),
        ({"Resumes": "r0", "Last-Event-Id": "3"}, "r0"),
        ({"last-event-id": "3"}, ""),
        ({"resumes": " r0 "}, "r0"),
    ],
)
def test_a_resumed_stream_names_the_request_that_began_it(fields, resumed):
    assert resumed_request_of(HTTPHeaders(fields)) == resumed


def test_a_server_says_in_any_answer_that_it_leaves():
    assert server_notice(SERVER, 200, HTTPHeaders({"Server-Leaving": "1"})).leaving
    assert not server_notice(SERVER, 200, HTTPHeaders()).leaving
    own = HTTPHeaders({"Server-Leaving": "1", "Magnoliatrail-Instance-Id": "s1"})
    assert server_notice(SERVER, 503, own).leaving


def test_what_another_server_at_the_address_says_is_not_applied():
    other = HTTPHeaders({"Server-Leaving": "1", "Magnoliatrail-Instance-Id": "s2"})
    assert not server_notice(SERVER, 421, other).leaving


@pytest.mark.parametrize(
    ("status", "value", "seconds"),
    [
        (503, "2", 2),
        (503, "0.25", 0.25),
        (503, "1e9", 3600),
        (503, "inf", 3600),
        (503, "0", 0),
        (503, "-1", 0),
        (503, "nan", 0),
        (503, "Fri, 04 Dec 2026 08:00:00 GMT", 0),
        (429, "2", 0),
        (200, "2", 0),
    ],
)
def test_only_a_503_asks_for_no_requests_for_a_time(status, value, seconds):
    notice = server_notice(SERVER, status, HTTPHeaders({"Retry-After": value}))
    assert notice.refuses_for == timedelta(seconds=seconds)


@pytest.mark.parametrize(
    ("value", "limit"),
    [
        ("1.6", 1.6),
        ("0", 0.0),
        ("20", 20.0),
        *((text, None) for text in ("", "fast", "-1", "nan", "inf")),
    ],
)
def test_a_server_names_its_request_limit(value, limit):
    headers = HTTPHeaders({"Server-Limit": value})
    assert server_notice(SERVER, 200, headers).requests_per_second == limit


def test_a_server_without_the_header_has_no_request_limit():
    assert server_notice(SERVER, 200, HTTPHeaders()).requests_per_second is None
