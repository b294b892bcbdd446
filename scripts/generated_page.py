"""Write a documentation page with generated parts, or check the committed page."""

import argparse
import sys
from collections.abc import Callable
from pathlib import Path


def write_or_check(page: Path, make: Callable[[str], str], description: str) -> int:
    """Write a page, or with `--check` compare it with the committed one."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--check", action="store_true")
    arguments = parser.parse_args()
    committed = page.read_text() if page.exists() else ""
    fresh = make(committed)
    if not arguments.check:
        page.write_text(fresh)
        return 0
    if committed == fresh:
        return 0
    print(f"{page.name} is not as generated: run make tables", file=sys.stderr)
    return 1
