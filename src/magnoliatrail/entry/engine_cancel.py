"""Cancellation of abandoned requests at the engines."""

import asyncio
from datetime import timedelta

from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from magnoliatrail.clock import Clock
from magnoliatrail.engines.permits import Permit
from magnoliatrail.ids import RequestId
from magnoliatrail.logs import EventLog
from magnoliatrail.requests import RequestContext
from magnoliatrail.wire import CallFailed, CallLimits, call

log = EventLog("entry")

CANCEL_RETRY_DELAY = timedelta(seconds=1)


class EngineCanceller:
    """Cancel abandoned requests in the background."""

    def __init__(
        self, *, clock: Clock, client: AsyncHTTPClient, limits: CallLimits
    ) -> None:
        self.clock = clock
        self.client = client
        self.limits = limits
        self.tasks: set[asyncio.Task[None]] = set()

    def cancel_in_background(
        self, permit: Permit, request_id: RequestId, context: RequestContext
    ) -> None:
        """Start cancelling a request; its permit counts it until the engine stops."""
        task = asyncio.create_task(self.cancel(permit, request_id, context))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def cancel(
        self, permit: Permit, request_id: RequestId, context: RequestContext
    ) -> None:
        """Repeat the cancel request until the engine stops or the deadline passes."""
        try:
            while not await self.has_stopped(permit, request_id):
                # Counting the request as ended too early would allow the eviction of
                # its adapter.
                if not context.time_left(self.clock):
                    break
                await self.clock.sleep(CANCEL_RETRY_DELAY)
        finally:
            permit.in_flight -= 1
        log.info("request_cancelled", request=request_id, engine=permit.engine)

    async def has_stopped(self, permit: Permit, request_id: RequestId) -> bool:
        """Send one cancel request, and return whether the run has certainly ended."""
        url = f"{permit.grant.engine_url}/v1/requests/{request_id}"
        request = HTTPRequest(url, method="DELETE")
        try:
            response = await call(self.client, request, self.limits)
        except CallFailed as error:
            # Nothing listens at the address any more, so the engine has stopped.
            return isinstance(error.__cause__, ConnectionRefusedError)
        return response.code < 500  # noqa: PLR2004
