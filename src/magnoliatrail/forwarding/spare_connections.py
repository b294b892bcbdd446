"""Open connections to servers that broke off answers, for later requests.

A server that breaks off answers without a crash takes connections right after it. The
next answer on such a connection shows that the run did not end in between.
"""

import asyncio
from datetime import timedelta

from tornado.httputil import HTTPHeaders

from magnoliatrail.clock import Clock
from magnoliatrail.connections import ConnectionPool
from magnoliatrail.logs import EventLog
from magnoliatrail.routing.server_runs import MIN_RESTART_TIME
from magnoliatrail.wire import CallFailed

log = EventLog("connections")

# A process that ends may close its listener a moment after its connections.
OPENING_DELAY = timedelta(milliseconds=100)


class SpareConnections:
    """Open one connection for all answers that a server breaks off at once."""

    def __init__(self, clock: Clock, pool: ConnectionPool) -> None:
        self.clock = clock
        self.pool = pool
        self.opening: dict[str, asyncio.Task[None]] = {}

    def schedule(self, address: str) -> None:
        """Open a connection soon to a server that has just broken off an answer."""
        if address in self.opening:
            return
        task = asyncio.create_task(self.open(address))
        self.opening[address] = task
        task.add_done_callback(lambda _: self.opening.pop(address, None))

    async def open(self, address: str) -> None:
        """Open a connection, and keep it in the pool."""
        await self.clock.sleep(OPENING_DELAY)
        try:
            stream = await self.pool.open(address, MIN_RESTART_TIME - OPENING_DELAY)
        except CallFailed as error:
            log.info("no_connection_after_break", server=address, reason=str(error))
            return
        self.pool.release(address, stream, HTTPHeaders())

    async def close(self) -> None:
        """Give up the connections that are not open yet."""
        tasks = [*self.opening.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
