"""Pacing of the requests that this instance sends by itself to limited servers."""

from collections.abc import Collection, Iterable
from datetime import timedelta

from magnoliatrail.backends import BackendServer
from magnoliatrail.clock import Clock
from magnoliatrail.ids import InstanceId
from magnoliatrail.membership.recent_instances import RecentInstances
from magnoliatrail.membership.request_limits import RequestLimits, ServerRun
from magnoliatrail.routing.request_rate import RequestPace, share_of_limit

# Paces of servers that are gone are dropped above this number.
MAX_PACES = 1024


class RequestPaces:
    """Keep to this instance's share of the limits, where no owner grants slots."""

    def __init__(
        self,
        *,
        clock: Clock,
        limits: RequestLimits,
        instance: InstanceId,
        recent_instances: RecentInstances,
    ) -> None:
        self.clock = clock
        self.limits = limits
        self.instance = instance
        self.recent_instances = recent_instances
        self.paces: dict[ServerRun, RequestPace] = {}

    def share(self, server: BackendServer) -> float | None:
        """Return the requests a second for this instance, None without a limit."""
        limit = self.limits.find(server.key)
        if limit is None:
            self.paces.pop(server.key, None)
            return None
        instances: Collection[str] = self.recent_instances.addresses()
        return share_of_limit(limit, server.id, self.instance, instances)

    def pace(self, server: BackendServer) -> RequestPace:
        """Return the pace of a limited server, created on first use."""
        if server.key not in self.paces:
            self.paces[server.key] = RequestPace(self.clock.monotonic())
        while len(self.paces) > MAX_PACES:
            del self.paces[next(iter(self.paces))]
        return self.paces[server.key]

    def may_send(self, server: BackendServer) -> bool:
        """Return whether this instance may send a request to a server now."""
        share = self.share(server)
        if share is None:
            return True
        return self.pace(server).may_send(share, self.clock.monotonic())

    def record_sent(self, server: BackendServer) -> None:
        """Count a request that is sent to a server."""
        share = self.share(server)
        if share is not None:
            self.pace(server).record_sent(share, self.clock.monotonic())

    def time_until_any(self, servers: Iterable[BackendServer]) -> timedelta:
        """Return the time until one of the servers may be sent a request from here."""
        now = self.clock.monotonic()
        waits = [
            timedelta()
            if (share := self.share(server)) is None
            else self.pace(server).time_until_token(share, now)
            for server in servers
        ]
        return min(waits, default=timedelta())
