"""The speed of engines is learned from their streams, whatever the site."""

import random
from datetime import timedelta

import pytest

from magnoliatrail.forwarding.event_times import EventTimes
from magnoliatrail.routing.engine_scores import max_pause_tokens
from magnoliatrail.routing.engine_speed import EngineSpeedEstimate, ServiceSpeed

PAUSE = timedelta(milliseconds=250)


def milliseconds(value):
    return timedelta(milliseconds=value)


def serve(estimate, *, tokens_per_ms, step_ms, streams=300, slow=1.0, start=0.0):
    """Record streams of random size that an engine of a given speed served."""
    numbers = random.Random(1)
    for number in range(streams):
        now = timedelta(seconds=start + number * 0.05)
        tokens = numbers.randrange(200, 4000)
        running = numbers.randrange(1, 40)
        first = 10 + tokens / tokens_per_ms + numbers.expovariate(0.3)
        estimate.record_first_event(tokens, milliseconds(first * slow), now)
        step = step_ms + 0.034 * running
        estimate.record_steps(running, milliseconds(step * 5 * slow), 5, now)
    return now


@pytest.mark.parametrize(
    ("tokens_per_ms", "step_ms"), [(22.1, 6.8), (25.8, 8.2), (38.4, 5.23), (9.0, 20)]
)
def test_the_speed_follows_the_engines_of_a_site(tokens_per_ms, step_ms):
    estimate = EngineSpeedEstimate(ServiceSpeed())
    now = serve(estimate, tokens_per_ms=tokens_per_ms, step_ms=step_ms)
    speed = estimate.speed(now)
    assert 1 / speed.prefill_ms_per_token == pytest.approx(tokens_per_ms, rel=0.15)
    assert speed.step_time(20).total_seconds() * 1000 == pytest.approx(
        step_ms + 0.68, rel=0.15
    )


def test_an_engine_without_streams_of_its_own_uses_those_of_its_service():
    service = ServiceSpeed()
    serve(EngineSpeedEstimate(service), tokens_per_ms=38.4, step_ms=5.23)
    new = EngineSpeedEstimate(service).speed(timedelta(seconds=20))
    assert 1 / new.prefill_ms_per_token == pytest.approx(38.4, rel=0.15)


def test_a_slow_engine_is_told_from_the_others_and_recovers():
    service = ServiceSpeed()
    usual, slow = EngineSpeedEstimate(service), EngineSpeedEstimate(service)
    serve(usual, tokens_per_ms=22.1, step_ms=6.8)
    now = serve(slow, tokens_per_ms=22.1, step_ms=6.8, streams=20, slow=4, start=15)
    ratio = slow.speed(now).prefill_ms_per_token / usual.speed(now).prefill_ms_per_token
    assert ratio > 2.5
    assert 1 / usual.speed(now).prefill_ms_per_token == pytest.approx(22.1, rel=0.2)
    later = now + timedelta(seconds=60)
    assert slow.slowness.value(later) == pytest.approx(1, rel=0.05)


def test_a_few_streams_that_hang_do_not_change_the_speed_of_a_service():
    service = ServiceSpeed()
    usual = EngineSpeedEstimate(service)
    now = serve(usual, tokens_per_ms=22.1, step_ms=6.8)
    for _ in range(5):
        EngineSpeedEstimate(service).record_first_event(1500, timedelta(seconds=9), now)
    assert 1 / usual.speed(now).prefill_ms_per_token == pytest.approx(22.1, rel=0.3)


def test_a_faster_engine_gets_more_prompt_tokens_within_a_pause():
    found = []
    for tokens_per_ms, step_ms in ((22.1, 6.8), (38.4, 5.23)):
        estimate = EngineSpeedEstimate(ServiceSpeed())
        now = serve(estimate, tokens_per_ms=tokens_per_ms, step_ms=step_ms)
        found.append(max_pause_tokens(PAUSE, 5, estimate.speed(now), 20))
    assert found[1] > found[0] * 1.6


def test_the_usual_pause_leaves_out_those_with_the_prefill_of_others():
    events = EventTimes(timedelta())
    at = 0.0
    for number in range(20):
        at += 150 if number % 3 == 2 else 30
        events.record(milliseconds(at))
    assert events.usual_pause == milliseconds(30)
    assert events.longest_pause == milliseconds(150)


def test_few_events_have_no_usual_pause():
    events = EventTimes(timedelta())
    for number in range(4):
        events.record(milliseconds(30 * number))
    assert not events.usual_pause
