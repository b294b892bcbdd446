import asyncio

import msgspec
import pytest
from expression import Error, Ok

from magnoliatrail.demo import expected_text, streamed_text, unstreamed_text
from magnoliatrail.errors import ErrorKind, Failure
from magnoliatrail.generated.answers import ErrorAnswer, Outcome
from magnoliatrail.generated.engine import ChatAnswer, ChatEvent
from magnoliatrail.wire import CallFailed

from .entry_rig import HANDLE, MODEL, TOKENS, running_rig

TEXT = expected_text(str(MODEL), "p", TOKENS)

RESUMED_FAULTS = [
    "break_streams",
    "silence_streams",
    "duplicate_events",
    "reorder_events",
    "cross_events",
]


def event_id_lines(body):
    return [line for line in body.split(b"\n") if line.startswith(b"id:")]


@pytest.mark.parametrize("times", [1, 2])
@pytest.mark.parametrize("fault", RESUMED_FAULTS)
def test_a_stream_with_a_fault_reaches_its_caller_whole(run, fault, times):
    async def scenario():
        async with running_rig() as rig:
            setattr(rig.engines[0].faults, fault, times)
            response = await rig.complete()
            assert streamed_text(response.body) == TEXT
            positions = [b"id: %d" % position for position in range(TOKENS)]
            assert event_id_lines(response.body) == positions
            assert HANDLE.encode() not in response.body
            assert getattr(rig.engines[0].faults, fault) == 0
            assert [engine.runs for engine in rig.engines] == [1, 0]
            await rig.until(lambda: rig.idle)

    run(scenario())


def test_two_faults_together_reach_the_caller_whole(run):
    async def scenario():
        async with running_rig() as rig:
            rig.engines[0].faults.break_streams = 1
            rig.engines[0].faults.silence_streams = 1
            response = await rig.complete()
            assert streamed_text(response.body) == TEXT

    run(scenario())


def test_a_stream_goes_on_at_another_engine_after_a_restart(run):
    async def scenario():
        async with running_rig() as rig:
            rig.engines[0].faults.silence_streams = 1
            pending = asyncio.create_task(rig.complete())
            await rig.until(lambda: not rig.engines[0].faults.silence_streams)
            rig.engines[0].restart()
            response = await pending
            assert streamed_text(response.body) == TEXT
            assert len(event_id_lines(response.body)) == TOKENS
            assert rig.engines[1].runs == 1
            await rig.until(lambda: rig.idle)

    run(scenario())


def test_a_request_that_never_reached_its_engine_runs_on_another(run):
    async def scenario():
        async with running_rig() as rig:
            rig.engines[0].faults.drop_answers = 1
            response = await rig.complete()
            assert streamed_text(response.body) == TEXT
            assert [engine.runs for engine in rig.engines] == [0, 1]

    run(scenario())


def test_another_text_at_another_engine_ends_as_a_visible_error(run):
    async def scenario():
        async with running_rig() as rig:
            rig.engines[1].loaded[HANDLE].source = "other@1"
            rig.engines[0].faults.silence_streams = 1
            pending = asyncio.create_task(rig.complete())
            await rig.until(lambda: not rig.engines[0].faults.silence_streams)
            rig.engines[0].restart()
            # The client reports the answer as broken, as the last chunk is missing.
            with pytest.raises(CallFailed):
                await pending
            await rig.until(lambda: rig.idle)

    run(scenario())


def test_an_answer_of_the_wrong_adapter_never_passes(run):
    async def scenario():
        async with running_rig() as rig:
            rig.engines[0].faults.wrong_adapter = 1
            response = await rig.complete()
            assert streamed_text(response.body) == TEXT
            assert rig.engines[1].runs == 1

    run(scenario())


