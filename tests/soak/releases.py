"""Releases in a soak run: engines of another software version replace others."""

import asyncio

from magnoliatrail.standins.row_store import RowStoreState
from tests.soak.servers import EVENT_SECONDS, Server

DRAIN_SECONDS = 2.5
# Streams of this pace outlive the time until the store has their version.
SLOW_EVENT_SECONDS = 0.12
# How long two versions serve before all instances are killed, and after.
OVERLAP_SECONDS = 1.5
TAKEN_UP_SECONDS = 3.0


class Releases:
    """Replace engines in the places of the list of servers."""

    def __init__(self, servers: list[Server], store: RowStoreState) -> None:
        self.servers = servers
        self.store = store
        # Servers that were replaced, also those that have not left yet.
        self.replaced: list[Server] = []
        self.count = 0
        # Releases wait for each other.
        self.lock = asyncio.Lock()

    @property
    def all_servers(self) -> list[Server]:
        """Return the servers that were ever started."""
        return [*self.replaced, *self.servers]

    def places(self, target: int, share: float) -> list[int]:
        """Return the places of a share of the engines, at least one."""
        engines = [
            place for place, server in enumerate(self.servers) if server.is_engine
        ]
        first = target % len(engines)
        engines = [*engines[first:], *engines[:first]]
        return engines[: max(1, int(share * len(engines)))]

    def next_version(self) -> str:
        """Return the software version of the next release."""
        self.count += 1
        return f"v1.{self.count}"

    async def start_new(self, place: int, version: str) -> Server | None:
        """Start an engine in a place, and return the one that it replaces.

        None if the present one is about to leave or to start.
        """
        old = self.servers[place]
        if old.listener is None or old.listed != "ready":
            return None
        name = f"engine-{place}-{version}"
        new = Server(name, self.store, engine=True, version=version)
        new.crashing_part = old.crashing_part
        new.event_seconds = old.event_seconds
        await new.start()
        self.servers[place] = new
        self.replaced.append(old)
        return old

    async def retire(self, old: Server) -> None:
        """Let an engine leave in order."""
        old.say_leaving()
        old.list_as("draining")
        await asyncio.sleep(DRAIN_SECONDS)
        self.end(old)

    def end(self, old: Server) -> None:
        """End an engine that will not come back."""
        old.stop_run()
        old.list_as("")

    async def release(self, target: int, seconds: float) -> None:
        """Replace engines one after the other."""
        async with self.lock:
            version = self.next_version()
            places = self.places(target, 1.0 if target % 2 else 0.5)
            async with asyncio.TaskGroup() as group:
                for place in places:
                    old = await self.start_new(place, version)
                    await asyncio.sleep(seconds / len(places))
                    if old:
                        group.create_task(self.retire(old))

    async def start_beside(self, target: int, share: float) -> list[Server]:
        """Start engines beside those that they replace, and let both serve a while."""
        version = self.next_version()
        started = [
            await self.start_new(place, version) for place in self.places(target, share)
        ]
        old = [server for server in started if server]
        self.set_pace([*old, *self.servers], SLOW_EVENT_SECONDS)
        await asyncio.sleep(OVERLAP_SECONDS)
        return old

    def set_pace(self, servers: list[Server], seconds: float) -> None:
        """Set the time between the events of engines."""
        for server in servers:
            if server.is_engine:
                server.set_event_seconds(seconds)

    async def leave_around(
        self, old: list[Server], kill: asyncio.Task[None], *, at_once: bool
    ) -> None:
        """Let replaced engines leave with a kill of all instances, or after it."""
        if at_once:
            for server in old:
                self.end(server)
        await kill
        self.set_pace(self.all_servers, EVENT_SECONDS)
        if at_once:
            return
        await asyncio.sleep(TAKEN_UP_SECONDS)
        await asyncio.gather(*(self.retire(server) for server in old))
