"""A state machine over the ledger: no key is executed twice under any faults."""

import asyncio
from datetime import date, timedelta
from itertools import chain
from random import Random

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from magnoliatrail.clock import ManualClock
from magnoliatrail.ids import CallerId, Incarnation
from magnoliatrail.operations.operators import OperatorLedger, Resolution
from magnoliatrail.operations.parts import operation_parts
from magnoliatrail.operations.rows import (
    CLAIM_PREFIX,
    MAX_INLINE_ANSWER_BYTES,
    Claim,
    Operation,
    RecordedAnswer,
)
from magnoliatrail.operations.sweep import (
    BATCH_PREFIX,
    MAX_LOOKBACK_DAYS,
    SHARD_COUNT,
    newest_due_day,
)
from magnoliatrail.standins.objects import FakeObjects
from magnoliatrail.standins.table import FakeTable

EXAMPLE_COUNT = 500
STEPS_PER_EXAMPLE = 50
INSTANCE_COUNT = 3
RETENTION = timedelta(days=2)
EXECUTION_TIME_LIMIT = timedelta(seconds=20)
EVENT_LOOP_TURNS = 12
LOSS_FAULTS = ["lose_answers", "lose_requests", "late_requests"]

instances = st.integers(0, INSTANCE_COUNT - 1)
keys = st.sampled_from(["a", "b"])
seconds = st.sampled_from([1, 1, 5, 45, 3600, 43_200, 43_200, 86_400])


