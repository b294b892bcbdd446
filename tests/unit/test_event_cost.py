import asyncio
import json
from datetime import timedelta
from pathlib import Path
from socket import socketpair

import pytest
from tornado.iostream import IOStream

from magnoliatrail.entry.answer_check import AnswerCheck
from magnoliatrail.entry.chunk_writer import ChunkWriter
from magnoliatrail.entry.engine_stream import AnswerHead, EngineStream
from magnoliatrail.ids import AdapterVersion, Handle, RequestId

from .test_answer_check import event

FIGURES = Path(__file__).resolve().parents[2] / "benchmarks/entry_chunk_cost.json"


class CountedSocket:
    """Count the read and write calls on a socket."""

    def __init__(self, socket):
        self.socket = socket
        self.calls = 0

    def recv(self, size):
        self.calls += 1
        return self.socket.recv(size)

    def send(self, data):
        self.calls += 1
        return self.socket.send(data)


class CountedStream:
    """Stand in for an idle caller connection that accepts every write."""

    def __init__(self, socket):
        self.socket = socket

    def closed(self):
        return False

    def writing(self):
        return False


def test_an_event_that_arrives_alone_costs_one_read(run):
    async def scenario():
        near, far = socketpair()
        stream = EngineStream(AnswerHead(None), IOStream(near), timedelta(hours=1))
        received = []
        relaying = asyncio.create_task(stream.relay(received.append))
        await asyncio.sleep(0)
        counted = CountedSocket(near)
        for position in range(10):
            far.sendall(event(position))
            stream.on_readable(counted)
        assert counted.calls == 10
        assert received
        relaying.cancel()
        stream.close()
        far.close()

    run(scenario())


def test_an_event_that_leaves_at_once_costs_one_write():
    near, far = socketpair()
    counted = CountedSocket(near)
    writer = ChunkWriter(CountedStream(counted))
    for position in range(10):
        assert writer.write(event(position)) is None
    assert counted.calls == 10
    assert far.recv(65536).count(b"id: ") == 10
    near.close()
    far.close()


def test_events_in_the_usual_layout_are_checked_without_a_parser():
    check = AnswerCheck(RequestId("r"), Handle("a@1~3"), AdapterVersion("a", "1"))
    data = event(0) + event(1) + event(2)
    assert check.feed_fast_path(data) == len(data)
    assert check.next_position == 3


@pytest.mark.parametrize("arrival", ["burst", "saturated", "spread"])
def test_the_last_measured_cost_is_within_its_target(arrival):
    figures = json.loads(FIGURES.read_text())
    assert figures[arrival]["ratio"]["entry"] <= figures["target_ratio"]
