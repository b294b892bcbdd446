"""The tests that are expected to fail, as KNOWN-RED.txt lists them."""

from dataclasses import dataclass
from pathlib import Path

LIST = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"


@dataclass(frozen=True)
class KnownRed:
    """Name one test that fails for a fault not mended yet."""

    test: str
    command: str
    seen: str
    issue: str


def read_known_red(text: str) -> list[KnownRed]:
    """Read the entries, each four lines of `name: value` after a blank line.

    Raises KeyError if an entry lacks a line.
    """
    blocks = [block for block in text.split("\n\n") if block.startswith("test:")]
    return [entry_of(block) for block in blocks]


def entry_of(block: str) -> KnownRed:
    """Read one entry."""
    pairs = [line.partition(":") for line in block.strip().splitlines()]
    fields = {name.strip(): value.strip() for name, _, value in pairs}
    return KnownRed(
        test=fields["test"],
        command=fields["command"],
        seen=fields["seen"],
        issue=fields["issue"],
    )


def known_red() -> list[KnownRed]:
    """Read the list of the repository."""
    return read_known_red(LIST.read_text()) if LIST.exists() else []
