"""Validation of streamed answers: request id, handle and event position."""

import hashlib
import re
from dataclasses import dataclass, field

import msgspec

from magnoliatrail.errors import ErrorKind, Failure
from magnoliatrail.generated.engine import AnswerSummary
from magnoliatrail.ids import AdapterVersion, Handle, RequestId

EVENT_END = b"\n\n"
DONE = b"data: [DONE]"
CHOICES = b'"choices":'
FINISH_REASON = b'"finish_reason":"'
COMMENT = re.compile(rb":[^\n]*\Z")
EVENT = re.compile(rb"\Aid: (\d+)\ndata: (.*)\Z", re.DOTALL)
# Matches the layout that engines usually write, without parsing JSON. Quotes inside
# JSON strings are escaped, so generated text cannot be mistaken for a field.
FAST_PATH_EVENT = re.compile(
    rb'id: (\d+)\ndata: \{"id":"([^"\\]+)",(?:"object":"[a-z._]+",)?'
    rb'(?:"created":\d+,)?"model":"([^"\\]+)",("choices":\[[^\n]*\})\n\n'
)
MAX_EVENT_BYTES = 1024 * 1024


def new_digest() -> hashlib.blake2b:
    """Return a new digest for comparing the answers of two runs of a request."""
    return hashlib.blake2b(digest_size=16)


@dataclass
class StreamProgress:
    """Record how much of one answer its caller has, across runs.

    `digest` covers the choices of all events passed on so far.
    """

    next_position: int = 0
    digest: hashlib.blake2b = field(default_factory=new_digest)
    finish_reason_seen: bool = False
    runs: int = 0
    interruptions: int = 0


