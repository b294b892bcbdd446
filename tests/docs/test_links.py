"""The files that the documentation links to or names exist."""

import pytest

from tests.docs.pages import PAGES, ROOT, linked_files, page_name


@pytest.mark.parametrize("page", PAGES, ids=page_name)
def test_every_file_that_a_page_names_exists(page):
    missing = [str(file) for file in linked_files(page) if not file.exists()]
    assert not missing, f"{page_name(page)} names files that do not exist"


def test_every_design_note_is_in_the_index():
    notes = {file.name for file in (ROOT / "docs/design").glob("[a-z]*.md")}
    index = ROOT / "docs/design/README.md"
    missing = {note for note in notes if note not in index.read_text()}
    assert not missing, "add a line for each to docs/design/README.md"


def test_every_operations_page_is_in_the_index():
    pages = {file.name for file in (ROOT / "docs/operations").glob("[a-z]*.md")}
    index = ROOT / "docs/operations/README.md"
    missing = {name for name in pages if name not in index.read_text()}
    assert not missing, "add a line for each to docs/operations/README.md"
