"""Dispatch of a completion: find a permit, run the request, try again if safe."""

from datetime import timedelta

from expression import Error, Ok, Result

from magnoliatrail.clock import Clock
from magnoliatrail.entry.answer_sink import AnswerSink
from magnoliatrail.entry.engine_call import EngineCaller
from magnoliatrail.errors import ErrorKind, Failure
from magnoliatrail.metrics import Metrics
from magnoliatrail.requests import CompletionCall
from magnoliatrail.routing.permit_search import PermitSearch

RETRY_DELAY = timedelta(milliseconds=50)


class Dispatcher:
    """Answer completions, again on another engine where they did not run."""

    def __init__(
        self,
        *,
        clock: Clock,
        metrics: Metrics,
        search: PermitSearch,
        caller: EngineCaller,
    ) -> None:
        self.clock = clock
        self.metrics = metrics
        self.search = search
        self.caller = caller

    async def dispatch(
        self, request: CompletionCall, sink: AnswerSink
    ) -> Result[None, Failure]:
        """Answer a request, again on another engine where it did not run."""
        failure = Failure(ErrorKind.NO_BACKEND_SERVER, "no engine is live")
        while request.context.time_left(self.clock) > RETRY_DELAY:
            match await self.try_once(request, sink):
                case Result(tag="ok"):
                    return Ok(None)
                case Result(error=failure):
                    if not failure.may_run_again:
                        break
            self.metrics.count("retries")
            await self.clock.sleep(RETRY_DELAY)
        return Error(failure)

    async def try_once(
        self, request: CompletionCall, sink: AnswerSink
    ) -> Result[None, Failure]:
        """Get a permit and run the request under it."""
        match await self.search.obtain(request):
            case Result(tag="ok", ok=permit):
                return await self.caller.run(request, permit, sink)
            case Result(error=failure):
                return Error(failure)
