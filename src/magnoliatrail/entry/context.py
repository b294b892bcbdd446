"""Parsing of the request headers that callers set."""

import re
from datetime import timedelta

from expression import Error, Ok, Result
from tornado.httputil import HTTPHeaders

from magnoliatrail.clock import Clock
from magnoliatrail.errors import ErrorKind, Failure
from magnoliatrail.generated.permits import RequestClass
from magnoliatrail.generated.settings import Settings
from magnoliatrail.ids import CallerId, RequestId
from magnoliatrail.requests import RequestContext

CALLER_HEADER = "X-Caller"
CLASS_HEADER = "X-Request-Class"
DEADLINE_HEADER = "X-Deadline-Seconds"
KEY_HEADER = "Idempotency-Key"
ANONYMOUS = CallerId("anonymous")
MAX_CALLER_CHARACTERS = 128
MAX_KEY_CHARACTERS = 255
PRINTABLE = re.compile(r"[\x21-\x7e](?:[\x20-\x7e]*[\x21-\x7e])?")


def read_context(
    headers: HTTPHeaders, request_id: RequestId, settings: Settings, clock: Clock
) -> Result[RequestContext, Failure]:
    """Parse the request context from the headers."""
    match read_single_header(headers, CALLER_HEADER, MAX_CALLER_CHARACTERS):
        case Result(tag="ok", ok=caller):
            pass
        case Result(error=failure):
            return Error(failure)
    match read_single_header(headers, KEY_HEADER, MAX_KEY_CHARACTERS):
        case Result(tag="ok", ok=key):
            pass
        case Result(error=failure):
            return Error(failure)
    text = headers.get(DEADLINE_HEADER, str(settings.default_deadline_seconds))
    try:
        seconds = float(text)
    except ValueError:
        return Error(bad_header(DEADLINE_HEADER, text, "a number of seconds"))
    if not 0 < seconds <= settings.max_deadline_seconds:
        allowed = f"more than 0 and at most {settings.max_deadline_seconds}"
        return Error(bad_header(DEADLINE_HEADER, text, allowed))
    class_name = headers.get(CLASS_HEADER, RequestClass.INTERACTIVE.value)
    if class_name not in {item.value for item in RequestClass}:
        return Error(bad_header(CLASS_HEADER, class_name, "interactive or batch"))
    now = clock.monotonic()
    return Ok(
        RequestContext(
            request_id=request_id,
            caller=CallerId(caller or ANONYMOUS),
            request_class=RequestClass(class_name),
            started=now,
            deadline=now + timedelta(seconds=seconds),
            idempotency_key=key,
        )
    )


def read_single_header(
    headers: HTTPHeaders, name: str, max_characters: int
) -> Result[str, Failure]:
    """Read a text header that may be sent once, empty if it is absent."""
    values = headers.get_list(name)
    if not values:
        return Ok("")
    if len(values) > 1:
        return Error(bad_header(name, ", ".join(values), "sent once"))
    if len(values[0]) > max_characters or not PRINTABLE.fullmatch(values[0]):
        allowed = f"1 to {max_characters} printable ASCII characters"
        return Error(bad_header(name, values[0][:max_characters], allowed))
    return Ok(values[0])


def bad_header(name: str, value: str, allowed: str) -> Failure:
    """Return the failure for an invalid header value."""
    message = f"header {name} is {value!r}; it must be {allowed}"
    return Failure(ErrorKind.MALFORMED_REQUEST, message)
