import asyncio
from dataclasses import replace
from datetime import timedelta

import pytest

from magnoliatrail.demo import expected_text, streamed_text
from magnoliatrail.standins.engine import EngineLimits
from magnoliatrail.standins.environment import EnvironmentSize
from magnoliatrail.wire import CallFailed

from .fleet import WAIT_LIMIT_SECONDS, running_fleet

pytestmark = pytest.mark.processes

MODEL = "adapter-0000@1"
TOKENS = 40
SIZE = EnvironmentSize(
    engines=2, engine=EngineLimits(token_time=timedelta(milliseconds=10))
)
TEXT = expected_text(MODEL, "brief", TOKENS)


async def until(condition):
    async with asyncio.timeout(WAIT_LIMIT_SECONDS):
        while not condition():
            await asyncio.sleep(0.01)


def running(engines):
    return [engine for engine in engines if engine.running]


@pytest.mark.parametrize("fault", ["break_streams", "silence_streams"])
def test_a_daemon_resumes_a_stream_on_the_same_engine(run, fault):
    async def scenario():
        async with running_fleet(["other"], SIZE) as fleet:
            await fleet.start("one", "--idle-timeout-seconds=1")
            await fleet.until_settled()
            engines = fleet.environment.engines
            for engine in engines:
                setattr(engine.faults, fault, 1)
            answer = await fleet.complete(
                "one", MODEL, "brief", stream=True, tokens=TOKENS
            )
            assert streamed_text(answer.body) == TEXT
            assert sum(engine.runs for engine in engines) == 1
            assert sum(getattr(engine.faults, fault) for engine in engines) == 1

    run(scenario())


def test_a_daemon_finishes_a_stream_after_its_engine_restarted(run):
    async def scenario():
        async with running_fleet(["one"], SIZE) as fleet:
            engines = fleet.environment.engines
            asking = asyncio.create_task(
                fleet.complete("one", MODEL, "brief", stream=True, tokens=TOKENS)
            )
            await until(lambda: running(engines))
            (engine,) = running(engines)
            await until(lambda: any(item.texts for item in engine.answers.values()))
            engine.restart()
            answer = await asking
            assert streamed_text(answer.body) == TEXT
            assert sum(engine.runs for engine in engines) == 2

    run(scenario())


async def begun_stream(fleet):
    """Begin a stream, and start its engine again with software that is not listed."""
    engines = fleet.environment.engines
    pending = asyncio.create_task(
        fleet.complete("one", MODEL, "brief", stream=True, tokens=TOKENS)
    )
    await until(lambda: running(engines))
    (engine,) = running(engines)
    await until(lambda: any(item.texts for item in engine.answers.values()))
    began = engine.software_version
    engine.software_version = "v3"
    engine.restart()
    return pending, began


# Guards against another software version finishing a stream during an upgrade.
def test_a_daemon_finishes_a_stream_at_the_software_version_that_began_it(run):
    async def scenario():
        size = replace(SIZE, engines=4, software_versions=("v1", "v2"))
        async with running_fleet(["one"], size) as fleet:
            pending, began = await begun_stream(fleet)
            answer = await pending
            assert streamed_text(answer.body) == TEXT
            finished = [
                engine
                for engine in fleet.environment.engines
                if any(item.finished for item in engine.answers.values())
            ]
            assert [engine.software_version for engine in finished] == [began]

    run(scenario())


# Guards against an answer joined from two versions where the first has gone.
def test_a_daemon_ends_a_stream_whose_software_version_is_gone_as_an_error(run):
    async def scenario():
        size = replace(SIZE, software_versions=("v1", "v2"))
        async with running_fleet(["one"], size) as fleet:
            pending, began = await begun_stream(fleet)
            assert began in size.software_versions
            with pytest.raises(CallFailed):
                await pending

    run(scenario())
