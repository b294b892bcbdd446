import asyncio

import msgspec
import pytest

from magnoliatrail.generated.answers import ErrorAnswer, Outcome

from .fleet import running_fleet

pytestmark = pytest.mark.processes

HEAD = b"POST /v1/completions HTTP/1.1\r\nHost: entry\r\n"
LARGE = b"x" * 3000
OVERSIZED = {
    "announced": HEAD + b"Content-Length: 99999999\r\n\r\n" + LARGE,
    "chunked": HEAD
    + b"Transfer-Encoding: chunked\r\n\r\n"
    + b"bb8\r\n%s\r\n" % LARGE
    + b"0\r\n\r\n",
}


async def answer_to(process, data):
    host, port = process.caller_url.removeprefix("http://").split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(data)
    head = await reader.readuntil(b"\r\n\r\n")
    body = await reader.readuntil(b"}}")
    writer.close()
    return head, msgspec.json.decode(body, type=ErrorAnswer)


def test_a_body_over_the_limit_gets_the_standard_error_answer(run):
    async def scenario():
        async with running_fleet(["one"], flags=["--max-body-bytes=2000"]) as fleet:
            process = fleet.processes["one"]
            for data in OVERSIZED.values():
                head, answer = await answer_to(process, data)
                assert head.startswith(b"HTTP/1.1 413 ")
                assert answer.error.kind == "body_too_large"
                assert answer.error.outcome is Outcome.NOT_RUN

    run(scenario())
