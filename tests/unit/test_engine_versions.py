import asyncio

import pytest

from magnoliatrail.clock import ManualClock
from magnoliatrail.demo import expected_text, streamed_text, unstreamed_text
from magnoliatrail.engines.permits import PermitHolder
from magnoliatrail.generated.platform import (
    Catalogue,
    InstanceList,
    ListedInstance,
    ListedKind,
    ListedState,
)
from magnoliatrail.ids import InstanceId
from magnoliatrail.membership.fleet import Fleet
from magnoliatrail.metrics import NoMetrics
from magnoliatrail.placement.catalogue import AdapterCatalogue
from magnoliatrail.requests import AnswerOrigin, RunVersion
from magnoliatrail.routing.permit_search import MAX_CANDIDATES, PermitSearch
from magnoliatrail.wire import CallFailed

from .entry_rig import ENTRY, MODEL, TOKENS, member_record, running_rig

TEXT = expected_text(str(MODEL), "p", TOKENS)
# Ends the search for another engine soon.
SHORT_DEADLINE = {"X-Deadline-Seconds": "1.5"}


async def begun_stream(rig, *, restarted=True, version=None):
    """Begin a stream at the first engine, and end its run after some events."""
    first = rig.engines[0]
    first.faults.silence_streams = 1
    pending = asyncio.create_task(rig.complete(headers=SHORT_DEADLINE))
    await rig.until(lambda: not first.faults.silence_streams)
    if version is not None:
        first.software_version = version
    if restarted:
        first.restart()
    return pending


def runs(rig):
    return [engine.runs for engine in rig.engines]


# Guards against an answer joined from two versions when its engine breaks off.
@pytest.mark.parametrize("named", ["listed", "answered"])
def test_a_stream_goes_on_at_an_engine_of_its_software_version(run, named):
    async def scenario():
        async with running_rig(engines=3, **{named: ["v1", "v2", "v1"]}) as rig:
            response = await (await begun_stream(rig))
            assert streamed_text(response.body) == TEXT
            assert rig.engines[2].runs == 1
            await rig.until(lambda: rig.idle)
            # An engine whose version only its answers name is asked, and cancelled.
            assert rig.engines[1].runs == rig.engines[1].cancels
            assert rig.engines[1].runs == (named == "answered")

    run(scenario())


# Guards against another version finishing a stream that has no engine left.
def test_a_stream_whose_software_version_is_gone_ends_as_an_error(run):
    async def scenario():
        async with running_rig(listed=["v1", "v2"]) as rig:
            with pytest.raises(CallFailed):
                await (await begun_stream(rig))
            assert runs(rig) == [1, 0]
            await rig.until(lambda: rig.idle)

    run(scenario())


# Guards against trust in a list that is older than the engine's program.
def test_an_engine_that_answers_with_another_version_than_listed_is_left(run):
    async def scenario():
        listed, answered = ["v1"] * 3, ["v1", "v2", "v1"]
        async with running_rig(engines=3, listed=listed, answered=answered) as rig:
            response = await (await begun_stream(rig))
            assert streamed_text(response.body) == TEXT
            assert runs(rig) == [1, 1, 1]
            await rig.until(lambda: rig.engines[1].cancels)
            await rig.until(lambda: rig.idle)

    run(scenario())


# Guards against runs at a wrongly listed engine that are begun again and again.
def test_an_engine_whose_answer_had_another_version_is_asked_once(run):
    async def scenario():
        async with running_rig(listed=["v1", "v1"], answered=["v1", "v2"]) as rig:
            with pytest.raises(CallFailed):
                await (await begun_stream(rig))
            assert runs(rig) == [1, 1]
            await rig.until(lambda: rig.idle)

    run(scenario())


# Guards against an engine that finishes its own stream after an upgrade.
def test_an_engine_that_starts_again_with_another_version_finishes_no_stream(run):
    async def scenario():
        async with running_rig(engines=1, listed=["v1"], answered=["v1"]) as rig:
            pending = await begun_stream(rig, version="v2")
            await rig.engines[0].load(rig.permits[0].handle, str(MODEL), 1)
            with pytest.raises(CallFailed):
                await pending
            await rig.until(lambda: rig.idle)

    run(scenario())


# Guards against a resumption that another program at the same address answers.
def test_a_resumed_run_that_names_another_version_is_given_up(run):
    async def scenario():
        async with running_rig(engines=2, answered=["v1", "v1"]) as rig:
            pending = await begun_stream(rig, restarted=False, version="v2")
            assert streamed_text((await pending).body) == TEXT
            assert runs(rig) == [1, 1]

    run(scenario())


