"""The HTTP interface of the engine stand-in."""

import msgspec
from tornado.web import Application

from magnoliatrail.generated.engine import AdapterOrder, CompletionOrder
from magnoliatrail.standins.engine import (
    FakeEngine,
    GeneratedAnswer,
    Refused,
    completion_of,
)
from magnoliatrail.standins.faults import FaultHandler, FaultyHandler


class EngineHandler(FaultyHandler):
    """Serve a fake engine, and turn its refusals into answers."""

    def initialize(self, engine: FakeEngine) -> None:
        """Take the engine to serve."""
        self.engine = engine
        self.faults = engine.faults

    def refuse(self, refused: Refused) -> None:
        """Answer with a refusal."""
        self.set_status(refused.status)
        self.write_json(refused.refusal)

    def write_json(self, message: object) -> None:
        """Answer with a message."""
        self.set_header("Content-Type", "application/json")
        self.write(msgspec.json.encode(message))

    def fencing_number(self) -> int:
        """Return the fencing number of an order."""
        return int(self.request.headers.get("X-Fencing-Number", "0"))


class LoadHandler(EngineHandler):
    """Serve `POST /v1/load_lora_adapter`."""

    async def post(self) -> None:
        """Load an adapter."""
        order = msgspec.json.decode(self.request.body, type=AdapterOrder)
        try:
            await self.engine.load(
                order.lora_name, order.lora_path, self.fencing_number()
            )
        except Refused as refused:
            self.refuse(refused)


class UnloadHandler(EngineHandler):
    """Serve `POST /v1/unload_lora_adapter`."""

    def post(self) -> None:
        """Unload an adapter."""
        order = msgspec.json.decode(self.request.body, type=AdapterOrder)
        try:
            self.engine.unload(order.lora_name, self.fencing_number())
        except Refused as refused:
            self.refuse(refused)


class StreamHandler(EngineHandler):
    """Write generated answers, streamed or whole."""

    async def write_answer(
        self, answer: GeneratedAnswer, position: int, *, stream: bool
    ) -> None:
        """Write an answer from a position on."""
        if stream:
            await self.write_stream(answer, position)
            return
        while not (answer.finished or answer.cancelled):
            await answer.changed.wait()
        text = "".join(answer.texts)
        self.write_json(completion_of(answer, text, last=True))

    async def write_stream(self, answer: GeneratedAnswer, position: int) -> None:
        """Write an answer as server-sent events whose ids are positions."""
        self.set_header("Content-Type", "text/event-stream")
        while True:
            changed = answer.changed
            while position < len(answer.texts):
                self.write(self.event(answer, position))
                position += 1
                await self.flush()
                if self.breaks_stream(position):
                    self.drop_connection()
                    return
            if answer.finished or answer.cancelled:
                break
            await changed.wait()
        if answer.finished:
            self.write(b"data: [DONE]\n\n")
        else:
            self.drop_connection()

    def event(self, answer: GeneratedAnswer, position: int) -> bytes:
        """Return one event of a stream."""
        message = completion_of(answer, answer.texts[position], last=False)
        return b"id: %d\ndata: %s\n\n" % (position, msgspec.json.encode(message))

    def breaks_stream(self, position: int) -> bool:
        """Return whether the connection is to break at a position."""
        if not self.faults.break_streams or position < 2:  # noqa: PLR2004
            return False
        self.faults.break_streams -= 1
        return True


class CompletionsHandler(StreamHandler):
    """Serve `POST /v1/completions`."""

    async def post(self) -> None:
        """Generate an answer."""
        order = msgspec.json.decode(self.request.body, type=CompletionOrder)
        request_id = self.request.headers["X-Request-Id"]
        try:
            answer = self.engine.start(request_id, order)
        except Refused as refused:
            self.refuse(refused)
            return
        if self.faults.wrong_adapter:
            self.faults.wrong_adapter -= 1
            answer.handle = "another@1~0"
        await self.write_answer(answer, 0, stream=order.stream)


class RequestHandler(StreamHandler):
    """Serve `GET` (resume) and `DELETE` (cancel) of `/v1/requests/<id>`."""

    async def get(self, request_id: str) -> None:
        """Resume a stream after the event that `Last-Event-ID` names."""
        answer = self.engine.answers.get(request_id)
        if answer is None or answer.cancelled:
            self.refuse(Refused(404, "unknown_request", request_id))
            return
        last = int(self.request.headers.get("Last-Event-ID", "-1"))
        await self.write_answer(answer, last + 1, stream=True)

    def delete(self, request_id: str) -> None:
        """Cancel a request."""
        self.engine.cancel(request_id)


class ReportHandler(EngineHandler):
    """Serve `GET /load`."""

    def get(self) -> None:
        """Read the load report."""
        self.write_json(self.engine.report())


class CacheEventsHandler(EngineHandler):
    """Serve `GET /cache_events?after=`."""

    def get(self) -> None:
        """Read cache events after a sequence number."""
        after = int(self.get_query_argument("after", "0"))
        self.write_json(self.engine.events_after(after))


class RestartHandler(EngineHandler):
    """Serve `POST /restart`."""

    def post(self) -> None:
        """Start cold."""
        self.engine.restart()


class CountsHandler(EngineHandler):
    """Serve `GET /counts`, what tests want to know."""

    def get(self) -> None:
        """Read the counters."""
        self.write(
            {
                "loads": self.engine.loads,
                "evictions": self.engine.evictions,
                "violations": self.engine.violations,
            }
        )


def engine_application(engine: FakeEngine) -> Application:
    """Return the HTTP application of an engine."""
    serve = {"engine": engine}
    return Application(
        [
            ("/v1/load_lora_adapter", LoadHandler, serve),
            ("/v1/unload_lora_adapter", UnloadHandler, serve),
            ("/v1/completions", CompletionsHandler, serve),
            (r"/v1/requests/([^/]+)", RequestHandler, serve),
            ("/load", ReportHandler, serve),
            ("/cache_events", CacheEventsHandler, serve),
            ("/restart", RestartHandler, serve),
            ("/counts", CountsHandler, serve),
            ("/faults", FaultHandler, {"faults": engine.faults}),
        ]
    )
