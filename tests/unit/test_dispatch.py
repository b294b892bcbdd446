from datetime import timedelta
from random import Random

from expression import Error

from magnoliatrail.clock import ManualClock
from magnoliatrail.entry.dispatch import MAX_TAKEOVER_WAIT, Dispatcher
from magnoliatrail.errors import ErrorKind, Failure
from magnoliatrail.generated.permits import RequestClass
from magnoliatrail.ids import AdapterVersion, CallerId, RequestId
from magnoliatrail.metrics import NoMetrics
from magnoliatrail.requests import CompletionCall, RequestContext
from tests.lone_quarantine import lone_quarantine

DEADLINE = timedelta(seconds=600)


class SteppingClock(ManualClock):
    """Advance the clock by each sleep without waiting."""

    async def sleep(self, duration):
        self.elapsed += duration


class FailingSearch:
    """Refuse every request with the same failure."""

    def __init__(self, kind):
        self.failure = Failure(kind, "refused")

    async def obtain(self, request):
        return Error(self.failure)


def dispatched(run, kind):
    """Return the failure of a request, and the time at which it failed."""
    clock = SteppingClock()
    context = RequestContext(
        request_id=RequestId("r"),
        caller=CallerId("c"),
        request_class=RequestClass.INTERACTIVE,
        started=clock.monotonic(),
        deadline=clock.monotonic() + DEADLINE,
        idempotency_key="",
    )
    request = CompletionCall(
        context, AdapterVersion("a", "1"), "/v1/completions", False, {}
    )
    dispatcher = Dispatcher(
        clock=clock,
        metrics=NoMetrics(),
        search=FailingSearch(kind),
        caller=None,
        quarantine=lone_quarantine(clock),
        generator=Random(1),
    )
    result = run(dispatcher.dispatch(request, None))
    return result.error, clock.monotonic()


def test_a_request_that_no_engine_can_serve_is_answered_long_before_its_deadline(run):
    failure, at = dispatched(run, ErrorKind.NO_BACKEND_SERVER)
    assert failure.kind is ErrorKind.NO_BACKEND_SERVER
    assert failure.not_run
    assert MAX_TAKEOVER_WAIT < at < 2 * MAX_TAKEOVER_WAIT


def test_a_request_whose_deadline_cannot_be_met_is_answered_at_once(run):
    failure, at = dispatched(run, ErrorKind.DEADLINE_UNREACHABLE)
    assert failure.kind is ErrorKind.DEADLINE_UNREACHABLE
    assert at == timedelta()
