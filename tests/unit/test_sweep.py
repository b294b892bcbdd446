from datetime import timedelta

import pytest

from magnoliatrail.clock import ManualClock
from magnoliatrail.generated.operations import SweepEntry
from magnoliatrail.generated.platform import RowWrite, Transaction
from magnoliatrail.operations.sweep import (
    FLEET_WRITES_PER_SECOND,
    MAX_BATCH_ENTRIES,
    MAX_CLOCK_SKEW,
    MAX_LOOKBACK_DAYS,
    SHARD_COUNT,
    Sweeper,
    sweep_interval,
)
from magnoliatrail.standins.objects import FakeObjects
from magnoliatrail.standins.table import FakeTable

RETENTION = timedelta(days=2)
CLAIM = "operations/claims/one"


class SweepEnvironment:
    def __init__(self):
        self.clock = ManualClock()
        self.table = FakeTable()
        self.objects = FakeObjects()
        self.sweeper = Sweeper(table=self.table, objects=self.objects, clock=self.clock)

    def write(self, key=CLAIM):
        write = RowWrite(key=key, value="{}")
        self.table.commit(Transaction(conditions=[], writes=[write]))

    async def add_completed(self, count=1, answer_object=""):
        for number in range(count):
            key = f"{CLAIM}{number}"
            self.write(key)
            revision = self.table.revision(key)
            entry = SweepEntry(key=key, revision=revision, answer_object=answer_object)
            self.sweeper.add_completed(entry)
        await self.sweeper.flush()

    async def sweep_all(self, is_own_shard=lambda _: True):
        sweeps = range((MAX_LOOKBACK_DAYS + 1) * SHARD_COUNT)
        return [await self.sweeper.sweep(RETENTION, is_own_shard) for _ in sweeps]


@pytest.fixture
def environment():
    return SweepEnvironment()


def test_no_row_is_deleted_before_its_retention(run, environment):
    async def scenario():
        environment.clock.advance(timedelta(hours=12))
        await environment.add_completed()
        environment.clock.advance(RETENTION - timedelta(seconds=1))
        await environment.sweep_all()
        assert CLAIM + "0" in environment.table.rows
        environment.clock.advance(MAX_CLOCK_SKEW)
        await environment.sweep_all()
        assert CLAIM + "0" in environment.table.rows

    run(scenario())


def test_an_expired_operation_is_deleted_with_its_answer(run, environment):
    async def scenario():
        environment.objects.objects["answer"] = b"x"
        await environment.add_completed(answer_object="answer")
        environment.clock.advance(RETENTION + timedelta(days=1))
        await environment.sweep_all()
        assert not environment.table.rows
        assert not environment.objects.objects

    run(scenario())


def test_a_row_that_changed_is_not_deleted(run, environment):
    async def scenario():
        await environment.add_completed(2)
        environment.write(CLAIM + "0")
        environment.clock.advance(RETENTION + timedelta(days=1))
        await environment.sweep_all()
        assert list(environment.table.rows) == [CLAIM + "0"]

    run(scenario())


def test_a_sweep_deletes_at_most_one_batch(run, environment):
    async def scenario():
        await environment.add_completed(3 * MAX_BATCH_ENTRIES)
        environment.clock.advance(RETENTION + timedelta(days=1))
        sizes = await environment.sweep_all()
        assert max(sizes) == MAX_BATCH_ENTRIES
        assert sum(sizes) == 3 * MAX_BATCH_ENTRIES

    run(scenario())


def test_other_instances_shards_are_left_alone(run, environment):
    async def scenario():
        await environment.add_completed()
        environment.clock.advance(RETENTION + timedelta(days=1))
        reads = environment.table.reads
        assert sum(await environment.sweep_all(lambda _: False)) == 0
        assert environment.table.reads == reads

    run(scenario())


def test_an_outage_keeps_unflushed_entries(run, environment):
    async def scenario():
        environment.table.faults.down = True
        await environment.add_completed()
        assert len(environment.sweeper.unflushed_entries) == 1
        environment.table.faults.down = False
        await environment.sweeper.flush()
        assert not environment.sweeper.unflushed_entries

    run(scenario())


@pytest.mark.parametrize("instances", [1, 6, 64, 370])
def test_the_fleet_stays_within_its_write_rate(instances):
    sweeping = min(instances, SHARD_COUNT)
    writes = (
        sweeping * (MAX_BATCH_ENTRIES + 1) / sweep_interval(instances).total_seconds()
    )
    assert writes <= FLEET_WRITES_PER_SECOND + 1e-6
