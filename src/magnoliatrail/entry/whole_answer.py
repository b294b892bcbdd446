"""Reading and checking an answer that is not streamed."""

import msgspec

from magnoliatrail.entry.answer_check import check_names, with_names
from magnoliatrail.entry.engine_stream import EngineStream
from magnoliatrail.entry.stream_relay import Broken, pump
from magnoliatrail.generated.engine import AnswerSummary
from magnoliatrail.ids import AdapterVersion, Handle, RequestId
from magnoliatrail.wire import MAX_RESPONSE_BYTES


async def read_whole(
    stream: EngineStream, request_id: RequestId, handle: Handle
) -> bytes | Broken:
    """Read a whole answer, or say why it is not the one asked for."""
    body = bytearray()

    def take(data: bytes) -> None:
        body.extend(data)
        if len(body) > MAX_RESPONSE_BYTES:
            stream.stop()

    broken = await pump(stream, take)
    if len(body) > MAX_RESPONSE_BYTES:
        return Broken(f"the answer has more than {MAX_RESPONSE_BYTES} bytes")
    return broken or check_whole(bytes(body), request_id, handle)


def check_whole(body: bytes, request_id: RequestId, handle: Handle) -> bytes | Broken:
    """Return a whole answer's body, or say why it is not the one asked for."""
    # A JSON object that was cut never parses, even where no length was given.
    try:
        message = msgspec.json.decode(body, type=AnswerSummary)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Broken(f"the answer is malformed or cut: {error}")
    wrong = check_names(message, request_id, handle)
    if wrong:
        return Broken(wrong.message)
    finished = [bool(choice.finish_reason) for choice in message.choices]
    if not finished or not all(finished):
        return Broken("the answer has no finish reason")
    return body


def with_caller_names(
    body: bytes, request_id: RequestId, model: AdapterVersion
) -> bytes:
    """Return a checked answer with the names that its caller used."""
    return with_names(body, {"id": request_id, "model": str(model)})
