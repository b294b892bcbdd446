import re

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from magnoliatrail.errors import ErrorKind
from magnoliatrail.logs import EventLog, format_value

PAIR = re.compile(r'(\w+)=("(?:\\.|[^"\\])*"|[^ "=]+)', re.DOTALL)
ESCAPE = re.compile(r"\\(.)")
ESCAPES = {"n": "\n", "r": "\r", "t": "\t", '"': '"', "\\": "\\"}


@pytest.mark.parametrize(
    ("value", "text"),
    [
        ("plain", "plain"),
        ("", '""'),
        ("two words", '"two words"'),
        ('say "no"', '"say \\"no\\""'),
        ("a=b", '"a=b"'),
        ("line\nbreak", '"line\\nbreak"'),
        (ErrorKind.CONFLICT, "conflict"),
    ],
)
def test_a_value_cannot_be_mistaken_for_another_pair(value, text):
    assert format_value(value) == text


@settings(derandomize=True)
@given(st.text(st.characters(codec="ascii")))
def test_an_event_is_one_line_whatever_its_values(value):
    line = EventLog("part").line("seen", {"value": value, "after": "x"})
    assert "\n" not in line
    assert "\r" not in line
    assert line.endswith(" after=x")


@settings(derandomize=True)
@given(st.text(st.characters(codec="ascii")))
def test_the_pairs_can_be_read_back(value):
    line = EventLog("part").line("seen", {"value": value, "after": "x"})
    pairs = {name: unquoted(text) for name, text in PAIR.findall(line)}
    assert pairs == {"event": "seen", "value": value, "after": "x"}


def unquoted(text):
    if not text.startswith('"'):
        return text
    return ESCAPE.sub(lambda found: ESCAPES[found[1]], text[1:-1])
