"""Planned stop of an instance: what was accepted is answered before the process ends.

Until the balancer has removed the instance, it accepts connections and requests. It
then stays as long as callers keep connections open, because they may send on them at
any time, and passes on only what has its answer before the end. Shortly before the
process would be killed, all that is left is refused.
"""

import asyncio
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

from magnoliatrail.clock import Clock
from magnoliatrail.forwarding.handler import ForwardingHandler
from magnoliatrail.forwarding.head_check import SHUTDOWN_RETRY_AFTER, SHUTTING_DOWN
from magnoliatrail.forwarding.relay import REFUSED
from magnoliatrail.forwarding.request import CallerDisconnected, CallerRequest
from magnoliatrail.forwarding.server import ForwardingServer
from magnoliatrail.listeners import Listener
from magnoliatrail.logs import EventLog
from magnoliatrail.open_connections import OpenConnections, accept_queued

log = EventLog("daemon")

# The balancer probes readiness once a second and removes an instance after two
# failed probes.
BALANCER_REMOVAL_DELAY = timedelta(seconds=2.6)
# New streams are refused this long after SIGTERM, because later ones could not finish
# within the grace period.
STREAM_CUTOFF_AFTER_SIGTERM = timedelta(seconds=2.4)
# All other requests are accepted until this long before the process is killed.
REQUEST_CUTOFF_BEFORE_KILL = timedelta(seconds=2)
# What is not answered by then may be cut off.
ANSWERS_END_BEFORE_KILL = timedelta(seconds=0.5)
# The rest is for the last refusals, and for the end of the tasks and connections.
DRAIN_END_BEFORE_KILL = timedelta(seconds=0.7)
# A request that was under way when the listener closed arrives within this time.
LAST_ARRIVAL_TIME = timedelta(milliseconds=100)
LAST_ANSWERS_TIMEOUT = timedelta(milliseconds=300)
LISTENER_CLOSE_TIMEOUT_SECONDS = 0.2
POLL_SECONDS = 0.05


@dataclass(frozen=True, slots=True)
class StopStep:
    """What an instance refuses at a time of its planned stop."""

    refuses_streams: bool
    # Refuse what would not be answered before the end.
    refuses_late: bool
    refuses_all: bool
    # Stop listening and refuse what is left.
    ends: bool


def stop_step(
    waited: timedelta,
    grace: timedelta,
    *,
    leaving: bool,
    requests: int,
    connections: int,
) -> StopStep:
    """Return what an instance does a time after SIGTERM.

    It is `leaving` until its leases are released; `requests` are in progress, and
    `connections` of callers are open.
    """
    removed = waited > BALANCER_REMOVAL_DELAY
    return StopStep(
        refuses_streams=waited > STREAM_CUTOFF_AFTER_SIGTERM,
        refuses_late=waited > min(BALANCER_REMOVAL_DELAY, grace / 3),
        refuses_all=waited > grace - REQUEST_CUTOFF_BEFORE_KILL,
        ends=waited >= grace - DRAIN_END_BEFORE_KILL
        or (removed and not leaving and not requests and not connections),
    )


class PlannedStop:
    """Drain the requests of one instance, and close its listeners."""

    def __init__(
        self,
        *,
        clock: Clock,
        grace: timedelta,
        server: ForwardingServer,
        handler: ForwardingHandler,
        callers: OpenConnections,
        peers: OpenConnections,
        leave: Callable[[], Coroutine[Any, Any, None]],
    ) -> None:
        self.clock = clock
        self.grace = grace
        self.server = server
        self.handler = handler
        self.callers = callers
        self.peers = peers
        self.began = clock.monotonic()
        self.answers_end_at = self.began + grace - ANSWERS_END_BEFORE_KILL
        # Releases the leases of this instance.
        self.leaving = asyncio.create_task(leave())
        server.closing = True
        handler.refuses_relayed = True
        log.info(
            "stopping", in_flight=len(server.tasks), connections=self.callers.count
        )

    async def drain(self) -> None:
        """Wait until no more requests can come, or no time is left for them."""
        while True:
            step = stop_step(
                self.clock.monotonic() - self.began,
                self.grace,
                leaving=not self.leaving.done(),
                requests=len(self.server.tasks),
                connections=self.callers.count,
            )
            self.handler.context.refuses_streams = step.refuses_streams
            self.handler.refuses_all = step.refuses_all
            if step.refuses_late:
                self.handler.context.answers_end_at = self.answers_end_at
                self.handler.context.waiting.end_late()
            if step.ends:
                break
            await asyncio.sleep(POLL_SECONDS)
        self.leaving.cancel()
        (result,) = await asyncio.gather(self.leaving, return_exceptions=True)
        if result is not None:
            log.error("leases_not_released", reason=repr(result))

    async def close(self, listeners: Sequence[Listener]) -> None:
        """Refuse what was accepted and not begun, and close the listeners."""
        self.handler.refuses_all = True
        self.handler.context.refuses_streams = True
        for listener in listeners:
            accept_queued(listener.server)
            listener.server.stop()
        self.handler.context.waiting.end_all()
        await self.answer_rest()
        log.info(
            "stopped", in_flight=len(self.server.tasks), connections=self.callers.count
        )
        closing = [asyncio.create_task(item.close()) for item in listeners]
        await asyncio.wait(closing, timeout=LISTENER_CLOSE_TIMEOUT_SECONDS)

    async def answer_rest(self) -> None:
        """Wait for the last answers, and refuse the requests that are not whole."""
        began = self.clock.monotonic()
        refused_partial = False
        while True:
            waited = self.clock.monotonic() - began
            if waited > LAST_ARRIVAL_TIME and not refused_partial:
                refused_partial = True
                await self.refuse_partial()
            unread = self.callers.has_unread_input or self.peers.has_unread_input
            idle = not unread and not self.server.tasks
            if waited > LAST_ANSWERS_TIMEOUT or (waited > LAST_ARRIVAL_TIME and idle):
                return
            await asyncio.sleep(POLL_SECONDS / 5)

    async def refuse_partial(self) -> None:
        """Refuse the requests whose bodies have not arrived completely."""
        readers = list(self.server.partial)
        for reader in readers:
            reader.refused = True
        requests = [reader.request for reader in readers if reader.request is not None]
        await asyncio.gather(*map(refuse, requests))


async def refuse(request: CallerRequest) -> None:
    """Answer that the instance ends, before the whole request has arrived."""
    if request.origin is not None:
        request.answer_fields[REFUSED] = "1"
    try:
        await request.answer_early(503, SHUTTING_DOWN, SHUTDOWN_RETRY_AFTER)
    except CallerDisconnected as error:
        log.info("caller_gone", request=request.id, reason=str(error))
    else:
        log.info("refused", request=request.id, resumes="", reason=SHUTTING_DOWN)
