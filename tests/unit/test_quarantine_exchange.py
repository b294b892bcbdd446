"""Instances that learn together which prompt parts crash servers."""

import asyncio
import json
from datetime import timedelta

import pytest
from expression import Error

from magnoliatrail.clock import ManualClock
from magnoliatrail.errors import ErrorKind, Failure
from magnoliatrail.generated.quarantine import (
    CrashReport,
    CrashReports,
    RunAnswered,
    SoundAnswers,
)
from magnoliatrail.ids import InstanceId
from magnoliatrail.metrics import NoMetrics
from magnoliatrail.peers.crash_collector import RENEWAL_INTERVAL
from magnoliatrail.peers.quarantine_exchange import QuarantineExchange
from magnoliatrail.routing.crash_causes import MIN_CRASHES
from magnoliatrail.routing.quarantine import RENEWAL_TIMEOUT
from magnoliatrail.routing.quarantine_terms import FIRST_TRIAL_AFTER
from magnoliatrail.wire import decode, encode

BAD = ("first", "bad")
SOUND = ("first", "sound")
SECOND = timedelta(seconds=1)


class Fleet:
    """Instances that exchange messages in memory; some may not answer."""

    def __init__(self, count=6):
        self.clock = ManualClock()
        self.instances = {}
        self.silent = set()
        self.messages = 0
        self.crashes = 0
        for number in range(count):
            self.add(f"i{number}")

    def add(self, name):
        """Start an instance, or start it again with nothing known."""
        self.instances[name] = QuarantineExchange(
            clock=self.clock,
            metrics=NoMetrics(),
            peers=Peers(self, name),
            instance=InstanceId(name),
            urls=lambda: {
                other: f"http://{other}" for other in self.instances if other != name
            },
        )
        return self.instances[name]

    @property
    def collectors(self):
        return next(iter(self.instances.values())).collectors()

    async def exchange(self):
        """Let all instances that run exchange what they know, twice."""
        for _ in range(2):
            for name, instance in self.instances.items():
                if name not in self.silent:
                    await instance.exchange()

    def break_at(self, name, *prompts, run=None):
        """Let an instance see answers of a server break off."""
        for prompt in prompts:
            self.instances[name].record_broken(
                run or (f"server-{self.crashes}", 1), prompt
            )

    async def crash(self, *names):
        """Let a server crash under the part at the first of these instances."""
        self.clock.advance(SECOND)
        self.crashes += 1
        self.break_at(names[0], BAD, SOUND)
        for name in names[1:]:
            self.break_at(name, SOUND)
        await self.exchange()
        self.answer(names[0], SOUND)

    def answer(self, name, parts):
        """Let an instance get a sound answer."""
        self.clock.advance(SECOND / 100)
        self.instances[name].record_sound(parts)

    def refusing(self, parts=BAD):
        return {
            name
            for name, instance in self.instances.items()
            if instance.rules.find(parts)
        }


