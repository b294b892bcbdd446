"""Engines of different speed: the prefill budget adapts to each engine's pauses."""

import random
from datetime import timedelta

from magnoliatrail.routing.engine_scores import max_pause_tokens
from magnoliatrail.routing.prefill_budget import MAX_SHARE, MIN_SHARE, PrefillBudget
from tests.load.cell import (
    EVENT_TOKENS,
    PAUSE_MS,
    PROMPT_TOKENS,
    SPEED,
    Cell,
    report_ended,
)

GOAL = timedelta(milliseconds=PAUSE_MS)
USUAL = max_pause_tokens(GOAL, EVENT_TOKENS, SPEED, 0)
STEPS_MS = 4 * 7.5


def run_streams(budget, tokens_per_ms, count=3000):
    """Record the pauses of streams while an engine prefills its budget.

    Return the share of the second half of the streams whose pause exceeded the goal.
    """
    numbers = random.Random(1)
    late = 0
    for number in range(count):
        prefilled = USUAL * budget.share * numbers.uniform(0.7, 1.0)
        pause = timedelta(milliseconds=STEPS_MS + prefilled / tokens_per_ms)
        budget.record_pause(pause, GOAL, timedelta(milliseconds=70 * number))
        late += number > count // 2 and pause > GOAL
    return late / (count / 2)


def test_a_fast_engine_gets_more_prompts_without_late_streams():
    budget = PrefillBudget()
    late = run_streams(budget, tokens_per_ms=30)
    assert budget.share > 1.2
    assert late < 0.05


def test_a_slow_engine_gets_fewer_prompts():
    budget = PrefillBudget()
    late = run_streams(budget, tokens_per_ms=17)
    assert budget.share < 0.9
    assert late < 0.05


def test_the_prefill_budget_stays_within_its_limits():
    budget = PrefillBudget()
    run_streams(budget, tokens_per_ms=300)
    assert budget.share <= MAX_SHARE
    run_streams(budget, tokens_per_ms=10)
    assert budget.share >= MIN_SHARE


def test_a_pause_that_all_streams_of_an_engine_see_counts_once():
    budget = PrefillBudget()
    for _ in range(40):
        budget.record_pause(GOAL, GOAL, timedelta(seconds=1))
    assert budget.share > 0.94


def test_pauses_not_caused_by_prefill_change_nothing():
    budget = PrefillBudget()
    for number in range(40):
        budget.record_pause(GOAL * 5, GOAL, timedelta(seconds=number))
        budget.record_pause(timedelta(), GOAL, timedelta(seconds=number))
    assert budget.share == 1.0


def test_an_engine_with_fast_prefill_gets_more_prompts_at_once(run):
    async def scenario():
        counts = []
        for pause_ms in (0, 200):
            cell = Cell(engines=1)
            cell.add_ready_adapter("e0", "a1")
            for number in range(100):
                cell.request_slot(f"past{number}", "a1", tokens=10)
                await cell.pass_time(10)
                report_ended(cell, f"past{number}", "e0", pause_ms=pause_ms)
            await cell.pass_time(400)
            for number in range(20):
                cell.request_slot(f"r{number}", "a1", tokens=PROMPT_TOKENS)
            await cell.pass_time(10)
            counts.append(len(cell.granted()))
        assert counts[1] > counts[0]

    run(scenario())
