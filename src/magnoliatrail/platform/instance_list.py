"""Client of the platform's list of live and leaving instances, updated with a lag."""

from collections.abc import Iterator
from typing import Protocol
from urllib.parse import urlsplit

import msgspec
from expression import Error, Ok, Result
from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from magnoliatrail.errors import ErrorKind, Failure
from magnoliatrail.generated.platform import InstanceList, ListedInstance
from magnoliatrail.logs import EventLog
from magnoliatrail.platform.retried_calls import call_with_retry
from magnoliatrail.wire import CallFailed, CallLimits, decode

log = EventLog("platform")

HTTP_OK = 200
HTTP_NOT_MODIFIED = 304


class RawInstanceList(msgspec.Struct):
    """The platform's instance list, whose entries are decoded one by one."""

    instances: list[msgspec.Raw]


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
        match decode(response.body, RawInstanceList):
            case Result(tag="ok", ok=raw):
                usable = list(usable_entries(raw))
                if raw.instances and not usable:
                    message = "no entry of the instance list can be read"
                    return Error(Failure(ErrorKind.STORE_UNAVAILABLE, message))
                self.last = InstanceList(instances=usable)
                self.etag = response.headers.get("Etag", "")
                return Ok(self.last)
            case Result(error=failure):
                return Error(failure)


def usable_entries(raw: RawInstanceList) -> Iterator[ListedInstance]:
    """Yield the entries that can be read, and log the others."""
    for entry in raw.instances:
        match decode(bytes(entry), ListedInstance):
            case Result(tag="ok", ok=instance) if is_http_url(instance.url):
                yield instance
            case Result(tag="ok", ok=instance):
                log.warning(
                    "list_entry_unusable", id=instance.id[:80], url=instance.url[:80]
                )
            case Result(error=failure):
                log.warning("list_entry_unusable", reason=failure.message)


def is_http_url(url: str) -> bool:
    """Return whether a text is a URL that can be called."""
    try:
        parts = urlsplit(url)
        return parts.scheme == "http" and bool(parts.hostname) and parts.port != 0
    except ValueError:
        return False
