"""Instances and stand-ins in one process, and the check of operation outcomes."""

import asyncio
import hashlib
import socket
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from datetime import timedelta

import msgspec
from tornado.httpclient import HTTPRequest

from magnoliatrail.clock import SystemClock
from magnoliatrail.daemon import Daemon
from magnoliatrail.demo import mark_bookings_non_idempotent
from magnoliatrail.generated.answers import ErrorAnswer, Outcome
from magnoliatrail.generated.settings import Settings
from magnoliatrail.operations.rows import CLAIM_PREFIX
from magnoliatrail.standins.environment import (
    HOST,
    EnvironmentSize,
    StandInEnvironment,
    start_environment,
)
from magnoliatrail.wire import CallFailed, CallLimits, call, new_http_client

TOKEN = "token-for-tests-only"
LIMITS = CallLimits(timedelta(seconds=5), timedelta(seconds=30))
BODY = b'{"model": "Amira", "day": "2026-05-01"}'
DIGEST = hashlib.sha256(BODY).hexdigest()[:16]
DEADLINE_SECONDS = 2.0
WAIT_LIMIT_SECONDS = 60.0
SIZE = EnvironmentSize(engines=0, services=2, adapters=1)


@dataclass
class OutcomeCounts:
    """Counts over all cases, and a message for each violation."""

    cases: int = 0
    executions: int = 0
    repeats: int = 0
    false_not_run: int = 0
    truncated: int = 0
    wrong: list[str] = field(default_factory=list)

    def __str__(self) -> str:
        return (
            f"cases={self.cases} executions={self.executions} "
            f"repeats={self.repeats} false_not_run={self.false_not_run} "
            f"truncated_as_whole={self.truncated}"
        )


@dataclass(frozen=True)
class ReceivedAnswer:
    """What a caller received; status 0 if there was no answer."""

    status: int
    body: bytes
    refusal: ErrorAnswer | None

    @property
    def not_run(self) -> bool:
        return (
            self.refusal is not None and self.refusal.error.outcome is Outcome.NOT_RUN
        )

    @property
    def kind(self) -> str:
        return self.refusal.error.kind if self.refusal else str(self.status)

    @property
    def reason(self) -> str:
        message = f": {self.refusal.error.message}" if self.refusal else ""
        return f"{self.kind}{message}"

    @property
    def is_complete(self) -> bool:
        try:
            answer = msgspec.json.decode(self.body)
        except msgspec.DecodeError:
            return False
        return answer.get("digest") == DIGEST and "padding" in answer


NO_ANSWER = ReceivedAnswer(0, b"", None)


@dataclass
class OutcomeHarness:
    """Stand-ins, instances and hooks that run at stages of an operation."""

    environment: StandInEnvironment
    urls: list[str] = field(default_factory=list)
    daemons: list[Daemon] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.client = new_http_client()
        self.reserved: list[socket.socket] = []

    async def confirm_booking(
        self, instance: int, key: str, **options: object
    ) -> ReceivedAnswer:
        """Send a booking confirmation with an idempotency key to an instance."""
        deadline = str(options.get("deadline", DEADLINE_SECONDS))
        headers = {"X-Caller": "agency", "X-Deadline-Seconds": deadline}
        if key:
            headers["Idempotency-Key"] = key
        path = options.get("path", "/services/bookings/confirm")
        request = HTTPRequest(
            f"{self.urls[instance % len(self.urls)]}{path}",
            method="POST",
            headers=headers,
            body=BODY,
        )
        try:
            response = await call(self.client, request, LIMITS)
        except CallFailed:
            return NO_ANSWER
        refusal = None
        if "X-Request-Id" in response.headers and b'"error"' in response.body:
            refusal = msgspec.json.decode(response.body, type=ErrorAnswer)
        return ReceivedAnswer(response.code, response.body, refusal)

    def executions(self, key: str) -> int:
        """Return how often the replicas executed an operation."""
        return sum(item.executions.get(key, 0) for item in self.environment.services)

    def clear_faults(self) -> None:
        """Reset all faults; silenced connections stay silent."""
        stand_ins = [
            self.environment.table,
            self.environment.objects,
            *self.environment.services,
        ]
        for stand_in in stand_ins:
            faults = stand_in.faults
            for name, value in vars(type(faults)()).items():
                if name != "silence_open":
                    setattr(faults, name, value)

    def remove_hooks(self) -> None:
        """Remove the hooks of `on_claim_write` and `on_execution`."""
        vars(self.environment.table).pop("commit", None)
        for service in self.environment.services:
            vars(service).pop("execute", None)

    def reserve(self, port: int) -> None:
        """Bind a closed port so that no other case listens on it."""
        reserved = socket.socket()
        reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        reserved.bind((HOST, port))
        self.reserved.append(reserved)

    def on_claim_write(self, number: int, act: Callable[[], None]) -> None:
        """Call `act` just before the nth transaction on a claim commits."""
        commit, claim_writes = self.environment.table.commit, []

        def hooked_commit(transaction):
            if any(write.key.startswith(CLAIM_PREFIX) for write in transaction.writes):
                claim_writes.append(transaction)
                if len(claim_writes) == number:
                    act()
            return commit(transaction)

        self.environment.table.commit = hooked_commit

    def on_execution(self, act: Callable[[], None]) -> None:
        """Call `act` just after each execution of an operation."""
        for service in self.environment.services:
            execute = service.execute

            def hooked_execute(*args, execute=execute):
                answer = execute(*args)
                act()
                return answer

            service.execute = hooked_execute


