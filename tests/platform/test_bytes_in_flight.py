"""What is on its way to one server is bounded; beyond it, requests are not run."""

import asyncio
from contextlib import suppress

import pytest

from tests.platform.rig import model, running


# Guards against a server that crashes by the bodies of many requests at once.
@pytest.mark.parametrize("path", ["/plain/x", "/stream/x"])
def test_a_request_beyond_the_bound_is_refused_and_not_run(run, path):
    ran = []
    release = asyncio.Event()

    async def serve(reader, writer):
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            name = head.partition("Request-Id: ")[2].partition("\r\n")[0]
            ran.append(name)
            await release.wait()
            writer.write(
                b"HTTP/1.1 200 OK\r\nMagnoliatrail-Response-Signature: s\r\n"
                b"Magnoliatrail-Request-Id: %s\r\nContent-Length: 0\r\n\r\n"
                % name.encode()
            )
            await writer.drain()
        writer.close()

    async def scenario():
        async with running() as rig:
            server = await rig.add_plain("p0", serve)
            (daemon,) = rig.daemons
            await rig.until(lambda: daemon.view.usable("desk"))
            engine = rig.engines[0]
            engine.event_seconds = 0.3
            in_flight = daemon.forwarding_context.in_flight
            in_flight.limit = 150

            async def send(name):
                return await rig.send(
                    daemon, path, request=name, headers=model("a7"), body=b"x" * 100
                )

            first = asyncio.create_task(send("r1"))
            await rig.until(lambda: in_flight.held)
            second = await send("r2")
            release.set()
            assert (await first).status == 200
            assert (second.status, "r2" in [*ran, *engine.ran]) == (503, False)
            assert b"in flight" in second.body
            assert (await send("r3")).status == 200
            assert not in_flight.held
            server.close()
            daemon.pool.close()
            await asyncio.sleep(0.05)

    run(scenario())