class AnswerCheck:
    """Validate the events of one run and drop those already sent to the caller."""

    def __init__(
        self,
        request_id: RequestId,
        handle: Handle,
        model: AdapterVersion,
        *,
        caller_request_id: RequestId | None = None,
        progress: StreamProgress | None = None,
    ) -> None:
        self.request_id = request_id
        self.caller_request_id = caller_request_id or request_id
        self.handle = handle
        self.model = model
        self.progress = progress or StreamProgress()
        self.replay_digest = new_digest()
        self.engine_model_field = b'"model":"%s"' % handle.encode()
        self.caller_model_field = b'"model":"%s"' % str(model).encode()
        self.engine_id_field = b'"id":"%s"' % request_id.encode()
        self.caller_id_field = b'"id":"%s"' % self.caller_request_id.encode()
        self.replaces_id = self.engine_id_field != self.caller_id_field
        self.expected_id = request_id.encode()
        self.expected_handle = handle.encode()
        self.partial = b""
        self.next_position = 0
        self.finished = False
        self.replay_differs = False
        self.failure: Failure | None = None

    @property
    def replaying(self) -> bool:
        """Return whether the run is still repeating events that the caller has."""
        return self.next_position < self.progress.next_position

    def feed(self, data: bytes) -> bytes:
        """Return the events completed by `data`, up to the first invalid one."""
        # Creating a Result for each read would cost more than the check itself.
        if self.finished or self.failure:
            return b""
        if self.partial:
            data = self.partial + data
            self.partial = b""
        checked = 0 if self.replaying else self.feed_fast_path(data)
        if checked == len(data):
            return self.with_caller_identity(data)
        *events, self.partial = data[checked:].split(EVENT_END)
        passed = [self.with_caller_identity(data[:checked])]
        for event in events:
            result = self.check(event)
            if isinstance(result, Failure):
                self.failure = result
                break
            passed.append(result)
        if len(self.partial) > MAX_EVENT_BYTES:
            self.failure = invalid_answer(
                f"an event has more than {MAX_EVENT_BYTES} bytes"
            )
        return b"".join(passed)

    def reconnect(self) -> None:
        """Discard the partial event and the failure of the previous connection."""
        self.partial = b""
        self.failure = None

    def feed_fast_path(self, data: bytes) -> int:
        """Check leading events in the usual layout, and return their byte length."""
        progress = self.progress
        checked = 0
        while matched := FAST_PATH_EVENT.match(data, checked):
            position, request_id, handle, choices = matched.groups()
            if (
                int(position) != self.next_position
                or request_id != self.expected_id
                or handle != self.expected_handle
            ):
                break
            progress.digest.update(choices)
            if FINISH_REASON in choices:
                progress.finish_reason_seen = True
            self.next_position += 1
            checked = matched.end()
        progress.next_position = self.next_position
        return checked

    def with_caller_identity(self, data: bytes) -> bytes:
        """Replace the engine's request id and model with the caller's."""
        if self.replaces_id:
            data = data.replace(self.engine_id_field, self.caller_id_field)
        return data.replace(self.engine_model_field, self.caller_model_field)

    def check(self, event: bytes) -> bytes | Failure:
        """Check one event of any layout, and return the event for the caller."""
        if self.finished:
            return b""
        if event == DONE:
            return self.check_end()
        if COMMENT.match(event):
            return b""
        matched = EVENT.match(event)
        if matched is None:
            return invalid_answer("an event has no position")
        position = int(matched[1])
        if position < self.next_position:
            return b""
        if position > self.next_position:
            return invalid_answer(f"event {self.next_position} is missing")
        try:
            message = msgspec.json.decode(matched[2], type=AnswerSummary)
        except msgspec.DecodeError as error:
            return invalid_answer(str(error))
        failure = check_identity(message, self.request_id, self.handle)
        return failure or self.accept(matched[1], matched[2], message)

    def check_end(self) -> bytes | Failure:
        """Check that the answer is complete at the end marker."""
        if self.replaying:
            self.replay_differs = True
            return invalid_answer("another run of the request gave a shorter answer")
        if not self.progress.finish_reason_seen:
            return invalid_answer("the stream ended without a finish reason")
        self.finished = True
        return DONE + EVENT_END

    def accept(
        self, position: bytes, data: bytes, message: AnswerSummary
    ) -> bytes | Failure:
        """Count a valid event, and return it unless it is a replay."""
        choices = data[data.find(CHOICES) :]
        replaying = self.replaying
        self.next_position += 1
        if replaying:
            self.replay_digest.update(choices)
            return self.compare_replay()
        self.progress.next_position = self.next_position
        self.progress.digest.update(choices)
        if any(choice.finish_reason for choice in message.choices):
            self.progress.finish_reason_seen = True
        fields = {"id": self.caller_request_id, "model": str(self.model)}
        body = (
            data if self.has_replaceable_fields(data) else replace_fields(data, fields)
        )
        return b"id: %s\ndata: %s\n\n" % (position, self.with_caller_identity(body))

    def has_replaceable_fields(self, data: bytes) -> bool:
        """Return whether `with_caller_identity` can replace the id and the model."""
        return self.engine_model_field in data and self.engine_id_field in data

    def compare_replay(self) -> bytes | Failure:
        """Compare the digests once the replay has reached the caller's position."""
        if self.replaying:
            return b""
        if self.replay_digest.digest() == self.progress.digest.digest():
            return b""
        self.replay_differs = True
        return invalid_answer("another run of the request gave another text")


def replace_fields(data: bytes, fields: dict[str, str]) -> bytes:
    """Return the JSON object `data` with the given top-level fields replaced."""
    original = msgspec.json.decode(data, type=dict[str, msgspec.Raw])
    return msgspec.json.encode({**original, **fields})


def check_identity(
    message: AnswerSummary, request_id: RequestId, handle: Handle
) -> Failure | None:
    """Return a failure if an answer has another request id or handle."""
    if message.id != request_id:
        return invalid_answer(f"the answer is for request {message.id}")
    if message.model != handle:
        return invalid_answer(f"the answer is from {message.model}, not from {handle}")
    return None


def invalid_answer(message: str) -> Failure:
    """Return an ANSWER_INVALID failure."""
    return Failure(ErrorKind.ANSWER_INVALID, message)
