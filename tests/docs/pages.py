"""Parsing of the documentation pages for the tests."""

import re
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
SOURCE = ROOT / "src" / "magnoliatrail"
PAGES = sorted([*ROOT.glob("*.md"), *ROOT.glob("docs/**/*.md")])

LINK = re.compile(r"\[[^\]]*\]\(([^)\s]+)\)")
CODE_SPAN = re.compile(r"`([^`\n]+)`")
FENCE = re.compile(r"^```.*?^```", re.DOTALL | re.MULTILINE)
REPOSITORY_PATH = re.compile(r"[\w.-]+(/[\w.-]+)+/?")
TREES = ("docs", "src", "tests", "benchmarks", "scripts", "schema", ".ci")


def page_name(page: Path) -> str:
    """Return the path of a page relative to the repository root."""
    return str(page.relative_to(ROOT))


def code_spans(page: Path) -> list[str]:
    """Return the inline code of a page."""
    return CODE_SPAN.findall(FENCE.sub("", page.read_text()))


def linked_files(page: Path) -> Iterator[Path]:
    """Return the files that a page links to or names by path."""
    for target in LINK.findall(page.read_text()):
        path = target.partition("#")[0]
        if path and "://" not in path:
            yield (page.parent / path).resolve()
    for span in code_spans(page):
        named = span.partition("::")[0]
        if REPOSITORY_PATH.fullmatch(named) and named.split("/")[0] in TREES:
            yield ROOT / named


def code_lines(page: Path) -> list[str]:
    """Return the lines of code on a page, with continuation lines joined."""
    fences = "\n".join(FENCE.findall(page.read_text()))
    lines = fences.replace("\\\n", " ").splitlines()
    return [*lines, *code_spans(page)]


def table_rows(text: str) -> list[list[str]]:
    """Return the cells of all table rows in a text."""
    lines = [line for line in text.splitlines() if line.startswith("|")]
    return [[cell.strip() for cell in line.strip("|").split("|")] for line in lines]


def first_code_cells(text: str) -> set[str]:
    """Return the code in the first cell of each table row."""
    cells = [row[0] for row in table_rows(text)]
    return {span for cell in cells for span in CODE_SPAN.findall(cell)}
