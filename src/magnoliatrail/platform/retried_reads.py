"""Reads of the platform's services that outlast a connection gone silent."""

from collections.abc import Callable
from dataclasses import replace
from datetime import timedelta

from tornado.httpclient import AsyncHTTPClient, HTTPRequest, HTTPResponse

from magnoliatrail.logs import EventLog
from magnoliatrail.wire import CallFailed, CallLimits, call

log = EventLog("platform")

# A read that has no answer by then is sent again over a new connection.
FIRST_TRY_TIMEOUT = timedelta(seconds=2)
# The first try gets at most this share of the time, and the second all of it.
FIRST_TRY_TIME_SHARE = 0.25


async def read_with_retry(
    client: AsyncHTTPClient, request: Callable[[], HTTPRequest], limits: CallLimits
) -> HTTPResponse:
    """Make a call that may be repeated, twice if the first has no answer.

    Every call opens a connection of its own, so that the second does not share
    the first one's fate. Raises CallFailed if both have no answer.
    """
    patience = min(FIRST_TRY_TIMEOUT, limits.total * FIRST_TRY_TIME_SHARE)
    try:
        return await call(client, request(), replace(limits, total=patience))
    except CallFailed as error:
        log.warning("read_retried", url=request().url, reason=str(error))
        return await call(client, request(), limits)