# Guards against two unnamed versions taken for one while others are named.
def test_a_stream_of_unknown_version_is_finished_by_its_own_run_only(run):
    async def scenario():
        async with running_rig(engines=3, listed=["", "v2", ""]) as rig:
            with pytest.raises(CallFailed):
                await (await begun_stream(rig))
            assert runs(rig) == [1, 0, 0]
            # Nothing is waited for, as no other run can go on.
            assert rig.obtained == 1
        async with running_rig(engines=3, listed=["", "v2", ""]) as rig:
            response = await (await begun_stream(rig, restarted=False))
            assert streamed_text(response.body) == TEXT
            assert runs(rig) == [1, 0, 0]

    run(scenario())


# Guards against a list that changed while the engine was asked. An entry that was taken
# off says nothing of another version.
@pytest.mark.parametrize(("versions", "known"), [(["v2", "v1"], 0), ([None, "v1"], 1)])
def test_a_stream_whose_engine_is_listed_anew_as_it_begins_has_no_known_version(
    run, versions, known
):
    async def scenario():
        async with running_rig(listed=["v1", "v1"]) as rig:
            first = rig.engines[0]
            first.faults.delay_seconds = 0.2
            first.faults.silence_streams = 1
            pending = asyncio.create_task(rig.complete(headers=SHORT_DEADLINE))
            await rig.until(lambda: rig.obtained)
            await asyncio.sleep(0.1)
            rig.list_versions(versions)
            await rig.until(lambda: not first.faults.silence_streams)
            first.faults.delay_seconds = 0
            first.restart()
            if known:
                assert streamed_text((await pending).body) == TEXT
            else:
                with pytest.raises(CallFailed):
                    await pending
            assert runs(rig) == [1, known]

    run(scenario())


# Guards against refusing what has no event at its caller yet.
def test_a_stream_without_events_may_begin_at_another_version(run):
    async def scenario():
        async with running_rig(listed=["v1", "v2"]) as rig:
            rig.engines[0].faults.drop_answers = 1
            response = await rig.complete()
            assert streamed_text(response.body) == TEXT
            assert runs(rig) == [0, 1]

    run(scenario())


# A whole answer is of one run, so that another version may run it anew.
def test_a_whole_answer_may_be_run_again_at_another_version(run):
    async def scenario():
        async with running_rig(listed=["v1", "v2"]) as rig:
            rig.engines[0].faults.drop_answers = 1
            response = await rig.complete(stream=False)
            assert unstreamed_text(response.body) == TEXT
            assert runs(rig) == [0, 1]

    run(scenario())


def search_of(versions):
    """Return a permit search whose list has engines of these software versions."""
    clock = ManualClock()
    fleet = Fleet(clock, member_record())
    entries = [
        ListedInstance(
            id=f"engine-{number}",
            kind=ListedKind.ENGINE,
            name="base",
            url="http://127.0.0.1:1",
            failure_domain=f"domain-{number % 3}",
            state=ListedState.LIVE,
            software_version=version,
        )
        for number, version in enumerate(versions)
    ]
    fleet.servers.apply_list(InstanceList(instances=entries), clock.monotonic())
    catalogue = AdapterCatalogue()
    catalogue.replace(Catalogue(adapters=[ENTRY]))
    return PermitSearch(
        instance=InstanceId("one"),
        clock=clock,
        metrics=NoMetrics(),
        fleet=fleet,
        catalogue=catalogue,
        permits=PermitHolder(),
        ask_owner=None,
    )


# Guards against a version that has no engine among the first of a large fleet.
def test_the_search_finds_the_only_engine_of_a_version_among_many():
    versions = ["v2"] * 100
    versions[57] = "v1"
    search = search_of(versions)
    assert len(search.candidates(MODEL, AnswerOrigin())) == MAX_CANDIDATES
    origin = AnswerOrigin(RunVersion("v1"))
    assert search.candidates(MODEL, origin) == ["engine-57"]


@pytest.mark.parametrize(
    ("versions", "begun", "allowed"),
    [
        (["", ""], RunVersion(), [0, 1]),
        (["", ""], RunVersion("v1"), [0, 1]),
        (["", "v1"], RunVersion(), []),
        (["", "v1", "v2"], RunVersion("v1"), [0, 1]),
        (["", "v1"], RunVersion(only_run="r"), []),
        (["", ""], RunVersion(only_run="r"), []),
        (["", "v1"], None, [0, 1]),
    ],
)
def test_engines_that_may_be_asked_for_the_rest_of_an_answer(versions, begun, allowed):
    search = search_of(versions)
    names = search.candidates(MODEL, AnswerOrigin(begun))
    assert sorted(names) == [f"engine-{number}" for number in allowed]


def test_an_engine_whose_answer_had_another_version_is_not_asked_again():
    search = search_of(["v1", "v1"])
    origin = AnswerOrigin(RunVersion("v1"), {"engine-0"})
    assert search.candidates(MODEL, origin) == ["engine-1"]