class Peers:
    """The peer client of one instance."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name

    async def ask(self, url, message, answer_type, limits):
        self.fleet.messages += 1
        name, _, path = url.removeprefix("http://").partition("/")
        peer = self.fleet.instances.get(name)
        if peer is None or {name, self.name} & self.fleet.silent:
            return Error(Failure(ErrorKind.PEER_UNAVAILABLE, "no answer"))
        (route,) = (item for item in peer.peer_routes() if item.path == f"/{path}")
        received = decode(encode(message), route.message_type).ok
        answer = await route.answer(received)
        return decode(encode(answer.ok), answer_type)


@pytest.fixture
def fleet():
    return Fleet()


# Guards against a crashing part that each instance has seen too rarely to know it.
def test_instances_that_saw_one_crash_each_learn_the_part_together(run, fleet):
    async def scenario():
        for number in range(MIN_CRASHES):
            assert not fleet.refusing()
            await fleet.crash(f"i{number}", f"i{number + 1}")
        assert fleet.refusing() == set(fleet.instances)
        assert not fleet.refusing(SOUND)

    run(scenario())


def test_a_sound_answer_at_any_instance_clears_a_part(run, fleet):
    async def scenario():
        for number in range(MIN_CRASHES - 1):
            await fleet.crash(f"i{number}")
        fleet.clock.advance(3 * SECOND)
        fleet.answer("i5", BAD)
        await fleet.crash("i3")
        assert not fleet.refusing()

    run(scenario())


# Guards against suspects that come up once others are cleared, and are not asked for.
def test_suspects_behind_a_cleared_one_are_asked_for_too(run, fleet):
    async def scenario():
        others = [name for name in fleet.instances if name not in fleet.collectors]
        for number in range(MIN_CRASHES):
            fleet.clock.advance(SECOND)
            fleet.break_at(others[0], ("first", "rare"), run=(f"s{number}", 1))
            fleet.break_at(others[0], ("first",), run=(f"s{number}", 1))
            if number == MIN_CRASHES - 2:
                fleet.answer(others[1], ("first", "rare"))
        fleet.clock.advance(SECOND)
        fleet.break_at(others[0], ("first",), run=("last", 1))
        fleet.answer(others[2], ("first",))
        await fleet.exchange()
        assert not fleet.refusing(("first", "rare"))

    run(scenario())


def test_a_server_that_answers_another_instance_has_not_crashed(run, fleet):
    async def scenario():
        for number in range(MIN_CRASHES - 1):
            await fleet.crash(f"i{number}")
        run_key = ("truncating", 1)
        fleet.clock.advance(SECOND)
        fleet.break_at("i3", BAD, run=run_key)
        fleet.clock.advance(SECOND)
        now = fleet.clock.monotonic()
        fleet.instances["i5"].record_answered(run_key, now)
        await fleet.exchange()
        assert not fleet.refusing()

    run(scenario())


def without_connections(message):
    """Return a message as instances of the release before send it."""
    fields = json.loads(encode(message))
    for item in [*fields.get("crashes", ()), *fields.get("runs", ())]:
        item.pop("alive_age_ms", None)
        item.pop("connected_age_ms", None)
    return decode(json.dumps(fields).encode(), type(message)).ok


# Guards against an upgrade in which instances of two releases don't read each other.
def test_reports_that_name_no_connection_are_still_counted_by_the_list(run, fleet):
    async def scenario():
        collector = fleet.instances[fleet.collectors[0]]
        now = fleet.clock.monotonic()
        for number in range(2 * MIN_CRASHES):
            fleet.clock.advance(SECOND)
            report = CrashReport(
                server="s", born=number // 2, age_ms=0.0, prompts=[list(BAD)]
            )
            reports = without_connections(CrashReports(crashes=[report], lifted=[]))
            assert (await collector.answer_reports(reports)).is_ok()
        assert len(collector.evidence.crashes) == MIN_CRASHES
        sound = SoundAnswers(
            parts=[], runs=[RunAnswered(server="s", born=0, age_ms=0.0)]
        )
        collector.collector.apply_sound_answers(
            without_connections(sound), fleet.clock.monotonic()
        )
        events = collector.evidence.crash_events()
        assert len(events) == MIN_CRASHES - 1
        assert all(event.at > now for event in events)

    run(scenario())


@pytest.mark.parametrize("lost", [0, 1])
def test_one_collector_that_does_not_answer_is_not_missed(run, fleet, lost):
    async def scenario():
        fleet.silent.add(fleet.collectors[lost])
        seeing = [name for name in fleet.instances if name not in fleet.silent]
        for number in range(MIN_CRASHES):
            await fleet.crash(seeing[number % len(seeing)])
        assert fleet.refusing() == set(fleet.instances) - fleet.silent

    run(scenario())


# Guards against evidence that ends with the instances that collected it.
def test_collectors_that_are_replaced_get_the_reports_again(run, fleet):
    async def scenario():
        gone = fleet.collectors
        seeing = [name for name in fleet.instances if name not in gone]
        for number in range(MIN_CRASHES - 1):
            await fleet.crash(seeing[number])
        for name in gone:
            del fleet.instances[name]
        assert not set(fleet.collectors) & set(gone)
        await fleet.crash(seeing[-1])
        assert fleet.refusing() == set(fleet.instances)

    run(scenario())


@pytest.mark.parametrize("name", ["i0", "i1", "i2", "i3", "i4", "i5"])
def test_an_instance_that_starts_learns_the_groups_in_time(run, fleet, name):
    async def scenario():
        for number in range(MIN_CRASHES):
            await fleet.crash(f"i{number}")
        fleet.add(name)
        assert name not in fleet.refusing()
        fleet.clock.advance(RENEWAL_INTERVAL)
        await fleet.exchange()
        assert fleet.refusing() == set(fleet.instances)

    run(scenario())


def test_an_instance_that_was_frozen_learns_the_groups_in_time(run, fleet):
    async def scenario():
        fleet.silent.add("i5")
        for number in range(MIN_CRASHES):
            await fleet.crash(f"i{number}")
        fleet.silent.clear()
        fleet.clock.advance(RENEWAL_INTERVAL)
        await fleet.exchange()
        assert fleet.refusing() == set(fleet.instances)

    run(scenario())


def test_a_sound_answer_to_a_quarantined_prompt_lifts_the_quarantine(run, fleet):
    async def scenario():
        for number in range(MIN_CRASHES):
            await fleet.crash(f"i{number}")
        fleet.answer("i5", BAD)
        await fleet.exchange()
        fleet.clock.advance(RENEWAL_INTERVAL)
        await fleet.exchange()
        assert not fleet.refusing()

    run(scenario())


def test_one_request_of_the_fleet_tries_a_group_after_a_time(run, fleet):
    async def scenario():
        for number in range(MIN_CRASHES):
            await fleet.crash(f"i{number}")
        passed = 0
        began = fleet.clock.monotonic()
        while fleet.clock.monotonic() - began < FIRST_TRIAL_AFTER * 1.5:
            fleet.clock.advance(SECOND)
            for instance in fleet.instances.values():
                passed += not instance.refuses(BAD, sending=True)
            await fleet.exchange()
        assert passed == 1

    run(scenario())


def test_groups_end_at_an_instance_that_no_collector_reaches(run, fleet):
    async def scenario():
        for number in range(MIN_CRASHES):
            await fleet.crash(f"i{number}")
        fleet.silent.update(fleet.collectors)
        fleet.clock.advance(RENEWAL_TIMEOUT + SECOND)
        assert not fleet.refusing()

    run(scenario())


def test_without_crashes_no_message_is_sent(run, fleet):
    async def scenario():
        for _ in range(10):
            fleet.answer("i1", SOUND)
            await fleet.exchange()
        assert fleet.messages == 0
        assert all(instance.is_idle for instance in fleet.instances.values())

    run(scenario())


def test_the_background_task_reports_a_crash(run, fleet):
    async def scenario():
        instance = fleet.instances["i0"]
        fleet.clock.advance(SECOND)
        task = asyncio.create_task(instance.run())
        fleet.break_at("i0", BAD)
        async with asyncio.timeout(10):
            while not fleet.messages:
                fleet.clock.advance(SECOND / 10)
                await asyncio.sleep(0.001)
        task.cancel()

    run(scenario())
