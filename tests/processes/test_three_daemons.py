import signal

import pytest

from magnoliatrail.demo import expected_text, streamed_text, unstreamed_text

from .fleet import running_fleet

pytestmark = pytest.mark.processes

NAMES = ["one", "two", "three"]
MODELS = [f"adapter-{number:04d}@1" for number in range(6)]


def test_whole_answers_through_each_of_three_daemons(run):
    async def scenario():
        async with running_fleet(NAMES) as fleet:
            for name in NAMES:
                for model in MODELS:
                    whole = await fleet.complete(name, model, "brief", stream=False)
                    assert whole.code == 200, whole.body
                    assert unstreamed_text(whole.body) == expected_text(
                        model, "brief", 8
                    )
                    events = await fleet.complete(name, model, "brief", stream=True)
                    assert streamed_text(events.body) == expected_text(
                        model, "brief", 8
                    )

    run(scenario())


def test_sigterm_ends_a_daemon_with_exit_code_0(run):
    async def scenario():
        async with running_fleet(["one"]) as fleet:
            process = fleet.processes["one"]
            process.signal(signal.SIGTERM)
            assert process.popen.wait(timeout=60) == 0

    run(scenario())
