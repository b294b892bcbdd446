"""The HTTP listener for messages from other instances."""

import hmac
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Generic, TypeVar

from expression import Error, Result
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.web import Application, RequestHandler

from magnoliatrail.errors import ErrorKind, Failure
from magnoliatrail.generated.membership import PeerRefusal
from magnoliatrail.inbound.refusals import Refusal
from magnoliatrail.inbound.requests import HeadChecker
from magnoliatrail.wire import JSON_TYPE, decode, encode

WRONG_TOKEN = "the peer token is wrong"
REFUSAL_KINDS = {401: ErrorKind.UNAUTHORIZED, 413: ErrorKind.BODY_TOO_LARGE}

M = TypeVar("M")


@dataclass(frozen=True, slots=True)
class PeerRoute(Generic[M]):
    """Map a path and its message type to the function that answers."""

    path: str
    message_type: type[M]
    answer: Callable[[M], Awaitable[Result[object, Failure]]]


def is_authorized(headers: HTTPHeaders, token: str) -> bool:
    """Return whether the sender of a message presents the shared token."""
    presented = headers.get("Authorization", "")
    return hmac.compare_digest(presented.encode(), f"Bearer {token}".encode())


class TokenCheck(HTTPServerConnectionDelegate):
    """Refuse messages without the shared token before their bodies are read."""

    def __init__(self, application: Application, token: str) -> None:
        self.application = application
        self.token = token

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HeadChecker:
        """Return the reader of a new message."""
        inner = self.application.start_request(server_conn, request_conn)
        return CheckedMessage(inner, self.token)


class CheckedMessage(HeadChecker):
    """Read one message, whose sender must present the shared token."""

    def __init__(self, inner: HTTPMessageDelegate, token: str) -> None:
        self.inner = inner
        self.token = token
        self.authorized = False

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        """Check the token."""
        self.authorized = is_authorized(headers, self.token)
        return self.inner.headers_received(start_line, headers)

    def refusal(self) -> Refusal | None:
        """Return the refusal of a message without the token."""
        if self.authorized:
            return None
        return Refusal(401, WRONG_TOKEN, "wrong_token", at_once=True)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Pass a part of the body on."""
        return self.inner.data_received(chunk)

    def finish(self) -> None:
        """Pass the end on."""
        self.inner.finish()

    def on_connection_close(self) -> None:
        """Pass the close of the connection on."""
        self.inner.on_connection_close()


def render_refusal(
    refusal: Refusal, request: HTTPHeaders | None
) -> tuple[HTTPHeaders, bytes]:
    """Return the headers and the body of a refused message."""
    del request
    kind = REFUSAL_KINDS.get(refusal.status, ErrorKind.PEER_UNAVAILABLE)
    body = encode(PeerRefusal(kind=kind.value, message=refusal.reason))
    return HTTPHeaders({"Content-Type": JSON_TYPE}), body


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
            self.refuse(Failure(ErrorKind.UNAUTHORIZED, WRONG_TOKEN))
            return
        match await self.answer():
            case Result(tag="ok", ok=answer):
                self.write(encode(answer))
            case Result(error=failure):
                self.refuse(failure)

    def authorized(self) -> bool:
        """Return whether the sender presents the shared token."""
        return is_authorized(self.request.headers, self.token)

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
