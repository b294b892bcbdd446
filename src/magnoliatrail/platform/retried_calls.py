"""Idempotent calls to the platform's services, retried if there is no answer."""

from collections.abc import Callable
from dataclasses import replace
from datetime import timedelta

from tornado.httpclient import AsyncHTTPClient, HTTPRequest, HTTPResponse

from magnoliatrail.logs import EventLog
from magnoliatrail.wire import CallFailed, CallLimits, call

log = EventLog("platform")

# A call without an answer by then is sent again over a new connection.
FIRST_TRY_TIMEOUT = timedelta(seconds=2)
# The first try gets at most this share of the time limit, the second all of it.
FIRST_TRY_TIME_SHARE = 0.25


async def call_with_retry(
    client: AsyncHTTPClient, request: Callable[[], HTTPRequest], limits: CallLimits
) -> HTTPResponse:
    """Make an idempotent call, and retry it once if there is no answer.

    Each try opens its own connection, so that the second does not depend on a silent
    one. Raises CallFailed if neither try has an answer.
    """
    timeout = min(FIRST_TRY_TIMEOUT, limits.total * FIRST_TRY_TIME_SHARE)
    try:
        return await call(client, request(), replace(limits, total=timeout))
    except CallFailed as error:
        log.warning("read_retried", url=request().url, reason=str(error))
        return await call(client, request(), limits)
