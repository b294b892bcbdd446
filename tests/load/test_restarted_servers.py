"""Requests that crash servers which return: the property, for all that is left open."""

from dataclasses import replace

from hypothesis import example, given, settings
from hypothesis import strategies as st

from magnoliatrail.peers.crash_collector import RENEWAL_INTERVAL
from magnoliatrail.routing.crash_evidence import MAX_CRASH_DELAY
from magnoliatrail.routing.quarantine_terms import SUSPECTED_TRIAL_INTERVAL
from tests.load.crash_play import STABILITY_SECONDS, Play, Setting

ALLOWED_LATE_RETRIES = 3
# Of the sound requests at most this share may be refused for nothing.
MAX_REFUSED_SHARE = 0.01

SETTINGS = st.builds(
    Setting,
    seed=st.integers(0, 10_000),
    servers=st.integers(2, 8),
    instances=st.integers(2, 6),
    restart_seconds=st.floats(0.8, 6),
    list_lag_seconds=st.floats(0, 5),
    keeps_id=st.booleans(),
    keeps_born=st.booleans(),
    batch=st.integers(1, 8),
    pause_seconds=st.floats(0, 10),
    batches=st.integers(4, 16),
    sound_per_second=st.one_of(st.just(0.0), st.floats(0.2, 16)),
    lost=st.floats(0, 0.3),
    attempts=st.integers(1, 2),
    closes_in_order=st.booleans(),
)


# Guards against crashes that are refuted, or counted as one, because the next run of
# a server answered under the list entry of the run that crashed.
@settings(max_examples=60, deadline=None)
@given(setting=SETTINGS)
@example(setting=Setting(seed=144, servers=2, keeps_born=True, batches=30))
def test_a_request_that_crashed_three_servers_is_retried_at_most_three_times(setting):
    play = Play(replace(setting, repeats_one=True))
    play.play()
    assert play.late(3) <= ALLOWED_LATE_RETRIES
    if len(play.crashed_by_bad) >= 3:
        settled = play.crashed_by_bad[2] + 2 * STABILITY_SECONDS
        assert play.refused_from(settled) <= MAX_REFUSED_SHARE


ALLOWED_LATE_REQUESTS = 3


# Guards against batches whose crashes count as one, and so are refused late.
@settings(max_examples=60, deadline=None)
@given(setting=SETTINGS)
@example(setting=Setting(seed=6, servers=6, batch=4, pause_seconds=4.0, batches=9))
@example(setting=Setting(seed=6, servers=8, batch=8, pause_seconds=6.0, batches=9))
def test_at_most_three_prompts_with_a_part_run_after_the_fifth_crash(setting):
    play = Play(setting)
    play.play()
    assert play.late(5) <= ALLOWED_LATE_REQUESTS
    if len(play.crashed_by_bad) >= 5:
        settled = play.crashed_by_bad[4] + 2 * STABILITY_SECONDS
        assert play.refused_from(settled) <= MAX_REFUSED_SHARE


# A trial is let through, is known to be sound, and all instances hear of it.
TRIAL_SECONDS = (
    SUSPECTED_TRIAL_INTERVAL + MAX_CRASH_DELAY + 2 * RENEWAL_INTERVAL
).total_seconds()


@settings(max_examples=60, deadline=None)
@given(
    setting=st.builds(
        Setting,
        seed=st.integers(0, 10_000),
        servers=st.integers(5, 9),
        instances=st.integers(2, 6),
        restart_seconds=st.floats(1, 6),
        list_lag_seconds=st.floats(0, 3),
        batch=st.just(0),
        sound_per_second=st.floats(4, 40),
    ),
    share=st.floats(0.3, 1),
    spread=st.floats(0, 0.3),
    warm_up=st.sampled_from([0.3, 5.0]),
)
def test_power_lost_by_several_servers_gets_no_sound_requests_refused_for_long(
    setting, share, spread, warm_up
):
    """The prompts have one first part, which is new or known to be sound."""
    play = Play(setting)
    lost_at = 1.0 + warm_up
    lost = play.random.sample(play.servers, max(3, round(setting.servers * share)))
    for server in lost:
        play.at(lost_at + play.random.uniform(0, spread), play.crash, server)
    play.play(until=lost_at + 30)
    if warm_up > 1:
        assert not play.sound_refused
    else:
        served_again = lost_at + spread + setting.restart_seconds + TRIAL_SECONDS
        assert play.refused_from(served_again) == 0
