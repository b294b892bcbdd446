"""Choice of the engine for a request among engines of unequal load."""

from datetime import timedelta

import pytest

from magnoliatrail.routing.engine_scores import (
    EngineLoad,
    EngineOption,
    RequestSize,
    Residency,
    best_engine,
)
from tests.load.cell import (
    PROMPT_TOKENS,
    SPEED,
)


def option(engine, residency, **more):
    """Return an option for an idle engine."""
    load = {
        "backlog_tokens": 0,
        "pause_tokens": 0,
        "max_pause_tokens": 5000.0,
        "running": 0,
        "batch_slots": 64,
        "cache_tokens_free": 100_000.0,
        "speed": SPEED,
    }
    has_room = more.pop("has_room", True)
    return EngineOption(
        engine=engine,
        load=EngineLoad(**{**load, **more}),
        residency=residency,
        ready_in=timedelta(),
        has_room=has_room,
        rendezvous_rank=0,
    )


REQUEST_SIZE = RequestSize(prompt_tokens=PROMPT_TOKENS, output_tokens=172)


@pytest.mark.parametrize(
    ("options", "best"),
    [
        ([option("e0", Residency.ABSENT), option("e1", Residency.READY)], "e1"),
        ([option("e0", Residency.ABSENT), option("e1", Residency.HOST_CACHED)], "e1"),
        (
            [
                option("e0", Residency.READY, backlog_tokens=8000),
                option("e1", Residency.READY, backlog_tokens=500),
            ],
            "e1",
        ),
        ([option("e0", Residency.READY, pause_tokens=4900)], None),
        ([option("e0", Residency.READY, running=64)], None),
        ([option("e0", Residency.ABSENT, has_room=False)], None),
        ([option("e0", Residency.READY, running=3, cache_tokens_free=900)], None),
        # A request larger than the KV cache goes to an engine without other requests.
        ([option("e0", Residency.READY, cache_tokens_free=900)], "e0"),
    ],
)
def test_best_engine(options, best):
    found = best_engine(options, REQUEST_SIZE)
    assert (found.engine if found else None) == best
