"""The record of the software versions that began streams."""

import asyncio
from datetime import timedelta
from random import Random

import pytest
from expression import Ok

from magnoliatrail.clock import ManualClock, SystemClock
from magnoliatrail.forwarding.stream_origin import AMBIGUOUS, VersionSource
from magnoliatrail.forwarding.stream_versions import COPIES, StreamVersions
from magnoliatrail.generated.cells import BegunStream, StreamVersionAnswer
from magnoliatrail.ids import InstanceId, new_incarnation
from magnoliatrail.membership.recent_instances import (
    INSTANCE_MEMORY,
    RecentInstances,
)
from magnoliatrail.membership.stream_records import (
    MAX_STREAMS,
    STREAM_LIFETIME,
    StreamRecordReader,
    StreamRecordWriter,
)
from magnoliatrail.metrics_text import TextMetrics
from tests.platform.fake_store import FakeRows

SERVICE = "models"
ADDRESSES = {f"i{number}": f"10.0.0.{number}:1" for number in range(9)}


class NoPeers:
    """Fail on every message to another instance."""

    async def ask(self, url, message, answer_type, limits):
        raise AssertionError(f"unexpected message to {url}")


def versions(clock=None, instance="i0", addresses=ADDRESSES, rows=None):
    clock, rows = clock or ManualClock(), rows or FakeRows()
    rows.clock = clock
    store = rows.client()
    return StreamVersions(
        clock=clock,
        peers=NoPeers(),
        instance=InstanceId(instance),
        recent_instances=RecentInstances(clock, lambda: addresses),
        writer=StreamRecordWriter(
            clock=clock,
            metrics=TextMetrics(),
            store=store,
            instance=InstanceId(instance),
            incarnation=new_incarnation(),
            generator=Random(1),
        ),
        reader=StreamRecordReader(store, clock),
    )


def test_a_recorded_version_is_found_without_asking(run):
    known = versions()
    known.record("r1", "v1", service=SERVICE)
    found = run(known.find("r1"))
    assert (found.software.version, found.source) == ("v1", VersionSource.RECORDED)


def test_versions_are_forgotten_after_the_lifetime_of_a_stream():
    clock = ManualClock()
    known = versions(clock)
    known.record("r1", "v1", service=SERVICE)
    clock.advance(STREAM_LIFETIME - timedelta(seconds=1))
    known.record("r2", "v1", service=SERVICE)
    assert set(known.known) == {"r1", "r2"}
    clock.advance(timedelta(seconds=2))
    known.record("r3", "v1", service=SERVICE)
    assert set(known.known) == {"r2", "r3"}


def test_the_record_is_bounded():
    known = versions()
    for number in range(MAX_STREAMS + 10):
        known.record(f"r{number}", "v1", service=SERVICE)
    assert len(known.known) == MAX_STREAMS
    assert "r0" not in known.known


def test_all_instances_agree_on_which_others_keep_a_stream():
    asked = versions(instance="i8").holders("r1", COPIES + 1)
    for name, address in ADDRESSES.items():
        kept = versions(instance=name).holders("r1", COPIES)
        assert len(kept) == COPIES
        assert address not in kept
        if name != "i8":
            assert set(kept) & set(asked)


def test_without_other_instances_nothing_is_sent():
    assert versions(addresses={}).holders("r1", COPIES) == []


# Guards against streams whose version only the instance knew that relayed them.
def test_streams_are_sent_once_another_instance_is_known(run):
    sent = []

    class Peers:
        async def ask(self, url, message, answer_type, limits):
            streams = [*message.streams, *message.to_write]
            sent.append((url, [stream.request for stream in streams]))
            return Ok(answer_type(kept=len(streams), writes=True))

    async def scenario():
        known = versions(SystemClock(), addresses=(addresses := {}))
        known.peers = Peers()
        sending = asyncio.ensure_future(known.send_periodically())
        known.record("r1", "v1", service=SERVICE)
        await asyncio.sleep(0.1)
        assert not sent
        addresses.update({"i1": "10.0.0.1:1"})
        async with asyncio.timeout(10):
            while not sent:
                await asyncio.sleep(0.01)
        sending.cancel()
        assert sent == [("http://10.0.0.1:1/stream/begun", ["r1"])]

    run(scenario())


