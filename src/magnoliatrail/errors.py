"""The closed set of error kinds, and the answer that each kind maps to."""

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from magnoliatrail.generated.answers import ErrorAnswer, ErrorDetail, Outcome
from magnoliatrail.ids import RequestId


class ErrorKind(Enum):
    """Every kind of error that an answer can have."""

    MALFORMED_REQUEST = "malformed_request"
    VERSION_MISSING = "version_missing"
    KEY_REQUIRED = "idempotency_key_required"
    UNAUTHORIZED = "unauthorized"
    UNKNOWN_ADAPTER = "unknown_adapter"
    UNKNOWN_SERVICE = "unknown_service"
    NOT_FOUND = "not_found"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    BODY_TOO_LARGE = "body_too_large"
    KEY_REUSED = "idempotency_key_reused"
    OPERATION_RUNNING = "operation_running"
    OPERATION_UNKNOWN = "operation_unknown"
    OPERATION_RESOLVED = "operation_resolved"
    RECORDED_ANSWER_UNAVAILABLE = "recorded_answer_unavailable"
    CONFLICT = "conflict"
    INVALID_CONFIGURATION = "invalid_configuration"
    QUEUE_FULL = "queue_full"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    NO_BACKEND_SERVER = "no_backend_server"
    LOAD_FAILED = "load_failed"
    ADAPTER_NOT_LOADED = "adapter_not_loaded"
    NOT_OWNER = "not_owner"
    STALE_FENCING_NUMBER = "stale_fencing_number"
    TABLE_UNAVAILABLE = "table_unavailable"
    TABLE_OUTCOME_UNKNOWN = "table_outcome_unknown"
    STORE_UNAVAILABLE = "store_unavailable"
    PEER_UNAVAILABLE = "peer_unavailable"
    BACKEND_UNREACHABLE = "backend_unreachable"
    BACKEND_FAILED = "backend_failed"
    PROMPT_QUARANTINED = "prompt_quarantined"
    ANSWER_INVALID = "answer_invalid"
    ANSWER_INTERRUPTED = "answer_interrupted"
    STARTING = "starting"
    SHUTTING_DOWN = "shutting_down"
    SWITCHED_OFF = "switched_off"
    INTERNAL = "internal"


@dataclass(frozen=True, slots=True)
class AnswerRule:
    """The status, outcome and remedy of answers with one error kind."""

    status: int
    outcome: Outcome
    remedy: str
    retry_after: timedelta | None = None


SHORT_RETRY_DELAY = timedelta(seconds=1)
LONG_RETRY_DELAY = timedelta(seconds=5)
QUARANTINE_RETRY_DELAY = timedelta(seconds=30)
NOT_RUN = Outcome.NOT_RUN
UNKNOWN = Outcome.OUTCOME_UNKNOWN

