"""The reader of the records of begun streams in the store."""

import asyncio
from datetime import timedelta

import logbook
import pytest

from magnoliatrail.clock import SystemClock
from magnoliatrail.errors import ErrorKind
from magnoliatrail.membership.stream_records import (
    STREAM_LIFETIME,
    StreamRecordReader,
    StreamSoftware,
)
from magnoliatrail.platform.protocol import STREAMS_TABLE
from magnoliatrail.platform.rows import RowWrite
from tests.unit.stream_records_rig import Records


@pytest.fixture
def records():
    return Records()


class CountingStore:
    """A client of the store that counts calls and may hold them up."""

    def __init__(self, client):
        self.client = client
        self.reads = []
        self.held = asyncio.Event()
        self.held.set()

    async def read(self, table, part=""):
        self.reads.append("read")
        answer = await self.client.read(table, part)
        await self.held.wait()
        return answer

    async def changes(self, table, after, wait):
        self.reads.append("changes")
        answer = await self.client.changes(table, after, wait)
        await self.held.wait()
        return answer


def counting_reader(records):
    return StreamRecordReader(CountingStore(records.rows.client()), SystemClock())


def test_the_reader_reads_changes_only(run, records):
    async def scenario():
        reader = counting_reader(records)
        await records.write("r1")
        assert (await reader.find("r1")).ok == (StreamSoftware("v1"), "i0")
        assert (await reader.find("r1")).ok == (StreamSoftware("v1"), "i0")
        assert reader.store.reads == ["read"]
        await records.write("r2")
        assert (await reader.find("r2")).ok == (StreamSoftware("v1"), "i0")
        assert (await reader.find("unknown")).ok is None
        assert reader.store.reads == ["read", "changes", "changes"]

    run(scenario())


def test_the_reader_forgets_rows_that_were_removed(run, records):
    async def scenario():
        reader = counting_reader(records)
        await records.write("r1")
        await reader.find("r1")
        records.clock.advance(STREAM_LIFETIME + timedelta(seconds=1))
        await records.write("r2")
        await reader.find("r2")
        assert set(reader.rows) == records.keys()
        assert reader.store.reads == ["read", "changes"]

    run(scenario())


def test_the_reader_reads_all_if_the_history_is_gone(run, records):
    async def scenario():
        reader = counting_reader(records)
        await records.write("r1")
        await reader.find("r1")
        records.clock.advance(STREAM_LIFETIME + timedelta(seconds=1))
        await records.write("r2")
        records.rows.forgotten = records.rows.version
        await records.write("r3")
        assert (await reader.find("r3")).ok == (StreamSoftware("v1"), "i0")
        assert set(reader.rows) == records.keys()
        assert reader.store.reads == ["read", "changes", "read"]

    run(scenario())


# Guards against a reader that waits for versions that the store counts anew.
def test_the_reader_reads_all_if_the_store_was_restored(run, records):
    async def scenario():
        reader = counting_reader(records)
        copied = records.rows.copy()
        for number in range(5):
            await records.write(f"r{number}")
        await reader.find("r0")
        records.rows.restore(copied)
        other = records.new_writer("i1")
        await records.write("after", writer=other)
        assert (await reader.find("after")).ok == (StreamSoftware("v1"), "i1")
        assert set(reader.rows) == records.keys()
        assert reader.store.reads == ["read", "changes", "read"]

    run(scenario())


# Guards against a read for each of many streams that are taken up at once, and against
# a lookup that trusts a read which began before the stream was written.
def test_lookups_at_once_share_a_read_and_read_again_what_came_during_it(run, records):
    async def scenario():
        reader = counting_reader(records)
        await records.write("r1")
        reader.store.held.clear()
        first = [asyncio.ensure_future(reader.find("r1")) for _ in range(5)]
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert reader.store.reads == ["read"]
        await records.write("r2")
        joined = [asyncio.ensure_future(reader.find("r2")) for _ in range(5)]
        await asyncio.sleep(0)
        reader.store.held.set()
        found = [answer.ok for answer in await asyncio.gather(*first, *joined)]
        assert found == [(StreamSoftware("v1"), "i0")] * 10
        assert reader.store.reads == ["read", "changes"]

    run(scenario())


def test_a_lookup_that_is_given_up_does_not_end_the_read_of_others(run, records):
    async def scenario():
        reader = counting_reader(records)
        await records.write("r1")
        reader.store.held.clear()
        one = asyncio.ensure_future(reader.find("r1"))
        two = asyncio.ensure_future(reader.find("r1"))
        await asyncio.sleep(0.001)
        one.cancel()
        await asyncio.sleep(0.001)
        reader.store.held.set()
        assert (await two).ok == (StreamSoftware("v1"), "i0")

    run(scenario())


def test_an_unreadable_store_is_told_from_an_unknown_stream(run, records):
    async def scenario():
        reader = records.new_reader()
        assert (await reader.find("r1")).ok is None
        records.rows.down = True
        assert (await reader.find("r1")).error.kind is ErrorKind.TABLE_UNAVAILABLE

    run(scenario())


def test_a_row_that_cannot_be_decoded_is_logged_and_passed_over(run, records):
    async def scenario():
        client = records.rows.client()
        for key, value in (("bad", b"{"), ("other", b'{"writer": 3}')):
            await client.commit([RowWrite(STREAMS_TABLE, key, value, expected=0)])
        await records.write("r1")
        with logbook.TestHandler() as handler:
            assert await records.find("r1") == "v1"
        logged = [record.message for record in handler.records]
        assert ["row_unreadable" in line for line in logged] == [True, True]

    run(scenario())
