"""Server runs that want no requests from this instance for a time."""

from collections.abc import Iterable
from datetime import timedelta

from magnoliatrail.backends import BackendServer
from magnoliatrail.clock import Clock
from magnoliatrail.ids import ServerId
from magnoliatrail.logs import EventLog

log = EventLog("membership")


class ServerRefusals:
    """Until when server runs refuse requests from this instance."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.until: dict[tuple[ServerId, int], timedelta] = {}

    def record(self, server: BackendServer, duration: timedelta) -> None:
        """Record that a server wants no requests from this instance for a while."""
        now = self.clock.monotonic()
        self.until = {key: until for key, until in self.until.items() if until > now}
        known = self.until.get(server.key, now)
        self.until[server.key] = max(known, now + duration)
        log.info("server_refuses", server=server.id, duration=duration)

    def refuses(self, server: BackendServer) -> bool:
        """Return whether a server wants no requests from this instance now."""
        until = self.until.get(server.key)
        return until is not None and self.clock.monotonic() < until

    def shortest_wait(self, servers: Iterable[BackendServer]) -> timedelta:
        """Return the time until one of the servers wants requests, zero for none."""
        now = self.clock.monotonic()
        waits = [
            max(timedelta(), self.until.get(server.key, now) - now)
            for server in servers
        ]
        return min(waits, default=timedelta())
