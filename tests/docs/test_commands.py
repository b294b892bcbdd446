"""The commands and make targets in the documentation exist."""

import re
import shlex

import click
import pytest

from magnoliatrail.cli.main import main
from tests.docs.pages import PAGES, ROOT, code_lines, page_name

PROGRAM = re.compile(r"^(?:\S*/)?magnoliatrail$")
WORD = re.compile(r"^[a-z][a-z-]*$")
TARGET = re.compile(r"^make ([a-z][a-z-]*)", re.MULTILINE)


def words_of(line: str) -> list[str]:
    """Return the arguments of `magnoliatrail` in a shell line, empty for others."""
    try:
        words = shlex.split(line, comments=True)
    except ValueError:
        return []
    if words and words[0] == "$":
        words = words[1:]
    if not words or not PROGRAM.match(words[0]):
        return []
    return words[1:]


def command_error(words: list[str]) -> str:
    """Return why the arguments of a command are invalid, empty if they are valid."""
    command: click.Command = main
    rest = list(words)
    while isinstance(command, click.Group) and rest and WORD.match(rest[0]):
        name = rest.pop(0)
        found = command.commands.get(name)
        if found is None:
            return f"no command {name!r}"
        command = found
    known = {flag for option in command.params for flag in option.opts}
    known |= {flag for option in command.params for flag in option.secondary_opts}
    flags = [word.partition("=")[0] for word in rest if word.startswith("--")]
    unknown = [flag for flag in flags if flag not in known | {"--help"}]
    return f"no flag {unknown[0]}" if unknown else ""


def test_the_checker_reports_unknown_commands_and_flags():
    assert command_error(["no-such-command"])
    assert command_error(["serve", "--no-such-flag"])
    assert not command_error(["standin", "all", "--first-port", "9100"])
    assert words_of(".venv/bin/magnoliatrail status --peer-url x") == [
        "status",
        "--peer-url",
        "x",
    ]


@pytest.mark.parametrize("page", PAGES, ids=page_name)
def test_every_command_on_a_page_exists(page):
    errors = {
        line.strip(): command_error(words_of(line))
        for line in code_lines(page)
        if words_of(line)
    }
    assert not {line: text for line, text in errors.items() if text}


@pytest.mark.parametrize("page", PAGES, ids=page_name)
def test_every_make_target_on_a_page_exists(page):
    makefile = (ROOT / "Makefile").read_text()
    targets = set(re.findall(r"^([a-z][a-z-]*):", makefile, re.MULTILINE))
    named = {name for line in code_lines(page) for name in TARGET.findall(line)}
    assert not named - targets, (
        f"{page_name(page)} names make targets that do not exist"
    )
