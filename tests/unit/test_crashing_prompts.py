"""Completions whose prompt crashes each engine that begins an answer to it."""

import asyncio
from functools import partial

import msgspec
import pytest
from expression import Ok

from magnoliatrail.entry.prompt_parts import prompt_parts_of
from magnoliatrail.errors import ErrorKind
from magnoliatrail.generated.answers import ErrorAnswer, Outcome
from magnoliatrail.routing.crash_causes import (
    MIN_CRASHES,
    SAME_EVENT_WITHIN,
)

from .entry_rig import running_rig

# Each request may crash three engines before it fails.
ENGINES = 3 * MIN_CRASHES + 1
CRASHING = "crash"


def crashes(rig):
    """Return how often an engine restarted, which unloads its adapters."""
    return sum(not engine.loaded for engine in rig.engines)


async def obtain_running(rig, request):
    """Return the permit of the first engine that has not crashed."""
    return Ok(
        next(
            permit
            for permit, engine in zip(rig.permits, rig.engines, strict=True)
            if engine.loaded
        )
    )


async def ask(rig, prompt, *, chat, stream):
    """Send a request with a prompt, or with a chat that ends with it."""
    messages = [{"role": "system", "content": "s"}, {"role": "user", "content": prompt}]
    fields = {"messages": messages} if chat else {"prompt": prompt}
    answer = await rig.complete(chat=chat, stream=stream, **fields)
    await rig.quarantine.exchange()
    return answer


# Guards against one prompt that crashes the engines of `serve` one after the other.
@pytest.mark.parametrize("stream", [True, False])
@pytest.mark.parametrize("chat", [True, False])
def test_a_prompt_that_crashed_engines_is_refused(run, chat, stream):
    async def scenario():
        async with running_rig(engines=ENGINES) as rig:
            for engine in rig.engines:
                engine.faults.crashing_text = CRASHING
            rig.obtain = partial(obtain_running, rig)
            for _ in range(MIN_CRASHES):
                await asyncio.sleep(SAME_EVENT_WITHIN.total_seconds())
                await ask(rig, CRASHING, chat=chat, stream=stream)
            known = crashes(rig)
            for _ in range(3):
                answer = await ask(rig, CRASHING, chat=chat, stream=stream)
            error = msgspec.json.decode(answer.body, type=ErrorAnswer).error
            assert answer.code == 503
            assert error.kind == ErrorKind.PROMPT_QUARANTINED.value
            assert error.outcome is Outcome.NOT_RUN
            assert crashes(rig) == known
            sound = await ask(rig, "sound", chat=chat, stream=stream)
            assert sound.code == 200

    run(scenario())


def test_messages_of_a_chat_are_parts_of_their_own():
    def parts(*messages):
        return prompt_parts_of({"messages": msgspec.Raw(msgspec.json.encode(messages))})

    first, second = parts("system", "user")
    assert parts("system", "other")[0] == first
    assert second not in parts("system", "other")
    assert parts("system", "system") == (first,)


def test_a_plain_prompt_is_one_part():
    (part,) = prompt_parts_of({"prompt": msgspec.Raw(b'"text"')})
    assert prompt_parts_of({"prompt": msgspec.Raw(b'"text"')}) == (part,)
    assert prompt_parts_of({"prompt": msgspec.Raw(b'"other"')}) != (part,)
