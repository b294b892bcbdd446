"""Whole answers of plain servers draw on the memory budget before they are kept."""

import asyncio
from contextlib import suppress

import pytest

from magnoliatrail.memory_budget import HeldKind
from tests.platform.rig import running

BODY = b"x" * 100_000


async def serve(reader, writer):
    """Answer each request with a body of 100 KB."""
    with suppress(asyncio.IncompleteReadError, ConnectionError):
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            await reader.readexactly(1)
            name = head.partition("Request-Id: ")[2].partition("\r\n")[0]
            writer.write(
                b"HTTP/1.1 200 OK\r\nMagnoliatrail-Response-Signature: s\r\n"
                b"Magnoliatrail-Request-Id: %s\r\nContent-Length: %d\r\n\r\n"
                % (name.encode(), len(BODY))
                + BODY
            )
            await writer.drain()
    writer.close()


# Guards against answers that are held beyond the memory of the machine, and against a
# retry of a request that has run.
@pytest.mark.parametrize("path", ["/plain/x", "/lookup/x"])
def test_an_answer_without_room_is_given_up_after_a_time(run, path):
    async def scenario():
        async with running() as rig:
            server = await rig.add_plain("p0", serve)
            (daemon,) = rig.daemons
            await rig.until(lambda: daemon.view.usable("desk"))
            budget = daemon.forwarding_context.memory
            taken = budget.room(HeldKind.ANSWERS) - len(BODY) // 2
            assert budget.try_reserve(HeldKind.ANSWERS, taken)
            found = await rig.send(daemon, path, request="r1")
            assert (found.status, b"no memory" in found.body) == (502, True)
            assert budget.held[HeldKind.ANSWERS] == taken
            waiting = asyncio.create_task(rig.send(daemon, path, request="r2"))
            await asyncio.sleep(0.2)
            assert not waiting.done()
            budget.release(HeldKind.ANSWERS, taken)
            found = await waiting
            assert (found.status, found.body) == (200, BODY)
            assert budget.held[HeldKind.ANSWERS] == 0
            server.close()
            daemon.pool.close()
            await asyncio.sleep(0.05)

    run(scenario())