ANSWERS: dict[ErrorKind, AnswerRule] = {
    ErrorKind.MALFORMED_REQUEST: AnswerRule(400, NOT_RUN, "correct the request"),
    ErrorKind.VERSION_MISSING: AnswerRule(
        400, NOT_RUN, "name the model as adapter@version"
    ),
    ErrorKind.KEY_REQUIRED: AnswerRule(
        400, NOT_RUN, "send an Idempotency-Key header with this operation"
    ),
    ErrorKind.UNAUTHORIZED: AnswerRule(401, NOT_RUN, "send the fleet's token"),
    ErrorKind.UNKNOWN_ADAPTER: AnswerRule(
        404, NOT_RUN, "choose a model listed by GET /v1/models"
    ),
    ErrorKind.UNKNOWN_SERVICE: AnswerRule(
        404, NOT_RUN, "choose a service that the platform lists"
    ),
    ErrorKind.NOT_FOUND: AnswerRule(404, NOT_RUN, "see docs/callers.md for the paths"),
    ErrorKind.METHOD_NOT_ALLOWED: AnswerRule(405, NOT_RUN, "use the documented method"),
    ErrorKind.BODY_TOO_LARGE: AnswerRule(413, NOT_RUN, "send a smaller body"),
    ErrorKind.KEY_REUSED: AnswerRule(
        422, NOT_RUN, "use a new key for a different operation or body"
    ),
    ErrorKind.OPERATION_RUNNING: AnswerRule(
        409, UNKNOWN, "ask again with the same key", SHORT_RETRY_DELAY
    ),
    ErrorKind.OPERATION_UNKNOWN: AnswerRule(
        409, UNKNOWN, "ask the operators to resolve this key"
    ),
    ErrorKind.OPERATION_RESOLVED: AnswerRule(
        409, UNKNOWN, "read the message; do not ask again with this key"
    ),
    ErrorKind.RECORDED_ANSWER_UNAVAILABLE: AnswerRule(
        503, UNKNOWN, "ask again with the same key", LONG_RETRY_DELAY
    ),
    ErrorKind.CONFLICT: AnswerRule(
        409, NOT_RUN, "read again what was edited and repeat the edit"
    ),
    ErrorKind.INVALID_CONFIGURATION: AnswerRule(422, NOT_RUN, "correct the edit"),
    ErrorKind.QUEUE_FULL: AnswerRule(
        429, NOT_RUN, "ask again later", SHORT_RETRY_DELAY
    ),
    ErrorKind.DEADLINE_UNREACHABLE: AnswerRule(
        503, NOT_RUN, "ask again later or allow more time", SHORT_RETRY_DELAY
    ),
    ErrorKind.DEADLINE_EXCEEDED: AnswerRule(
        504, UNKNOWN, "ask again if the operation is idempotent", SHORT_RETRY_DELAY
    ),
    ErrorKind.NO_BACKEND_SERVER: AnswerRule(
        503, NOT_RUN, "ask again later", LONG_RETRY_DELAY
    ),
    ErrorKind.LOAD_FAILED: AnswerRule(
        503, NOT_RUN, "ask again later", SHORT_RETRY_DELAY
    ),
    ErrorKind.ADAPTER_NOT_LOADED: AnswerRule(
        503, NOT_RUN, "ask again", SHORT_RETRY_DELAY
    ),
    ErrorKind.NOT_OWNER: AnswerRule(
        421, NOT_RUN, "ask the engine's owner", SHORT_RETRY_DELAY
    ),
    ErrorKind.STALE_FENCING_NUMBER: AnswerRule(
        409, NOT_RUN, "refresh ownership and ask again", SHORT_RETRY_DELAY
    ),
    ErrorKind.TABLE_UNAVAILABLE: AnswerRule(
        503, NOT_RUN, "ask again later", LONG_RETRY_DELAY
    ),
    ErrorKind.TABLE_OUTCOME_UNKNOWN: AnswerRule(
        503, UNKNOWN, "ask again with the same key", LONG_RETRY_DELAY
    ),
    ErrorKind.STORE_UNAVAILABLE: AnswerRule(
        503, NOT_RUN, "ask again later", LONG_RETRY_DELAY
    ),
    ErrorKind.PEER_UNAVAILABLE: AnswerRule(
        503, NOT_RUN, "ask again", SHORT_RETRY_DELAY
    ),
    ErrorKind.BACKEND_UNREACHABLE: AnswerRule(
        503, NOT_RUN, "ask again", SHORT_RETRY_DELAY
    ),
    ErrorKind.BACKEND_FAILED: AnswerRule(
        502, UNKNOWN, "ask again if the operation is idempotent", SHORT_RETRY_DELAY
    ),
    ErrorKind.PROMPT_QUARANTINED: AnswerRule(
        503, NOT_RUN, "do not send this request again soon", QUARANTINE_RETRY_DELAY
    ),
    ErrorKind.ANSWER_INVALID: AnswerRule(
        502, UNKNOWN, "ask again if the operation is idempotent", SHORT_RETRY_DELAY
    ),
    ErrorKind.ANSWER_INTERRUPTED: AnswerRule(
        502, UNKNOWN, "ask again if the operation is idempotent", SHORT_RETRY_DELAY
    ),
    ErrorKind.STARTING: AnswerRule(
        503, NOT_RUN, "ask another instance", SHORT_RETRY_DELAY
    ),
    ErrorKind.SHUTTING_DOWN: AnswerRule(
        503, NOT_RUN, "ask another instance", SHORT_RETRY_DELAY
    ),
    ErrorKind.SWITCHED_OFF: AnswerRule(503, NOT_RUN, "ask the operators"),
    ErrorKind.INTERNAL: AnswerRule(500, UNKNOWN, "report the request id"),
}


@dataclass(frozen=True, slots=True)
class Failure:
    """An error kind with a specific message."""

    kind: ErrorKind
    message: str
    retry_after: timedelta | None = None

    @property
    def rule(self) -> AnswerRule:
        """Return the answer rule of this failure's kind."""
        return ANSWERS[self.kind]

    @property
    def not_run(self) -> bool:
        """Return whether the request certainly did not run."""
        return self.rule.outcome is Outcome.NOT_RUN

    @property
    def may_run_again(self) -> bool:
        """Return whether the same completion may be dispatched once more."""
        return self.not_run or self.kind is ErrorKind.ANSWER_INTERRUPTED


def retry_after_of(failure: Failure) -> timedelta | None:
    """Return the retry delay of a failure, or else the default of its kind."""
    if failure.retry_after is not None:
        return failure.retry_after
    return failure.rule.retry_after


def answer_of(failure: Failure, request_id: RequestId) -> ErrorAnswer:
    """Return the body of the answer to a caller."""
    retry_after = retry_after_of(failure)
    detail = ErrorDetail(
        kind=failure.kind.value,
        message=failure.message,
        remedy=failure.rule.remedy,
        outcome=failure.rule.outcome,
        request_id=request_id,
        retry_after_seconds=retry_after.total_seconds() if retry_after else None,
    )
    return ErrorAnswer(error=detail)
