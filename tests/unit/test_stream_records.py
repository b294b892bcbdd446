"""The writer of the records of begun streams in the store, and who writes."""

import asyncio
from datetime import timedelta

import msgspec
import pytest
from expression import Error, Ok

from magnoliatrail.errors import ErrorKind, Failure
from magnoliatrail.forwarding.stream_versions import (
    INSTANCES_PER_WRITER,
    WRITERS_TRIED,
    StreamVersions,
    UnsentStream,
)
from magnoliatrail.generated.cells import BegunStreams, BegunStreamsAnswer
from magnoliatrail.ids import InstanceId
from magnoliatrail.membership.recent_instances import RecentInstances
from magnoliatrail.membership.stream_records import (
    MAX_REMOVALS,
    MAX_STREAMS,
    MAX_STREAMS_A_ROW,
    PART,
    STREAM_LIFETIME,
    WRITE_INTERVAL,
    digest_of,
    row_of,
)
from magnoliatrail.platform.rows import RowWrite
from magnoliatrail.wire import encode
from tests.unit.stream_records_rig import Records, begun

MAX_ROW_BYTES = 64 * 1024
# The limit of the store for the whole fleet.
STORE_WRITES_A_SECOND = 400


@pytest.fixture
def records():
    return Records()


# Guards against a write whose answer was lost that is carried out twice, or whose retry
# takes the place of streams that were added since.
@pytest.mark.parametrize("fault", ["lose_next", "delay_next"])
def test_a_write_without_an_answer_is_repeated_and_recorded_once(run, records, fault):
    async def scenario():
        setattr(records.rows, fault, True)
        assert not await records.write("r1")
        assert not records.writer.pending
        assert await records.write("r2")
        records.rows.apply_delayed()
        assert await records.writer.write_row()
        assert sorted(records.digests()) == sorted([digest_of("r1"), digest_of("r2")])

    run(scenario())


def test_a_write_that_comes_late_changes_no_later_row(run, records):
    async def scenario():
        records.rows.delay_next = True
        await records.write("r1")
        await records.writer.write_row()
        await records.write("r2")
        before = dict(records.rows.rows)
        records.rows.apply_delayed()
        assert records.rows.rows == before

    run(scenario())


def test_streams_that_cannot_be_written_are_bounded_and_the_newest_kept(run, records):
    async def scenario():
        records.rows.down = True
        await records.write("first")
        for start in range(0, MAX_STREAMS + 2000, 1000):
            records.writer.add([begun(f"r{start + n}") for n in range(1000)])
        assert len(records.writer.pending) == MAX_STREAMS
        assert records.writer.pending[-1].request == f"r{MAX_STREAMS + 1999}"

    run(scenario())


def test_a_row_stays_below_the_limit_of_the_store():
    streams = [
        begun(f"r{number}", f"v{number % 20}" + "x" * 1000)
        for number in range(MAX_STREAMS_A_ROW)
    ]
    assert len(encode(row_of(InstanceId("i" * 64), streams))) < MAX_ROW_BYTES


# Guards against a row that the store refuses each time, as its streams began at many
# services.
def test_streams_of_many_services_are_divided_into_rows(run, records):
    async def scenario():
        requests = [f"r{number}" for number in range(MAX_STREAMS_A_ROW)]
        records.writer.add(
            msgspec.structs.replace(begun(request), service=f"service-of-{request}")
            for request in requests
        )
        while records.writer.pending or records.writer.row:
            assert await records.writer.write_row()
        assert sorted(records.digests()) == sorted(map(digest_of, requests))
        values = [value for value, _ in records.rows.rows.values()]
        assert max(map(len, values)) < MAX_ROW_BYTES

    run(scenario())


def test_more_streams_than_a_row_holds_are_divided_into_rows(run, records):
    async def scenario():
        requests = [f"r{number}" for number in range(MAX_STREAMS_A_ROW + 1)]
        await records.write(*requests)
        assert records.writer.wake.is_set()
        await records.writer.write_row()
        assert not records.writer.wake.is_set()
        assert sorted(records.digests()) == sorted(map(digest_of, requests))
        assert len(records.keys()) == 2

    run(scenario())


# Guards against records that are gone once the store has come back from a copy.
def test_what_was_written_is_written_again_after_a_restoration(run, records):
    async def scenario():
        copied = records.rows.copy()
        await records.write("r1")
        records.clock.advance(timedelta(seconds=1))
        records.rows.restore(copied)
        # The era is known from the answer to this write.
        await records.write("r2")
        await records.write("r3")
        for request in ("r1", "r2", "r3"):
            assert await records.find(request) == "v1"

    run(scenario())


async def pass_time(clock, seconds):
    for _ in range(round(seconds * 10)):
        clock.advance(timedelta(milliseconds=100))
        for _ in range(10):
            await asyncio.sleep(0)


def test_streams_that_ended_before_a_restoration_are_not_written_again(run, records):
    async def scenario():
        writing = asyncio.ensure_future(records.writer.run())
        records.writer.add([begun("r1")])
        await pass_time(records.clock, 1)
        records.clock.advance(STREAM_LIFETIME)
        records.rows.restore(({}, 0))
        records.writer.store.record_era(1)
        await pass_time(records.clock, 2)
        writing.cancel()
        assert not records.rows.rows

    run(scenario())


# Guards against records that are lost with a restoration at a time without new streams.
def test_a_restoration_is_noticed_without_a_new_stream(run, records):
    async def scenario():
        copied = records.rows.copy()
        writing = asyncio.ensure_future(records.writer.run())
        records.writer.add([begun("r1")])
        await pass_time(records.clock, 1)
        records.rows.restore(copied)
        # Another call of the instance names the new era.
        records.writer.store.record_era(1)
        await pass_time(records.clock, 2)
        writing.cancel()
        assert await records.find("r1") == "v1"

    run(scenario())


