"""Handlers of the engine stand-in that send answers, with fault injection."""

import asyncio

import msgspec

from magnoliatrail.generated.engine import CompletionOrder
from magnoliatrail.standins.engine import GeneratedAnswer, Refused
from magnoliatrail.standins.engine_answers import complete_answer, stream_event
from magnoliatrail.standins.engine_handler import EngineHandler

# Streams start correctly: faults apply from this event on.
FIRST_FAULTY_POSITION = 2
CHAT_PATH = "/v1/chat/completions"


class StreamHandler(EngineHandler):
    """Write generated answers, streamed or as one body."""

    def name_software_version(self) -> None:
        """Name the software version in the head of an answer."""
        if self.engine.software_version:
            self.set_header("X-Software-Version", self.engine.software_version)

    async def write_answer(
        self, answer: GeneratedAnswer, position: int, *, stream: bool
    ) -> None:
        """Write an answer from a position on."""
        if stream:
            await self.write_stream(answer, position)
        else:
            await self.write_complete(answer)

    async def write_complete(self, answer: GeneratedAnswer) -> None:
        """Write an answer once it is finished."""
        while not (answer.finished or answer.cancelled):
            await answer.changed.wait()
        if answer.cancelled:
            self.drop_connection()
            return
        body = msgspec.json.encode(complete_answer(answer))
        self.set_header("Content-Type", "application/json")
        if self.consume_fault("cut_answers"):
            # Sent without a Content-Length, so only the body shows the truncation.
            self.write(body[: len(body) // 2])
            await self.flush()
            self.drop_connection()
            return
        self.write(body)

    async def write_stream(self, answer: GeneratedAnswer, position: int) -> None:
        """Write an answer as server-sent events whose ids are positions."""
        self.set_header("Content-Type", "text/event-stream")
        await self.flush()
        while True:
            changed = answer.changed
            while position < len(answer.texts):
                self.write(self.faulty_event(answer, position))
                position += 1
                await self.flush()
                if (
                    position >= FIRST_FAULTY_POSITION
                    and await self.apply_stream_fault()
                ):
                    return
            if answer.finished or answer.cancelled:
                break
            await changed.wait()
        if answer.finished:
            self.write(b"data: [DONE]\n\n")
        else:
            self.drop_connection()

    def faulty_event(self, answer: GeneratedAnswer, position: int) -> bytes:
        """Return one event, changed by a fault if one is due."""
        event = stream_event(answer, position)
        if position < FIRST_FAULTY_POSITION:
            return event
        if self.consume_fault("duplicate_events"):
            return event + stream_event(answer, 0) + event
        if self.consume_fault("reorder_events"):
            return stream_event(answer, position - 1) + stream_event(
                answer, position
            ).replace(b"id: %d" % position, b"id: %d" % (position + 1), 1)
        if self.consume_fault("cross_events"):
            return event.replace(answer.request_id.encode(), b"req-of-another", 1)
        return event

    async def apply_stream_fault(self) -> bool:
        """Close the connection or stall forever if a fault is due.

        Return whether the connection was closed.
        """
        if self.consume_fault("break_streams"):
            self.drop_connection()
            return True
        if self.consume_fault("silence_streams"):
            await asyncio.Event().wait()
        return False


class CompletionsHandler(StreamHandler):
    """Serve `POST /v1/completions` and `POST /v1/chat/completions`."""

    async def post(self) -> None:
        """Generate an answer."""
        if self.consume_fault("drop_answers"):
            await asyncio.Event().wait()
        order = msgspec.json.decode(self.request.body, type=CompletionOrder)
        request_id = self.request.headers["X-Request-Id"]
        chat = self.request.path == CHAT_PATH
        try:
            answer = self.engine.start(request_id, order, chat=chat)
        except Refused as refused:
            self.refuse(refused)
            return
        if self.consume_fault("wrong_adapter"):
            answer.handle = "another@1~0"
        self.name_software_version()
        await self.write_answer(answer, 0, stream=order.stream)


class RequestHandler(StreamHandler):
    """Serve `GET` (resume) and `DELETE` (cancel) of `/v1/requests/<id>`."""

    async def get(self, request_id: str) -> None:
        """Resume an answer after the event that `Last-Event-ID` names."""
        answer = self.engine.answers.get(request_id)
        if answer is None or answer.cancelled:
            self.refuse(Refused(404, "unknown_request", request_id))
            return
        last = int(self.request.headers.get("Last-Event-ID", "-1"))
        stream = self.request.headers.get("Accept") != "application/json"
        self.name_software_version()
        if not stream:
            self.set_header("Content-Type", "application/json")
            await self.flush()
        await self.write_answer(answer, last + 1, stream=stream)

    def delete(self, request_id: str) -> None:
        """Cancel a request."""
        self.engine.cancel(request_id)
