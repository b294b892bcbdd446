"""The limits of the listeners of one instance on the users' platform."""

from dataclasses import dataclass, field
from datetime import timedelta
from functools import lru_cache

from tornado.httputil import HTTPHeaders

from magnoliatrail.clock import Clock
from magnoliatrail.forwarding.relay import REFUSED
from magnoliatrail.forwarding.relay_listener import is_relayed
from magnoliatrail.inbound.limits import (
    MAX_HEADER_FIELDS,
    MAX_TEXT_CONNECTIONS,
    TEXT_LIMITS,
    ClientLimits,
    max_caller_connections,
    max_peer_connections,
)
from magnoliatrail.inbound.refusals import Refusal, RefusalLog
from magnoliatrail.inbound.server import Guard
from magnoliatrail.membership.fleet_view import FleetView
from magnoliatrail.memory_budget import HeldKind, MemoryBudget
from magnoliatrail.metrics import Metrics
from magnoliatrail.peers.server import render_refusal
from magnoliatrail.platform.request_headers import name_request, request_id_of
from magnoliatrail.platform.settings_file import InstanceSettings
from magnoliatrail.routes import CallerLimits
from magnoliatrail.wire import JSON_TYPE, encode

DEFAULT_LIMITS = CallerLimits()
# Callers use connections again that were idle for four fifths of the idle timeout.
IDLE_TIMEOUT_FACTOR = 1.25
# A head may take this much longer than the configuration says, as the clocks and the
# networks of callers differ.
HEADER_TIMEOUT_FACTOR = 2
MAX_PEER_BODY_BYTES = 8 * 1024 * 1024
# Instances keep idle connections for 20 s.
PEER_IDLE_TIMEOUT = timedelta(seconds=30)
# Headers that instances add to a relayed request.
RELAY_HEADER_BYTES = 2048
RELAY_HEADER_FIELDS = 16


@lru_cache(maxsize=4)
def caller_limits(limits: CallerLimits) -> ClientLimits:
    """Return the limits on callers' connections."""
    return ClientLimits(
        header_bytes=limits.header_bytes,
        body_bytes=limits.body_bytes,
        header_timeout=limits.header_timeout * HEADER_TIMEOUT_FACTOR,
        idle_timeout=limits.idle_timeout * IDLE_TIMEOUT_FACTOR,
    )


@lru_cache(maxsize=4)
def peer_limits(limits: CallerLimits) -> ClientLimits:
    """Return the limits on the connections of other instances."""
    return ClientLimits(
        header_bytes=limits.header_bytes + RELAY_HEADER_BYTES,
        header_fields=MAX_HEADER_FIELDS + RELAY_HEADER_FIELDS,
        body_bytes=MAX_PEER_BODY_BYTES,
        header_timeout=limits.header_timeout * HEADER_TIMEOUT_FACTOR,
        idle_timeout=PEER_IDLE_TIMEOUT,
    )


def render_for_caller(
    refusal: Refusal, request: HTTPHeaders | None
) -> tuple[HTTPHeaders, bytes]:
    """Return the headers and the body of a refused caller's request."""
    named = request_id_of(request) if request is not None else ""
    body = encode({"error": refusal.reason, "request": named})
    return HTTPHeaders({"Content-Type": JSON_TYPE}), body


@dataclass(kw_only=True)
class ListenerGuards:
    """Make the guards of all listeners, which share one budget."""

    settings: InstanceSettings
    clock: Clock
    metrics: Metrics
    memory: MemoryBudget
    view: FleetView
    token: str
    refusals: RefusalLog = field(init=False)

    def __post_init__(self) -> None:
        """Make the log of refused clients."""
        self.refusals = RefusalLog(clock=self.clock, metrics=self.metrics)

    def limits(self) -> CallerLimits:
        """Return the limits of the configuration, the defaults without one."""
        routes = self.view.routes
        return routes.limits if routes is not None else DEFAULT_LIMITS

    def callers(self) -> Guard:
        """Return the guard of the listener for callers."""
        return Guard(
            name="callers",
            clock=self.clock,
            metrics=self.metrics,
            budget=self.memory,
            refusals=self.refusals,
            max_connections=max_caller_connections(
                file_descriptors=self.settings.file_descriptors,
                memory_mb=self.settings.memory_mb,
            ),
            limits=lambda: caller_limits(self.limits()),
            render=render_for_caller,
            request_id=request_id_of,
        )

    def peers(self) -> Guard:
        """Return the guard of the listener for other instances."""
        return Guard(
            name="peers",
            clock=self.clock,
            metrics=self.metrics,
            budget=self.memory,
            refusals=self.refusals,
            max_connections=max_peer_connections(
                file_descriptors=self.settings.file_descriptors,
                memory_mb=self.settings.memory_mb,
            ),
            limits=lambda: peer_limits(self.limits()),
            reading=HeldKind.MESSAGES,
            whole=HeldKind.MESSAGES,
            render=self.render_for_peer,
            request_id=request_id_of,
        )

    def render_for_peer(
        self, refusal: Refusal, request: HTTPHeaders | None
    ) -> tuple[HTTPHeaders, bytes]:
        """Return the headers and the body of a refused message or relayed request."""
        if request is None or not is_relayed(request, self.token):
            return render_refusal(refusal, request)
        fields, body = render_for_caller(refusal, request)
        # The instance that relays the request tries another one.
        fields[REFUSED] = "1"
        name_request(fields, request_id_of(request))
        return fields, body

    def text(self, name: str) -> Guard:
        """Return the guard of a listener that serves short texts."""
        return Guard(
            name=name,
            clock=self.clock,
            metrics=self.metrics,
            budget=self.memory,
            refusals=self.refusals,
            max_connections=MAX_TEXT_CONNECTIONS,
            limits=lambda: TEXT_LIMITS,
        )
