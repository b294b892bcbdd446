"""Engines of unequal load: which one serves a request."""

from datetime import timedelta

import pytest

from magnoliatrail.routing.engine_scores import (
    EngineLoad,
    EngineNeed,
    EngineOption,
    Residency,
    best_engine,
)
from tests.load.cell import (
    BRIEF_TOKENS,
)


def option(engine, residency, **more):
    """Return an idle engine as an option."""
    load = {
        "backlog_tokens": 0,
        "pause_tokens": 0,
        "most_pause_tokens": 5000.0,
        "running": 0,
        "batch_slots": 64,
        "cache_tokens_free": 100_000.0,
    }
    has_room = more.pop("has_room", True)
    return EngineOption(
        engine=engine,
        load=EngineLoad(**{**load, **more}),
        residency=residency,
        ready_in=timedelta(),
        has_room=has_room,
        home_rank=0,
    )


NEED = EngineNeed(prompt_tokens=BRIEF_TOKENS, output_tokens=172)


@pytest.mark.parametrize(
    ("options", "best"),
    [
        ([option("e0", Residency.ABSENT), option("e1", Residency.READY)], "e1"),
        ([option("e0", Residency.ABSENT), option("e1", Residency.NEAR)], "e1"),
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
        # One that is larger than the cache goes to an engine that is empty.
        ([option("e0", Residency.READY, cache_tokens_free=900)], "e0"),
    ],
)
def test_which_engine_serves(options, best):
    found = best_engine(options, NEED)
    assert (found.engine if found else None) == best
