"""The expected test failures that KNOWN-RED.txt lists."""

from dataclasses import dataclass
from pathlib import Path

KNOWN_RED_FILE = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"


@dataclass(frozen=True)
class KnownRed:
    """A test that fails because of a fault that is not fixed yet."""

    test: str
    command: str
    seen: str
    issue: str


def read_known_red(text: str) -> list[KnownRed]:
    """Parse the entries, each four lines of `name: value` after a blank line.

    Raises KeyError if an entry lacks a line.
    """
    blocks = [block for block in text.split("\n\n") if block.startswith("test:")]
    return [entry_of(block) for block in blocks]


def entry_of(block: str) -> KnownRed:
    """Parse one entry."""
    pairs = [line.partition(":") for line in block.strip().splitlines()]
    fields = {name.strip(): value.strip() for name, _, value in pairs}
    return KnownRed(
        test=fields["test"],
        command=fields["command"],
        seen=fields["seen"],
        issue=fields["issue"],
    )


def known_red() -> list[KnownRed]:
    """Read the entries of KNOWN-RED.txt."""
    return read_known_red(KNOWN_RED_FILE.read_text()) if KNOWN_RED_FILE.exists() else []
