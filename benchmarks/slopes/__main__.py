"""Measure every slope, print a table and write it as JSON."""

import os
import platform
import sys
from datetime import UTC, datetime
from pathlib import Path

import msgspec

from benchmarks.slopes.calls import call_slopes
from benchmarks.slopes.decisions import configuration_slopes, decision_slopes
from benchmarks.slopes.entry import entry_slopes, memory_slopes
from benchmarks.slopes.fit import Slope
from benchmarks.slopes.messages import codec_slopes, demand_slopes, ledger_slopes
from benchmarks.slopes.state import adapter_slopes, fleet_slopes, permit_slopes

RESULTS = Path(__file__).resolve().parent.parent / "slopes.json"
MEASUREMENTS = [
    adapter_slopes,
    fleet_slopes,
    permit_slopes,
    decision_slopes,
    configuration_slopes,
    codec_slopes,
    demand_slopes,
    call_slopes,
    ledger_slopes,
    memory_slopes,
    entry_slopes,
]


class SlopeRun(msgspec.Struct, frozen=True, kw_only=True):
    """All slopes of one run."""

    time: str
    python: str
    load_average: float
    slopes: list[Slope]


def slope_row(slope: Slope) -> str:
    """Return the table row of one slope."""
    sizes = ", ".join(f"{size:,.0f}" for size in slope.sizes)
    per_unit = f"{slope.slope:,.3g} {slope.cost_unit}/{slope.size_unit}"
    fixed = f"{slope.intercept:,.3g} {slope.cost_unit}"
    worst_residual = f"{slope.worst_residual:,.3g} {slope.cost_unit}"
    cells = [
        slope.name,
        sizes,
        per_unit,
        fixed,
        f"{slope.r_squared:.4f}",
        worst_residual,
    ]
    return "| " + " | ".join(cells) + " |"


def slope_table(slopes: list[Slope]) -> str:
    """Return slopes as a Markdown table."""
    head = "| cost | sizes | slope | at zero | R² | worst residual |"
    rows = [slope_row(slope) for slope in slopes]
    return "\n".join([head, "| --- | --- | --- | --- | --- | --- |", *rows])


def main() -> int:
    """Run every measurement, print the table and write the JSON."""
    slopes: list[Slope] = []
    for measure in MEASUREMENTS:
        print(f"measuring: {measure.__name__}", file=sys.stderr)
        slopes.extend(measure())
    run = SlopeRun(
        time=datetime.now(UTC).isoformat(timespec="seconds"),
        python=platform.python_version(),
        load_average=round(os.getloadavg()[0], 2),
        slopes=slopes,
    )
    RESULTS.write_bytes(msgspec.json.format(msgspec.json.encode(run), indent=1) + b"\n")
    print(slope_table(slopes))
    return 0


if __name__ == "__main__":
    sys.exit(main())
