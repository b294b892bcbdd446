"""docs/invariants.md names tests that exist."""

import re

from tests.docs.pages import ROOT, code_spans

PAGE = ROOT / "docs/invariants.md"
TEST = re.compile(r"(tests/[\w/]+\.py)::(test_\w+)")


def named_tests() -> list[tuple[str, str]]:
    """Return the file and function of each test that the page names."""
    return [pair for span in code_spans(PAGE) for pair in TEST.findall(span)]


def test_every_test_on_the_page_exists():
    missing = [
        f"{file}::{name}"
        for file, name in named_tests()
        if not (ROOT / file).exists()
        or not re.search(rf"def {name}\b", (ROOT / file).read_text())
    ]
    assert not missing, "docs/invariants.md names tests that do not exist"


def test_every_section_names_a_test_or_says_not_proved():
    _, *sections = re.split(r"^## ", PAGE.read_text(), flags=re.MULTILINE)
    uncovered = [
        section.partition("\n")[0]
        for section in sections
        if not TEST.search(section) and "Not proved" not in section
    ]
    assert not uncovered, "each section names a test or says `Not proved`"
