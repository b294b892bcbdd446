"""Answers to requests for a batch slot."""

from datetime import timedelta

from magnoliatrail.cells.engine_state import EngineState
from magnoliatrail.generated.cells import SlotAnswer, SlotDecision


def slot_answer(
    state: SlotDecision,
    engine: EngineState | None = None,
    version: int = 0,
    reason: str = "",
    retry_after: timedelta = timedelta(),
) -> SlotAnswer:
    """Build the answer to a slot request."""
    return SlotAnswer(
        state=state,
        server=engine.server.id if engine else "",
        born=engine.server.born if engine else 0,
        version=version,
        retry_after_ms=retry_after.total_seconds() * 1000,
        reason=reason,
    )
