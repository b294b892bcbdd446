import asyncio
import signal

import pytest

from magnoliatrail.demo import expected_text, streamed_text
from magnoliatrail.generated.platform import ListedState
from magnoliatrail.standins.engine import EngineLimits
from magnoliatrail.standins.environment import EnvironmentSize
from magnoliatrail.wire import CallFailed

from .fleet import POLL_SECONDS, WAIT_LIMIT_SECONDS, running_fleet

pytestmark = pytest.mark.processes

NAMES = ["one", "two", "three"]
MODELS = [f"adapter-{number:04d}@1" for number in range(6)]
SIZE = EnvironmentSize(engines=4, engine=EngineLimits(adapter_slots=6, batch_slots=16))
STREAM_TOKENS = 400


class StreamLoad:
    """Send streams through some instances in turn and record each result."""

    def __init__(self, fleet, names, *, tokens=40):
        self.fleet = fleet
        self.names = names
        self.tokens = tokens
        self.stopped = False
        self.answers = []
        self.task = asyncio.create_task(self.send())

    async def send(self):
        async with asyncio.TaskGroup() as group:
            number = 0
            while not self.stopped:
                number += 1
                name = self.names[number % len(self.names)]
                if name in self.fleet.processes:
                    group.create_task(self.ask(name, MODELS[number % len(MODELS)]))
                await asyncio.sleep(POLL_SECONDS)

    async def ask(self, name, model):
        try:
            response = await self.fleet.complete(
                name, model, "brief", stream=True, tokens=self.tokens
            )
        except CallFailed as error:
            # Only a connection that is lost after sending truncates a stream.
            self.answers.append((name, 200 if error.sent else 0, False))
            return
        text = streamed_text(response.body) if response.code == 200 else None
        expected = expected_text(model, "brief", self.tokens)
        self.answers.append((name, response.code, text == expected))

    async def stop(self):
        self.stopped = True
        await self.task

    def truncated(self):
        return [a for a in self.answers if a[1] == 200 and not a[2]]


def violations(fleet):
    return [item for engine in fleet.environment.engines for item in engine.violations]


async def instance_with_most_engines(fleet):
    statuses = {name: await fleet.status(name) for name in fleet.processes}
    return max(statuses, key=lambda name: len(statuses[name].engines_owned))


async def until(condition):
    async with asyncio.timeout(WAIT_LIMIT_SECONDS):
        while not await condition():
            await asyncio.sleep(POLL_SECONDS)


def test_a_crash_truncates_no_other_stream_and_its_engines_get_a_new_owner(run):
    async def scenario():
        async with running_fleet(NAMES, SIZE) as fleet:
            victim = await instance_with_most_engines(fleet)
            load = StreamLoad(fleet, [name for name in NAMES if name != victim])
            await asyncio.sleep(1)
            fleet.kill(victim)
            await fleet.until_settled()
            await asyncio.sleep(1)
            await load.stop()
            assert load.answers
            assert load.truncated() == []
            assert violations(fleet) == []

    run(scenario())


def test_a_graceful_exit_under_load_truncates_no_stream_and_reloads_no_adapter(run):
    async def scenario():
        async with running_fleet(NAMES, SIZE) as fleet:
            for model in MODELS:
                await fleet.complete("one", model, "warm", stream=False)
            load = StreamLoad(fleet, NAMES)
            await asyncio.sleep(1)
            exiting = await instance_with_most_engines(fleet)
            process = fleet.processes[exiting]
            process.signal(signal.SIGTERM)
            code = await asyncio.to_thread(process.popen.wait, 60)
            fleet.ended.append(fleet.processes.pop(exiting))
            fleet.environment.instances.remove(exiting)
            await fleet.until_settled()
            await load.stop()
            assert code == 0
            assert load.truncated() == []
            for engine in fleet.environment.engines:
                sources = [item.source for item in engine.loaded.values()]
                assert sorted(sources) == sorted(set(sources))
                assert engine.evictions == 0
            assert violations(fleet) == []

    run(scenario())


def test_a_paused_owner_is_replaced_and_steps_down_when_it_resumes(run):
    async def scenario():
        async with running_fleet(NAMES, SIZE) as fleet:
            victim = await instance_with_most_engines(fleet)
            paused = fleet.processes.pop(victim)
            fleet.ended.append(paused)
            load = StreamLoad(fleet, [name for name in NAMES if name != victim])
            paused.signal(signal.SIGSTOP)
            await fleet.until_settled()
            paused.signal(signal.SIGCONT)
            fleet.processes[victim] = paused
            await fleet.until_settled()
            await load.stop()
            assert load.truncated() == []
            assert violations(fleet) == []
            answer = await fleet.complete(victim, MODELS[0], "p", stream=False)
            assert answer.code == 200

    run(scenario())


def test_owners_keep_serving_while_the_table_is_down(run):
    async def scenario():
        async with running_fleet(NAMES, SIZE) as fleet:
            fleet.environment.table.faults.down = True
            load = StreamLoad(fleet, NAMES)
            await asyncio.sleep(8)
            await load.stop()
            fleet.environment.table.faults.down = False
            assert load.answers
            assert all(code == 200 and complete for _, code, complete in load.answers)
            await fleet.until_settled()
            assert violations(fleet) == []

    run(scenario())


def test_a_leaving_server_gets_no_work_from_an_instance_cut_off_from_the_list(run):
    async def scenario():
        async with running_fleet(NAMES[:2], SIZE) as fleet:
            cut_off = await fleet.start("three", "--instance-list-seconds=3600")
            await fleet.until_settled()
            engine = fleet.environment.engines[0]
            load = StreamLoad(fleet, ["three"], tokens=4)
            fleet.environment.instances.set_leaving("engine-0")

            async def leaving_is_listed():
                status = await fleet.status(cut_off.name)
                return status.leaving == ["engine-0"]

            await until(leaving_is_listed)
            await asyncio.sleep(1)
            started = len(engine.answers)
            await asyncio.sleep(2)
            await load.stop()
            assert len(engine.answers) == started
            listed = fleet.environment.instances.latest()["engine-0"]
            assert listed.state is ListedState.LEAVING

    run(scenario())


def test_a_second_signal_forces_the_exit(run):
    async def scenario():
        async with running_fleet(["one"], SIZE) as fleet:
            ask = fleet.complete(
                "one", MODELS[0], "long", stream=True, tokens=STREAM_TOKENS * 20
            )
            asking = asyncio.create_task(ask)
            process = fleet.processes["one"]

            async def request_is_running():
                return any(engine.running for engine in fleet.environment.engines)

            await until(request_is_running)
            process.signal(signal.SIGTERM)
            await asyncio.sleep(1)
            assert process.popen.poll() is None
            process.signal(signal.SIGTERM)
            assert await asyncio.to_thread(process.popen.wait, 60) == 1
            await asyncio.gather(asking, return_exceptions=True)

    run(scenario())
