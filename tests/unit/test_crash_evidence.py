"""Which prompt parts are accused of crashing servers."""

from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st

from magnoliatrail.clock import ManualClock
from magnoliatrail.requests import request_fingerprint
from magnoliatrail.routing.crash_causes import (
    MAX_ACCUSATIONS,
    MAX_CAUSES,
    MIN_CRASHES,
    MIN_CRASHES_AT_ONCE,
    MIN_CRASHES_ONCE_SOUND,
    MIN_REQUEST_CRASHES,
    MIN_REQUEST_CRASHES_ONCE_SOUND,
    MIN_SPREAD,
    SAME_EVENT_WITHIN,
)
from magnoliatrail.routing.crash_evidence import (
    CRASH_LIFETIME,
    MAX_CRASHES,
    MAX_FINGERPRINTS,
    MAX_PARTS,
    MAX_PARTS_PER_CRASH,
    MAX_PARTS_PER_PROMPT,
    CrashEvidence,
)
from magnoliatrail.routing.server_runs import BrokenRun

BAD = "bad"
SOUND = [f"s{number}" for number in range(6)]
SECOND = timedelta(seconds=1)
REQUEST = request_fingerprint("caller", "GET", "host/path", b"")
REQUESTS = [
    request_fingerprint(f"caller-{number}", "GET", "host/path", b"")
    for number in range(6)
]


def seconds(value):
    return timedelta(seconds=value)


class Record:
    """Evidence with a clock, and servers numbered by their crashes."""

    def __init__(self):
        self.clock = ManualClock()
        self.clock.advance(timedelta(minutes=10))
        self.evidence = CrashEvidence(self.clock)
        self.crashed = 0

    def crash(self, *prompts, after=SECOND):
        self.clock.advance(after)
        self.crashed += 1
        run = (f"server-{self.crashed}", 1)
        self.evidence.record_crash(BrokenRun(run, self.clock.monotonic()), prompts)
        return run

    def answer(self, *parts):
        self.clock.advance(seconds(0.01))
        self.evidence.record_sound_answer(parts, self.clock.monotonic())

    def accused(self, *, suspected=False):
        return [
            set(item.parts)
            for item in self.evidence.accusations()
            if item.suspected is suspected
        ]


@pytest.fixture
def record():
    return Record()


def test_a_part_in_few_crashes_is_not_accused(record):
    for _ in range(MIN_CRASHES - 1):
        record.crash(["first", BAD])
    assert not record.accused()


def test_parts_that_only_occur_together_are_accused_together(record):
    for _ in range(MIN_CRASHES):
        record.crash(["first", BAD])
    assert record.accused() == [{"first", BAD}]


def test_a_whole_answer_clears_a_part(record):
    for _ in range(MIN_CRASHES):
        record.crash(["first", BAD])
    record.answer("first", "other")
    assert record.accused() == [{BAD}]


# Guards against the refusal of parts that many callers share, as all crashes hit them.
def test_a_part_that_was_sound_before_is_accused_only_if_no_other_explains(record):
    record.answer("first")
    for _ in range(2 * MIN_CRASHES_ONCE_SOUND):
        record.crash(["first", BAD], ["first"])
    assert record.accused() == [{"first", BAD}]


def test_a_part_that_was_sound_before_is_accused_after_more_crashes(record):
    record.answer(BAD)
    for _ in range(MIN_CRASHES_ONCE_SOUND - 1):
        record.crash([BAD])
    assert not record.accused()
    record.crash([BAD])
    assert record.accused() == [{BAD}]


def test_bystanders_that_change_are_not_accused(record):
    for number in range(MIN_CRASHES):
        record.crash(["first", BAD], ["first", f"bystander-{number}"])
    record.answer("first")
    assert record.accused() == [{BAD}]


# Guards against a caller that gets the parts of others refused by sending them along.
def test_a_part_that_came_with_the_crashing_one_is_not_accused_alone(record):
    for _ in range(MIN_CRASHES):
        record.crash(["victim", BAD], ["victim"])
    assert record.accused() == [{"victim", BAD}]


def test_a_part_that_crashes_without_its_companions_is_accused_alone(record):
    for _ in range(MIN_CRASHES):
        record.crash(["victim", BAD])
    record.crash([BAD, "another"])
    assert record.accused() == [{BAD}]


