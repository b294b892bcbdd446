from datetime import timedelta
from random import Random

from expression import Error, Ok

from magnoliatrail.clock import ManualClock
from magnoliatrail.engines.permits import Permit
from magnoliatrail.entry.dispatch import MAX_TAKEOVER_WAIT, Dispatcher
from magnoliatrail.errors import ErrorKind, Failure
from magnoliatrail.generated.permits import PermitGrant, RequestClass
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


class LateSearch:
    """Find an engine at once, and after an interruption only at the third search."""

    def __init__(self):
        grant = PermitGrant(
            engine="engine",
            engine_url="http://127.0.0.1:1",
            handle="a@1~1",
            adapter="a",
            version="1",
            fencing_number=1,
            places=8,
        )
        refusal = Error(Failure(ErrorKind.NO_BACKEND_SERVER, "refused"))
        self.results = [Ok(Permit(grant)), refusal, refusal, Ok(Permit(grant))]

    async def obtain(self, request):
        return self.results.pop(0)


class InterruptedOnce:
    """Break off after the time of a long answer, and finish it at the next run."""

    def __init__(self, clock):
        self.clock = clock
        self.runs = 0

    async def run(self, request, permit, sink):
        self.runs += 1
        if self.runs > 1:
            return Ok(None)
        await self.clock.sleep(2 * MAX_TAKEOVER_WAIT)
        return Error(Failure(ErrorKind.ANSWER_INTERRUPTED, "cut"))


def dispatch(run, clock, search, caller=None):
    """Return the result of a request."""
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
        search=search,
        caller=caller,
        quarantine=lone_quarantine(clock),
        generator=Random(1),
    )
    return run(dispatcher.dispatch(request, None))


def dispatched(run, kind):
    """Return the failure of a request, and the time at which it failed."""
    clock = SteppingClock()
    result = dispatch(run, clock, FailingSearch(kind))
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


# Guards against a long stream that ends at once, as no engine is ready for a moment.
def test_a_long_answer_that_breaks_off_waits_for_an_engine_as_a_new_request(run):
    clock = SteppingClock()
    caller = InterruptedOnce(clock)
    assert dispatch(run, clock, LateSearch(), caller).is_ok()
    assert caller.runs == 2
