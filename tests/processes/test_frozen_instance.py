"""An instance that stands still during a release, and the streams it takes up then."""

import asyncio
import base64
import json
import signal

import pytest

from magnoliatrail.listeners import listen
from magnoliatrail.standins.platform_engine import (
    PlatformEngineState,
    platform_engine_application,
)
from tests.platform.rig import MODEL, model, read_answer
from tests.processes.test_upgrade import WAIT_SECONDS, MixedFleet

pytestmark = pytest.mark.processes

STREAMS = 6
# Long enough for the others to list the new engines and to take over.
FROZEN_SECONDS = 4


def release(fleet):
    """Start an engine of a new software version, and let the others leave."""
    state = PlatformEngineState(
        "new", born=2, models={MODEL}, events=400, version="v1.1"
    )
    listener = listen(platform_engine_application(state), host="127.0.0.1")
    fleet.listeners.append(listener)
    row = {**state.row, "address": f"127.0.0.1:{listener.port}"}
    for item in fleet.store.list_rows("servers"):
        fleet.store.put_json(
            "servers",
            item["key"],
            {**json.loads(base64.b64decode(item["value"])), "state": "draining"},
        )
    fleet.store.put_json("servers", state.id, row)
    return state


async def take_up_once(fleet, connection, begun):
    """Send the request that takes a stream up, before the instance goes on."""
    _, writer = connection
    headers = {**model(), "Last-Event-Id": "2", "Resumes": begun}
    writer.write(fleet.request("/stream/x", f"again-{begun}", headers))
    await writer.drain()


# Guards against streams of a new software version that go on at another one, because
# the instance that takes them up stood still while its servers joined.
@pytest.mark.parametrize("store_is_down", [False, True])
def test_an_instance_that_stood_still_mixes_no_versions(run, tmp_path, store_is_down):
    async def scenario():
        fleet, connections = MixedFleet(tmp_path, [None] * 3), []
        try:
            for instance in fleet.instances:
                instance.starts = 1
                instance.start()
            await fleet.until(fleet.serves_newest_route)
            serving, _, frozen = fleet.instances
            connections += [await fleet.connect(frozen) for _ in range(STREAMS)]
            frozen.signal(signal.SIGSTOP)
            new = release(fleet)
            begun = []

            async def began_at_new():
                # It is refused until the owner knows the new engine.
                await fleet.ask(serving, "/stream/x")
                begun.append(f"request-{fleet.requests}")
                return sum(item in new.ran for item in begun) >= STREAMS

            await asyncio.gather(
                fleet.until(began_at_new), asyncio.sleep(FROZEN_SECONDS)
            )
            of_new = [item for item in begun if item in new.ran][:STREAMS]
            for connection, name in zip(connections, of_new, strict=True):
                await take_up_once(fleet, connection, name)
            # Without the store, the instance can't renew its list first.
            fleet.store.down = store_is_down
            frozen.signal(signal.SIGCONT)
            async with asyncio.timeout(WAIT_SECONDS):
                answers = [await read_answer(reader) for reader, _ in connections]
            again = {f"again-{name}" for name in of_new}
            for engine in fleet.engines:
                assert again.isdisjoint(engine.ran)
            assert {answer.status for answer in answers} <= {200, 503}
            fleet.store.down = False
            # Once its list is read again, the streams go on at their version.
            answer = await fleet.take_up(frozen, of_new[0])
            assert answer.whole
        finally:
            for _, writer in connections:
                writer.close()
            for instance in fleet.instances:
                if instance.popen and instance.popen.poll() is None:
                    instance.popen.send_signal(signal.SIGCONT)
            fleet.close()

    run(scenario())
