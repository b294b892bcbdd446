"""No request is routed by a configuration that is too old, whatever the store does."""

import asyncio
import json
from datetime import timedelta
from enum import Enum

from expression import Error, Ok
from hypothesis import given, settings
from hypothesis import strategies as st

from magnoliatrail.clock import ManualClock
from magnoliatrail.errors import ErrorKind, Failure
from magnoliatrail.membership.fleet_view import FleetView
from magnoliatrail.membership.store_reader import StoreReader
from magnoliatrail.membership.table_bounds import TableBounds
from magnoliatrail.platform.protocol import OPERATOR_TABLE, SERVERS_TABLE
from magnoliatrail.platform.rows import RowsRead, StoredRow
from tests.platform.rig import configuration

# An object whose unread field is nested too deeply to be decoded.
NESTED = b'{"version": 1, "x": ' + b"[" * 5000 + b"]" * 5000 + b"}"
STEP = timedelta(milliseconds=50)
READ_TIMEOUT = timedelta(seconds=1.2)
ANSWER_TIME = timedelta(milliseconds=4)
LAG = timedelta(seconds=3)
# Each instance learns of the store's newest version at least this often.
RENEWAL_INTERVAL = timedelta(milliseconds=700)
BOUND = timedelta(seconds=2)
EXTENSION = timedelta(seconds=5)
TABLE_BOUNDS = TableBounds(
    read_above=BOUND * 0.85,
    max_ages={OPERATOR_TABLE: BOUND, SERVERS_TABLE: BOUND},
    extension=EXTENSION,
)


class StoreMode(Enum):
    """What the store does with reads."""

    ANSWERS = "answers"
    HANGS = "hangs"
    REFUSES = "refuses"
    # Reads are answered from a copy that is behind; writes are not.
    LAGS = "lags"


class ScriptedStore:
    """A store with one configuration row, whose versions are written over time."""

    def __init__(self, clock):
        self.clock = clock
        self.mode = StoreMode.ANSWERS
        # Times of the store's versions, and the versions that changed the row.
        self.times = [clock.monotonic()]
        self.written = {1: 1}
        self.odd = set()
        self.learned = []

    @property
    def version(self):
        return len(self.times)

    def write(self, *, configuration=None, odd=False):
        """Write a row; of an odd one nothing can be read."""
        self.times.append(self.clock.monotonic())
        if odd:
            self.odd.add(self.version)
        elif configuration:
            self.written[self.version] = configuration

    def version_at(self, time):
        """Return the store's version at a time."""
        return max(1, sum(at <= time for at in self.times))

    def configuration_at(self, time):
        """Return the version of the configuration that was in the store at a time."""
        version = self.version_at(time)
        return max(value for at, value in self.written.items() if at <= version)

    def learn(self):
        self.learned.append((self.version, self.clock.monotonic()))

    def superseded_at(self, version):
        return next((at for known, at in self.learned if known > version), None)

    def rows_of(self, table):
        """Return all versions of the rows of a table."""
        if table != OPERATOR_TABLE:
            return []
        return [
            *(operator_row(at, value) for at, value in self.written.items()),
            *(StoredRow("config", at, NESTED) for at in self.odd),
        ]

    async def changes(self, table, after, wait):
        mode = self.mode
        if mode is StoreMode.REFUSES:
            return unavailable("refused")
        if mode is StoreMode.HANGS:
            await self.clock.sleep(READ_TIMEOUT)
            return unavailable("no answer")
        await self.clock.sleep(ANSWER_TIME + wait)
        now = self.clock.monotonic()
        seen = self.version_at(now - (LAG if mode is StoreMode.LAGS else timedelta()))
        rows = [row for row in self.rows_of(table) if after < row.version <= seen]
        found = tuple(rows)
        self.learned.append((seen, now))
        self.learned.sort()
        return Ok(RowsRead(found, max(after, seen), whole=False))


def operator_row(version, value):
    return StoredRow("config", version, json.dumps(configuration(value)).encode())


def unavailable(reason):
    return Error(Failure(ErrorKind.TABLE_UNAVAILABLE, reason))