@pytest.mark.parametrize("stream", [True, False])
def test_engines_that_are_always_wrong_end_as_an_error(run, stream):
    async def scenario():
        async with running_rig() as rig:
            for engine in rig.engines:
                engine.faults.wrong_adapter = 100
            response = await rig.complete(stream=stream)
            assert response.code == 502
            answer = msgspec.json.decode(response.body, type=ErrorAnswer)
            assert answer.error.kind == "answer_invalid"
            assert answer.error.outcome is Outcome.OUTCOME_UNKNOWN
            await rig.until(lambda: rig.idle)

    run(scenario())


@pytest.mark.parametrize("fault", ["cut_answers", "wrong_adapter"])
def test_a_whole_answer_that_is_cut_or_wrong_is_asked_for_again(run, fault):
    async def scenario():
        async with running_rig() as rig:
            setattr(rig.engines[0].faults, fault, 1)
            response = await rig.complete(stream=False)
            assert unstreamed_text(response.body) == TEXT
            assert HANDLE.encode() not in response.body

    run(scenario())


def test_a_whole_answer_that_takes_longer_than_the_idle_limit_arrives(run):
    async def scenario():
        async with running_rig() as rig:
            response = await rig.complete(stream=False, max_tokens=400)
            assert unstreamed_text(response.body) == expected_text(str(MODEL), "p", 400)
            assert [engine.runs for engine in rig.engines] == [1, 0]

    run(scenario())


@pytest.mark.parametrize("stream", [True, False])
def test_a_deadline_cancels_at_the_engine(run, stream):
    async def scenario():
        async with running_rig(idle_timeout_seconds=10.0) as rig:
            rig.engines[0].faults.silence_streams = 1
            headers = {"X-Deadline-Seconds": "0.3"}
            pending = rig.complete(stream=stream, max_tokens=10_000, headers=headers)
            if stream:
                with pytest.raises(CallFailed):
                    await pending
            else:
                response = await pending
                assert response.code == 504
            await rig.until(lambda: rig.idle)
            assert rig.engines[0].cancels == 1

    run(scenario())


def test_chat_answers_pass_streamed_and_whole(run):
    async def scenario():
        async with running_rig() as rig:
            whole = await rig.complete(stream=False, chat=True)
            message = msgspec.json.decode(whole.body, type=ChatAnswer)
            assert message.choices[0].message.content == TEXT
            streamed = await rig.complete(chat=True)
            *events, end, _ = streamed.body.split(b"\n\n")
            assert end == b"data: [DONE]"
            decoded = [
                msgspec.json.decode(event.partition(b"data: ")[2], type=ChatEvent)
                for event in events
            ]
            assert "".join(item.choices[0].delta.content for item in decoded) == TEXT
            assert {item.model for item in decoded} == {str(MODEL)}

    run(scenario())


@pytest.mark.parametrize(
    ("chat", "fields"),
    [
        (True, {"messages": []}),
        (True, {"messages": "p"}),
        (True, {"messages": [{"content": "p"}]}),
        (False, {"prompt": None}),
        (False, {"prompt": 3}),
        (False, {"max_tokens": 0}),
    ],
)
def test_a_request_without_its_input_is_refused(run, chat, fields):
    async def scenario():
        async with running_rig() as rig:
            response = await rig.complete(chat=chat, **fields)
            assert response.code == 400
            assert rig.obtained == 0

    run(scenario())


@pytest.mark.parametrize("stream", [True, False])
def test_a_request_that_ran_in_part_is_never_refused_as_not_run(run, stream):
    async def scenario():
        async with running_rig(engines=1) as rig:
            rig.engines[0].faults.wrong_adapter = 1
            refusals = iter([Ok(rig.permits[0])])

            async def obtain(request):
                refusal = Failure(ErrorKind.SHUTTING_DOWN, "stop")
                return next(refusals, Error(refusal))

            rig.obtain = obtain
            headers = {"X-Deadline-Seconds": "0.5"}
            response = await rig.complete(stream=stream, headers=headers)
            answer = msgspec.json.decode(response.body, type=ErrorAnswer)
            assert answer.error.outcome is Outcome.OUTCOME_UNKNOWN

    run(scenario())