def test_two_crashing_parts_are_both_accused(record):
    for _ in range(MIN_CRASHES):
        record.crash([BAD])
        record.crash(["worse"])
    assert sorted(map(sorted, record.accused())) == [[BAD], ["worse"]]


# Guards against the refusal of parts after a loss of power took many servers.
def test_simultaneous_crashes_count_once(record):
    for _ in range(3 * MIN_CRASHES):
        record.crash(["first"], after=SAME_EVENT_WITHIN / 100)
    assert not record.accused()


# Guards against a loss of power that gets requests refused, and against a batch of
# requests that crashes many servers at once and is sent again.
def test_many_simultaneous_crashes_make_a_new_part_suspected_and_no_sound_one(record):
    record.answer("first")
    for _ in range(MIN_CRASHES_AT_ONCE):
        record.crash(["first", BAD], after=SAME_EVENT_WITHIN / 100)
    assert not record.accused()
    assert record.accused(suspected=True) == [{"first", BAD}]
    record.answer(BAD)
    assert not record.accused(suspected=True)


def test_few_simultaneous_crashes_make_no_part_suspected(record):
    for _ in range(MIN_CRASHES_AT_ONCE - 1):
        record.crash(["first"], after=SAME_EVENT_WITHIN / 100)
    assert not record.accused(suspected=True)


# Guards against batches of requests that crash many servers at once, few times.
def test_five_servers_that_crashed_in_two_batches_accuse_a_part(record):
    for _ in range(MIN_CRASHES_AT_ONCE - 1):
        record.crash([BAD], after=SAME_EVENT_WITHIN / 100)
    assert not record.accused()
    record.crash([BAD], after=MIN_SPREAD)
    assert record.accused() == [{BAD}]


def test_a_suspected_part_is_accused_once_its_trial_crashes_a_server(record):
    for _ in range(MIN_CRASHES_AT_ONCE):
        record.crash([BAD], after=SAME_EVENT_WITHIN / 100)
    assert not record.accused()
    record.crash([BAD], after=MIN_SPREAD)
    assert record.accused() == [{BAD}]
    assert not record.accused(suspected=True)


def test_crashes_in_close_succession_do_not_count_as_one(record):
    for _ in range(MIN_CRASHES):
        record.crash([BAD], after=SAME_EVENT_WITHIN * 0.7)
        record.crash([BAD], after=SAME_EVENT_WITHIN * 0.7)
    assert record.accused() == [{BAD}]


def test_a_server_that_answers_later_has_not_crashed(record):
    runs = [record.crash([BAD]) for _ in range(MIN_CRASHES)]
    record.clock.advance(SECOND)
    record.evidence.record_run_answered(runs[0], record.clock.monotonic())
    assert not record.accused()


def test_an_answer_to_a_request_sent_before_the_crash_does_not_excuse_it(record):
    runs = [record.crash([BAD]) for _ in range(MIN_CRASHES)]
    record.evidence.record_run_answered(runs[0], seconds(0))
    assert record.accused() == [{BAD}]


def test_reports_of_several_instances_on_one_crash_count_once(record):
    run = record.crash([BAD])
    for _ in range(MIN_CRASHES):
        record.evidence.record_crash(BrokenRun(run, record.clock.monotonic()), [[BAD]])
    assert not record.accused()


def test_old_crashes_are_forgotten(record):
    for _ in range(MIN_CRASHES):
        record.crash([BAD])
    record.clock.advance(CRASH_LIFETIME)
    assert not record.accused()


def test_memory_is_bounded_however_many_parts_callers_send(record):
    many = [f"part-{number}" for number in range(10 * MAX_PARTS_PER_PROMPT)]
    for number in range(2 * MAX_CRASHES):
        record.crash(many, [f"only-{number}"])
    for number in range(MAX_PARTS + 10):
        record.answer(f"whole-{number}")
    assert len(record.evidence.crashes) == MAX_CRASHES
    assert len(record.evidence.answered) == MAX_PARTS
    longest = max(
        len(prompt) for crash in record.evidence.crashes for prompt in crash.prompts
    )
    assert longest == MAX_PARTS_PER_PROMPT