def settings_for(
    environment: StandInEnvironment, name: str, **changes: object
) -> Settings:
    """Return settings of an instance, with short timeouts."""
    fields = {
        "instance_id": name,
        "failure_domain": "domain-0",
        "port": 0,
        "peer_port": 0,
        "peer_token": TOKEN,
        "table_url": environment.url("table"),
        "objects_url": environment.url("objects"),
        "weights_url": environment.url("weights"),
        "instance_list_url": environment.url("instance-list"),
        "connect_timeout_seconds": 0.2,
        "idle_timeout_seconds": 0.3,
        "instance_list_seconds": 0.1,
    }
    return Settings(**{**fields, **changes})


@asynccontextmanager
async def running_harness(
    instances: int = 2, size: EnvironmentSize = SIZE
) -> AsyncIterator[OutcomeHarness]:
    """Run stand-ins and instances that use them in this process."""
    environment = start_environment(SystemClock(), size)
    await mark_bookings_non_idempotent(environment)
    harness = OutcomeHarness(environment)
    try:
        for number in range(instances):
            daemon = Daemon(settings_for(environment, f"instance-{number}"))
            await daemon.start()
            async with asyncio.timeout(WAIT_LIMIT_SECONDS):
                while daemon.lifecycle.refusal():
                    await asyncio.sleep(0.01)
            harness.daemons.append(daemon)
            harness.urls.append(daemon.caller_listener.url)
        yield harness
    finally:
        harness.clear_faults()
        for daemon in harness.daemons:
            for task in [*daemon.tasks.tasks, *daemon.operations.settler.tasks]:
                task.cancel()
            await daemon.caller_listener.close()
            await daemon.peer_listener.close()
        await environment.close()
        for reserved in harness.reserved:
            reserved.close()


async def final_answer(harness: OutcomeHarness, key: str) -> ReceivedAnswer:
    """Repeat an operation until its outcome is final, and return the answer."""
    got = NO_ANSWER
    async with asyncio.timeout(WAIT_LIMIT_SECONDS):
        for attempt in range(1000):
            got = await harness.confirm_booking(attempt, key)
            if got.kind not in {"operation_running", "0", "backend_failed"}:
                break
            await asyncio.sleep(0.1)
    return got


def check_outcomes(
    counts: OutcomeCounts,
    name: str,
    key: str,
    harness: OutcomeHarness,
    answers: list[ReceivedAnswer],
) -> None:
    """Check the answers for one key against the executions of the service."""
    executed = harness.executions(key)
    counts.cases += 1
    counts.executions += executed
    if executed > 1:
        counts.repeats += 1
        counts.wrong.append(f"{name}: executed {executed} times")
    successes = [got for got in answers if got.status == 200]
    if any(not got.is_complete for got in successes):
        counts.truncated += 1
        counts.wrong.append(f"{name}: a truncated answer was passed as complete")
    if len({got.body for got in successes}) > 1:
        counts.wrong.append(f"{name}: repeats got different answers")
    if successes and not executed:
        counts.wrong.append(f"{name}: answered without an execution")
    executed_ids = set().union(
        *(service.request_ids for service in harness.environment.services)
    )
    for got in answers:
        if got.not_run and got.refusal.error.request_id in executed_ids:
            counts.false_not_run += 1
            counts.wrong.append(f"{name}: {got.kind} says not run, but the request ran")
        if got.status not in (0, 200) and got.refusal is None:
            counts.wrong.append(f"{name}: neither answered nor refused: {got.status}")