# Guards against an instance that keeps versions for others without end, as none came.
def test_an_instance_alone_stops_waiting_for_others_once_its_streams_have_ended(run):
    async def scenario():
        clock = ManualClock()
        known = versions(clock, addresses={})
        sending = asyncio.ensure_future(known.send_periodically())
        known.record("r1", "v1", service=SERVICE)
        clock.advance(STREAM_LIFETIME)
        known.record("r2", "v1", service=SERVICE)
        clock.advance(timedelta(seconds=1))
        async with asyncio.timeout(10):
            while len(known.unsent) > 1:
                clock.advance(timedelta(milliseconds=1))
                await asyncio.sleep(0)
            assert known.unsent[0].stream.request == "r2"
            clock.advance(STREAM_LIFETIME)
            while known.wake.is_set():
                clock.advance(timedelta(milliseconds=1))
                await asyncio.sleep(0)
        sending.cancel()
        assert not known.unsent
        assert not known.known

    run(scenario())


# Guards against versions that are sent late because one instance does not answer.
def test_an_instance_that_does_not_answer_holds_up_no_other(run):
    class Peers:
        def __init__(self):
            self.open, self.sent = 0, []

        async def ask(self, url, message, answer_type, limits):
            if "10.0.0.1:" in url:
                self.open += 1
                await asyncio.Event().wait()
            streams = [*message.streams, *message.to_write]
            self.sent.extend(stream.request for stream in streams)
            return Ok(answer_type(kept=len(streams), writes=True))

    async def scenario():
        addresses = {"i1": "10.0.0.1:1", "i2": "10.0.0.2:1"}
        known = versions(SystemClock(), addresses=addresses)
        known.peers = Peers()
        sending = asyncio.ensure_future(known.send_periodically())
        async with asyncio.timeout(10):
            for number in range(3):
                known.record(f"r{number}", "v1", service=SERVICE)
                while len(known.peers.sent) <= number:
                    await asyncio.sleep(0.001)
        sending.cancel()
        assert known.peers.sent == ["r0", "r1", "r2"]
        assert known.peers.open == 1

    run(scenario())


def test_an_instance_that_a_new_owner_does_not_list_yet_still_keeps_streams():
    clock = ManualClock()
    addresses = dict(ADDRESSES)
    known = versions(clock, addresses=addresses)
    before = known.holders("r1", COPIES)
    addresses.clear()
    clock.advance(timedelta(seconds=1))
    assert known.holders("r1", COPIES) == before
    clock.advance(INSTANCE_MEMORY)
    assert known.holders("r1", COPIES) == []


# Guards against a version that is taken from an old list of servers, though another
# instance recorded the one that began the stream.
def test_a_record_of_another_instance_counts_and_not_the_list(run):
    class Peers:
        async def ask(self, url, message, answer_type, limits):
            return Ok(
                StreamVersionAnswer(
                    known=True, software_version="v1.1", instance="i3", age_ms=50.0
                )
            )

    known = versions()
    known.peers = Peers()
    found = run(known.find("r1"))
    assert (found.software.version, found.source) == ("v1.1", VersionSource.INSTANCE)
    assert (found.instance, found.age) == ("i3", timedelta(milliseconds=50))


# Guards against a stream that goes on at the version of another one with its name.
def test_a_name_of_streams_of_two_versions_is_of_no_version(run):
    known = versions()
    known.record("r1", "v1", service=SERVICE)
    known.record("r1", "v1", service=SERVICE)
    assert run(known.find("r1")).software.version == "v1"
    known.record("r1", "v1.1", service=SERVICE)
    assert run(known.find("r1")).software.version == AMBIGUOUS


