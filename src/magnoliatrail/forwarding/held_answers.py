"""Parts of answers that are kept for callers, within the memory budget."""

from datetime import timedelta

from magnoliatrail.backends import BackendServer
from magnoliatrail.clock import Clock
from magnoliatrail.forwarding.attempt import Attempt, AttemptOutcome
from magnoliatrail.memory_budget import Holding

# An answer is not read for this long while the memory budget is full.
MEMORY_WAIT = timedelta(seconds=2)
MEMORY_POLL_INTERVAL = timedelta(milliseconds=20)
NO_MEMORY = "no memory for the answer"


class AnswerNotHeld(Exception):  # noqa: N818
    """There was no room for an answer in the memory budget."""


async def hold_answer(clock: Clock, holding: Holding, size: int) -> None:
    """Hold a part of an answer, and wait for room for a time.

    Raises AnswerNotHeld if there is none.
    """
    until = clock.monotonic() + MEMORY_WAIT
    while not holding.try_grow(size):
        if clock.monotonic() >= until:
            raise AnswerNotHeld
        await clock.sleep(MEMORY_POLL_INTERVAL)


def attempt_without_room(server: BackendServer) -> Attempt:
    """Return an attempt whose answer could not be held.

    That is no fault of the server, which may have run the request.
    """
    return Attempt(server, AttemptOutcome.INVALID, reason=NO_MEMORY, sent=True)
