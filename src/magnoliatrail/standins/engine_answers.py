"""Answer messages of the engine stand-in."""

import msgspec

from magnoliatrail.generated.engine import (
    ChatAnswer,
    ChatChoice,
    ChatDelta,
    ChatEvent,
    ChatEventChoice,
    ChatMessage,
    Completion,
    CompletionChoice,
)
from magnoliatrail.standins.engine import GeneratedAnswer


def stream_event(answer: GeneratedAnswer, position: int) -> bytes:
    """Return one event of a streamed answer."""
    text = answer.texts[position]
    reason = "length" if position + 1 == answer.length else None
    message: ChatEvent | Completion
    if answer.chat:
        delta = ChatDelta(content=text)
        choice = ChatEventChoice(index=0, delta=delta, finish_reason=reason)
        message = ChatEvent(id=answer.request_id, model=answer.handle, choices=[choice])
    else:
        message = completion_message(answer, text, reason)
    return b"id: %d\ndata: %s\n\n" % (position, msgspec.json.encode(message))


def complete_answer(answer: GeneratedAnswer) -> ChatAnswer | Completion:
    """Return the message of an answer that is not streamed."""
    text = "".join(answer.texts)
    if not answer.chat:
        return completion_message(answer, text, "length")
    message = ChatMessage(role="assistant", content=text)
    choice = ChatChoice(index=0, message=message, finish_reason="length")
    return ChatAnswer(id=answer.request_id, model=answer.handle, choices=[choice])


def completion_message(
    answer: GeneratedAnswer, text: str, finish_reason: str | None
) -> Completion:
    """Return a completion message with a part or all of an answer's text."""
    choice = CompletionChoice(index=0, text=text, finish_reason=finish_reason)
    return Completion(id=answer.request_id, model=answer.handle, choices=[choice])
