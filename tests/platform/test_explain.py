"""`magnoliatrail explain` on the recorded failures of docs/OPERATIONS.md."""

from pathlib import Path

import pytest
from click.testing import CliRunner

from magnoliatrail.cli.explain import pairs_of
from magnoliatrail.cli.main import main

RECORDED = Path(__file__).parent / "recorded"
PAGE = Path(__file__).parents[2] / "docs" / "OPERATIONS.md"


def run_explain(request, log):
    return CliRunner().invoke(main, ["explain", request, str(RECORDED / log)])


@pytest.mark.parametrize(
    ("log", "request_id", "events", "cause"),
    [
        (
            "refused.log",
            "0225d1820741b52c",
            ["place_refused", "refused", "answered"],
            "17 requests wait before it",
        ),
        (
            "broken_off.log",
            "4e8bc9c0bc0253e4",
            [
                "place_granted",
                "attempt",
                "answer_broken_off",
                "answered",
                "engine_shunned",
            ],
            "no whole answer in the time left",
        ),
        (
            "unknown_outcome.log",
            "218d51a25b10a212",
            ["attempt", "answered"],
            "outcome=timed_out",
        ),
        (
            "refused_key.log",
            "8c1f0d52a96e4b07",
            ["place_granted", "key_refused", "attempt", "answered"],
            "reason=withdrawn account=alice",
        ),
    ],
)
def test_a_recorded_failure_gives_an_ordered_timeline_with_its_cause(
    log, request_id, events, cause
):
    result = run_explain(request_id, log)
    assert result.exit_code == 0
    lines = result.output.splitlines()
    assert [line.split()[2].rstrip(":") for line in lines] == events
    assert cause in result.output
    assert request_id in PAGE.read_text()


def test_an_unknown_request_fails_with_a_message():
    result = run_explain("ffffffffffffffff", "refused.log")
    assert result.exit_code == 1
    assert "no line of the log names request" in result.output


def test_an_id_does_not_match_a_longer_id():
    result = run_explain("0225d1820741b52", "refused.log")
    assert result.exit_code == 1


def test_a_malformed_line_has_no_pairs():
    assert pairs_of('event="unfinished') == {}
