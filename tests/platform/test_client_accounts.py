"""Keys and names of client accounts on the whole path of a request."""

import asyncio
import logging
from dataclasses import dataclass, field
from datetime import timedelta

import logbook
import pytest
from tornado.httputil import HTTPHeaders

from magnoliatrail.forwarding.request import CallerRequest
from magnoliatrail.standins.platform_engine import PlatformEngineState
from tests.platform.rig import (
    MODEL,
    close,
    configuration,
    is_settled,
    model,
    read_answer,
    route,
    running,
)
from tests.platform.test_cut_from_servers import CutForm, cut_fleet
from tests.platform.test_server_notices import ANSWER, add_plain_servers

KEY, OTHER_KEY, WRONG_KEY = "key-of-alice-1", "key-of-alice-2", "key-of-nobody"
PATHS = ["/plain/x", "/lookup/x", "/stream/x"]
ROUTES = [
    route("stream", "/stream/", "streaming", "models", resumable=True),
    route("plain", "/plain/", "unsafe", "desk"),
    route("lookup", "/lookup/", "safe", "desk", attempts=2),
    route("public", "/public/", "safe", "desk", public=True),
]
REFUSED = "Magnoliatrail-Not-Executed: 1\r\n"


@dataclass
class Recorder:
    """A plain server that records the headers of each request."""

    heads: list = field(default_factory=list)
    # Set to answer only once it is done.
    answers_after: asyncio.Event | None = None
    status: str = "200 OK"
    more: str = ""

    async def handle(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                fields = dict(line.split(": ", 1) for line in head.split("\r\n")[1:-2])
                fields = {name.lower(): value for name, value in fields.items()}
                await reader.readexactly(int(fields.get("content-length", 0)))
                self.heads.append(fields)
                if self.answers_after:
                    await self.answers_after.wait()
                id_ = fields["magnoliatrail-request-id"]
                answer = ANSWER.format(status=self.status, id=id_, more=self.more)
                writer.write(answer.encode())
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


@dataclass
class RecordingEngine(PlatformEngineState):
    """An engine that records the headers of each request."""

    heads: list = field(default_factory=list)

    def crashes_on(self, request):
        fields = {name.lower(): text for name, text in request.headers.get_all()}
        self.heads.append(fields)
        return super().crashes_on(request)


def accounts(*keys):
    return [{"name": "alice", "keys": list(keys)}, {"name": "bob", "keys": ["b"]}]


async def configure(rig, version, tenants=None, routes=None):
    """Write a configuration, and wait until it is in force everywhere."""
    rows = configuration(version, routes or ROUTES)
    if tenants is not None:
        rows["tenants"] = tenants
    rig.store.put_json("op", "config", rows)
    await in_force(rig, version)


async def in_force(rig, version):
    await rig.until(
        lambda: all(item.view.routes.version == version for item in rig.daemons)
    )


async def add_recorders(rig, **recorders):
    """Start plain servers and an engine that record what they get."""
    await add_plain_servers(
        rig, **{name: item.handle for name, item in recorders.items()}
    )
    engine = RecordingEngine("recording", born=1, adapter_slots=4, models={MODEL})
    rig.add_engine(engine)
    await rig.until(
        lambda: all("recording" in item.view.servers for item in rig.daemons)
    )
    return engine


def with_key(key=KEY, **more):
    return {**model(), **({"Api-Key": key} if key else {}), **more}


async def send(rig, path, key=KEY, *, daemon=None, request="r1", headers=None, **more):
    return await rig.send(
        daemon or rig.daemons[0],
        path,
        request=request,
        headers={**with_key(key), **(headers or {})},
        **more,
    )


# Guards against requests without a valid key that reach a server.
@pytest.mark.parametrize("path", PATHS)
def test_only_requests_with_a_valid_key_reach_servers(run, path):
    async def scenario():
        async with running(engines=0) as rig:
            plain = Recorder()
            engine = await add_recorders(rig, plain=plain)
            await configure(rig, 2, accounts(KEY))
            for number, key in enumerate([None, WRONG_KEY, "", "k" * 201]):
                answer = await send(rig, path, key, request=f"bad{number}")
                assert (answer.status, answer.whole) == (401, True)
                assert "Retry-After" not in answer.headers
            assert not plain.heads and not engine.heads
            assert (await send(rig, path)).status == 200
            assert len(plain.heads) + len(engine.heads) == 1

    run(scenario())


# Guards against a name that a caller claims, and a key that a server learns.
@pytest.mark.parametrize("path", PATHS)
def test_a_server_gets_the_name_of_the_account_and_not_its_key(run, path):
    async def scenario():
        async with running(engines=0) as rig:
            plain = Recorder()
            engine = await add_recorders(rig, plain=plain)
            await configure(rig, 2, accounts(KEY))
            forged = {
                "Magnoliatrail-Tenant": "bob",
                "Relay-Account": "bob",
                "Connection": "Api-Key, Magnoliatrail-Tenant",
            }
            assert (await send(rig, path, headers=forged)).status == 200
            (head,) = plain.heads + engine.heads
            assert head["magnoliatrail-tenant"] == "alice"
            assert "api-key" not in head
            assert KEY not in str(head)

    run(scenario())


@pytest.mark.parametrize("path", PATHS)
def test_without_accounts_keys_are_forwarded_and_no_name_is(run, path):
    async def scenario():
        async with running(engines=0) as rig:
            plain = Recorder()
            engine = await add_recorders(rig, plain=plain)
            await configure(rig, 2)
            forged = {"Magnoliatrail-Tenant": "bob"}
            assert (await send(rig, path, headers=forged)).status == 200
            (head,) = plain.heads + engine.heads
            assert head["api-key"] == KEY
            assert "magnoliatrail-tenant" not in head

    run(scenario())


@pytest.mark.parametrize(
    ("key", "name"), [(None, None), (WRONG_KEY, None), (KEY, "alice")]
)
def test_a_public_route_names_an_account_only_by_a_valid_key(run, key, name):
    async def scenario():
        async with running(engines=0) as rig:
            plain = Recorder()
            await add_recorders(rig, plain=plain)
            await configure(rig, 2, accounts(KEY))
            forged = {"Magnoliatrail-Tenant": "bob"}
            assert (await send(rig, "/public/x", key, headers=forged)).status == 200
            (head,) = plain.heads
            assert head.get("magnoliatrail-tenant") == name
            assert "api-key" not in head

    run(scenario())


# Guards against a repeated header whose values a server or proxy joins.
def test_a_repeated_key_is_refused(run):
    async def scenario():
        async with running(engines=0) as rig:
            plain = Recorder()
            await add_recorders(rig, plain=plain)
            await configure(rig, 2, accounts(KEY))
            headers = {"api-key": KEY}
            assert (await send(rig, "/plain/x", headers=headers)).status == 401
            assert not plain.heads

    run(scenario())


# Guards against a connection that keeps the right which its first request had.
@pytest.mark.parametrize("path", PATHS)
def test_a_withdrawn_key_is_refused_on_a_kept_connection(run, path):
    async def scenario():
        async with running(engines=0) as rig:
            plain = Recorder()
            await add_recorders(rig, plain=plain)
            await configure(rig, 2, accounts(KEY, OTHER_KEY))
            host, port = rig.daemons[0].settings.callers_address.split(":")
            keep = await asyncio.open_connection(host, int(port))
            assert (await send(rig, path, keep=keep)).status == 200
            await configure(rig, 3, accounts(OTHER_KEY))
            assert (await send(rig, path, request="r2", keep=keep)).status == 401
            answer = await send(rig, path, OTHER_KEY, request="r3", keep=keep)
            assert answer.status == 200
            keep[1].close()

    run(scenario())


# Guards against a request that is sent after its key was withdrawn, as it waited for a
# batch slot; and against streams that are cut by the withdrawal.
def test_a_key_withdrawn_while_a_request_waits_for_a_slot_ends_only_that(run):
    async def scenario():
        async with running(engines=0) as rig:
            engine = await add_recorders(rig)
            await configure(rig, 2, accounts(KEY))
            engine.event_seconds = 0.4
            running_streams = [
                asyncio.create_task(send(rig, "/stream/x", request=f"s{number}"))
                for number in range(8)
            ]
            await rig.until(lambda: len(engine.heads) == 8)
            waiting = asyncio.create_task(send(rig, "/stream/x", request="waits"))
            await asyncio.sleep(0.2)
            assert not waiting.done()
            await configure(rig, 3, accounts(OTHER_KEY))
            answer = await waiting
            assert (answer.status, b"withdrawn" in answer.body) == (401, True)
            for stream in running_streams:
                answer = await stream
                assert (answer.status, answer.whole) == (200, True)
            assert "waits" not in engine.ran
            # The slot of the request that was not sent is free again.
            answer = await send(rig, "/stream/x", OTHER_KEY, request="after")
            assert answer.status == 200

    run(scenario())


# Guards against a retry that is sent after the key of its request was withdrawn.
@pytest.mark.parametrize(
    ("path", "status", "more"),
    [
        ("/plain/x", "503 Service Unavailable", REFUSED),
        ("/lookup/x", "503 Service Unavailable", REFUSED),
        ("/lookup/x", "500 Internal Server Error", ""),
    ],
)
def test_a_key_withdrawn_before_a_retry_prevents_it(run, path, status, more):
    async def scenario():
        async with running(engines=0) as rig:
            let_answer = asyncio.Event()
            servers = [Recorder([], let_answer, status, more) for _ in range(2)]
            await add_recorders(rig, one=servers[0], two=servers[1])
            await configure(rig, 2, accounts(KEY))
            sending = asyncio.create_task(send(rig, path))
            await rig.until(lambda: servers[0].heads or servers[1].heads)
            await configure(rig, 3, accounts(OTHER_KEY))
            let_answer.set()
            answer = await sending
            assert (answer.status, b"withdrawn" in answer.body) == (401, True)
            assert len(servers[0].heads + servers[1].heads) == 1

    run(scenario())


def test_a_resumed_stream_needs_its_key_and_names_its_account(run):
    async def scenario():
        async with running(engines=0) as rig:
            engine = await add_recorders(rig)
            await configure(rig, 2, accounts(KEY))
            assert (await send(rig, "/stream/x", request="r0")).status == 200
            resumes = {"Resumes": "r0", "Last-Event-Id": "1"}
            answer = await send(rig, "/stream/x", request="r1", headers=resumes)
            assert answer.status == 200
            assert [head["magnoliatrail-tenant"] for head in engine.heads] == [
                "alice",
                "alice",
            ]
            await configure(rig, 3, accounts(OTHER_KEY))
            answer = await send(rig, "/stream/x", request="r2", headers=resumes)
            assert answer.status == 401
            assert len(engine.heads) == 2

    run(scenario())


# Guards against a withdrawn key that works again, as a new process knows nothing of it.
@pytest.mark.parametrize("store_down", [False, True])
def test_a_withdrawn_key_stays_withdrawn_after_a_restart(run, store_down):
    async def scenario():
        async with running(instances=2, engines=0) as rig:
            await add_recorders(rig, plain=Recorder())
            await configure(rig, 2, accounts(KEY))
            await configure(rig, 3, accounts(OTHER_KEY))
            owner = next(item for item in rig.daemons if item.cells.owns_any)
            other = next(item for item in rig.daemons if item is not owner)
            rig.store.down = store_down
            await close(other)
            rig.daemons.remove(other)
            if store_down:
                # Without the store, a new process does not find the owner; what it
                # answers until then must not be by an older state.
                await rig.start_instance(2, owner.settings.store_address)
                answer = await send(rig, "/plain/x", daemon=rig.daemons[-1])
                assert answer.status == 503
                rig.store.down = False
            else:
                await rig.start_instance(2, owner.settings.store_address)
            await rig.until(lambda: all(is_settled(item) for item in rig.daemons))
            for number, daemon in enumerate(rig.daemons):
                id_ = f"after{number}"
                answer = await send(rig, "/plain/x", daemon=daemon, request=id_)
                assert answer.status == 401
                answer = await send(rig, "/plain/x", OTHER_KEY, daemon=daemon)
                assert answer.status == 200

    run(scenario())


async def only_recorders(rig):
    """Replace all servers by three of each kind that record into one list."""
    replaced = rig.store_ids()
    plain = Recorder()
    for number in range(3):
        await rig.add_plain(f"recorder-{number}", plain.handle)
        engine = RecordingEngine(
            f"recording-{number}", born=1, adapter_slots=4, models={MODEL}
        )
        engine.heads = rig.engines[-1].heads if number else []
        rig.add_engine(engine)
    for name in replaced:
        rig.store.put("servers", name, None)
    await rig.until(
        lambda: all(set(item.view.servers) == rig.store_ids() for item in rig.daemons)
    )
    return plain, engine


def relayed_headers(daemon):
    """Record the headers of the requests that an instance gets from others."""
    heads, handle = [], daemon.handler.handle

    async def record(request):
        if request.origin is not None:
            heads.append(dict(request.headers.get_all()))
        await handle(request)

    daemon.server.handle = record
    return heads


# Guards against a name that is lost, claimed by the caller, or a key that is sent on,
# where another instance reaches the servers.
def test_a_relayed_request_keeps_its_account_and_not_its_key(run):
    async def scenario():
        async with cut_fleet() as fleet:
            rig, (daemon, *others) = fleet.rig, fleet.rig.daemons
            plain, engine = await only_recorders(rig)
            await configure(rig, 2, accounts(KEY))
            heads = [head for item in others for head in [relayed_headers(item)]]
            await fleet.cut(CutForm.RESET, daemon)
            await until_cut_with_key(fleet, daemon)
            plain.heads.clear()
            forged = {"Magnoliatrail-Tenant": "bob", "Relay-Account": "bob"}
            for number, path in enumerate(["/plain/x", "/stream/x", "/public/x"]):
                answer = await send(
                    rig, path, daemon=daemon, request=f"via{number}", headers=forged
                )
                assert answer.status == 200
                head = (plain.heads + engine.heads)[-1]
                assert head["magnoliatrail-tenant"] == "alice"
                assert "relay-account" not in head
                plain.heads.clear()
                engine.heads.clear()
            answer = await send(
                rig, "/public/x", None, daemon=daemon, request="no", headers=forged
            )
            assert answer.status == 200
            assert "magnoliatrail-tenant" not in plain.heads[-1]
            plain.heads.clear()
            bad = await send(rig, "/plain/x", WRONG_KEY, daemon=daemon, headers=forged)
            assert bad.status == 401
            assert not plain.heads
            relayed = [head for sent in heads for head in sent]
            assert len(relayed) >= 4
            assert KEY not in str(relayed)

    run(scenario())


async def until_cut_with_key(fleet, daemon):
    """Send requests until an instance knows that it is cut."""
    sending = [
        asyncio.create_task(
            send(fleet.rig, "/plain/x", daemon=daemon, request=f"cut{number}")
        )
        for number in range(8)
    ]
    await fleet.rig.until(lambda: daemon.reach.is_cut and daemon.reach.helpers)
    for task in sending:
        task.cancel()


# Guards against a request that another instance sends after its key was withdrawn here.
def test_a_key_withdrawn_while_no_instance_helps_is_refused(run):
    async def scenario():
        async with cut_fleet() as fleet:
            rig, (daemon, *others) = fleet.rig, fleet.rig.daemons
            await configure(rig, 2, accounts(KEY))
            heads = [relayed_headers(item) for item in others]
            await fleet.cut(CutForm.RESET, daemon)
            await until_cut_with_key(fleet, daemon)
            opened, let_open = asyncio.Event(), asyncio.Event()
            acquire = daemon.pool.acquire

            async def slow(address, connect, **more):
                if more.get("request_id") == "late":
                    opened.set()
                    await let_open.wait()
                return await acquire(address, connect, **more)

            daemon.pool.acquire = slow
            sending = asyncio.create_task(
                send(rig, "/plain/x", daemon=daemon, request="late")
            )
            await opened.wait()
            await configure(rig, 3, accounts(OTHER_KEY))
            let_open.set()
            answer = await sending
            assert (answer.status, b"withdrawn" in answer.body) == (401, True)
            ids = [head["Magnoliatrail-Request-Id"] for sent in heads for head in sent]
            assert "late" not in ids

    run(scenario())


# Guards against a key in the log or the metrics, also of requests that are refused and
# of accounts that are skipped.
def test_no_key_is_logged_or_counted(run, caplog):
    keys = [KEY, OTHER_KEY, WRONG_KEY, "odd key", "shared-key"]
    caplog.set_level(logging.DEBUG)

    async def scenario():
        async with cut_fleet() as fleet:
            rig, (daemon, *_) = fleet.rig, fleet.rig.daemons
            odd = [
                {"name": "", "keys": [OTHER_KEY]},
                {"name": "carol", "keys": [OTHER_KEY], "unit": "bytes"},
                {"name": "dave", "keys": ["shared-key", "x" * 201, 7]},
                {"name": "eve", "keys": ["shared-key"]},
            ]
            await configure(rig, 2, [*accounts(KEY, OTHER_KEY), *odd])
            number = 0
            for path in [*PATHS, "/public/x", "/none"]:
                for key in [None, *keys, "x" * 201]:
                    number += 1
                    await send(rig, path, key, request=f"r{number}")
                await send(rig, path, headers={"api-key": KEY}, request=f"t{number}")
            await configure(rig, 3, accounts(OTHER_KEY))
            await send(rig, "/plain/x")
            await fleet.cut(CutForm.RESET, daemon)
            sending = [
                send(rig, "/plain/x", OTHER_KEY, request=f"c{number}")
                for number in range(12)
            ]
            await asyncio.gather(*sending)
            text = b"".join(item.metrics.text() for item in rig.daemons).decode()
            assert 'keys_refused_total{reason="unknown"}' in text
            return text

    with logbook.TestHandler(level=logbook.DEBUG) as logged:
        metrics = run(scenario())
    lines = [item.message for item in logged.records]
    lines += [item.getMessage() for item in caplog.records]
    assert any("event=key_refused" in line for line in lines)
    assert any("event=account_skipped" in line for line in lines)
    for key in [*keys, "x" * 201]:
        assert key not in metrics
        assert [line for line in lines if key in line] == []


def test_the_log_names_the_account_of_an_answer_and_why_a_key_was_refused(run):
    async def scenario():
        async with running(engines=0) as rig:
            await add_recorders(rig, plain=Recorder())
            await configure(rig, 2, accounts(KEY))
            await send(rig, "/plain/x", request="good")
            await send(rig, "/plain/x", WRONG_KEY, request="bad")

    with logbook.TestHandler() as logged:
        run(scenario())
    lines = [item.message for item in logged.records]
    (good,) = [line for line in lines if "event=answered request=good" in line]
    assert "account=alice" in good
    (refused,) = [line for line in lines if "event=key_refused request=bad" in line]
    assert "reason=unknown" in refused
    (bad,) = [line for line in lines if "event=answered request=bad" in line]
    assert "status=401" in bad


def head_of(path, key=None, host="app.example"):
    """Return a request of which only the head has been read."""
    fields = {"Host": host, **({"Api-Key": key} if key else {})}
    return CallerRequest(None, "POST", path, HTTPHeaders(fields), timedelta())


def test_the_handler_answers_from_the_head_what_the_head_decides(run):
    async def scenario():
        async with running(engines=0) as rig:
            await configure(rig, 2, accounts(KEY))
            daemon = rig.daemons[0]
            from_head = daemon.handler.from_head
            assert from_head(head_of("/none", KEY)).status == 404
            assert from_head(head_of("/plain/x")).status == 401
            assert from_head(head_of("/plain/x", WRONG_KEY)).status == 401
            sound = head_of("/plain/x", KEY)
            assert from_head(sound) is None
            assert sound.account.name == "alice"
            assert from_head(head_of("/public/x")) is None
            daemon.forwarding_context.is_fresh = lambda: False
            # The whole request lets the tables be read, which may know the key.
            assert from_head(head_of("/plain/x", WRONG_KEY)) is None
            daemon.forwarding_context.is_fresh = lambda: True
            daemon.handler.refuses_all = True
            assert from_head(sound).status == 503
            daemon.view.routes = None
            assert from_head(sound).status == 503

    run(scenario())


# Guards against a 401 for a key that the whole request no longer has, as the head found
# it: the reason must say that it was withdrawn, not that it never was one.
def test_a_key_withdrawn_while_the_body_is_read_is_refused(run):
    async def scenario():
        async with running(engines=0) as rig:
            plain = Recorder()
            await add_recorders(rig, plain=plain)
            await configure(rig, 2, accounts(KEY))
            daemon = rig.daemons[0]
            host, port = daemon.settings.callers_address.split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(
                b"POST /plain/x HTTP/1.1\r\nHost: app.example\r\n"
                b"Magnoliatrail-Request-Id: r1\r\nContent-Length: 4\r\n"
                b"Api-Key: " + KEY.encode() + b"\r\n\r\nab"
            )
            await writer.drain()
            await asyncio.sleep(0.1)
            await configure(rig, 3, accounts(OTHER_KEY))
            writer.write(b"cd")
            assert (await read_answer(reader)).status == 401
            assert not plain.heads
            writer.close()

    run(scenario())
