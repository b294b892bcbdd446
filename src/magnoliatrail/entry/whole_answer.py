"""Reading and validation of answers that are not streamed."""

import msgspec

from magnoliatrail.entry.answer_check import check_identity, replace_fields
from magnoliatrail.entry.engine_stream import EngineStream
from magnoliatrail.entry.held_body import NO_MEMORY, HeldBody
from magnoliatrail.entry.stream_relay import RelayFailure, relay_body
from magnoliatrail.errors import ErrorKind, Failure
from magnoliatrail.generated.engine import AnswerSummary
from magnoliatrail.ids import AdapterVersion, Handle, RequestId
from magnoliatrail.memory_budget import Holding
from magnoliatrail.wire import MAX_RESPONSE_BYTES


async def read_whole(
    stream: EngineStream, request_id: RequestId, handle: Handle, holding: Holding
) -> bytes | RelayFailure:
    """Read a complete answer within the memory budget, and validate it."""
    body = HeldBody(holding)

    def handle_content(data: bytes) -> None:
        body.receive(data)
        if not body.has_room or holding.size > MAX_RESPONSE_BYTES:
            stream.stop()

    failure = await relay_body(stream, handle_content)
    if not body.has_room:
        return RelayFailure(
            NO_MEMORY, final=Failure(ErrorKind.BACKEND_FAILED, NO_MEMORY)
        )
    if holding.size > MAX_RESPONSE_BYTES:
        return RelayFailure(f"the answer has more than {MAX_RESPONSE_BYTES} bytes")
    return failure or check_whole(body.content(), request_id, handle)


def check_whole(
    body: bytes, request_id: RequestId, handle: Handle
) -> bytes | RelayFailure:
    """Validate the request id, handle and completeness of an answer."""
    # A truncated JSON object never parses, so this also detects truncation where no
    # length was given.
    try:
        message = msgspec.json.decode(body, type=AnswerSummary)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return RelayFailure(f"the answer is malformed or cut: {error}")
    mismatch = check_identity(message, request_id, handle)
    if mismatch:
        return RelayFailure(mismatch.message)
    finished = [bool(choice.finish_reason) for choice in message.choices]
    if not finished or not all(finished):
        return RelayFailure("the answer has no finish reason")
    return body


def with_caller_identity(
    body: bytes, request_id: RequestId, model: AdapterVersion
) -> bytes:
    """Replace the engine's request id and model with the caller's."""
    return replace_fields(body, {"id": request_id, "model": str(model)})
