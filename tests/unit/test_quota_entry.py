"""Charges of requests at the entry, before a stand-in of the quotas."""

import asyncio
from dataclasses import dataclass, field
from datetime import timedelta

import logbook
import pytest
from tornado.httputil import HTTPHeaders

from magnoliatrail.accounts.accounts import ClientAccount, Quota, QuotaUnit
from magnoliatrail.clock import ManualClock
from magnoliatrail.forwarding.head_check import HeadAnswer
from magnoliatrail.forwarding.quotas import QuotaEntry
from magnoliatrail.forwarding.request import CallerRequest, RelayOrigin
from magnoliatrail.platform.request_headers import token_count_of
from tests.unit.test_head_check import CLOSED

REQUESTS = Quota(5.0, 5.0, QuotaUnit.REQUESTS, 0.0)
TOKENS = Quota(5.0, 5.0, QuotaUnit.TOKENS, 200.0)


@dataclass(frozen=True)
class FakeRefusal:
    status: int
    reason: str
    retry_after: timedelta


@dataclass
class FakeQuotas:
    """Admit every request, or refuse every one."""

    refusal: FakeRefusal | None = None
    asked: list = field(default_factory=list)
    returned: list = field(default_factory=list)

    async def admit(self, account, cost, *, priority, wait_until):
        self.asked.append((account.name, cost, priority, wait_until))
        return self.refusal or f"charge-{len(self.asked)}"

    def give_back(self, charge):
        self.returned.append(charge)


def request(quota=REQUESTS, headers=None, **more):
    account = ClientAccount("alice", quota=quota)
    fields = HTTPHeaders(headers or {})
    options = {"received_at": timedelta(seconds=3), "account": account, **more}
    return CallerRequest(None, "POST", "/closed", fields, **options)


def entry(refusal=None):
    return QuotaEntry(ManualClock(), FakeQuotas(refusal))


@pytest.mark.parametrize(
    ("text", "count"),
    [
        ("100,20", 120),
        (" 100 , 20 ", 120),
        ("0,0", 0),
        (None, None),
        *((text, None) for text in ("", "100", "100,", ",20", "x,20", "1,2,3")),
        *((text, None) for text in ("-1,2", "1.5,2", "1,1e3", "9" * 5000 + ",1")),
    ],
)
def test_the_token_count_is_the_sum_of_two_numbers(text, count):
    headers = {} if text is None else {"Magnoliatrail-Token-Counts": text}
    assert token_count_of(HTTPHeaders(headers)) == count


# Guards against requests that cost nothing, as their header cannot be read.
@pytest.mark.parametrize(
    ("quota", "text", "cost"),
    [
        (REQUESTS, "100,20", 1.0),
        (TOKENS, "100,20", 120.0),
        (TOKENS, "soon", 200.0),
        (TOKENS, None, 200.0),
    ],
)
def test_a_request_is_charged_in_the_unit_of_its_quota(run, quota, text, cost):
    headers = {} if text is None else {"Magnoliatrail-Token-Counts": text}
    found = entry()
    assert run(found.admit(request(quota, headers), CLOSED)) == "charge-1"
    wait_until = timedelta(seconds=3.8)
    assert found.quotas.asked == [("alice", cost, CLOSED.priority, wait_until)]


@pytest.mark.parametrize(
    "sent",
    [request(None), request(account=None), request(origin=RelayOrigin("", 1, "alice"))],
    ids=["no limit", "no account", "relayed"],
)
def test_other_requests_are_not_charged(run, sent):
    found = entry()
    assert run(found.admit(sent, CLOSED)) is None
    assert found.quotas.asked == []


@pytest.mark.parametrize("status", [429, 503])
def test_a_refusal_is_answered_with_its_time_rounded_up(run, status):
    refusal = FakeRefusal(status, "used up", timedelta(milliseconds=251))
    answer = run(entry(refusal).admit(request(), CLOSED))
    after = timedelta(milliseconds=260)
    assert answer == HeadAnswer(status, "used up", after)


# Guards against an account that pays for what never ran, or gets back what did.
@pytest.mark.parametrize(("runs", "returned"), [(0, ["c"]), (1, []), (2, [])])
def test_the_charge_is_given_back_if_no_server_ran_the_request(runs, returned):
    found = entry()
    found.settle(request(runs=runs), "c")
    found.settle(request(runs=runs), None)
    assert found.quotas.returned == returned


# Guards against a log that refusals fill, and against refusals that no line counts.
def test_refusals_are_logged_20_times_a_second_for_each_reason(run):
    used_up, unknown = (
        FakeRefusal(429, "used up", timedelta(seconds=1)),
        FakeRefusal(503, "unknown", timedelta(seconds=1)),
    )
    found = entry(used_up)

    async def refuse(count):
        for _ in range(count):
            await found.admit(request(), CLOSED)

    with logbook.TestHandler() as logged:
        asyncio.run(refuse(50))
        found.quotas.refusal = unknown
        asyncio.run(refuse(5))
        found.line_limit.clock.advance(timedelta(seconds=1))
        found.quotas.refusal = used_up
        asyncio.run(refuse(2))
    lines = [item.message for item in logged.records]
    assert len(lines) == 20 + 5 + 2
    assert [line for line in lines if "omitted=30" in line] == [lines[25]]
    assert "event=quota_refused" in lines[0] and "account=alice" in lines[0]
