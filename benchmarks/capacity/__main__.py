"""Write the capacity page's tables from the committed runs."""

import sys
from pathlib import Path

import msgspec
from scripts.generated_page import write_or_check

from benchmarks.capacity.figures import BUDGET_LIMITS, FIGURE_GROUPS, Figure, Slopes
from benchmarks.slopes.__main__ import RESULTS, SlopeRun, slope_table
from benchmarks.slopes.fit import Slope

ROOT = Path(__file__).resolve().parent.parent.parent
TOGETHER = ROOT / "benchmarks" / "together.json"
TOGETHER_DEMAND = ROOT / "benchmarks" / "together_demand.json"
PAGE = ROOT / "docs" / "CAPACITY.md"
BEGIN = "<!-- begin: {} -->\n"
END = "<!-- end: {} -->\n"
MIN_VALUE_WITHOUT_DECIMALS = 100


def format_number(value: float) -> str:
    """Format a number with three significant digits, or as an integer if large."""
    return f"{value:,.0f}" if value >= MIN_VALUE_WITHOUT_DECIMALS else f"{value:.3g}"


def figure_table(figures: list[Figure]) -> str:
    """Return figures as a Markdown table."""
    rows = [
        f"| {item.role} | {item.what} | {item.derivation} "
        f"| {format_number(item.value)} {item.unit} |"
        for item in figures
    ]
    head = "| role | what | from | computed |\n| --- | --- | --- | --- |"
    return "\n".join([head, *rows])


def budget_table(figures: list[Figure]) -> str:
    """Return the control overhead of a node per budget, by line and in total."""
    rows = ["| budget | line | computed | of the budget |", "| --- | --- | --- | --- |"]
    for budget, limit in BUDGET_LIMITS.items():
        lines = [item for item in figures if item.budget is budget]
        for item in sorted(lines, key=lambda item: item.value, reverse=True):
            share = item.value / limit
            rows.append(
                f"| {budget.value} | {item.role}: {item.what} "
                f"| {format_number(item.value)} {item.unit} | {share:,.2f} |"
            )
        total = sum(item.value for item in lines)
        verdict = "kept" if total <= limit else "broken"
        rows.append(
            f"| {budget.value} | **in all, {verdict}** "
            f"| {format_number(total)} of {format_number(limit)} {budget.value} "
            f"| {total / limit:,.2f} |"
        )
    return "\n".join(rows)


def replace_section(text: str, name: str, content: str) -> str:
    """Return a page with the content between two markers replaced."""
    begin, end = BEGIN.format(name), END.format(name)
    before, _, rest = text.partition(begin)
    _, found, after = rest.partition(end)
    if not found:
        raise ValueError(f"{PAGE.name} has no markers for {name}")
    return f"{before}{begin}\n{content}\n\n{end}{after}"


class TogetherRun(msgspec.Struct, frozen=True):
    """The fields that the page uses from a run of `benchmarks/together.py`."""

    time: str
    load_average: float
    slopes: list[Slope]


def nodes_table(path: Path) -> str:
    """Return the resource use of one node by the number of nodes."""
    run = msgspec.json.decode(path.read_bytes(), type=TogetherRun)
    heading = f"Run of {run.time}, load average {run.load_average:.1f}, shared machine."
    return f"{heading}\n\n{slope_table(run.slopes)}"


def render_page(text: str) -> str:
    """Return the page with its tables computed from the committed runs."""
    run = msgspec.json.decode(RESULTS.read_bytes(), type=SlopeRun)
    slopes = Slopes(run)
    figures = [
        figure for group_figures in FIGURE_GROUPS for figure in group_figures(slopes)
    ]
    heading = (
        f"Run of {run.time}, Python {run.python}, load average {run.load_average} "
        "on a shared machine of 10 cores."
    )
    text = replace_section(text, "slopes", f"{heading}\n\n{slope_table(run.slopes)}")
    text = replace_section(text, "nodes", nodes_table(TOGETHER))
    text = replace_section(text, "nodes with demand", nodes_table(TOGETHER_DEMAND))
    text = replace_section(text, "budget", budget_table(figures))
    return replace_section(text, "figures", figure_table(figures))


def main() -> int:
    """Write the page, or with `--check` compare it with the committed one."""
    return write_or_check(PAGE, render_page, __doc__)


if __name__ == "__main__":
    sys.exit(main())