class LedgerMachine(RuleBasedStateMachine):
    """Claim, dispatch, crash and resolve on several instances with one table."""

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.clock = ManualClock()
        self.table = FakeTable()
        self.objects = FakeObjects()
        self.incarnations = 0
        self.parts = [self.new_instance() for _ in range(INSTANCE_COUNT)]
        # Claims that are held and not yet dispatched, by instance.
        self.claims: list[list[tuple[Operation, Claim]]] = [[], [], []]
        self.executed: dict[str, list[RecordedAnswer]] = {}
        self.ran_at: dict[str, timedelta] = {}

    def new_instance(self):
        self.incarnations += 1
        return operation_parts(
            table=self.table,
            objects=self.objects,
            clock=self.clock,
            holder=Incarnation(str(self.incarnations)),
            generator=Random(self.incarnations),
        )

    def run(self, work):
        async def run_work():
            result = await work
            await run_ready_tasks()
            return result

        return self.loop.run_until_complete(run_work())

    def start(self, work):
        """Start work that may wait for the clock, and leave it running."""

        async def begin():
            self.loop.create_task(work)
            await run_ready_tasks()

        self.loop.run_until_complete(begin())

    @rule(instance=instances, key=keys, body=st.sampled_from([b"1", b"1", b"2"]))
    def ask(self, instance, key, body):
        """Claim an operation, or read the answer that is recorded for it."""
        operation = Operation(CallerId("c"), "bookings", "POST confirm", key, body)
        ledger = self.parts[instance].ledger
        result = self.run(ledger.claim(operation, EXECUTION_TIME_LIMIT)).default_value(
            None
        )
        if isinstance(result, Claim):
            self.check_claim(operation, result)
            self.claims[instance].append((operation, result))
        elif isinstance(result, RecordedAnswer):
            assert result in self.executed[operation.row_key]

    def check_claim(self, operation, claim):
        """Check that a key has one claim at a time, and a next one after retention."""
        key = operation.row_key
        others = [item for item in chain(*self.claims) if item[0].row_key == key]
        assert not others, "two instances hold a claim on one key"
        if self.executed.get(key):
            age = self.clock.monotonic() - self.ran_at[key]
            assert age >= RETENTION, (
                f"a key was deleted after {age}, before its retention"
            )
            self.executed[key] = []

    @rule(
        instance=instances,
        fate=st.sampled_from(["answered", "answered", "large", "lost", "not sent"]),
    )
    def dispatch(self, instance, fate):
        if not self.claims[instance]:
            return
        operation, claim = self.claims[instance].pop(0)
        ledger = self.parts[instance].ledger
        if fate == "not sent":
            self.start(ledger.release(claim))
            return
        answer = self.execute(operation, large=fate == "large")
        if fate == "lost":
            ledger.abandon(claim)
        else:
            self.start(ledger.complete(claim, answer))

    def execute(self, operation, *, large):
        done = self.executed.setdefault(operation.row_key, [])
        size = MAX_INLINE_ANSWER_BYTES + 1 if large else 3
        answer = RecordedAnswer(200, "text/plain", b"%d" % len(done) * size)
        done.append(answer)
        self.ran_at[operation.row_key] = self.clock.monotonic()
        return answer

    @rule(instance=instances, executed=st.booleans())
    def crash(self, instance, executed):
        """Replace an instance, with its claimed operations executed or not."""
        for operation, _ in self.claims[instance]:
            if executed:
                self.execute(operation, large=False)
        self.claims[instance] = []
        settler = self.parts[instance].settler
        for task in [*settler.tasks, *settler.unconfirmed_tasks]:
            task.cancel()
        self.parts[instance] = self.new_instance()

    @rule(fault=st.sampled_from(LOSS_FAULTS), count=st.integers(1, 2))
    def table_loses(self, fault, count):
        setattr(self.table.faults, fault, count)

    @rule(down=st.booleans())
    def outage(self, down):
        self.table.faults.down = down
        self.objects.faults.down = down

    @rule()
    def table_recovers(self):
        for fault in LOSS_FAULTS:
            setattr(self.table.faults, fault, 0)
        self.outage(False)

    @rule()
    def late_requests_arrive(self):
        self.table.commit_delayed()

    @rule(passed=seconds)
    def time_passes(self, passed):
        self.clock.advance(timedelta(seconds=passed))
        self.run(run_ready_tasks())

    @rule(instance=instances)
    def forget(self, instance):
        """Delete the operations whose retention has ended."""
        sweeper = self.parts[instance].sweeper
        self.run(sweeper.flush())
        newest = newest_due_day(self.clock.now(), RETENTION)
        for key in [key for key in self.table.rows if key.startswith(BATCH_PREFIX)]:
            day, shard, _ = key.removeprefix(BATCH_PREFIX).split("/")
            back = (newest - date.fromisoformat(day)).days
            sweeper.shards_visited = (MAX_LOOKBACK_DAYS - back) * SHARD_COUNT + int(
                shard, 16
            )
            if 0 <= back <= MAX_LOOKBACK_DAYS:
                self.run(sweeper.sweep(RETENTION, lambda _: True))

    @rule()
    def resolve(self):
        """Resolve the claims of unknown outcome with whether they were executed."""
        operators = OperatorLedger(self.table, self.clock)
        held = {claim.row.attempt_id for _, claim in chain(*self.claims)}
        for listed in self.run(listed_claims(operators)):
            if listed.row.attempt_id in held:
                continue
            ran = bool(self.executed.get(CLAIM_PREFIX + listed.claim_id))
            resolution = Resolution(ran=ran, reason="asked the desk", author="Awa")
            self.run(operators.resolve(listed.claim_id, resolution))

    @invariant()
    def nothing_runs_twice(self):
        assert all(len(answers) <= 1 for answers in self.executed.values())

    def teardown(self):
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.loop.run_until_complete(run_ready_tasks())
        self.loop.close()


async def run_ready_tasks():
    for _ in range(EVENT_LOOP_TURNS):
        await asyncio.sleep(0)


async def listed_claims(operators):
    return [item.ok async for item in operators.unknown_claims() if item.is_ok()]


TestLedger = LedgerMachine.TestCase
TestLedger.settings = settings(
    max_examples=EXAMPLE_COUNT,
    stateful_step_count=STEPS_PER_EXAMPLE,
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
