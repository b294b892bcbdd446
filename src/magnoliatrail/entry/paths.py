"""Parsing and validation of callers' paths to plain services."""

import re
from dataclasses import dataclass
from urllib.parse import unquote_to_bytes

from expression import Error, Ok, Result

from magnoliatrail.errors import ErrorKind, Failure

PATH = re.compile(r"(?:[A-Za-z0-9\-._~!$&'()*+,;=:@/]|%[0-9A-Fa-f]{2})*")
QUERY = re.compile(r"[\x21\x22\x24-\x7e]*")
# Some servers would resolve a decoded segment with one of these to another path.
AMBIGUOUS_BYTES = re.compile(rb"[\x00-\x1f\x7f/\\]")


@dataclass(frozen=True, slots=True)
class ServicePath:
    """Hold the path to send, and the operation name used in the configuration."""

    service: str
    upstream_path: str
    operation_name: str


def service_path(path: str) -> Result[ServicePath, Failure]:
    """Parse and validate a path `/services/<name>/<path>`."""
    if not PATH.fullmatch(path):
        return Error(path_failure(path, "it has a character that must be encoded"))
    _, _, service, *segments = path.split("/")
    if "" in segments[:-1]:
        return Error(path_failure(path, "it has an empty segment"))
    names = [decode_segment(segment) for segment in segments]
    if any(name is None for name in names):
        return Error(path_failure(path, "it has an ambiguous segment"))
    operation_name = "/".join([service, *(name for name in names if name)])
    return Ok(ServicePath(service, "/".join(segments), operation_name))


def decode_segment(segment: str) -> str | None:
    """Decode a segment and strip its parameters; return None if it is ambiguous."""
    decoded = unquote_to_bytes(segment)
    plain = decoded.partition(b";")[0]
    if AMBIGUOUS_BYTES.search(decoded) or plain in (b".", b".."):
        return None
    if not plain and decoded:
        return None
    try:
        return plain.decode()
    except UnicodeDecodeError:
        return None


def check_query(query: str) -> Failure | None:
    """Return a failure if the query string is invalid."""
    if QUERY.fullmatch(query):
        return None
    message = "the query has a character that must be encoded"
    return Failure(ErrorKind.MALFORMED_REQUEST, message)


def path_failure(path: str, reason: str) -> Failure:
    """Return the failure for a path that is not forwarded."""
    message = f"path {path!r} is not passed on: {reason}"
    return Failure(ErrorKind.MALFORMED_REQUEST, message)
