"""The service of a request: drawn by its route, or the one that began its stream."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from magnoliatrail.forwarding.context import (
    ForwardingContext,
    RoutedRequest,
    count_software_versions,
    resumed_request,
)
from magnoliatrail.forwarding.head_check import HeadAnswer
from magnoliatrail.forwarding.request import CallerRequest
from magnoliatrail.logs import EventLog
from magnoliatrail.membership.stream_records import StreamSoftware
from magnoliatrail.routes import Route

log = EventLog("forwarding")

UNKNOWN_VERSION = "the software version that began the stream is not known"
UNKNOWN_SERVICE = "the service that began the stream is not known"
ROUTE_MOVED = "the route no longer leads to the service that began the stream"
# The record of a stream may arrive a little later than its caller.
UNKNOWN_RETRY_AFTER = timedelta(milliseconds=500)
MOVED_RETRY_AFTER = timedelta(seconds=1)


@dataclass(frozen=True, slots=True)
class NoService:
    """Why a stream can't go on at any service, and when its caller may retry."""

    reason: str
    retry_after: timedelta = UNKNOWN_RETRY_AFTER

    async def refuse(self, request: CallerRequest) -> None:
        """Answer that the request has not run."""
        log.info(
            "refused",
            request=request.id,
            resumes=request.resumes or "",
            reason=self.reason,
            retry_after=self.retry_after,
        )
        await HeadAnswer(503, self.reason, self.retry_after).send(request)


async def choose_service(
    context: ForwardingContext, request: CallerRequest, route: Route
) -> RoutedRequest | NoService:
    """Choose the service of a request; a stream goes on where it began."""
    resumes = resumed_request(request, route)
    if resumes is None:
        return RoutedRequest(
            request, route, route.service_for(context.generator.random())
        )
    origin = await context.stream_versions.find(resumes)
    view = context.view

    def serves(service: str, version: str) -> bool:
        return any(
            server.has_software_version(version) for server in view.usable(service)
        )

    chosen = service_of_stream(route, origin.software, serves)
    log.info(
        "stream_resumed",
        request=request.id,
        resumes=resumes,
        software_version=origin.software.version,
        service=origin.software.service,
        source=origin.source,
        began_at=origin.instance,
        informant=origin.informant,
        age=origin.age,
        listed=(
            count_software_versions(view.usable(chosen))
            if isinstance(chosen, str)
            else ""
        ),
    )
    context.metrics.count(f"resumed_streams.{origin.source.value}")
    if isinstance(chosen, NoService):
        return chosen
    return RoutedRequest(request, route, chosen, origin.software.version)


def service_of_stream(
    route: Route, software: StreamSoftware, serves: Callable[[str, str], bool]
) -> str | NoService:
    """Return the service at which a stream goes on.

    `serves` tells whether a service has a server of a software version. It decides
    only for records of the previous release, which don't name the service.
    """
    if not software.version:
        return NoService(UNKNOWN_VERSION)
    services = list(route.services)
    if software.service:
        if software.service in services:
            return software.service
        return NoService(ROUTE_MOVED, MOVED_RETRY_AFTER)
    if len(services) > 1:
        services = [name for name in services if serves(name, software.version)]
    if len(services) == 1:
        return services[0]
    return NoService(UNKNOWN_SERVICE)
