"""What the headers of a caller's request say."""

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


def read_context(
    headers: HTTPHeaders, request_id: RequestId, settings: Settings, clock: Clock
) -> Result[RequestContext, Failure]:
    """Read the context of a request from its headers."""
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
            caller=CallerId(headers.get(CALLER_HEADER, ANONYMOUS)),
            request_class=RequestClass(class_name),
            started=now,
            deadline=now + timedelta(seconds=seconds),
            idempotency_key=headers.get(KEY_HEADER, ""),
        )
    )


def bad_header(name: str, value: str, allowed: str) -> Failure:
    """Return the failure for a header with a bad value."""
    message = f"header {name} is {value!r}; it must be {allowed}"
    return Failure(ErrorKind.MALFORMED_REQUEST, message)
