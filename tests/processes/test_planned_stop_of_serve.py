"""A planned stop of a `serve` process: kept connections and requests sent ahead."""

import asyncio
import signal
from contextlib import suppress
from urllib.parse import urlsplit

import pytest

from tests.platform.rig import read_answer

from .fleet import running_fleet

pytestmark = pytest.mark.processes

REQUEST = b"GET /v1/models HTTP/1.1\r\nHost: x\r\n\r\n"


class Callers:
    """Callers with kept connections, and what became of their requests."""

    def __init__(self, url):
        self.address = urlsplit(url)
        self.stopped = asyncio.Event()
        self.statuses = []
        self.lost = []

    async def connect(self):
        """Open a connection, None if the instance doesn't listen any more.

        The kernel resets one that is still being opened when the listener closes.
        """
        with suppress(ConnectionRefusedError, ConnectionResetError):
            return await asyncio.open_connection(
                self.address.hostname, self.address.port
            )
        return None

    async def ask(self, connection, kind, count=1):
        """Send requests at once; return whether the connection goes on."""
        reader, writer = connection
        try:
            writer.write(REQUEST * count)
            for _ in range(count):
                async with asyncio.timeout(5):
                    answer = await read_answer(reader)
                self.statuses.append(answer.status)
        except (OSError, asyncio.IncompleteReadError, ValueError) as error:
            self.lost.append(f"{kind}: {error!r}")
            return False
        if answer.headers.get("Connection") == "close":
            writer.close()
            return False
        return True

    async def keep_asking(self, kind, count):
        """Ask until an answer closes the connection."""
        connection = await self.connect()
        while await self.ask(connection, kind, count):
            await asyncio.sleep(0.02)

    async def ask_after_pause(self, seconds):
        """Use a connection again that was idle since before the stop."""
        connection = await self.connect()
        await self.ask(connection, "idle")
        await self.stopped.wait()
        await asyncio.sleep(seconds)
        await self.ask(connection, "idle")
        connection[1].close()

    async def ask_on_new(self):
        """Open a connection for each request."""
        while connection := await self.connect():
            await self.ask(connection, "new")
            connection[1].close()
            await asyncio.sleep(0.005)


# Guards against a planned stop that ends connections with requests that were accepted.
def test_a_planned_stop_of_serve_leaves_no_request_without_an_answer(run):
    async def scenario():
        async with running_fleet(["one"]) as fleet:
            process = fleet.processes["one"]
            callers = Callers(process.caller_url)
            tasks = [
                asyncio.create_task(work)
                for work in (
                    *(callers.keep_asking("kept", 1) for _ in range(6)),
                    *(callers.keep_asking("ahead", 3) for _ in range(4)),
                    *(callers.ask_after_pause(seconds) for seconds in (0.5, 2.0)),
                    *(callers.ask_on_new() for _ in range(4)),
                )
            ]
            await asyncio.sleep(0.5)
            callers.stopped.set()
            process.signal(signal.SIGTERM)
            await asyncio.gather(*tasks)
            code = await asyncio.to_thread(process.popen.wait, 10)
        assert callers.lost == []
        assert code == 0
        assert len(callers.statuses) > 100

    run(scenario())
