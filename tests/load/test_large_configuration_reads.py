"""An instance with a slow link follows a large configuration that changes often."""

import asyncio
import json
from datetime import timedelta

import pytest
from expression import Error, Ok

from magnoliatrail.clock import ManualClock
from magnoliatrail.errors import ErrorKind, Failure
from magnoliatrail.membership.fleet_view import FleetView
from magnoliatrail.membership.store_reader import StoreReader
from magnoliatrail.platform.protocol import OPERATOR_TABLE
from magnoliatrail.platform.rows import RowsRead, StoredRow
from magnoliatrail.platform_daemon import STORE_LIMITS
from tests.platform.rig import BOUNDS, configuration, route

# Half of a link of 10 Mbit/s; the rest carries other messages.
LINK_BYTES_PER_SECOND = 5e6 / 8
BASE64_SIZE = 4 / 3
ROUTES = 1400
CHANGE_INTERVAL = timedelta(milliseconds=330)
STEP = timedelta(milliseconds=10)


class LinkedStore:
    """A store behind a slow link; its changes hold each version of a row."""

    def __init__(self, clock):
        self.clock = clock
        self.versions = []
        self.written_at = {}
        self.silent = False

    def write(self):
        """Write the next version of the configuration."""
        version = len(self.versions) + 1
        routes = [
            route(f"route-{n}", f"/path-{n}/", "safe", "desk", attempts=version % 9 + 1)
            for n in range(ROUTES)
        ]
        value = json.dumps(configuration(version, routes)).encode()
        self.versions.append(StoredRow("config", version, value))
        self.written_at[version] = self.clock.monotonic()

    def superseded_at(self, version):
        return None

    async def read(self, table):
        rows = self.versions[-1:] if table == OPERATOR_TABLE else []
        return await self.send(rows, whole=True)

    async def changes(self, table, after, wait):
        until = self.clock.monotonic() + wait
        while self.clock.monotonic() < until and len(self.versions) <= after:
            await self.clock.sleep(STEP)
        rows = self.versions[after:] if table == OPERATOR_TABLE else []
        return await self.send(rows, whole=False)

    async def send(self, rows, *, whole):
        version = len(self.versions)
        size = sum(len(row.value) for row in rows) * BASE64_SIZE
        took = timedelta(seconds=size / LINK_BYTES_PER_SECOND)
        limit = STORE_LIMITS.total
        await self.clock.sleep(min(took, limit))
        if took > limit or self.silent:
            return Error(Failure(ErrorKind.TABLE_UNAVAILABLE, "no answer"))
        return Ok(RowsRead(tuple(rows), version, whole))


async def longest_lag(*, silent_from=None, silent_until=None):
    """Play a storm of changes, and return for how long a version was missing at most.

    What is missing while the store is silent, and within the bound after it, does not
    count.
    """
    clock = ManualClock()
    store = LinkedStore(clock)
    store.write()
    view = FleetView(clock)
    reader = StoreReader(
        clock=clock, store=store, view=view, read_due_in=lambda age: timedelta()
    )
    following = asyncio.create_task(
        reader.follow(OPERATOR_TABLE, timedelta(seconds=0.4), timedelta())
    )
    longest, next_change = timedelta(), timedelta(seconds=3)
    while clock.monotonic() < timedelta(seconds=14):
        for _ in range(4):
            await asyncio.sleep(0)
        clock.advance(STEP)
        now = clock.monotonic()
        if silent_from is not None:
            store.silent = silent_from <= now < silent_until
        if now >= next_change and now < timedelta(seconds=10):
            store.write()
            next_change = now + CHANGE_INTERVAL
        known = view.routes.version if view.routes else 0
        excused = silent_from is not None and (
            silent_from <= now < silent_until + BOUNDS.propagation
        )
        if known < len(store.versions) and not excused:
            longest = max(longest, now - store.written_at[known + 1])
    following.cancel()
    assert view.routes.version == len(store.versions)
    return longest


# Guards against configurations that come into force too late (CONFIG): the changes of a
# series hold each version whole, take longer than the limit of a read, and grow.
@pytest.mark.parametrize("silent", [None, (5, 8)])
def test_a_slow_link_follows_a_series_of_large_configurations(run, silent):
    times = [timedelta(seconds=at) for at in silent] if silent else [None, None]
    lag = run(longest_lag(silent_from=times[0], silent_until=times[1]))
    assert lag <= BOUNDS.propagation