PROMPTS = st.lists(st.sampled_from(SOUND), max_size=3, unique=True)


@given(
    crashes=st.lists(
        st.tuples(PROMPTS, st.lists(PROMPTS, max_size=4), st.lists(PROMPTS)),
        min_size=5,
        max_size=5,
    ),
    order=st.permutations(range(5)),
    gap=st.floats(0.31, 5),
)
def test_all_prompts_that_crashed_five_servers_are_accused(crashes, order, gap):
    """Reports of the crashes arrive in any order; whole answers come in between."""
    record = Record()
    reports, answers = [], []
    for number, (others, bystanders, whole) in enumerate(crashes):
        record.clock.advance(seconds(gap))
        at = record.clock.monotonic()
        reports.append((f"server-{number}", at, [[*others, BAD], *bystanders]))
        answers += [(parts, at + seconds(0.1)) for parts in whole]
    for number in order:
        server, at, prompts = reports[number]
        record.evidence.record_crash(BrokenRun((server, 1), at), prompts[:1])
        record.evidence.record_crash(BrokenRun((server, 1), at), prompts[1:])
    for parts, at in answers:
        record.evidence.record_sound_answer(parts, at)
    accused = record.accused()
    for others, _, _ in crashes:
        assert any(group <= {*others, BAD} for group in accused)


@given(
    prompts=st.lists(PROMPTS, min_size=5, max_size=20),
    bystanders=st.lists(st.lists(PROMPTS, max_size=3), min_size=20, max_size=20),
)
def test_at_most_three_prompts_with_the_part_pass_after_the_fifth_crash(
    prompts, bystanders
):
    """The crashing part comes with up to three other ones, which change."""
    record = Record()
    passed = 0
    for others, beside in zip(prompts, bystanders, strict=False):
        prompt = {*others, BAD}
        if any(group <= prompt for group in record.accused()):
            continue
        passed += 1
        record.crash(list(prompt), *beside)
    assert passed <= 5 + 3


@given(
    crashes=st.lists(st.lists(PROMPTS, max_size=4), min_size=5, max_size=12),
    cleared=st.sets(st.sampled_from(SOUND)),
)
def test_a_part_of_a_later_whole_answer_is_not_accused(crashes, cleared):
    record = Record()
    for prompts in crashes:
        record.crash(*([*prompt, BAD] for prompt in prompts), *prompts)
    record.answer(*cleared)
    assert not any(group & cleared for group in record.accused())


# Guards against a request that crashes one server after the other as it is repeated.
def test_a_request_is_accused_by_its_third_crash(record):
    for _ in range(MIN_REQUEST_CRASHES - 1):
        record.crash([REQUEST])
    assert not record.accused()
    record.crash([REQUEST])
    assert record.accused() == [{REQUEST}]


# Guards against the repeats of one caller's attempt, which follow within milliseconds.
def test_crashes_of_one_request_count_however_close_they_are(record):
    for _ in range(MIN_REQUEST_CRASHES):
        record.crash([REQUEST], after=SAME_EVENT_WITHIN / 3)
    assert record.accused() == [{REQUEST}]


def test_a_sound_answer_clears_a_request(record):
    for _ in range(MIN_REQUEST_CRASHES):
        record.crash([REQUEST])
    record.answer(REQUEST)
    assert not record.accused()


def test_a_request_that_was_sound_before_is_accused_after_more_crashes(record):
    record.answer(REQUEST)
    for _ in range(MIN_REQUEST_CRASHES_ONCE_SOUND - 1):
        record.crash([REQUEST])
    assert not record.accused()
    record.crash([REQUEST])
    assert record.accused() == [{REQUEST}]


def test_a_repeated_request_in_crashes_of_another_is_not_accused(record):
    record.crash([REQUESTS[0]])
    for _ in range(MIN_REQUEST_CRASHES):
        record.crash([REQUESTS[0]], [REQUESTS[1]])
    assert record.accused() == [{REQUESTS[0]}]


