"""Releases of a soak run replace engines, and leave nothing of the old ones."""

import asyncio
import base64
import json
from contextlib import asynccontextmanager

import pytest

from magnoliatrail.standins.row_store import RowStoreState
from tests.soak import releases as timing
from tests.soak.releases import SLOW_EVENT_SECONDS, Releases
from tests.soak.servers import EVENT_SECONDS, Server


@pytest.fixture(autouse=True)
def short_times(monkeypatch):
    """Wait for no instances, as none runs."""
    for name in ("DRAIN_SECONDS", "OVERLAP_SECONDS", "TAKEN_UP_SECONDS"):
        monkeypatch.setattr(timing, name, 0.02)


@asynccontextmanager
async def three_servers():
    """Start two engines and a plain server, which a release may replace."""
    store = RowStoreState()
    servers = [
        Server("engine-0", store, engine=True),
        Server("engine-1", store, engine=True),
        Server("plain-0", store, engine=False),
    ]
    releases = Releases(servers, store)
    try:
        for server in servers:
            await server.start()
        yield releases
    finally:
        for server in releases.all_servers:
            server.close()


def listed(releases):
    """Return the listed servers, with their software version and state."""
    rows = {
        row["key"]: json.loads(base64.b64decode(row["value"]))
        for row in releases.store.list_rows("servers")
    }
    return {key: (row["version"], row["state"]) for key, row in rows.items()}


# Guards against releases that leave old engines, or replace plain servers.
def test_a_release_of_all_engines_leaves_none_of_the_old_version(run):
    async def scenario():
        async with three_servers() as releases:
            await releases.release(target=1, seconds=0.02)
            assert listed(releases) == {
                "engine-0-v1.1": ("v1.1", "ready"),
                "engine-1-v1.1": ("v1.1", "ready"),
                "plain-0": ("v1", "ready"),
            }
            assert all(server.listener is None for server in releases.replaced)

    run(scenario())


# Guards against runs in which two software versions never serve beside each other.
def test_a_release_of_half_of_the_engines_leaves_two_versions(run):
    async def scenario():
        async with three_servers() as releases:
            await releases.release(target=0, seconds=0.02)
            await releases.release(target=1, seconds=0.02)
            versions = {version for version, _ in listed(releases).values()}
            assert versions == {"v1", "v1.2"}
            await releases.release(target=2, seconds=0.02)
            assert listed(releases)["engine-0-v1.3"] == ("v1.3", "ready")
            assert listed(releases)["engine-1-v1.2"] == ("v1.2", "ready")

    run(scenario())


# Guards against an engine that another fault starts again after it was replaced.
def test_an_engine_that_is_down_or_leaves_is_not_replaced(run):
    async def scenario():
        async with three_servers() as releases:
            releases.servers[0].stop_run()
            releases.servers[1].list_as("draining")
            await releases.release(target=1, seconds=0.02)
            assert releases.replaced == []

    run(scenario())


# Guards against a kill of all instances in which the old version is gone before its
# streams have begun, or still serves afterwards.
@pytest.mark.parametrize("at_once", [True, False])
def test_old_engines_leave_with_a_kill_of_all_instances_or_after_it(run, at_once):
    async def scenario():
        async with three_servers() as releases:
            old = await releases.start_beside(target=0, share=1.0)
            assert len(listed(releases)) == 5
            assert {item.runs[-1].event_seconds for item in old} == {SLOW_EVENT_SECONDS}
            killed = asyncio.Event()
            kill = asyncio.create_task(killed.wait())
            leaving = asyncio.create_task(
                releases.leave_around(old, kill, at_once=at_once)
            )
            await asyncio.sleep(0.05)
            assert ("engine-0" in listed(releases)) is not at_once
            killed.set()
            await leaving
            assert set(listed(releases)) == {
                "engine-0-v1.1",
                "engine-1-v1.1",
                "plain-0",
            }
            assert releases.servers[0].runs[-1].event_seconds == EVENT_SECONDS

    run(scenario())
