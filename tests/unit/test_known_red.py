import ast

import pytest

from tests.known_red import KNOWN_RED_FILE, known_red, read_known_red

ROOT = KNOWN_RED_FILE.parent


def test_an_entry_is_read():
    text = "Intro.\n\ntest: a::b\ncommand: pytest a::b\nseen: 7: too many\nissue: 4\n"
    (entry,) = read_known_red(text)
    assert (entry.test, entry.seen, entry.issue) == ("a::b", "7: too many", "4")


def test_an_entry_without_its_issue_is_refused():
    with pytest.raises(KeyError):
        read_known_red("test: a::b\ncommand: c\nseen: s\n")


def test_every_entry_names_a_test_that_exists():
    for entry in known_red():
        file, _, name = entry.test.partition("::")
        names = {
            node.name
            for node in ast.walk(ast.parse((ROOT / file).read_text()))
            if isinstance(node, ast.FunctionDef)
        }
        assert name.partition("[")[0] in names, entry.test
