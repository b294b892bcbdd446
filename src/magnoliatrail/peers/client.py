"""Calls to other instances."""

from typing import TypeVar

from expression import Error, Result
from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from magnoliatrail.errors import ErrorKind, Failure
from magnoliatrail.generated.membership import PeerRefusal
from magnoliatrail.wire import JSON_TYPE, CallFailed, CallLimits, call, decode, encode

T = TypeVar("T")
HTTP_OK = 200


class PeerClient:
    """Call the peer listeners of other instances."""

    def __init__(self, client: AsyncHTTPClient, token: str) -> None:
        self.client = client
        self.token = token

    async def ask(
        self, url: str, message: object, answer_type: type[T], limits: CallLimits
    ) -> Result[T, Failure]:
        """Send a message to a peer and return its answer."""
        headers = {
            "Content-Type": JSON_TYPE,
            "Authorization": f"Bearer {self.token}",
        }
        request = HTTPRequest(url, method="POST", headers=headers, body=encode(message))
        try:
            response = await call(self.client, request, limits)
        except CallFailed as error:
            return Error(Failure(ErrorKind.PEER_UNAVAILABLE, str(error)))
        if response.code == HTTP_OK:
            return decode(response.body, answer_type)
        match decode(response.body, PeerRefusal):
            case Result(tag="ok", ok=refusal):
                return Error(Failure(ErrorKind(refusal.kind), refusal.message))
            case _:
                message = f"a peer answered {response.code}"
                return Error(Failure(ErrorKind.PEER_UNAVAILABLE, message))
