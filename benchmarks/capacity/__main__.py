"""Write the capacity page's tables from the committed runs."""

import sys
from pathlib import Path

import msgspec
from scripts.generated_page import write_or_check

from benchmarks.capacity.figures import LIMITS, PARTS, Figure, Slopes
from benchmarks.slopes.__main__ import RESULTS, SlopeRun, table
from benchmarks.slopes.fit import Slope

ROOT = Path(__file__).resolve().parent.parent.parent
TOGETHER = ROOT / "benchmarks" / "together.json"
PAGE = ROOT / "docs" / "CAPACITY.md"
BEGIN = "<!-- begin: {} -->\n"
END = "<!-- end: {} -->\n"
WHOLE_NUMBERS_FROM = 100


def number(value: float) -> str:
    """Return a number with three digits, or without decimals if it is large."""
    return f"{value:,.0f}" if value >= WHOLE_NUMBERS_FROM else f"{value:.3g}"


def figure_table(figures: list[Figure]) -> str:
    """Return figures as a table."""
    rows = [
        f"| {item.role} | {item.what} | {item.how} | {number(item.value)} {item.unit} |"
        for item in figures
    ]
    head = "| role | what | from | computed |\n| --- | --- | --- | --- |"
    return "\n".join([head, *rows])


def budget_table(figures: list[Figure]) -> str:
    """Return what a node spends on control, line by line and in all."""
    rows = ["| budget | line | computed | of the budget |", "| --- | --- | --- | --- |"]
    for budget, limit in LIMITS.items():
        lines = [item for item in figures if item.budget is budget]
        for item in sorted(lines, key=lambda item: item.value, reverse=True):
            share = item.value / limit
            rows.append(
                f"| {budget.value} | {item.role}: {item.what} "
                f"| {number(item.value)} {item.unit} | {share:,.2f} |"
            )
        total = sum(item.value for item in lines)
        verdict = "kept" if total <= limit else "broken"
        rows.append(
            f"| {budget.value} | **in all, {verdict}** "
            f"| {number(total)} of {number(limit)} {budget.value} "
            f"| {total / limit:,.2f} |"
        )
    return "\n".join(rows)


def replaced(text: str, name: str, content: str) -> str:
    """Return a page with the content between two markers replaced."""
    begin, end = BEGIN.format(name), END.format(name)
    before, _, rest = text.partition(begin)
    _, found, after = rest.partition(end)
    if not found:
        raise ValueError(f"{PAGE.name} has no markers for {name}")
    return f"{before}{begin}\n{content}\n\n{end}{after}"


class TogetherRun(msgspec.Struct, frozen=True):
    """Hold what is used of the run of `benchmarks/together.py`."""

    time: str
    load_average: float
    slopes: list[Slope]


def nodes_table() -> str:
    """Return what one node spends by the number of nodes."""
    if not TOGETHER.exists():
        return "Not run yet."
    run = msgspec.json.decode(TOGETHER.read_bytes(), type=TogetherRun)
    heading = f"Run of {run.time}, load average {run.load_average}, shared machine."
    return f"{heading}\n\n{table(run.slopes)}"


def page(text: str) -> str:
    """Return the page as the committed runs make it."""
    run = msgspec.json.decode(RESULTS.read_bytes(), type=SlopeRun)
    slopes = Slopes(run)
    figures = [figure for part in PARTS for figure in part(slopes)]
    heading = (
        f"Run of {run.time}, Python {run.python}, load average {run.load_average} "
        "on a shared machine of 10 cores."
    )
    text = replaced(text, "slopes", f"{heading}\n\n{table(run.slopes)}")
    text = replaced(text, "nodes", nodes_table())
    text = replaced(text, "budget", budget_table(figures))
    return replaced(text, "figures", figure_table(figures))


def main() -> int:
    """Write the page, or with `--check` compare it with the committed one."""
    return write_or_check(PAGE, page, __doc__)


if __name__ == "__main__":
    sys.exit(main())
