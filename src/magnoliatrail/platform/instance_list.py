"""Client of the platform's list of live and leaving instances, updated with a lag."""

from typing import Protocol

from expression import Error, Ok, Result
from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from magnoliatrail.errors import ErrorKind, Failure
from magnoliatrail.generated.platform import InstanceList
from magnoliatrail.platform.retried_calls import call_with_retry
from magnoliatrail.wire import CallFailed, CallLimits, decode

HTTP_OK = 200
HTTP_NOT_MODIFIED = 304


class InstanceListService(Protocol):
    """List the instances and backend servers."""

    async def read(self) -> Result[InstanceList, Failure]:
        """Read the whole list."""


class HttpInstanceList:
    """Read the instance list over HTTP."""

    def __init__(self, client: AsyncHTTPClient, url: str, limits: CallLimits) -> None:
        self.client = client
        self.url = url
        self.limits = limits
        self.etag = ""
        self.last = InstanceList(instances=[])

    async def read(self) -> Result[InstanceList, Failure]:
        """Read the whole list; return the previous one if the server sends 304."""
        headers = {"If-None-Match": self.etag} if self.etag else {}
        url = f"{self.url}/instances"
        try:
            response = await call_with_retry(
                self.client, lambda: HTTPRequest(url, headers=headers), self.limits
            )
        except CallFailed as error:
            return Error(Failure(ErrorKind.STORE_UNAVAILABLE, str(error)))
        if response.code == HTTP_NOT_MODIFIED:
            return Ok(self.last)
        if response.code != HTTP_OK:
            message = f"the instance list answered {response.code}"
            return Error(Failure(ErrorKind.STORE_UNAVAILABLE, message))
        match decode(response.body, InstanceList):
            case Result(tag="ok", ok=instances):
                self.last = instances
                self.etag = response.headers.get("Etag", "")
                return Ok(instances)
            case Result(error=failure):
                return Error(failure)
