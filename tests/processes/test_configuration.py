import asyncio
import random
import signal
import sys

import pytest
from expression import Result

from magnoliatrail.errors import ErrorKind
from magnoliatrail.generated.answers import ErrorAnswer
from magnoliatrail.generated.configuration import (
    AcceptedEdit,
    Change,
    ChangeKind,
    Configuration,
    ConfigurationEdit,
    ConfigurationRequest,
)
from magnoliatrail.peers.configuration import CONFIGURATION_PATH, EDIT_PATH
from magnoliatrail.wire import decode

from .fleet import LIMITS, POLL_SECONDS, TOKEN, WAIT_LIMIT_SECONDS, running_fleet

pytestmark = pytest.mark.processes

NAMES = ["one", "two", "three"]
OPERATORS = 4
EDITS_PER_OPERATOR = 12
CONFLICT_KINDS = (ErrorKind.CONFLICT,)


def edit_of(setting, value, edit_id, expected=None):
    change = Change(kind=ChangeKind.SET_DEFAULT, setting=setting, value=value)
    return ConfigurationEdit(
        edit_id=edit_id,
        author="operator",
        time="2026-01-01T00:00:00+00:00",
        expected_revision=expected,
        change=change,
    )


async def read_from(fleet, name):
    url = fleet.processes[name].peer_url + CONFIGURATION_PATH
    return (
        await fleet.peers.ask(url, ConfigurationRequest(), Configuration, LIMITS)
    ).ok


async def send_to(fleet, name, edit):
    url = fleet.processes[name].peer_url + EDIT_PATH
    return await fleet.peers.ask(url, edit, AcceptedEdit, LIMITS)


async def until_in_force(fleet, names, revision):
    async with asyncio.timeout(WAIT_LIMIT_SECONDS):
        for name in names:
            while (await read_from(fleet, name)).revision < revision:
                await asyncio.sleep(POLL_SECONDS)


async def poll_revisions(fleet, name, seen, stop):
    while not stop.is_set():
        seen.append((await read_from(fleet, name)).revision)
        await asyncio.sleep(POLL_SECONDS)


async def run_operator(fleet, operator, accepted):
    generator = random.Random(operator)
    for number in range(EDITS_PER_OPERATOR):
        name = generator.choice(NAMES)
        value = str(1 + operator * EDITS_PER_OPERATOR + number)
        while True:
            expected = (await read_from(fleet, name)).revision
            edit = edit_of("queue_per_caller", value, f"{operator}-{number}", expected)
            match await send_to(fleet, name, edit):
                case Result(tag="ok", ok=done):
                    accepted[done.revision] = value
                    break
                case Result(error=failure):
                    assert failure.kind in CONFLICT_KINDS, failure


def test_concurrent_edits_are_all_kept_and_revisions_never_decrease(run):
    async def scenario():
        async with running_fleet(NAMES) as fleet:
            fleet.environment.table.faults.lose_answers = 5
            accepted, stop = {}, asyncio.Event()
            seen = {name: [] for name in NAMES}
            watchers = [
                asyncio.create_task(poll_revisions(fleet, name, seen[name], stop))
                for name in NAMES
            ]
            await asyncio.gather(
                *(run_operator(fleet, number, accepted) for number in range(OPERATORS))
            )
            total = OPERATORS * EDITS_PER_OPERATOR
            await until_in_force(fleet, NAMES, total)
            stop.set()
            await asyncio.gather(*watchers)
            assert sorted(accepted) == list(range(1, total + 1))
            assert all(revisions == sorted(revisions) for revisions in seen.values())
            for name in NAMES:
                configuration = await read_from(fleet, name)
                value = str(configuration.defaults.queue_per_caller)
                assert value == accepted[total]

    run(scenario())


def test_an_instance_started_during_an_outage_gets_its_peers_revision(run):
    async def scenario():
        async with running_fleet(["one", "two"]) as fleet:
            edit = edit_of("accept_work", "false", "off")
            assert (await send_to(fleet, "one", edit)).ok.revision == 1
            await until_in_force(fleet, ["two"], 1)
            fleet.environment.table.faults.down = True
            await fleet.start("three")
            await until_in_force(fleet, ["three"], 1)
            answer = await fleet.complete("three", "adapter-0000@1", "p", stream=False)
            assert answer.code == 503
            kind = decode(answer.body, ErrorAnswer).ok.error.kind
            assert kind == "switched_off"

    run(scenario())


def test_a_paused_instance_catches_up_after_it_resumes(run):
    async def scenario():
        async with running_fleet(NAMES) as fleet:
            fleet.processes["three"].signal(signal.SIGSTOP)
            for number in range(3):
                edit = edit_of("queue_per_caller", str(number + 1), f"e{number}")
                await send_to(fleet, "one", edit)
            fleet.processes["three"].signal(signal.SIGCONT)
            await until_in_force(fleet, NAMES, 3)

    run(scenario())


async def run_command(fleet, name, *arguments):
    url = fleet.processes[name].peer_url
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "magnoliatrail",
        "config",
        f"--peer-url={url}",
        f"--peer-token={TOKEN}",
        *arguments,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    output, errors = await process.communicate()
    return process.returncode, output.decode(), errors.decode()


def test_the_command_line_edits_waits_exports_and_imports(run, tmp_path):
    exported = tmp_path / "configuration.json"
    steps = [
        (["set", "queue_per_caller", "9"], 0, "accepted as revision 1"),
        (["wait", "--revision", "1"], 0, "in force at 2 instances"),
        (["set", "queue_per_caller", "8", "--expect", "0"], 4, ""),
        (["set", "queue_per_caller", "none"], 1, ""),
        (
            [
                *("except", "add", "x", "--scope", "service", "--name", "bookings"),
                *("--setting", "idempotent", "--value", "false"),
                *("--reason", "doubled bookings"),
            ],
            0,
            "accepted as revision 2",
        ),
        (["get", "idempotent"], 0, "doubled bookings"),
        (["export", "--output", str(exported)], 0, ""),
        (["check", str(exported)], 0, "can be imported"),
        (["except", "remove", "x"], 0, "revision 3"),
        (["except", "remove", "x"], 1, ""),
        (["import", str(exported)], 0, "revision 4"),
        (["except", "list"], 0, "doubled bookings"),
        (["diff", "0", "1"], 0, "set queue_per_caller to 9"),
        (["history"], 0, "remove exception x"),
        (["switch-off"], 0, "revision 5"),
        (["show"], 0, "accept_work = false"),
    ]

    async def scenario():
        async with running_fleet(["one", "two"]) as fleet:
            for number, (arguments, code, text) in enumerate(steps):
                name = ["one", "two"][number % 2] if code == 0 else "one"
                await until_in_force(fleet, ["one", "two"], 0)
                result = await run_command(fleet, name, *arguments)
                assert result[0] == code, (arguments, result)
                assert text in result[1], (arguments, result)
                head = await read_from(fleet, name)
                await until_in_force(fleet, ["one", "two"], head.revision)

    run(scenario())
