import signal

import pytest

from magnoliatrail.demo import expected_text, streamed_text, unstreamed_text

from .fleet import running_fleet

pytestmark = pytest.mark.processes

NAMES = ["one", "two", "three"]
MODELS = [f"adapter-{number:04d}@1" for number in range(6)]


def test_each_of_three_daemons_serves_complete_answers(run):
    async def scenario():
        async with running_fleet(NAMES) as fleet:
            for name in NAMES:
                for model in MODELS:
                    answer = await fleet.complete(name, model, "brief", stream=False)
                    assert answer.code == 200, answer.body
                    assert unstreamed_text(answer.body) == expected_text(
                        model, "brief", 8
                    )
                    stream = await fleet.complete(name, model, "brief", stream=True)
                    assert streamed_text(stream.body) == expected_text(
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
