"""One run of a request on one engine: request ids, URLs and log fields."""

from dataclasses import dataclass
from datetime import timedelta

import msgspec

from magnoliatrail.engines.permits import Permit
from magnoliatrail.entry.engine_stream import EVENT_STREAM, EngineRequest
from magnoliatrail.generated.permits import RequestClass
from magnoliatrail.ids import RequestId, ServerId
from magnoliatrail.requests import CompletionCall, RunVersion
from magnoliatrail.routing.crash_evidence import MAX_CRASH_DELAY
from magnoliatrail.routing.server_runs import ServerRun
from magnoliatrail.wire import JSON_TYPE, encode

PRIORITIES = {RequestClass.INTERACTIVE: 0, RequestClass.BATCH: 1}


@dataclass
class EngineRun:
    """Describe one run, and record whether the engine may still execute it."""

    request: CompletionCall
    permit: Permit
    request_id: RequestId
    # According to the list until the head of an answer has come.
    version: RunVersion
    head_seen: bool = False
    may_be_running: bool = False
    # When the run was sent, and when its first and last events came.
    sent_at: timedelta = timedelta()
    began_at: timedelta | None = None
    last_event_at: timedelta | None = None

    def first_request(self) -> EngineRequest:
        """Return the request that starts the run."""
        priority = PRIORITIES[self.request.context.request_class]
        fields = {
            **self.request.fields,
            "model": msgspec.Raw(encode(self.permit.handle)),
            "priority": msgspec.Raw(encode(priority)),
        }
        headers = {"Content-Type": JSON_TYPE, "X-Request-Id": self.request_id}
        url = self.permit.grant.engine_url + self.request.path
        return EngineRequest("POST", url, headers, encode(fields))

    def resume_request(self, position: int) -> EngineRequest:
        """Return the request that resumes the answer at an event position."""
        accept = EVENT_STREAM if self.request.stream else JSON_TYPE
        headers = {"Accept": accept}
        if position:
            headers["Last-Event-ID"] = str(position - 1)
        url = f"{self.permit.grant.engine_url}/v1/requests/{self.request_id}"
        return EngineRequest("GET", url, headers)

    @property
    def server_run(self) -> ServerRun:
        """Return what distinguishes runs of the engine: a restart ends all handles."""
        return ServerId(f"{self.permit.engine}/{self.permit.handle}"), 0

    @property
    def is_known_sound(self) -> bool:
        """Return whether the answer went on for too long to be the cause of a crash."""
        if self.began_at is None or self.last_event_at is None:
            return False
        return self.last_event_at - self.began_at > MAX_CRASH_DELAY

    def log_fields(self) -> dict[str, object]:
        """Return the log fields that identify the run."""
        return {"request": self.request_id, "engine": self.permit.engine}


def run_id(request_id: RequestId, run: int) -> RequestId:
    """Return a request id unique to the run, so a late cancel misses later runs."""
    return RequestId(f"{request_id}.{run}") if run else request_id
