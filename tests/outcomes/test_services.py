"""Plain services: forwarded headers and bodies, choice of replicas, and retries."""

import asyncio
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from datetime import timedelta

import msgspec
import pytest
from tornado.httpclient import HTTPRequest
from tornado.web import Application, RequestHandler, stream_request_body

from magnoliatrail.errors import ErrorKind
from magnoliatrail.generated.answers import ErrorAnswer, Outcome
from magnoliatrail.generated.platform import ListedInstance, ListedKind, ListedState
from magnoliatrail.listeners import listen
from magnoliatrail.wire import call

from .harness import LIMITS, WAIT_LIMIT_SECONDS, running_harness
from .test_matrix import refuse_connections

PATH = "/services/archive"
CRASHING = b"crash"


@dataclass
class ReplicaRecord:
    """Requests and bodies that a replica received."""

    requests: list = field(default_factory=list)
    bodies: list = field(default_factory=list)


@stream_request_body
class EchoHandler(RequestHandler):
    def initialize(self, record):
        self.record = record
        self.body = b""

    def data_received(self, chunk):
        self.body += chunk

    def echo(self):
        self.record.requests.append(self.request)
        self.record.bodies.append(self.body)
        if self.body == CRASHING:
            self.request.connection.stream.close()
            return
        status = int(self.get_query_argument("status", "200"))
        self.set_status(status)
        self.add_header("Set-Cookie", "a=1")
        self.add_header("Set-Cookie", "b=2")
        self.set_header("Keep-Alive", "timeout=5")
        self.set_header("Content-Type", "text/x-echo")
        if status not in (204, 304):
            self.write(self.body or b"empty")

    get = head = post = put = patch = delete = options = echo


@asynccontextmanager
async def running_archive(replicas=1):
    """Run an instance with replicas of an echo service behind it."""
    async with running_harness(instances=1) as harness:
        records, listeners = [], []
        for number in range(replicas):
            records.append(ReplicaRecord())
            application = Application([("/.*", EchoHandler, {"record": records[-1]})])
            listeners.append(listen(application, host="127.0.0.1"))
            entry = ListedInstance(
                id=f"archive-{number}",
                kind=ListedKind.SERVICE,
                name="archive",
                url=listeners[-1].url,
                failure_domain="domain-0",
                state=ListedState.LIVE,
            )
            harness.environment.instances.put(entry)
        await wait_for_live_replicas(harness, replicas)
        yield harness, records
        for listener in listeners:
            await listener.close()


async def wait_for_live_replicas(harness, count):
    """Wait until the instance lists a number of live replicas."""
    async with asyncio.timeout(WAIT_LIMIT_SECONDS):
        while len(harness.daemons[0].fleet.live_services("archive")) != count:
            await asyncio.sleep(0.01)


async def send(harness, method, path, headers=None, body=None):
    request = HTTPRequest(
        harness.urls[0] + path,
        method=method,
        headers=headers or {},
        body=body,
        allow_nonstandard_methods=True,
    )
    return await call(harness.client, request, LIMITS)


@pytest.mark.parametrize(
    "method", ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"]
)
def test_every_method_is_forwarded_unchanged(run, method):
    async def scenario():
        async with running_archive() as (harness, [record]):
            body = b"\x00\xff" * 1000 if method not in ("GET", "HEAD") else None
            headers = {"Content-Type": "application/x-www-form-urlencoded"}
            path = f"{PATH}/a%20b/c?x=1&x=%2F"
            response = await send(harness, method, path, headers, body)
            [got] = record.requests
            assert (got.method, got.uri) == (method, "/a%20b/c?x=1&x=%2F")
            assert record.bodies == [body or b""]
            assert response.headers.get_list("Set-Cookie") == ["a=1", "b=2"]
            assert response.headers["Content-Type"] == "text/x-echo"
            assert "Keep-Alive" not in response.headers
            if method != "HEAD":
                assert response.body == (body or b"empty")

    run(scenario())


def test_hop_by_hop_headers_are_dropped_and_others_pass(run):
    async def scenario():
        async with running_archive() as (harness, [record]):
            headers = {
                "X-Own": "kept",
                "X-Listed": "dropped",
                "Connection": "close, X-Listed",
                "Te": "trailers",
                "Authorization": "Bearer caller",
                "X-Caller": "clerk",
                "X-Deadline-Seconds": "5",
            }
            await send(harness, "GET", f"{PATH}/x", headers)
            got = record.requests[0].headers
            assert got["X-Own"] == "kept"
            assert got["Authorization"] == "Bearer caller"
            assert got["X-Caller"] == "clerk"
            assert 0 < float(got["X-Deadline-Seconds"]) <= 5
            assert "X-Listed" not in got
            assert "Te" not in got

    run(scenario())


@pytest.mark.parametrize("status", [201, 204, 304, 404, 418, 500])
def test_status_codes_are_forwarded(run, status):
    async def scenario():
        async with running_archive() as (harness, [record]):
            response = await send(harness, "GET", f"{PATH}/x?status={status}")
            assert response.code == status
            assert len(record.requests) == 1

    run(scenario())


