"""Prompts with a part that crashes each engine that begins an answer on it."""

import asyncio
from itertools import cycle

import pytest

from magnoliatrail.standins.platform_engine import PlatformEngineState
from tests.platform.rig import MODEL, model, running

INSTANCES = 3
ENGINES = 4
CRASHING = "bad0"
SHARED = "5c1e"
# The platform allows this long for news of a crash to reach all instances.
STABILITY_SECONDS = 3
# Requests with the part that may still reach engines after that.
ALLOWED_LATE_REQUESTS = 3


def crashing_engine(number):
    """Return an engine that crashes on the part."""
    name = f"engine-{number}"
    return PlatformEngineState(name, born=1, models={MODEL}, crashing_part=CRASHING)


class CrashingFleet:
    """Send requests to the instances in turn, and replace engines that crashed."""

    def __init__(self, rig, path="/stream/x"):
        self.rig = rig
        self.path = path
        self.instances = cycle(rig.daemons)
        self.sent = 0

    @property
    def crashed(self):
        return [state for state in self.rig.engines if state.crashed]

    async def replace_crashed(self):
        """List a new engine for each one that crashed since the last call."""
        for state in self.crashed:
            if state.id in self.rig.store_ids():
                self.rig.store.put("servers", state.id, None)
                self.rig.add_engine(crashing_engine(len(self.rig.engines)))
        names = self.rig.store_ids()
        await self.rig.until(
            lambda: all(set(item.view.servers) == names for item in self.rig.daemons)
        )

    async def send(self, *parts):
        """Send a request whose prompt has these parts and one of its own."""
        self.sent += 1
        prefix = ",".join(f"{part}:100" for part in (*parts, f"own{self.sent}"))
        return await self.rig.send(
            next(self.instances),
            self.path,
            request=f"r{self.sent}",
            headers={**model("a7"), "Magnoliatrail-Prompt-Prefix": prefix},
        )

    async def send_crashing(self, count):
        """Send so many requests with the crashing part, and return the last answer."""
        for _ in range(count):
            answer = await self.send(SHARED, CRASHING)
            await self.replace_crashed()
        return answer


@pytest.fixture
def crashing_fleet(run):
    """Return a function that runs a scenario on a fleet of crashing engines."""

    def start(scenario):
        async def whole():
            async with running(instances=INSTANCES, engines=ENGINES) as rig:
                for state in rig.engines:
                    state.crashing_part = CRASHING
                await scenario(CrashingFleet(rig))

        return run(whole())

    return start


# Guards against one prompt part that crashes the engines one after the other.
def test_a_part_that_crashed_five_engines_is_sent_to_no_more_than_three(crashing_fleet):
    async def scenario(fleet):
        await fleet.send_crashing(5)
        await asyncio.sleep(STABILITY_SECONDS)
        known = len(fleet.crashed)
        answer = await fleet.send_crashing(3 * INSTANCES)
        assert len(fleet.crashed) - known <= ALLOWED_LATE_REQUESTS
        assert answer.status == 503

    crashing_fleet(scenario)


# Guards against the refusal of sound prompts that share parts with a crashing one.
def test_sound_requests_with_the_same_first_part_are_served(crashing_fleet):
    async def scenario(fleet):
        await fleet.send(SHARED, "77aa")
        await fleet.send_crashing(5)
        for _ in range(2 * INSTANCES):
            answer = await fleet.send(SHARED, "77aa")
            assert (answer.status, answer.whole) == (200, True)

    crashing_fleet(scenario)
