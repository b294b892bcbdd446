"""The checks of a soak run find planted faults, and accept what is allowed."""

from collections import Counter

import pytest

from tests.soak.checks import NamedLimit, Observations, RouteProbe, violations
from tests.soak.processes import Exit
from tests.soak.servers import OrderSeen
from tests.soak.traffic import Ending, Exchange, RequestKind


def exchange(
    kind=RequestKind.UNSAFE,
    *,
    ending=Ending.WHOLE,
    status=200,
    body=b"ok",
    connected_at=10.0,
):
    return Exchange(
        "r1", kind, "one", 10.0, connected_at, 11.0, ending, status, body, b"ok"
    )


def found(**fields):
    return violations(Observations(**fields))


def test_a_run_without_faults_has_no_violations():
    assert found(exchanges=[exchange()], ran=Counter({"r1": 1})) == []


def test_a_truncated_answer_that_looks_complete_is_found():
    (line,) = found(exchanges=[exchange(body=b"o")])
    assert "complete, 1 of 2 bytes" in line


def test_a_truncated_answer_that_looks_truncated_is_allowed():
    assert found(exchanges=[exchange(body=b"o", ending=Ending.TRUNCATED)]) == []


def test_a_second_run_of_an_unsafe_request_is_found():
    (line,) = found(exchanges=[exchange()], ran=Counter({"r1": 2}))
    assert "ran 2 times" in line


def test_a_second_run_of_a_safe_request_is_allowed():
    sent = exchange(RequestKind.SAFE)
    assert found(exchanges=[sent], ran=Counter({"r1": 2})) == []


def test_a_refusal_of_a_request_that_ran_is_found():
    sent = exchange(status=503, body=b"no")
    (line,) = found(exchanges=[sent], ran=Counter({"r1": 1}))
    assert "answered 503 after it ran" in line
    assert found(exchanges=[sent]) == []


def test_a_missing_answer_is_found_unless_its_instance_was_disturbed():
    sent = exchange(ending=Ending.HUNG, status=0)
    (line,) = found(exchanges=[sent], disturbed={"one": [(1.0, 9.0)]})
    assert "hung at one" in line
    assert found(exchanges=[sent], disturbed={"one": [(10.5, 10.6)]}) == []


def test_a_kept_connection_may_have_ended_with_its_process():
    disturbed = {"one": [(1.0, 9.0)]}
    closed = exchange(ending=Ending.CLOSED, status=0, connected_at=0.5)
    assert found(exchanges=[closed], disturbed=disturbed) == []
    hung = exchange(ending=Ending.HUNG, status=0, connected_at=0.5)
    assert len(found(exchanges=[hung], disturbed=disturbed)) == 1
    newer = exchange(ending=Ending.CLOSED, status=0, connected_at=9.5)
    assert len(found(exchanges=[newer], disturbed=disturbed)) == 1


def test_two_owners_with_one_fencing_number_are_found():
    orders = {"e": [OrderSeen(1.0, "one", 5), OrderSeen(2.0, "two", 5)]}
    (line,) = found(orders=orders)
    assert "with one number" in line


def test_a_falling_fencing_number_is_found_unless_the_order_was_held_up():
    orders = {"e": [OrderSeen(1.0, "two", 6), OrderSeen(2.0, "one", 5)]}
    (line,) = found(orders=orders)
    assert "after number 6 of two" in line
    assert len(found(orders=orders, delays={"two": [(1.5, 2.5)]})) == 1
    assert found(orders=orders, delays={"one": [(1.5, 2.5)]}) == []


def test_a_crashed_engine_is_found():
    assert len(found(crashed=["engine-0"])) == 1


def test_a_process_that_ends_badly_or_not_at_all_is_found():
    exits = [
        Exit("one", 0),
        Exit("two", None, paused=True),
        Exit("three", -15, started=False),
    ]
    assert found(exits=exits) == []
    (line,) = found(exits=[Exit("one", None)])
    assert "ended with None" in line


def test_a_fault_in_a_log_is_found():
    lines = ["part=tasks event=task_failed work=x", "part=daemon event=started"]
    assert len(found(log_lines=lines)) == 1


def crashing_requests(*sent_at):
    return [
        Exchange(
            f"bad-{number}",
            RequestKind.STREAM,
            "one",
            at,
            at,
            at + 1,
            Ending.TRUNCATED,
            200,
            b"",
            b"",
        )
        for number, at in enumerate(sent_at)
    ]