def test_retries_of_an_idempotent_call_after_503_are_bounded(run):
    async def scenario():
        async with running_archive(2) as (harness, records):
            response = await send(harness, "GET", f"{PATH}/x?status=503")
            assert response.code == 503
            assert [len(record.requests) for record in records] in (
                [2, 2],
                [1, 3],
                [3, 1],
            )

    run(scenario())


def test_a_leaving_replica_gets_no_new_work(run):
    async def scenario():
        async with running_archive(2) as (harness, [left, stayed]):
            harness.environment.instances.set_leaving("archive-0")
            await wait_for_live_replicas(harness, 1)
            for _ in range(10):
                await send(harness, "GET", f"{PATH}/x")
            assert (len(left.requests), len(stayed.requests)) == (0, 10)
            harness.environment.instances.set_leaving("archive-1")
            await wait_for_live_replicas(harness, 0)
            response = await send(harness, "GET", f"{PATH}/x")
            answer = msgspec.json.decode(response.body)["error"]
            assert (answer["kind"], answer["outcome"]) == (
                "no_backend_server",
                "not_run",
            )

    run(scenario())


def test_the_less_busy_replica_is_chosen(run):
    async def scenario():
        async with running_archive(2) as (harness, [busy, idle]):
            services = harness.daemons[0].entry.services
            services.in_flight["archive-0"] = 5
            # A slow call or connection would be followed by one to the other replica.
            patience = timedelta(seconds=WAIT_LIMIT_SECONDS)
            services.idle_limit = services.connect_limit = patience
            for _ in range(10):
                await send(harness, "GET", f"{PATH}/x")
            assert (len(busy.requests), len(idle.requests)) == (0, 10)

    run(scenario())


def test_an_operation_without_a_key_is_refused_and_costs_no_write(run):
    async def scenario():
        async with running_harness(instances=1) as harness:
            writes = []
            harness.on_claim_write(1, lambda: writes.append(1))
            got = await harness.confirm_booking(0, "")
            assert (got.kind, got.not_run) == ("idempotency_key_required", True)
            assert not writes
            assert not any(
                service.executions for service in harness.environment.services
            )

    run(scenario())


def test_an_operation_costs_two_claim_writes_and_an_idempotent_call_none(run):
    async def scenario():
        async with running_archive() as (harness, _):
            commit, writes = harness.environment.table.commit, []

            def counted(transaction):
                answer = commit(transaction)
                if answer.committed:
                    writes.extend(
                        write
                        for write in transaction.writes
                        if write.key.startswith("operations/")
                    )
                return answer

            harness.environment.table.commit = counted
            await send(harness, "POST", f"{PATH}/x", body=b"x")
            assert len(writes) == 0
            first = await harness.confirm_booking(0, "key")
            again = await harness.confirm_booking(0, "key")
            assert first.body == again.body
            assert len(writes) == 2

    run(scenario())


def test_an_idempotent_call_on_a_silent_connection_is_retried(run):
    async def scenario():
        async with running_harness(instances=1) as harness:
            harness.daemons[0].configuration.configuration = msgspec.structs.replace(
                harness.daemons[0].configuration.configuration, exceptions=[]
            )
            for service in harness.environment.services:
                service.faults.delay_seconds = 0.1

            def silence():
                for service in harness.environment.services:
                    service.faults.silence_open += 1
                    service.faults.delay_seconds = 0

            asyncio.get_running_loop().call_later(0.05, silence)
            got = await harness.confirm_booking(0, "")
            assert got.is_complete

    run(scenario())


@pytest.mark.parametrize("silent", [False, True])
def test_a_call_that_may_have_run_is_not_reported_not_run_after_a_retry(run, silent):
    async def scenario():
        async with running_harness(instances=1) as harness:
            harness.daemons[0].configuration.configuration = msgspec.structs.replace(
                harness.daemons[0].configuration.configuration, exceptions=[]
            )
            fault = "silent_answers" if silent else "lose_answers"
            for service in harness.environment.services:
                setattr(service.faults, fault, 1)
            harness.on_execution(lambda: refuse_connections(harness))
            got = await harness.confirm_booking(0, "")
            ran = [len(service.request_ids) for service in harness.environment.services]
            assert sum(ran) == 1, got
            assert got.refusal is not None
            assert not got.not_run, got.kind

    run(scenario())


# Guards against a request that crashes one replica of a service after the other.
def test_a_request_that_crashed_three_replicas_is_refused(run):
    async def scenario():
        async with running_archive(4) as (harness, records):
            quarantine = harness.daemons[0].quarantine
            while not quarantine.rules.groups:
                await send(harness, "POST", f"{PATH}/x", {}, CRASHING)
                await asyncio.sleep(0.1)
            reached = sum(len(record.requests) for record in records)
            response = await send(harness, "POST", f"{PATH}/x", {}, CRASHING)
            error = msgspec.json.decode(response.body, type=ErrorAnswer).error
            assert response.code == 503
            assert error.kind == ErrorKind.PROMPT_QUARANTINED.value
            assert error.outcome is Outcome.NOT_RUN
            assert sum(len(record.requests) for record in records) == reached
            for body, caller in ((b"sound", ""), (CRASHING, "another")):
                headers = {"X-Caller": caller} if caller else {}
                before = sum(len(record.requests) for record in records)
                await send(harness, "POST", f"{PATH}/x", headers, body)
                assert sum(len(record.requests) for record in records) > before

    run(scenario())