class Instance:
    """An instance that reads the store itself, or gets updates of another one."""

    def __init__(self, new_store=ScriptedStore):
        self.clock = ManualClock()
        self.clock.advance(timedelta(seconds=10))
        self.store = new_store(self.clock)
        self.view = FleetView(self.clock)
        self.reads = True
        self.reader = StoreReader(
            clock=self.clock,
            store=self.store,
            view=self.view,
            read_due_in=lambda age: timedelta(seconds=0 if self.reads else 60),
        )
        now = self.clock.monotonic()
        for table in (OPERATOR_TABLE, SERVERS_TABLE):
            rows = tuple(self.store.rows_of(table))
            self.view.apply(table, RowsRead(rows, 1, whole=True), now, "store")
        self.requests = []
        self.seen = [1]

    async def pass_time(self, duration):
        until = self.clock.monotonic() + duration
        while self.clock.monotonic() < until:
            self.clock.advance(STEP)
            # Backend servers write about themselves all the time.
            self.store.write()
            for _ in range(8):
                await asyncio.sleep(0)
            self.seen.append(self.view.routes.version)
            assert self.seen[-1] >= self.seen[-2], "the configuration went back"

    async def renew(self):
        while True:
            if self.store.mode in (StoreMode.ANSWERS, StoreMode.LAGS):
                self.store.learn()
            await self.clock.sleep(RENEWAL_INTERVAL)

    def update(self, age):
        """Apply the updates of an owner whose copy has an age."""
        known_at = self.clock.monotonic() - age
        seen = self.store.version_at(known_at)
        for table in (OPERATOR_TABLE, SERVERS_TABLE):
            rows = [row for row in self.store.rows_of(table) if row.version <= seen]
            rows = [row for row in rows if row.version not in self.store.odd]
            read = RowsRead(tuple(rows), seen, whole=False)
            if seen >= self.view.tables[table].version:
                self.view.apply(table, read, known_at, "owner")

    async def request(self):
        """Check that a request is refused, or routed by a recent configuration."""
        received_at = self.clock.monotonic()
        failing = bool(self.reader.failing)
        fresh = await self.reader.ensure_fresh(TABLE_BOUNDS)
        if not fresh or failing or self.reader.failing:
            return
        bound = BOUND + RENEWAL_INTERVAL
        lagged_at = self.reader.outdated_at.get(OPERATOR_TABLE)
        if lagged_at is not None and received_at - lagged_at < EXTENSION:
            bound += EXTENSION
        allowed = self.store.configuration_at(received_at - bound)
        assert self.view.routes.version >= allowed, "routed by an older configuration"


steps = st.lists(
    st.one_of(
        st.tuples(st.just("pass"), st.integers(1, 40)),
        st.tuples(st.just("write"), st.booleans()),
        st.tuples(st.just("mode"), st.sampled_from(StoreMode)),
        st.tuples(st.just("update"), st.integers(0, 40)),
        st.tuples(st.just("reads"), st.booleans()),
        st.tuples(st.just("pause"), st.integers(1, 60)),
        st.tuples(st.just("request"), st.none()),
    ),
    min_size=8,
    max_size=40,
)


async def play(script):
    instance = Instance()
    tasks = [
        asyncio.create_task(instance.reader.run()),
        asyncio.create_task(instance.renew()),
    ]
    value = 1
    for action, argument in script:
        match action:
            case "pass":
                await instance.pass_time(STEP * argument)
            case "write":
                value += 0 if argument else 1
                instance.store.write(configuration=value, odd=argument)
            case "mode":
                instance.store.mode = argument
            case "update":
                instance.update(STEP * argument)
            case "reads":
                instance.reads = argument
            case "pause":
                # The process is suspended: time passes, and none of its tasks runs.
                instance.clock.advance(STEP * argument)
            case "request":
                instance.requests.append(asyncio.create_task(instance.request()))
                await asyncio.sleep(0)
    await instance.pass_time(timedelta(seconds=2))
    await asyncio.gather(*instance.requests)
    for task in tasks:
        task.cancel()
    return instance


# Guards against requests routed by a configuration older than the bound (CONFIG), as an
# instance went on by what it knew when reads were late, or believed reads that lagged.
@settings(derandomize=True, max_examples=150, deadline=None)
@given(steps)
def test_no_request_is_routed_by_a_configuration_that_is_too_old(script):
    asyncio.run(play(script))


def test_an_instance_whose_store_answers_refuses_nothing(run):
    async def scenario():
        instance = Instance()
        reading = asyncio.create_task(instance.reader.run())
        for _ in range(20):
            await instance.pass_time(timedelta(seconds=0.5))
            assert await instance.reader.ensure_fresh(TABLE_BOUNDS)
        reading.cancel()

    run(scenario())
