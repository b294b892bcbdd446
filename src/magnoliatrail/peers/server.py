"""The HTTP listener for messages from other instances."""

import hmac
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Generic, TypeVar

from expression import Error, Result
from tornado.web import Application, RequestHandler

from magnoliatrail.errors import ErrorKind, Failure
from magnoliatrail.generated.membership import PeerRefusal
from magnoliatrail.wire import decode, encode

M = TypeVar("M")


@dataclass(frozen=True, slots=True)
class PeerRoute(Generic[M]):
    """Map a path and its message type to the function that answers."""

    path: str
    message_type: type[M]
    answer: Callable[[M], Awaitable[Result[object, Failure]]]


class PeerHandler(RequestHandler):
    """Answer the messages of one path from instances with the shared token."""

    def initialize(self, route: PeerRoute[object], token: str) -> None:
        """Set the route to serve and the shared token."""
        self.route = route
        self.token = token

    def set_default_headers(self) -> None:
        """Omit headers that peers do not read; the message carries its own length."""
        for name in ("Server", "Date", "Content-Type"):
            self.clear_header(name)

    def compute_etag(self) -> None:
        """Return no entity tag, because answers do not repeat."""

    async def post(self) -> None:
        """Answer one message."""
        if not self.authorized():
            self.refuse(Failure(ErrorKind.UNAUTHORIZED, "the peer token is wrong"))
            return
        match await self.answer():
            case Result(tag="ok", ok=answer):
                self.write(encode(answer))
            case Result(error=failure):
                self.refuse(failure)

    def authorized(self) -> bool:
        """Return whether the sender presents the shared token."""
        presented = self.request.headers.get("Authorization", "")
        expected = f"Bearer {self.token}"
        return hmac.compare_digest(presented.encode(), expected.encode())

    async def answer(self) -> Result[object, Failure]:
        """Decode the message and call the route's function."""
        match decode(self.request.body, self.route.message_type):
            case Result(tag="ok", ok=message):
                return await self.route.answer(message)
            case Result(error=failure):
                return Error(failure)

    def refuse(self, failure: Failure) -> None:
        """Answer with a refusal."""
        self.set_status(failure.rule.status)
        refusal = PeerRefusal(kind=failure.kind.value, message=failure.message)
        self.write(encode(refusal))


def peer_application(routes: list[PeerRoute[object]], token: str) -> Application:
    """Return the HTTP application of the peer listener."""
    return Application(
        [
            (route.path, PeerHandler, {"route": route, "token": token})
            for route in routes
        ],
        log_function=lambda handler: None,
    )
