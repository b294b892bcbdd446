"""Calls to other instances."""

from typing import TypeVar

from expression import Error, Result

from magnoliatrail.errors import ErrorKind, Failure
from magnoliatrail.generated.membership import PeerRefusal
from magnoliatrail.peers.connections import PersistentConnections
from magnoliatrail.wire import CallFailed, CallLimits, decode, encode

T = TypeVar("T")
HTTP_OK = 200


class PeerClient:
    """Call the peer listeners of other instances."""

    def __init__(
        self, token: str, connections: PersistentConnections | None = None
    ) -> None:
        self.connections = connections or PersistentConnections()
        self.headers = {"Authorization": f"Bearer {token}"}

    async def ask(
        self, url: str, message: object, answer_type: type[T], limits: CallLimits
    ) -> Result[T, Failure]:
        """Send a message to a peer and return its answer."""
        body = encode(message)
        try:
            answer = await self.connections.post(url, self.headers, body, limits)
        except CallFailed as error:
            return Error(Failure(ErrorKind.PEER_UNAVAILABLE, str(error)))
        content = bytes(answer.body)
        if answer.code == HTTP_OK:
            return decode(content, answer_type)
        match decode(content, PeerRefusal):
            case Result(tag="ok", ok=refusal):
                return Error(Failure(kind_of(refusal.kind), refusal.message))
            case _:
                text = f"a peer answered {answer.code}"
                return Error(Failure(ErrorKind.PEER_UNAVAILABLE, text))

    def close(self) -> None:
        """Close the connections to all peers."""
        self.connections.close()


def kind_of(name: str) -> ErrorKind:
    """Return the kind of error that a peer named, which may be of a newer release."""
    try:
        return ErrorKind(name)
    except ValueError:
        return ErrorKind.PEER_UNAVAILABLE
