"""Requests that the last check withholds, and answers from the head alone."""

import asyncio
from dataclasses import dataclass, field
from datetime import timedelta

import logbook
import pytest
from tornado.httputil import HTTPHeaders

from magnoliatrail.forwarding.attempt import Attempt
from magnoliatrail.forwarding.context import RoutedRequest
from magnoliatrail.forwarding.relay import (
    ACCOUNT,
    as_server,
    relay_check,
    relay_origin,
)
from magnoliatrail.forwarding.request import CallerRequest
from magnoliatrail.metrics_text import TextMetrics
from magnoliatrail.peers.reach_monitor import Helper
from tests.platform.rig import running
from tests.platform.test_client_accounts import (
    KEY,
    WRONG_KEY,
    Recorder,
    accounts,
    add_recorders,
    configure,
    head_of,
    send,
)


@dataclass
class AnsweredRequest(CallerRequest):
    """A request without a connection that records the error it is answered."""

    answers: list = field(default_factory=list)

    async def answer_error(self, status, reason, retry_after=None):
        self.status, self.answer_finished = status, True
        self.answers.append((status, reason, retry_after))


def read_head(path, key=None):
    sent = head_of(path, key)
    return AnsweredRequest(None, "POST", path, sent.headers, timedelta())


# Guards against an answer that no line and no metric shows, as the handler never got
# the whole request; and against one key problem that is counted at each look-up.
def test_an_answer_from_the_head_is_logged_and_counted_once(run):
    async def scenario():
        async with running(engines=0) as rig:
            await configure(rig, 2, accounts(KEY))
            handler = rig.daemons[0].handler
            sent = read_head("/plain/x", WRONG_KEY)
            answer = handler.from_head(sent)
            assert handler.from_head(sent) == answer
            await answer.send(sent)
            handler.record_from_head(sent)
            assert [status for status, _, _ in sent.answers] == [401]
            return rig.daemons[0].metrics.text().decode()

    with logbook.TestHandler() as logged:
        text = run(scenario())
    lines = [item.message for item in logged.records]
    assert len([line for line in lines if "event=key_refused" in line]) == 1
    assert len([line for line in lines if "event=answered" in line]) == 1
    assert 'keys_refused_total{reason="unknown"} 1.0' in text
    assert 'answers_total{status="401"} 1.0' in text


# Guards against a key that is taken by a table that is too old when it is sent on.
@pytest.mark.parametrize("sign", ["is_fresh", "is_isolated"])
def test_a_request_is_not_sent_by_a_table_that_became_too_old(run, sign):
    async def scenario():
        async with running(engines=0) as rig:
            plain = Recorder()
            await add_recorders(rig, plain=plain)
            await configure(rig, 2, accounts(KEY))
            context = rig.daemons[0].forwarding_context
            acquire = context.pool.acquire

            async def age_first(address, connect, **more):
                setattr(context, sign, lambda: sign == "is_isolated")
                return await acquire(address, connect, **more)

            context.pool.acquire = age_first
            answer = await send(rig, "/plain/x")
            assert (answer.status, "Retry-After" in answer.headers) == (503, True)
            assert (await send(rig, "/public/x")).status == 503
            assert not plain.heads
            # What needs no key and shows none is served.
            assert (await send(rig, "/public/x", None)).status == 200

    run(scenario())


# Guards against a 503, which says "not run", for a request that another server ran.
def test_what_ran_before_is_answered_if_the_retry_is_withheld(run):
    async def scenario():
        async with running(engines=0) as rig:
            let_answer = asyncio.Event()
            status = "500 Internal Server Error"
            servers = [Recorder([], let_answer, status) for _ in range(2)]
            await add_recorders(rig, one=servers[0], two=servers[1])
            await configure(rig, 2, accounts(KEY))
            sending = asyncio.create_task(send(rig, "/lookup/x"))
            await rig.until(lambda: servers[0].heads or servers[1].heads)
            rig.daemons[0].forwarding_context.is_fresh = lambda: False
            let_answer.set()
            assert (await sending).status == 500
            assert len(servers[0].heads + servers[1].heads) == 1

    run(scenario())


# Guards against old tables that stop a deployment without accounts.
def test_without_accounts_nothing_is_withheld(run):
    async def scenario():
        async with running(engines=0) as rig:
            await add_recorders(rig, plain=Recorder())
            await configure(rig, 2)
            context = rig.daemons[0].forwarding_context
            context.is_fresh, context.is_isolated = lambda: False, lambda: True
            assert (await send(rig, "/plain/x")).status == 200

    run(scenario())


# Guards against a server that gets no name from a helping instance of the previous
# build, which forwards the headers that it does not know.
def test_a_relayed_request_names_its_account_to_both_builds(run):
    async def scenario():
        async with running(engines=0) as rig:
            await configure(rig, 2, accounts(KEY))
            context = rig.daemons[0].forwarding_context
            helper = Helper("instance-1", "127.0.0.1:1", "zone-a", 0)
            for key, name in [(KEY, "alice"), (None, None)]:
                sent = head_of("/public/x", key)
                route = context.view.routes.match(sent.host, sent.path)
                fields = HTTPHeaders({"Api-Key": "k", ACCOUNT: "bob"})
                check = relay_check(context, RoutedRequest(sent, route, "desk"))
                assert check(Attempt(as_server(helper)), fields) is None
                assert fields.get(ACCOUNT) == name
                assert fields.get("Magnoliatrail-Tenant") == name
                assert "Api-Key" not in fields
                assert relay_origin(fields).account == (name or "")

    run(scenario())


# Guards against a label that is cut at a dot of its value.
def test_the_label_of_a_metric_is_what_follows_its_declared_prefix():
    metrics = TextMetrics()
    metrics.count("accounts.refused.unknown")
    metrics.count("answers.200")
    metrics.count("orders.a.b")
    text = metrics.text().decode()
    assert 'keys_refused_total{reason="unknown"} 1.0' in text
    assert 'answers_total{status="200"} 1.0' in text
    assert 'engine_orders_total{what="a.b"} 1.0' in text.replace("outcome=", "what=")
    with pytest.raises(KeyError):
        metrics.count("undeclared.name")
