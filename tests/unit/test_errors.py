from datetime import timedelta

from magnoliatrail.errors import ANSWERS, ErrorKind, Failure, answer_of
from magnoliatrail.generated.answers import Outcome
from magnoliatrail.ids import RequestId


def test_every_error_kind_has_an_answer():
    assert set(ANSWERS) == set(ErrorKind)


def test_every_answer_names_a_remedy():
    assert all(rule.remedy for rule in ANSWERS.values())


def test_a_client_error_means_not_run():
    for kind, rule in ANSWERS.items():
        if 400 <= rule.status < 500 and rule.status != 409:
            assert rule.outcome is Outcome.NOT_RUN, kind


def test_a_failures_retry_time_overrides_the_default():
    failure = Failure(ErrorKind.QUEUE_FULL, "full", timedelta(seconds=7))
    answer = answer_of(failure, RequestId("r"))
    assert answer.error.retry_after_seconds == 7
