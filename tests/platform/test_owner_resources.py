"""Which instances claim the leases of a fleet with machines of several sizes."""

import asyncio
from dataclasses import replace
from datetime import timedelta

import pytest

from magnoliatrail.cells.claim_turn import (
    CLAIM_STAGGER,
    MAX_CLAIM_STEPS,
    resource_claim_delay,
)
from magnoliatrail.cells.fleet_cells import FIRST_OWNER_READ
from magnoliatrail.platform_daemon import PlatformDaemon
from tests.platform.rig import settings

STORE = "127.0.0.1:1"
LONGEST_TURN = CLAIM_STAGGER * MAX_CLAIM_STEPS


def sized(*, cores, link_mbps):
    return replace(settings(0, STORE), cores=cores, link_mbps=link_mbps)


# Guards against an owner whose link its own answers fill, while machines that are sized
# for it claim nothing: reports and updates of the tables were lost (CONFIG).
@pytest.mark.parametrize(
    ("cores", "link_mbps"), [(1.0, 10.0), (0.5, 10.0), (0.5, 20.0)]
)
def test_a_small_machine_claims_after_all_turns_of_large_ones(cores, link_mbps):
    small = resource_claim_delay(sized(cores=cores, link_mbps=link_mbps))
    large = resource_claim_delay(sized(cores=2.1, link_mbps=200.0))
    assert large == timedelta()
    assert small > LONGEST_TURN


def test_a_small_machine_that_discovers_the_engines_lets_others_read_the_rows(run):
    async def scenario():
        small = PlatformDaemon(sized(cores=0.5, link_mbps=10.0))
        large = PlatformDaemon(sized(cores=2.1, link_mbps=200.0))
        before = small.owner_claim_delay()
        for daemon in (small, large):
            daemon.cells.layout.discovers = True
        assert small.owner_claim_delay() == before + FIRST_OWNER_READ
        assert large.owner_claim_delay() == timedelta()
        await asyncio.sleep(0)

    run(scenario())
