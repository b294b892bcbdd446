"""The catalogue of adapters in the weight store."""

from typing import Protocol

from expression import Error, Result
from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from magnoliatrail.errors import ErrorKind, Failure
from magnoliatrail.generated.platform import Catalogue
from magnoliatrail.wire import CallFailed, CallLimits, call, decode

HTTP_OK = 200


class WeightStore(Protocol):
    """Tell which adapters can be loaded."""

    async def catalogue(self) -> Result[Catalogue, Failure]:
        """Read all adapter versions."""


class HttpWeightStore:
    """Read the catalogue over HTTP."""

    def __init__(self, client: AsyncHTTPClient, url: str, limits: CallLimits) -> None:
        self.client = client
        self.url = url
        self.limits = limits

    async def catalogue(self) -> Result[Catalogue, Failure]:
        """Read all adapter versions."""
        request = HTTPRequest(f"{self.url}/catalogue")
        try:
            response = await call(self.client, request, self.limits)
        except CallFailed as error:
            return Error(Failure(ErrorKind.STORE_UNAVAILABLE, str(error)))
        if response.code != HTTP_OK:
            message = f"the weight store answered {response.code}"
            return Error(Failure(ErrorKind.STORE_UNAVAILABLE, message))
        return decode(response.body, Catalogue)
