"""The catalogue of adapters in the weight store."""

from typing import Protocol

from expression import Error, Ok, Result
from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from magnoliatrail.errors import ErrorKind, Failure
from magnoliatrail.generated.platform import Catalogue
from magnoliatrail.wire import CallFailed, CallLimits, call, decode

HTTP_OK = 200
HTTP_NOT_MODIFIED = 304


class WeightStore(Protocol):
    """List the adapters that can be loaded."""

    async def catalogue(self) -> Result[Catalogue | None, Failure]:
        """Read all adapter versions; return None if unchanged since the last read."""


class HttpWeightStore:
    """Read the catalogue over HTTP."""

    def __init__(self, client: AsyncHTTPClient, url: str, limits: CallLimits) -> None:
        self.client = client
        self.url = url
        self.limits = limits
        self.etag = ""

    async def catalogue(self) -> Result[Catalogue | None, Failure]:
        """Read all adapter versions; return None if unchanged since the last read."""
        headers = {"If-None-Match": self.etag} if self.etag else {}
        request = HTTPRequest(f"{self.url}/catalogue", headers=headers)
        try:
            response = await call(self.client, request, self.limits)
        except CallFailed as error:
            return Error(Failure(ErrorKind.STORE_UNAVAILABLE, str(error)))
        if response.code == HTTP_NOT_MODIFIED:
            return Ok(None)
        if response.code != HTTP_OK:
            message = f"the weight store answered {response.code}"
            return Error(Failure(ErrorKind.STORE_UNAVAILABLE, message))
        catalogue = decode(response.body, Catalogue)
        if catalogue.is_ok():
            self.etag = response.headers.get("Etag", "")
        return catalogue
