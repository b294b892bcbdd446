import asyncio

import msgspec
import pytest

from magnoliatrail.clock import SystemClock
from magnoliatrail.generated.answers import ErrorAnswer
from magnoliatrail.standins.environment import EnvironmentSize, start_environment
from tests.processes.fleet import POLL_SECONDS, WAIT_LIMIT_SECONDS, Fleet

pytestmark = pytest.mark.processes


async def ask(fleet):
    return await fleet.complete("one", "adapter-0000@1", "x", stream=False)


async def start_without_weight_store():
    fleet = Fleet(start_environment(SystemClock(), EnvironmentSize()))
    fleet.environment.weights.faults.down = True
    try:
        await fleet.start("one")
        early = await ask(fleet)
        fleet.environment.weights.faults.down = False
        async with asyncio.timeout(WAIT_LIMIT_SECONDS):
            while (late := await ask(fleet)).code != 200:
                await asyncio.sleep(POLL_SECONDS)
        return early, late
    finally:
        await fleet.close()


def test_adapters_are_not_unknown_before_the_catalogue_is_read(run):
    early, late = run(start_without_weight_store())
    assert early.code == 503
    error = msgspec.json.decode(early.body, type=ErrorAnswer).error
    assert (error.kind, error.outcome) == ("starting", "not_run")
    assert late.code == 200
