"""HTTP calls with JSON bodies, and the classification of their failures."""

from dataclasses import dataclass
from datetime import timedelta
from typing import TypeVar

import msgspec
from expression import Error, Ok, Result
from tornado.httpclient import (
    AsyncHTTPClient,
    HTTPClientError,
    HTTPRequest,
    HTTPResponse,
)
from tornado.httputil import HTTPHeaders
from tornado.simple_httpclient import HTTPTimeoutError, SimpleAsyncHTTPClient

from magnoliatrail.errors import ErrorKind, Failure

T = TypeVar("T")

JSON_TYPE = "application/json"
# Statuses of final answers; HTTP defines no others (RFC 9110, section 15).
FINAL_STATUSES = range(200, 600)
MAX_CONNECTIONS = 20_000
MAX_RESPONSE_BYTES = 64 * 1024 * 1024
# Answers of engines to all calls but requests.
MAX_ENGINE_RESPONSE_BYTES = 4 * 1024 * 1024

# Hop-by-hop headers, which apply to a single connection (RFC 9110, section 7.6.1).
HOP_BY_HOP = {
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
}


@dataclass(frozen=True, slots=True)
class CallLimits:
    """Timeouts of one HTTP call."""

    connect: timedelta
    total: timedelta


class CallFailed(Exception):  # noqa: N818
    """Raised when a call got no answer.

    `sent` is false only if the request certainly did not reach the server.
    """

    def __init__(self, message: str, *, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent


def new_http_client(
    max_response_bytes: int = MAX_RESPONSE_BYTES,
) -> AsyncHTTPClient:
    """Return a separate HTTP client that shares no limits with others."""
    return SimpleAsyncHTTPClient(
        force_instance=True,
        max_clients=MAX_CONNECTIONS,
        max_body_size=max_response_bytes,
        max_buffer_size=max_response_bytes,
    )


def encode(message: object) -> bytes:
    """Encode a message as JSON."""
    return msgspec.json.encode(message)


def decode(body: bytes, message_type: type[T]) -> Result[T, Failure]:
    """Decode a message, or return what is wrong with it."""
    try:
        return Ok(msgspec.json.decode(body, type=message_type))
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return Error(Failure(ErrorKind.MALFORMED_REQUEST, str(error)))


async def call(
    client: AsyncHTTPClient,
    request: HTTPRequest,
    limits: CallLimits,
) -> HTTPResponse:
    """Send a request and return the answer, whatever its status.

    Raises CallFailed if there is no answer.
    """
    request.connect_timeout = limits.connect.total_seconds()
    request.request_timeout = limits.total.total_seconds()
    request.follow_redirects = False
    request.decompress_response = False
    try:
        response = await client.fetch(request, raise_error=False)
    except HTTPTimeoutError as error:
        raise CallFailed(str(error), sent="during request" in str(error)) from error
    except ConnectionRefusedError as error:
        raise CallFailed(str(error), sent=False) from error
    except (HTTPClientError, OSError, ValueError, OverflowError) as error:
        raise CallFailed(str(error), sent=True) from error
    if response.code not in FINAL_STATUSES:
        raise CallFailed(undefined_status(response.code), sent=True)
    return response


def undefined_status(code: int) -> str:
    """Return the reason why an answer with a status that HTTP lacks is none."""
    return f"the status {code:03d} is not defined by HTTP"


def connection_options(headers: HTTPHeaders) -> set[str]:
    """Return the header names that the Connection header declares hop-by-hop."""
    values = headers.get_list("Connection")
    names = [name.strip().lower() for value in values for name in value.split(",")]
    return {name for name in names if name}
