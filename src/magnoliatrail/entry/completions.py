"""The OpenAI-style paths for completions and models."""

import msgspec
from expression import Error, Ok, Result

from magnoliatrail.entry.handlers import CallerHandler
from magnoliatrail.errors import Failure, answer_of
from magnoliatrail.generated.answers import (
    CompletionBody,
    ModelEntry,
    ModelList,
)
from magnoliatrail.requests import CompletionCall
from magnoliatrail.wire import JSON_TYPE, decode, encode


class CompletionHandler(CallerHandler):
    """Serve `POST /v1/completions` and `POST /v1/chat/completions`."""

    async def post(self) -> None:
        """Answer a completion, streamed or whole."""
        refusal = self.parts.lifecycle.refusal()
        if refusal:
            self.refuse(refusal)
            return
        match self.read_call():
            case Result(tag="ok", ok=call):
                with self.parts.lifecycle.request():
                    await self.answer(call)
            case Result(error=failure):
                self.refuse(failure)

    def read_call(self) -> Result[CompletionCall, Failure]:
        """Read the request, or say what is wrong with it."""
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
        fields = msgspec.json.decode(self.request.body, type=dict[str, msgspec.Raw])
        match self.parts.catalogue.find(body.model):
            case Result(tag="ok", ok=model):
                path = self.request.path
                return Ok(CompletionCall(context, model, path, body.stream, fields))
            case Result(error=failure):
                return Error(failure)

    async def answer(self, call: CompletionCall) -> None:
        """Dispatch a request and answer with what came of it."""
        match await self.parts.dispatcher.dispatch(call, self):
            case Result(tag="ok"):
                self.parts.metrics.count("answers")
                await self.finish()
            case Result(error=failure) if self._headers_written:
                await self.end_broken(failure)
            case Result(error=failure):
                self.refuse(failure)

    async def write_events(self, data: bytes) -> None:
        """Pass checked events of a stream on."""
        if not self._headers_written:
            self.set_header("Content-Type", "text/event-stream")
            self.set_header("Cache-Control", "no-cache")
            self.set_header("X-Request-Id", self.request_id)
        self.write(data)
        await self.flush()

    async def write_whole(self, body: bytes) -> None:
        """Pass a checked whole answer on."""
        self.set_header("Content-Type", JSON_TYPE)
        self.set_header("X-Request-Id", self.request_id)
        self.write(body)

    async def end_broken(self, failure: Failure) -> None:
        """End a stream so that nobody can take it for whole."""
        answer = encode(answer_of(failure, self.request_id))
        self.write(b"event: error\ndata: %s\n\n" % answer)
        await self.flush()
        # Without the last chunk no client can take the answer for whole.
        self.detach().close()


class ModelsHandler(CallerHandler):
    """Serve `GET /v1/models`."""

    def get(self) -> None:
        """List the models that callers may name."""
        entries = [
            ModelEntry(id=str(model), owned_by=base_model)
            for model, base_model in self.parts.catalogue.base_models.items()
        ]
        self.set_header("Content-Type", JSON_TYPE)
        self.finish(encode(ModelList(data=entries)))
