"""Checks of a streamed answer: request id, handle and position."""

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
# The layout that engines usually write. A quote within a JSON string is
# escaped, so no generated text can look like a name.
USUAL_EVENT = re.compile(
    rb'id: (\d+)\ndata: \{"id":"([^"\\]+)",(?:"object":"[a-z._]+",)?'
    rb'(?:"created":\d+,)?"model":"([^"\\]+)",("choices":\[[^\n]*\})\n\n'
)
MAX_EVENT_BYTES = 1024 * 1024


def new_digest() -> hashlib.blake2b:
    """Return the digest that two runs of one request are compared by."""
    return hashlib.blake2b(digest_size=16)


@dataclass
class StreamProgress:
    """Hold how much of one answer its caller has, across runs."""

    next_position: int = 0
    digest: hashlib.blake2b = field(default_factory=new_digest)
    finish_reason_seen: bool = False
    runs: int = 0
    interruptions: int = 0


class AnswerCheck:
    """Check the events of one run and pass on those that the caller lacks."""

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
        self.engine_name = b'"model":"%s"' % handle.encode()
        self.caller_name = b'"model":"%s"' % str(model).encode()
        self.engine_id = b'"id":"%s"' % request_id.encode()
        self.caller_id = b'"id":"%s"' % self.caller_request_id.encode()
        self.renames_id = self.engine_id != self.caller_id
        self.expected_id = request_id.encode()
        self.expected_handle = handle.encode()
        self.partial = b""
        self.next_position = 0
        self.finished = False
        self.replay_differs = False
        self.failure: Failure | None = None

    @property
    def replaying(self) -> bool:
        """Return whether this run has yet to reach what the caller has."""
        return self.next_position < self.progress.next_position

    def take(self, data: bytes) -> bytes:
        """Return the events that data completes, up to the first wrong one."""
        # A Result for each read would cost more than the check itself.
        if self.finished or self.failure:
            return b""
        if self.partial:
            data = self.partial + data
            self.partial = b""
        checked = 0 if self.replaying else self.take_expected(data)
        if checked == len(data):
            return self.renamed(data)
        *events, self.partial = data[checked:].split(EVENT_END)
        passed = [self.renamed(data[:checked])]
        for event in events:
            result = self.check(event)
            if isinstance(result, Failure):
                self.failure = result
                break
            passed.append(result)
        if len(self.partial) > MAX_EVENT_BYTES:
            self.failure = invalid(f"an event has more than {MAX_EVENT_BYTES} bytes")
        return b"".join(passed)

    def reconnect(self) -> None:
        """Forget what a connection that broke left unfinished."""
        self.partial = b""
        self.failure = None

    def take_expected(self, data: bytes) -> int:
        """Check leading events in the usual layout, and return their length."""
        progress = self.progress
        checked = 0
        while matched := USUAL_EVENT.match(data, checked):
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

    def renamed(self, data: bytes) -> bytes:
        """Return checked events with the caller's names in them."""
        if self.renames_id:
            data = data.replace(self.engine_id, self.caller_id)
        return data.replace(self.engine_name, self.caller_name)

    def check(self, event: bytes) -> bytes | Failure:
        """Check one event of any layout, and return what callers get."""
        if self.finished:
            return b""
        if event == DONE:
            return self.check_end()
        if COMMENT.match(event):
            return b""
        matched = EVENT.match(event)
        if matched is None:
            return invalid("an event has no position")
        position = int(matched[1])
        if position < self.next_position:
            return b""
        if position > self.next_position:
            return invalid(f"event {self.next_position} is missing")
        try:
            message = msgspec.json.decode(matched[2], type=AnswerSummary)
        except msgspec.DecodeError as error:
            return invalid(str(error))
        wrong = check_names(message, self.request_id, self.handle)
        return wrong or self.accept(matched[1], matched[2], message)

    def check_end(self) -> bytes | Failure:
        """Check that the answer may end here."""
        if self.replaying:
            self.replay_differs = True
            return invalid("another run of the request gave a shorter answer")
        if not self.progress.finish_reason_seen:
            return invalid("the stream ended without a finish reason")
        self.finished = True
        return DONE + EVENT_END

    def accept(
        self, position: bytes, data: bytes, message: AnswerSummary
    ) -> bytes | Failure:
        """Count a checked event, and return it if the caller lacks it."""
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
        names = {"id": self.caller_request_id, "model": str(self.model)}
        body = data if self.usual_names(data) else with_names(data, names)
        return b"id: %s\ndata: %s\n\n" % (position, self.renamed(body))

    def usual_names(self, data: bytes) -> bool:
        """Return whether the names stand where `renamed` finds them."""
        return self.engine_name in data and self.engine_id in data

    def compare_replay(self) -> bytes | Failure:
        """Compare a replay with what the caller has, once it got there."""
        if self.replaying:
            return b""
        if self.replay_digest.digest() == self.progress.digest.digest():
            return b""
        self.replay_differs = True
        return invalid("another run of the request gave another text")


def with_names(data: bytes, names: dict[str, str]) -> bytes:
    """Return a JSON object with some of its fields replaced."""
    fields = msgspec.json.decode(data, type=dict[str, msgspec.Raw])
    return msgspec.json.encode({**fields, **names})


def check_names(
    message: AnswerSummary, request_id: RequestId, handle: Handle
) -> Failure | None:
    """Return what is wrong with the names in an answer, None if nothing is."""
    if message.id != request_id:
        return invalid(f"the answer is for request {message.id}")
    if message.model != handle:
        return invalid(f"the answer is from {message.model}, not from {handle}")
    return None


def invalid(message: str) -> Failure:
    """Return the failure for an answer that is not the one asked for."""
    return Failure(ErrorKind.ANSWER_INVALID, message)
