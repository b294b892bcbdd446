"""Generate the table of error kinds in the callers' documentation."""

import re
import sys
from pathlib import Path

from magnoliatrail.errors import ANSWERS, ErrorKind
from scripts.generated_page import write_or_check

PAGE = Path(__file__).resolve().parent.parent / "docs" / "callers.md"
TABLE = re.compile(r"^\| kind \|.*?(?=^$)", re.DOTALL | re.MULTILINE)
HEAD = """| kind | status | outcome | retry after | what to do |
| --- | --- | --- | --- | --- |
"""


def row(kind: ErrorKind) -> str:
    """Return the table row of one error kind."""
    rule = ANSWERS[kind]
    after = f"{rule.retry_after.total_seconds():g} s" if rule.retry_after else "no"
    cells = [f"`{kind.value}`", str(rule.status), f"`{rule.outcome.value}`", after]
    return "| " + " | ".join([*cells, rule.remedy]) + " |\n"


def page(text: str) -> str:
    """Return the page with an up-to-date table."""
    table = HEAD + "".join(row(kind) for kind in ErrorKind)
    return TABLE.sub(lambda match: table, text, count=1)


def main() -> int:
    """Write the page, or with `--check` compare it with the committed one."""
    return write_or_check(PAGE, page, __doc__)


if __name__ == "__main__":
    sys.exit(main())
