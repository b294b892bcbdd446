"""Servers that name a limit of requests a second for all instances together."""

import asyncio
from itertools import cycle

import pytest

from tests.platform.rig import model, running
from tests.platform.test_server_notices import add_plain_servers

INSTANCES = 3
LIMIT = 2.0
REQUESTS_PER_SECOND = 15
DURATION_SECONDS = 8
# The platform's bounds: from when on a limit holds, and for requests within a window.
STABILITY_SECONDS = 3
WINDOW_SECONDS = 4


def allowed(limit):
    """Return how many requests a server with a limit may get within a window."""
    return 1.5 * limit * WINDOW_SECONDS + 5


def most_in_window(times):
    """Return the most requests within a window, once the limit holds."""
    late = [at for at in times if at >= times[0] + STABILITY_SECONDS]
    return max(
        (sum(at <= other < at + WINDOW_SECONDS for other in late) for at in late),
        default=0,
    )


async def send_steadily(rig, path, seconds=DURATION_SECONDS):
    """Send requests to the instances in turn at a steady rate; return the statuses."""
    loop = asyncio.get_running_loop()
    instances = cycle(rig.daemons)
    began, sending = loop.time(), []
    while loop.time() < began + seconds:
        number = len(sending)
        request = rig.send(next(instances), path, request=f"r{number}", headers=model())
        sending.append(asyncio.create_task(request))
        await asyncio.sleep(began + (number + 1) / REQUESTS_PER_SECOND - loop.time())
    return [answer.status for answer in await asyncio.gather(*sending)]


# Guards against instances that together send a server more than the limit it named.
def test_engines_get_no_more_requests_than_the_limit_that_they_named(run):
    async def scenario():
        async with running(instances=INSTANCES, engines=2) as rig:
            limited, other = rig.engines
            limited.request_limit = LIMIT
            statuses = await send_steadily(rig, "/stream/x")
            arrived_at = [at for at, _ in limited.arrivals]
            assert most_in_window(arrived_at) <= allowed(LIMIT)
            # The other engine has room for all that is over.
            assert set(statuses) == {200}
            assert len(other.arrivals) > len(arrived_at) > 0

    run(scenario())


def limited_plain_server(arrived_at):
    """Return a handler that answers all requests and names the limit."""

    async def handle(reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = int(head.partition(b"Content-Length: ")[2].split()[0])
                await reader.readexactly(length)
                arrived_at.append(asyncio.get_running_loop().time())
                request = head.partition(b"Request-Id: ")[2].split()[0]
                writer.write(
                    b"HTTP/1.1 200 OK\r\nMagnoliatrail-Request-Id: " + request + b"\r\n"
                    b"Magnoliatrail-Response-Signature: s\r\nContent-Length: 2\r\n"
                    b"Server-Limit: %.1f\r\n\r\nok" % LIMIT
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    return handle


# Guards against instances that together send a server more than the limit it named.
@pytest.mark.parametrize("path", ["/plain/x", "/lookup/x"])
def test_plain_servers_get_no_more_requests_than_the_limit_that_they_named(run, path):
    async def scenario():
        async with running(instances=INSTANCES) as rig:
            arrived = {"one": [], "two": []}
            await add_plain_servers(
                rig, **{name: limited_plain_server(arrived[name]) for name in arrived}
            )
            statuses = await send_steadily(rig, path)
            for times in arrived.values():
                assert most_in_window(times) <= allowed(LIMIT)
            # What no server may take is refused, and has not run.
            assert set(statuses) == {200, 503}
            assert statuses.count(200) == sum(map(len, arrived.values()))

    run(scenario())
