from datetime import timedelta

import pytest
from tornado.httputil import HTTPHeaders

from magnoliatrail.backends import BackendServer, ServerState
from magnoliatrail.platform.request_headers import (
    deadline_of,
    for_caller,
    for_server,
    is_signed,
    model_work_of,
    not_executed,
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


def passed(headers, **more):
    return for_server(HTTPHeaders(headers), SERVER, SECOND, **more)


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
def test_what_is_the_systems_or_one_connections_is_not_passed_on(name):
    assert name not in passed({name: "3"})


def test_a_caller_cannot_name_the_server_that_is_expected():
    fields = passed({"Magnoliatrail-Expect-Instance": "forged"})
    assert fields.get_list("Magnoliatrail-Expect-Instance") == ["s1"]


def test_headers_that_the_connection_names_are_dropped_but_not_the_protocols_own():
    fields = passed(
        {
            "Connection": "X-Local, Magnoliatrail-Model",
            "X-Local": "1",
            "Magnoliatrail-Model": "m/a1",
        }
    )
    assert "X-Local" not in fields
    assert fields["Magnoliatrail-Model"] == "m/a1"


def test_a_repeated_header_is_passed_on_with_all_its_values():
    headers = HTTPHeaders()
    headers.add("X-Tag", "1")
    headers.add("X-Tag", "2")
    assert for_server(headers, SERVER, SECOND).get_list("X-Tag") == ["1", "2"]


def test_the_deadline_is_what_is_left():
    fields = passed({"Magnoliatrail-Deadline-Milliseconds": "9000"})
    assert fields["Magnoliatrail-Deadline-Milliseconds"] == "1000"


@pytest.mark.parametrize("text", ["", "soon", "1e400", "nan"])
def test_a_deadline_that_is_no_number_gives_the_default(text):
    headers = HTTPHeaders({"Magnoliatrail-Deadline-Milliseconds": text})
    assert deadline_of(headers) == timedelta(seconds=30)


def test_the_work_of_a_request():
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


def test_an_answer_with_a_coding_is_not_the_servers():
    signed = {"Magnoliatrail-Response-Signature": "x"}
    assert is_signed(HTTPHeaders(signed))
    assert not is_signed(HTTPHeaders({**signed, "Content-Encoding": "gzip"}))


def test_only_what_says_so_did_not_run():
    assert not_executed(421, HTTPHeaders())
    assert not_executed(503, HTTPHeaders({"Magnoliatrail-Not-Executed": "1"}))
    assert not not_executed(503, HTTPHeaders())


def test_the_caller_gets_the_length_of_a_framed_answer_only():
    framed = for_caller(HTTPHeaders({"Content-Length": "5", "Keep-Alive": "x"}))
    assert dict(framed.get_all()) == {"Content-Length": "5"}
    chunked = {"Content-Length": "5", "Transfer-Encoding": "chunked"}
    assert "Content-Length" not in for_caller(HTTPHeaders(chunked))
