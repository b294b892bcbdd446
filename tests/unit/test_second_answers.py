"""Streams that broke off, and what the next engine's answer may add to them."""

import asyncio
from contextlib import asynccontextmanager, suppress

import msgspec
import pytest

from .entry_rig import HANDLE, TOKENS, running_rig
from .test_answer_check import event

SECRET = b"internal-problem"
EVENT_STREAM = b"Content-Type: text/event-stream\r\n"
OTHER_RUN = event(3, request="other-request", model=HANDLE)


def answer(status, body, *, head=b"", length=True):
    """Return an answer's bytes."""
    counted = b"Content-Length: %d\r\n" % len(body) if length else b""
    line = b"HTTP/1.1 %d Status\r\n" % status
    return line + b"X-Reason: " + SECRET + b"\r\n" + head + counted + b"\r\n" + body


WHOLE_HEAD = b"HTTP/1.1 500 Oops\r\nContent-Length: 16\r\n\r\n" + SECRET
ANSWERS = {
    "error": answer(500, b'{"error": "%s"}' % SECRET),
    "error without length": answer(500, SECRET, length=False),
    "error as event stream": answer(
        503, b"data: " + SECRET + b"\n\n", head=EVENT_STREAM
    ),
    "refusal": answer(429, SECRET),
    "redirect": answer(302, SECRET, head=b"Location: /%s\r\n" % SECRET),
    "no content": answer(204, b"", length=False),
    "error as a success": answer(
        200, b'{"error": "%s"}' % SECRET, head=b"Content-Type: application/json\r\n"
    ),
    "text as a success": answer(200, SECRET + b"\n\n", length=False),
    "error event": answer(
        200, b'event: error\ndata: {"error": "%s"}\n\n' % SECRET, head=EVENT_STREAM
    ),
    "error event with a position": answer(
        200, b'id: 3\ndata: {"error": "%s"}\n\n' % SECRET, head=EVENT_STREAM
    ),
    "head within the body": answer(200, WHOLE_HEAD, head=EVENT_STREAM, length=False),
    "end of the stream": answer(200, b"data: [DONE]\n\n", head=EVENT_STREAM),
    "events of another run": answer(200, OTHER_RUN, head=EVENT_STREAM),
    "nothing": answer(200, b"", head=EVENT_STREAM),
    "no answer in the protocol": SECRET + b"\r\n\r\n",
}


@asynccontextmanager
async def engine_with(content):
    """Run a server that answers each request with the same bytes."""
    writers = []

    async def serve(reader, writer):
        writers.append(writer)
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(content)
            await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    try:
        yield f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}"
    finally:
        for writer in writers:
            with suppress(ConnectionError):
                await writer.wait_closed()
        server.close()


async def stream_over_two_engines(rig, url):
    """Let the first engine end midway; return the bytes of the caller's answer."""
    second = rig.permits[1]
    second.grant = msgspec.structs.replace(second.grant, engine_url=url)
    rig.engines[0].faults.silence_streams = 1
    reader, writer = await rig.open_stream(TOKENS)
    await rig.until(lambda: not rig.engines[0].faults.silence_streams)
    rig.engines[0].restart()
    received = b""
    with suppress(ConnectionError):
        while part := await reader.read(4096):
            received += part
    writer.close()
    return received


# Guards against an engine's error in the middle of a stream that another one began, and
# against such a stream that ends as if it were complete (ORDER, MIXED).
@pytest.mark.parametrize("content", ANSWERS.values(), ids=ANSWERS.keys())
def test_nothing_of_an_answer_that_cannot_go_on_reaches_the_caller(run, content):
    async def scenario():
        async with running_rig() as rig, engine_with(content) as url:
            received = await stream_over_two_engines(rig, url)
        head, _, body = received.partition(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200")
        assert received.count(b"HTTP/1.1") == 1
        assert b"id: 0\n" in body
        assert SECRET not in received
        # Neither the end of the stream nor that of the chunks.
        assert b"[DONE]" not in body
        assert not body.endswith(b"0\r\n\r\n")

    run(scenario())