def found_after_crashes(*sent_at, disturbed=None):
    exchanges = crashing_requests(*sent_at)
    arrivals = [(item.sent_at, item.request) for item in exchanges]
    return found(
        exchanges=exchanges,
        arrivals={"engine": arrivals},
        crashing_parts={"bad"},
        part_crashes=[1.0, 2.0, 3.0, 4.0, 5.0],
        disturbed=disturbed or {},
    )


def test_requests_with_a_part_that_crashed_five_engines_are_found():
    assert len(found_after_crashes(8.1, 8.2, 8.3, 8.4)) == 4


def test_some_late_requests_with_a_crashing_part_are_allowed():
    assert found_after_crashes(7.0, 7.5, 7.9, 8.1, 8.2, 8.3) == []


def test_late_requests_of_an_instance_that_was_paused_are_allowed():
    disturbed = {"one": [(5.5, 6.0)]}
    assert found_after_crashes(8.1, 8.2, 8.3, 8.4, disturbed=disturbed) == []


def found_at_limit(*arrived_at, delays=None):
    exchanges = crashing_requests(*arrived_at)
    arrivals = [(item.sent_at, item.request) for item in exchanges]
    return found(
        exchanges=exchanges,
        arrivals={"engine": arrivals},
        limits=[NamedLimit("engine", 0.0, 20.0, 1.0)],
        delays=delays or {},
    )


def test_an_exceeded_limit_is_found():
    (line,) = found_at_limit(*(5 + number / 10 for number in range(12)))
    assert "12 requests in a window, 11.0 allowed" in line


def test_a_kept_limit_and_requests_before_it_was_known_are_allowed():
    assert found_at_limit(*(1 + number / 10 for number in range(12))) == []
    assert found_at_limit(*(5 + number / 10 for number in range(11))) == []


def test_requests_that_a_link_held_up_are_allowed():
    arrived = [5 + number / 10 for number in range(12)]
    assert found_at_limit(*arrived, delays={"engine": [(4.0, 7.0)]}) == []


def probe(*, status=404, written_at=10.0):
    return RouteProbe("added-1", "one", written_at, written_at + 2.0, status)


def test_a_route_that_is_unknown_after_the_bound_is_found():
    assert len(found(route_probes=[probe()])) == 1
    assert found(route_probes=[probe(status=503)]) == []


@pytest.mark.parametrize("disturbed", [(7.5, 8.0), (11.0, 20.0)])
def test_an_instance_or_store_that_was_disturbed_excuses_an_unknown_route(disturbed):
    for more in ({"disturbed": {"one": [disturbed]}}, {"store_disturbed": [disturbed]}):
        assert found(route_probes=[probe()], **more) == []


def arrived(at, *, instance="one", request="late"):
    """Return a request and its arrival at a run of a server."""
    sent = Exchange(request, RequestKind.SAFE, instance, at, at, at + 0.1)
    sent.ending, sent.status, sent.body, sent.expected = Ending.WHOLE, 200, b"ok", b"ok"
    return sent, {"s run 1": [(at, request)]}


def test_a_request_to_a_server_whose_row_said_long_before_that_it_leaves_is_found():
    sent, arrivals = arrived(14.0)
    seen = {"exchanges": [sent], "arrivals": arrivals}
    (line,) = found(unlisted_at={"s run 1": 11.0}, **seen)
    assert "reached s run 1 from one 3.00 s after its row" in line
    assert found(unlisted_at={"s run 1": 12.5}, **seen) == []
    assert found(unlisted_at={"s run 2": 11.0}, **seen) == []


@pytest.mark.parametrize(
    "excuse",
    [
        {"disturbed": {"one": [(12.0, 12.1)]}},
        {"delays": {"s run 1": [(13.0, 13.5)]}},
        {"store_disturbed": [(9.0, 9.5)]},
    ],
)
def test_a_late_request_is_allowed_after_a_disturbance(excuse):
    sent, arrivals = arrived(14.0)
    late = {"exchanges": [sent], "arrivals": arrivals, "unlisted_at": {"s run 1": 11.0}}
    assert found(**late, **excuse) == []


def test_a_request_from_an_instance_that_had_heard_of_the_departure_is_found():
    first, arrivals = arrived(11.0, request="first")
    late, more = arrived(13.5)
    arrivals["s run 1"] += more["s run 1"]
    seen = {"arrivals": arrivals, "said_at": {"s run 1": 10.0}}
    (line,) = found(exchanges=[first, late], **seen)
    assert "late: reached s run 1 from one 2.40 s after an answer" in line
    late.instance = "two"
    assert found(exchanges=[first, late], **seen) == []
    late.instance = "one"
    restarted = {"one": [(12.0, 12.5)]}
    assert found(exchanges=[first, late], disturbed=restarted, **seen) == []