def test_rows_are_removed_once_their_streams_have_ended(run, records):
    async def scenario():
        await records.write("r1")
        old = records.keys()
        records.clock.advance(STREAM_LIFETIME - timedelta(seconds=1))
        await records.write("r2")
        assert old <= records.keys()
        records.clock.advance(timedelta(seconds=2))
        await records.write("r3")
        assert not old & records.keys()
        assert await records.find("r2") == "v1"
        assert set(records.writer.rows) == records.keys()

    run(scenario())


# Guards against a table that grows with each restart, as no writer knows the rows.
def test_the_rows_of_writers_that_are_gone_are_removed(run, records):
    async def scenario():
        gone = records.new_writer("i9")
        for number in range(2 * MAX_REMOVALS):
            await records.write(f"old{number}", writer=gone)
        old = records.keys()
        await records.write("r1")
        records.clock.advance(STREAM_LIFETIME - timedelta(seconds=1))
        await records.write("r2")
        assert old <= records.keys()
        records.clock.advance(timedelta(seconds=2))
        for number in range(3):
            await records.write(f"new{number}")
        assert not old & records.keys()

    run(scenario())


def test_a_removal_that_failed_is_repeated(run, records):
    async def scenario():
        await records.write("r1")
        old = records.keys()
        records.clock.advance(STREAM_LIFETIME + timedelta(seconds=1))
        records.rows.down = True
        assert not await records.write("r2")
        records.rows.down = False
        assert await records.writer.write_row()
        assert not old & records.keys()

    run(scenario())


# Who writes


class AskedPeers:
    """Answer messages about begun streams as told, and keep what each was asked."""

    def __init__(self, answer):
        self.answer = answer
        self.asked = []

    async def ask(self, url, message, answer_type, limits):
        if message.to_write:
            self.asked.append(url)
        return self.answer


def versions(records, peers=None, instances=5, name="i0"):
    addresses = {f"i{number}": f"i{number}:1" for number in range(instances)}
    return StreamVersions(
        clock=records.clock,
        peers=peers,
        instance=InstanceId(name),
        recent_instances=RecentInstances(records.clock, lambda: addresses),
        writer=records.writer,
        reader=records.new_reader(),
    )


def test_an_instance_that_cannot_write_keeps_streams_and_asks_others_to_write(
    run, records
):
    async def scenario():
        asked = versions(records)
        records.rows.down = True
        await records.write("r0")
        message = BegunStreams(streams=[], to_write=[begun("r1")])
        answer = (await asked.answer_begun(message)).ok
        assert (answer.kept, answer.writes) == (1, False)
        assert "r1" in asked.known
        assert not records.writer.pending
        records.rows.down = False
        assert await records.writer.write_row()
        assert (await asked.answer_begun(message)).ok.writes
        assert [stream.request for stream in records.writer.pending] == ["r1"]

    run(scenario())


@pytest.mark.parametrize(
    "answer",
    [
        Ok(BegunStreamsAnswer(kept=1, writes=False)),
        Error(Failure(ErrorKind.PEER_UNAVAILABLE, "no answer")),
    ],
)
def test_streams_that_others_do_not_write_are_written_by_the_sender(
    run, records, answer
):
    async def scenario():
        peers = AskedPeers(answer)
        known = versions(records, peers)
        # A stream that another instance should write.
        request = next(
            f"r{number}"
            for number in range(99)
            if known.ranking(f"r{number}")[0] != known.instance
        )
        sending = asyncio.ensure_future(known.send_periodically())
        known.record(request, "v1", service="models")
        await pass_time(records.clock, 1)
        sending.cancel()
        holders = known.holders(request, WRITERS_TRIED)
        assert peers.asked == [f"http://{holder}/stream/begun" for holder in holders]
        assert [stream.request for stream in records.writer.pending] == [request]

    run(scenario())


def test_a_stream_has_a_writer_also_if_there_are_few_instances(run, records):
    known = versions(records, instances=2)
    known.choose_recipients(UnsentStream(begun("r1"), writers_tried=1))
    assert [stream.request for stream in records.writer.pending] == ["r1"]


# 370 instances is the largest fleet that is planned for.
@pytest.mark.parametrize(("instances", "writers"), [(7, 2), (195, 3), (370, 7)])
def test_few_instances_write_however_many_there_are(records, instances, writers):
    first = {
        versions(records, instances=instances, name=f"i{number % 3}").ranking(
            f"r{number}"
        )[0]
        for number in range(300)
    }
    assert len(first) <= writers
    assert writers <= max(2, instances / INSTANCES_PER_WRITER)
    writes_a_second = writers / WRITE_INTERVAL.total_seconds()
    # The leases of 370 instances take a quarter of what all may write.
    assert writes_a_second < STORE_WRITES_A_SECOND / 2


# Guards against leases that wait in the store behind the records of streams: it carries
# out the writes to one part one after the other.
def test_records_are_in_another_part_of_the_store_than_leases(run, records):
    async def scenario():
        parts = []
        commit = records.writer.store.commit

        async def keep_parts(writes, *, removals=()):
            parts.extend(item.part for item in (*writes, *removals))
            return await commit(writes, removals=removals)

        records.writer.store.commit = keep_parts
        await records.write("r1")
        records.clock.advance(2 * STREAM_LIFETIME)
        await records.write("r2")
        assert parts == [PART] * 3
        assert RowWrite("cells", "owner", b"", 0).part != PART

    run(scenario())
