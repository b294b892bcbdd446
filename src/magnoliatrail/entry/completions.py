"""Handlers for the OpenAI-compatible completion and model paths."""

import asyncio
from collections.abc import Awaitable
from contextlib import suppress
from datetime import timedelta

import msgspec
from expression import Error, Ok, Result
from tornado.http1connection import HTTP1Connection
from tornado.iostream import StreamClosedError

from magnoliatrail.entry.answer_check import StreamProgress
from magnoliatrail.entry.answer_sink import CallerGone
from magnoliatrail.entry.chunk_writer import ChunkWriter
from magnoliatrail.entry.handlers import CallerHandler
from magnoliatrail.entry.parts import EntryParts
from magnoliatrail.entry.prompt_parts import prompt_parts_of
from magnoliatrail.errors import ErrorKind, Failure, answer_of
from magnoliatrail.generated.answers import (
    ChatBody,
    CompletionBody,
    ModelEntry,
    ModelList,
    PromptBody,
)
from magnoliatrail.logs import EventLog
from magnoliatrail.reader_progress import AnswerWriter, ReaderStalled
from magnoliatrail.requests import CompletionCall, request_fingerprint
from magnoliatrail.wire import JSON_TYPE, decode, encode

log = EventLog("entry")

CHAT_PATH = "/v1/chat/completions"


class CompletionHandler(CallerHandler):
    """Serve `POST /v1/completions` and `POST /v1/chat/completions`."""

    def initialize(self, parts: EntryParts) -> None:
        """Set up the state of one request."""
        super().initialize(parts)
        self.progress = StreamProgress()
        self.writer: ChunkWriter | None = None
        self.answer_writer: AnswerWriter | None = None
        self.dispatch_task: asyncio.Task[Result[None, Failure]] | None = None
        self.stall_limit = timedelta(seconds=parts.settings.idle_timeout_seconds)

    async def post(self) -> None:
        """Handle a completion request, streamed or not."""
        refusal = self.parts.lifecycle.refusal()
        if refusal:
            self.refuse(refusal)
            return
        match self.read_call():
            case Result(tag="ok", ok=call):
                with self.parts.lifecycle.track_request():
                    await self.answer(call)
            case Result(error=failure):
                self.refuse(failure)

    @property
    def connection(self) -> HTTP1Connection:
        """Return the caller's connection."""
        connection = self.request.connection
        assert isinstance(connection, HTTP1Connection)
        return connection

    def on_connection_close(self) -> None:
        """Cancel the dispatch when the caller disconnects."""
        if self.dispatch_task:
            self.dispatch_task.cancel()

    def read_call(self) -> Result[CompletionCall, Failure]:
        """Parse and validate the request."""
        match self.read_context():
            case Result(tag="ok", ok=context):
                pass
            case Result(error=failure):
                return Error(failure)
        match decode(self.request.body, CompletionBody):
            case Result(tag="ok", ok=body):
                pass
            case Result(error=failure):
                return Error(failure)
        input_type = ChatBody if self.request.path == CHAT_PATH else PromptBody
        match decode(self.request.body, input_type):
            case Result(tag="error", error=failure):
                return Error(failure)
        fields = msgspec.json.decode(self.request.body, type=dict[str, msgspec.Raw])
        match self.parts.catalogue.find(body.model):
            case Result(tag="ok", ok=model):
                path = self.request.path
                fingerprint = request_fingerprint(
                    context.caller, "POST", path, self.request.body
                )
                parts = (*prompt_parts_of(fields), fingerprint)
                return Ok(
                    CompletionCall(context, model, path, body.stream, fields, parts)
                )
            case Result(error=failure):
                return Error(failure)

    async def answer(self, call: CompletionCall) -> None:
        """Dispatch a request and write its answer or error."""
        # A separate task, so that a disconnect cancels only the dispatch.
        self.dispatch_task = asyncio.create_task(
            self.parts.dispatcher.dispatch(call, self)
        )
        try:
            result = await self.dispatch_task
        except (CallerGone, asyncio.CancelledError):
            self.parts.metrics.count("callers_gone")
            log.info("caller_gone", request=self.request_id)
            self.close_connection()
            return
        match result:
            case Result(tag="ok"):
                self.parts.metrics.count("answers")
                await self.finish()
            case Result(error=failure) if self._headers_written:
                await self.end_with_error(with_unknown_outcome(failure, self.progress))
            case Result(error=failure):
                self.refuse(with_unknown_outcome(failure, self.progress))

    def write_events(self, data: bytes) -> Awaitable[None] | None:
        """Write checked events; await the result, if any, for backpressure."""
        if not self._headers_written:
            return self.start_events(data)
        if self.writer is None:
            self.write(data)
            return self.wait_written(self.flush())
        try:
            written = self.writer.write(data)
        except OSError as error:
            raise CallerGone("the caller's connection is closed") from error
        if written is not None:
            return self.wait_written(written)
        if self.answer_writer is not None:
            # Nothing waits for the caller any more.
            self.answer_writer.progress = None
        return None

    async def start_events(self, data: bytes) -> None:
        """Write the headers of a stream and its first events."""
        self.connection.stream.set_nodelay(True)
        self.set_header("Content-Type", "text/event-stream")
        self.set_header("Cache-Control", "no-cache")
        self.set_header("X-Request-Id", self.request_id)
        self.write(data)
        await self.wait_written(self.flush())
        if self.request.version == "HTTP/1.1":
            self.writer = ChunkWriter(self.connection.stream)

    async def wait_written(self, written: Awaitable[None]) -> None:
        """Wait for a write; raise CallerGone if the caller stops reading."""
        try:
            if self.answer_writer is None:
                self.answer_writer = AnswerWriter(
                    self.connection.stream, interval=self.stall_limit
                )
            await self.answer_writer.wait(written)
        except (ReaderStalled, StreamClosedError) as error:
            raise CallerGone("the caller stopped reading events") from error

    async def write_whole(self, body: bytes) -> None:
        """Write a checked answer that is not streamed."""
        self.set_header("Content-Type", JSON_TYPE)
        self.set_header("X-Request-Id", self.request_id)
        self.write(body)

    async def end_with_error(self, failure: Failure) -> None:
        """End a stream with an error event, without its last chunk."""
        log.warning(
            "stream_ended_broken",
            request=self.request_id,
            kind=failure.kind,
            position=self.progress.next_position,
            reason=failure.message,
        )
        self.parts.metrics.count("streams_broken")
        answer = encode(answer_of(failure, self.request_id))
        self.write(b"event: error\ndata: %s\n\n" % answer)
        with suppress(CallerGone):
            await self.wait_written(self.flush())
        self.close_connection()

    def close_connection(self) -> None:
        """Close the connection, so that clients detect the incomplete answer."""
        if not self._finished:
            self.detach().close()


def with_unknown_outcome(failure: Failure, progress: StreamProgress) -> Failure:
    """Replace a "not run" failure if an engine had already begun the request."""
    if not (progress.interruptions and failure.not_run):
        return failure
    message = f"an engine broke off, and then: {failure.message}"
    return Failure(ErrorKind.ANSWER_INTERRUPTED, message, failure.retry_after)


class ModelsHandler(CallerHandler):
    """Serve `GET /v1/models`."""

    def get(self) -> None:
        """List the models in the catalogue."""
        entries = [
            ModelEntry(id=str(model), owned_by=base_model)
            for model, base_model in self.parts.catalogue.base_models.items()
        ]
        self.set_header("Content-Type", JSON_TYPE)
        self.finish(encode(ModelList(data=entries)))
