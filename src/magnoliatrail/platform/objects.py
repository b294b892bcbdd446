"""Client of the platform's object store."""

from typing import Protocol

from expression import Error, Ok, Result
from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from magnoliatrail.errors import ErrorKind, Failure
from magnoliatrail.platform.retried_calls import call_with_retry
from magnoliatrail.wire import CallFailed, CallLimits, call

HTTP_OK = 200
HTTP_NOT_FOUND = 404


class ObjectStore(Protocol):
    """Store large values by name."""

    async def get(self, name: str) -> Result[bytes | None, Failure]:
        """Read an object; return None if it does not exist."""

    async def put(self, name: str, body: bytes) -> Result[None, Failure]:
        """Write an object; idempotent."""

    async def delete(self, name: str) -> Result[None, Failure]:
        """Delete an object; idempotent."""


class HttpObjects:
    """Call the object store over HTTP."""

    def __init__(self, client: AsyncHTTPClient, url: str, limits: CallLimits) -> None:
        self.client = client
        self.url = url
        self.limits = limits

    async def get(self, name: str) -> Result[bytes | None, Failure]:
        """Read an object; return None if it does not exist."""
        url = f"{self.url}/objects/{name}"
        try:
            response = await call_with_retry(
                self.client, lambda: HTTPRequest(url), self.limits
            )
        except CallFailed as error:
            return Error(Failure(ErrorKind.STORE_UNAVAILABLE, str(error)))
        if response.code == HTTP_NOT_FOUND:
            return Ok(None)
        if response.code != HTTP_OK:
            return Error(unexpected_status_failure(response.code))
        return Ok(response.body)

    async def put(self, name: str, body: bytes) -> Result[None, Failure]:
        """Write an object; idempotent."""
        url = f"{self.url}/objects/{name}"
        try:
            response = await call_with_retry(
                self.client,
                lambda: HTTPRequest(url, method="PUT", body=body),
                self.limits,
            )
        except CallFailed as error:
            return Error(Failure(ErrorKind.STORE_UNAVAILABLE, str(error)))
        if response.code != HTTP_OK:
            return Error(unexpected_status_failure(response.code))
        return Ok(None)

    async def delete(self, name: str) -> Result[None, Failure]:
        """Delete an object; idempotent."""
        request = HTTPRequest(f"{self.url}/objects/{name}", method="DELETE")
        try:
            response = await call(self.client, request, self.limits)
        except CallFailed as error:
            return Error(Failure(ErrorKind.STORE_UNAVAILABLE, str(error)))
        if response.code not in (HTTP_OK, HTTP_NOT_FOUND):
            return Error(unexpected_status_failure(response.code))
        return Ok(None)


def unexpected_status_failure(status: int) -> Failure:
    """Return the failure for an unexpected status of the object store."""
    return Failure(ErrorKind.STORE_UNAVAILABLE, f"the object store answered {status}")
