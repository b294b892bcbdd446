"""The examples in docs/library.md run as printed."""

import re

import pytest

from tests.docs.pages import ROOT

PAGE = ROOT / "docs/library.md"
EXAMPLE = re.compile(
    r"^## ([^\n]*)\n.*?^```python\n(.*?)^```", re.DOTALL | re.MULTILINE
)
EXAMPLES = EXAMPLE.findall(PAGE.read_text())


def test_each_part_has_an_example():
    headings = re.findall(r"^## ([^\n]*)", PAGE.read_text(), re.MULTILINE)
    assert [heading for heading, _ in EXAMPLES] == headings


@pytest.mark.parametrize(("heading", "code"), EXAMPLES, ids=[h for h, _ in EXAMPLES])
def test_an_example_runs_as_printed(heading, code):
    exec(compile(code, f"{PAGE.name}: {heading}", "exec"), {"__name__": "example"})