# Guards against a stored record of one of two streams with one name.
def test_a_stored_name_of_streams_of_two_versions_is_of_no_version(run):
    async def scenario():
        known = versions()
        for version in ("v1", "v1.1"):
            known.writer.add(
                [BegunStream(request="r1", software_version=version, instance="i1")]
            )
            assert await known.writer.write_row()
        assert (await known.reader.find("r1")).ok is None

    run(scenario())


# Guards against streams without a name, or of servers without a version, that go on at
# any version.
@pytest.mark.parametrize(("request_id", "version"), [("", "v1"), ("r1", "")])
def test_what_has_no_name_or_no_version_has_no_record(run, request_id, version):
    known = versions(addresses={})
    known.record(request_id, version, service=SERVICE)
    assert not known.known
    assert not known.writer.pending
    assert run(known.find(request_id)).source is VersionSource.UNKNOWN


# Guards against records that a store which came back from a copy has lost for good,
# as no stream began since.
def test_records_are_written_again_after_a_restore_without_new_streams(run):
    async def scenario():
        clock, rows = ManualClock(), FakeRows()
        known = versions(clock, addresses={}, rows=rows)
        copied = rows.copy()
        writing = asyncio.ensure_future(known.writer.run())
        known.record("r1", "v1", service=SERVICE)
        await settle(clock)
        assert (await known.reader.find("r1")).ok is not None
        rows.restore(copied)
        known.writer.store.record_era(rows.era)
        await settle(clock)
        assert (await known.reader.find("r1")).ok is not None
        writing.cancel()

    run(scenario())


# Guards against more calls than the store allows, from instances that all write
# while it is away.
def test_writers_call_a_store_that_is_away_less_and_less(run):
    async def scenario():
        clock, rows = ManualClock(), FakeRows()
        rows.down = True
        known = versions(clock, addresses={}, rows=rows)
        writing = asyncio.ensure_future(known.writer.run())
        known.record("r1", "v1", service=SERVICE)
        await settle(clock, seconds=10)
        before = rows.calls
        await settle(clock, seconds=10)
        assert rows.calls - before <= 5
        rows.down = False
        await settle(clock, seconds=6)
        assert (await known.reader.find("r1")).ok is not None
        writing.cancel()

    run(scenario())


# Guards against a writer that keeps its own streams to itself while it cannot write.
def test_an_instance_that_cannot_write_lets_another_write_its_streams(run):
    known = versions(addresses={"i1": "10.0.0.1:1"}, instance="i0")
    request = next(
        f"r{number}" for number in range(99) if known.ranking(f"r{number}")[0] == "i0"
    )
    known.record(request, "v1", service=SERVICE)
    known.writer.failing = True
    known.record(request, "v1", service=SERVICE)
    assert len(known.writer.pending) == 1
    assert [item.writers_tried for item in known.unsent] == [None, 0]


# Guards against streams that nobody writes, as an instance alone leaves them to others.
def test_an_instance_alone_writes_its_streams_once_it_can(run):
    known = versions(addresses={})
    known.writer.failing = True
    known.record("r1", "v1", service=SERVICE)
    assert [stream.request for stream in known.writer.pending] == ["r1"]


# Guards against reads of the store that callers cause without bound.
def test_requests_for_unknown_streams_share_reads_of_the_store(run):
    async def scenario():
        clock, rows = ManualClock(), FakeRows()
        known = versions(clock, addresses={}, rows=rows)
        for number in range(5):
            found = asyncio.ensure_future(known.reader.find(f"r{number}"))
            others = [
                asyncio.ensure_future(known.reader.find(f"r{number}-{other}"))
                for other in range(20)
            ]
            await settle(clock, seconds=0.5)
            assert (await found).ok is None
            assert [(await other).ok for other in others] == [None] * len(others)
        assert rows.calls <= 2 * 5

    run(scenario())


async def settle(clock, seconds=3.0):
    """Let time pass in small steps."""
    for _ in range(round(seconds / 0.05)):
        for _ in range(10):
            await asyncio.sleep(0)
        clock.advance(timedelta(seconds=0.05))
