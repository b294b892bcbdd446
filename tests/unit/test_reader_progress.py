"""Callers that read slowly, and callers that do not read."""

import asyncio
import socket
from contextlib import asynccontextmanager
from datetime import timedelta

import pytest
from tornado.iostream import IOStream

from magnoliatrail.reader_progress import AnswerWriter, ReaderProgress, ReaderStalled

# The kernel takes little on behalf of either side.
BUFFER_BYTES = 4096
CHUNK = b"x" * 60_000


def seconds(number):
    return timedelta(seconds=number)


def test_a_caller_that_reads_nothing_is_stalled_after_the_interval():
    progress = ReaderProgress(0, seconds(5))
    assert not progress.is_stalled(0, seconds(14.9))
    assert progress.is_stalled(0, seconds(15))


# Guards against slow callers that are cut although they keep reading.
def test_a_slow_caller_is_never_stalled():
    progress = ReaderProgress(0, seconds(0))
    for number in range(1, 1000):
        assert not progress.is_stalled(120 * number, seconds(number))


# Guards against callers that read a byte now and then, and hold an answer for ever.
def test_a_byte_now_and_then_is_no_progress():
    progress = ReaderProgress(0, seconds(0))
    found = [progress.is_stalled(number, seconds(number)) for number in range(12)]
    assert found == [False] * 10 + [True] * 2


@asynccontextmanager
async def connected():
    """Yield a stream, and the socket of a caller that has read nothing."""
    with socket.socket() as listening, socket.socket() as caller:
        listening.bind(("127.0.0.1", 0))
        listening.listen()
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        caller.connect(listening.getsockname())
        caller.setblocking(False)
        accepted, _ = listening.accept()
        accepted.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES)
        stream = IOStream(accepted)
        yield stream, caller
        stream.close()


async def read_slowly(caller, seconds):
    """Read 2 KB every 50 ms."""
    loop = asyncio.get_running_loop()
    received = 0
    async with asyncio.timeout(seconds):
        while received < len(CHUNK):
            received += len(await loop.sock_recv(caller, 2048))
            await asyncio.sleep(0.05)


# Guards against slow callers that are cut although they keep reading: a chunk that is
# written as a whole takes them longer than the interval.
def test_a_write_goes_on_while_its_caller_reads(run):
    async def scenario():
        async with connected() as (stream, caller):
            writer = AnswerWriter(stream, interval=timedelta(seconds=1))
            reading = asyncio.create_task(read_slowly(caller, 30))
            began = asyncio.get_running_loop().time()
            await writer.wait(stream.write(CHUNK))
            took = asyncio.get_running_loop().time() - began
            await reading
            assert took > 1

    run(scenario())


def test_a_write_ends_if_its_caller_reads_nothing(run):
    async def scenario():
        async with connected() as (stream, _):
            writer = AnswerWriter(stream, interval=timedelta(seconds=1))
            async with asyncio.timeout(10):
                with pytest.raises(ReaderStalled):
                    await writer.wait(stream.write(CHUNK))

    run(scenario())