# Guards against repeats that hide the part of their prompts that crashes servers.
def test_a_repeated_request_does_not_hide_the_part_that_crashes(record):
    for number in range(MIN_CRASHES):
        record.crash([BAD, REQUESTS[number // MIN_REQUEST_CRASHES]])
    assert {BAD} in record.accused()


def test_a_part_of_a_crashing_request_is_accused_only_with_it(record):
    for _ in range(MIN_CRASHES):
        record.crash(["first", REQUEST])
    assert record.accused() == [{REQUEST}, {"first", REQUEST}]


def test_a_server_that_broke_off_an_answer_and_crashed_later_has_crashed(record):
    runs = [record.crash([REQUEST]) for _ in range(MIN_REQUEST_CRASHES)]
    for run in runs:
        record.clock.advance(SECOND)
        record.evidence.record_run_answered(run, record.clock.monotonic())
    assert not record.accused()
    for run in runs:
        record.clock.advance(SECOND)
        record.evidence.record_crash(
            BrokenRun(run, record.clock.monotonic()), [[REQUEST]]
        )
    assert record.accused() == [{REQUEST}]


# Guards against callers that stall an instance, or hide a cause, by many requests.
def test_work_and_accusations_are_bounded_however_many_requests_are_suspected(record):
    crowd = [f"request:{number}" for number in range(2 * MAX_PARTS_PER_CRASH)]
    for number in range(MAX_CRASHES):
        record.crash(*([name] for name in crowd), [REQUEST], [f"request:x{number}"])
    sizes = [len(crash.parts) for crash in record.evidence.crashes]
    assert max(sizes) <= 2 * MAX_PARTS_PER_CRASH
    assert len(record.accused()) <= 2 * MAX_CAUSES * MAX_ACCUSATIONS


# Guards against a crash with so many suspects that the cause is left out.
def test_a_request_that_crashed_servers_before_is_taken_from_a_full_crash(record):
    crowds = [
        [[f"request:{number}-{other}"] for other in range(MAX_PARTS_PER_CRASH)]
        for number in range(MIN_REQUEST_CRASHES)
    ]
    record.crash([REQUEST], *crowds[0])
    for crowd in crowds[1:]:
        record.crash(*crowd, [REQUEST])
    assert record.accused() == [{REQUEST}]


def test_of_equal_suspects_those_with_fewer_bystanders_are_accused_first(record):
    crowd = [[f"request:{number}"] for number in range(3 * MAX_ACCUSATIONS)]
    for _ in range(2):
        record.crash(*crowd, [REQUEST])
    record.crash([REQUEST])
    record.crash(*crowd)
    assert record.accused()[0] == {REQUEST}


def test_sound_requests_push_no_part_out_of_memory(record):
    record.answer("first")
    for number in range(MAX_FINGERPRINTS + 10):
        record.answer(f"request:{number}")
    assert record.evidence.answered_at("first")
    assert len(record.evidence.fingerprints_answered) == MAX_FINGERPRINTS


REPEATS = st.lists(st.sampled_from(REQUESTS), max_size=4, unique=True)


@given(
    beside=st.lists(REPEATS, min_size=3, max_size=12),
    whole=st.lists(REPEATS, min_size=12, max_size=12),
    order=st.randoms(use_true_random=False),
    gap=st.floats(0.001, 5),
)
def test_a_crashing_request_is_accused_by_its_third_crash_and_no_cleared_one_is(
    beside, whole, order, gap
):
    """Reports arrive in any order, and sound answers to others come in between."""
    record = Record()
    reports, cleared_at, crashed_at = [], {}, {}
    for number, (others, answered) in enumerate(zip(beside, whole, strict=False)):
        record.clock.advance(seconds(gap))
        at = record.clock.monotonic()
        reports.append(
            (f"server-{number}", at, [[REQUEST], *([one] for one in others)])
        )
        crashed_at.update(dict.fromkeys(others, at))
        record.clock.advance(seconds(0.001))
        for one in answered:
            record.answer(one)
            cleared_at[one] = record.clock.monotonic()
    order.shuffle(reports)
    for server, at, prompts in reports:
        record.evidence.record_crash(BrokenRun((server, 1), at), prompts)
    accused = record.accused()
    assert {REQUEST} in accused
    cleared = {one for one, at in cleared_at.items() if at > crashed_at.get(one, at)}
    assert not any(group & cleared for group in accused)
