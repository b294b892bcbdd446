"""Checks of a streamed answer: request id, handle and position."""

import re

import msgspec
from expression import Error, Ok, Result

from magnoliatrail.errors import ErrorKind, Failure
from magnoliatrail.generated.engine import Completion
from magnoliatrail.ids import AdapterVersion, Handle, RequestId

EVENT_END = b"\n\n"
DONE = b"data: [DONE]"
EVENT = re.compile(rb"\Aid: (\d+)\ndata: (.*)\Z", re.DOTALL)


class AnswerCheck:
    """Check the events of one stream and pass them on in order."""

    def __init__(
        self, request_id: RequestId, handle: Handle, model: AdapterVersion
    ) -> None:
        self.request_id = request_id
        self.handle = handle
        self.engine_name = b'"model":"%s"' % handle.encode()
        self.caller_name = b'"model":"%s"' % str(model).encode()
        self.partial = b""
        self.next_position = 0
        self.finished = False

    def take(self, data: bytes) -> Result[bytes, Failure]:
        """Check the events that data completes, and return what callers get."""
        *events, self.partial = (self.partial + data).split(EVENT_END)
        passed = []
        for event in events:
            match self.check(event):
                case Result(tag="ok", ok=checked):
                    passed.append(checked)
                case Result(error=failure):
                    return Error(failure)
        return Ok(b"".join(passed))

    def check(self, event: bytes) -> Result[bytes, Failure]:
        """Check one event and name the model as the caller did."""
        if event == DONE:
            self.finished = True
            return Ok(event + EVENT_END)
        matched = EVENT.match(event)
        if matched is None:
            return Error(invalid("an event has no position"))
        position = int(matched[1])
        if position < self.next_position:
            return Ok(b"")
        if position > self.next_position:
            return Error(invalid(f"event {self.next_position} is missing"))
        try:
            message = msgspec.json.decode(matched[2], type=Completion)
        except msgspec.DecodeError as error:
            return Error(invalid(str(error)))
        wrong = check_names(message, self.request_id, self.handle)
        if wrong:
            return Error(wrong)
        self.next_position += 1
        renamed = event.replace(self.engine_name, self.caller_name, 1)
        return Ok(renamed + EVENT_END)


def check_names(
    message: Completion, request_id: RequestId, handle: Handle
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
