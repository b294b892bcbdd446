import asyncio
import select
from datetime import timedelta
from socket import socketpair

import pytest
from tornado.iostream import IOStream

from magnoliatrail.entry.answer_check import AnswerCheck
from magnoliatrail.entry.engine_stream import READ_BYTES, AnswerHead, EngineStream
from magnoliatrail.entry.stream_relay import relay_events
from magnoliatrail.ids import AdapterVersion, Handle, RequestId

from .test_answer_check import DONE, LAST, event


class PausedSink:
    """Block every write until `resume` is set."""

    def __init__(self):
        self.written = []
        self.resume = asyncio.Event()

    def write_events(self, data):
        self.written.append(data)
        return self.resume.wait()


def test_the_engine_is_not_read_while_the_caller_does_not_read(run):
    async def scenario():
        near, far = socketpair()
        far.setblocking(False)
        stream = EngineStream(AnswerHead(None), IOStream(near), timedelta(hours=1))
        sink = PausedSink()
        check = AnswerCheck(RequestId("r"), Handle("a@1~3"), AdapterVersion("a", "1"))
        relay = asyncio.create_task(relay_events(stream, check, sink))
        position = 0
        # The far end can write only as much as the socket buffers hold.
        while writable(far):
            far.send(event(position))
            position += 1
            await asyncio.sleep(0)
        assert len(sink.written) == 1
        sink.resume.set()
        far.setblocking(True)
        await asyncio.to_thread(far.sendall, event(position, reason=LAST) + DONE)
        assert await relay is None
        assert check.next_position == position + 1
        stream.close()
        far.close()

    run(scenario())


class StreamWithEventAfterRead(IOStream):
    """Write an event at the far end right after each of the first reads."""

    def __init__(self, near, far):
        super().__init__(near)
        self.far = far
        self.position = 1

    def read_from_fd(self, buffer):
        size = super().read_from_fd(buffer)
        if size and self.position < 4:
            self.far.sendall(event(self.position))
            self.position += 1
        return size


def test_no_byte_is_lost_when_the_socket_is_taken_over(run):
    async def scenario():
        near, far = socketpair()
        source = StreamWithEventAfterRead(near, far)
        stream = EngineStream(AnswerHead(None), source, timedelta(hours=1))
        sink = PausedSink()
        sink.resume.set()
        check = AnswerCheck(RequestId("r"), Handle("a@1~3"), AdapterVersion("a", "1"))
        relay = asyncio.create_task(relay_events(stream, check, sink))
        await asyncio.sleep(0.01)
        far.sendall(event(0))
        await asyncio.sleep(0.01)
        far.sendall(event(source.position, reason=LAST) + DONE)
        assert await relay is None
        stream.close()
        far.close()

    run(scenario())


@pytest.mark.parametrize("size", [1, 40, READ_BYTES])
def test_a_connection_that_closes_after_its_first_bytes_is_broken(run, size):
    async def scenario():
        near, far = socketpair()
        far.sendall((event(0) * READ_BYTES)[:size])
        far.close()
        stream = EngineStream(AnswerHead(None), IOStream(near), timedelta(hours=1))
        sink = PausedSink()
        sink.resume.set()
        check = AnswerCheck(RequestId("r"), Handle("a@1~3"), AdapterVersion("a", "1"))
        broken = await relay_events(stream, check, sink)
        assert "ended at position" in broken.reason
        stream.close()

    run(scenario())


def writable(sock):
    """Return whether a socket accepts bytes without blocking."""
    return bool(select.select([], [sock], [], 0)[1])
