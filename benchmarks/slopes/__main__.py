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
from benchmarks.slopes.messages import codec_slopes, ledger_slopes
from benchmarks.slopes.state import adapter_slopes, fleet_slopes, permit_slopes

RESULTS = Path(__file__).resolve().parent.parent / "slopes.json"
PARTS = [
    adapter_slopes,
    fleet_slopes,
    permit_slopes,
    decision_slopes,
    configuration_slopes,
    codec_slopes,
    call_slopes,
    ledger_slopes,
    memory_slopes,
    entry_slopes,
]


class SlopeRun(msgspec.Struct, frozen=True, kw_only=True):
    """Hold all slopes of one run."""

    time: str
    python: str
    load_average: float
    slopes: list[Slope]


def table_line(slope: Slope) -> str:
    """Return the table row of one slope."""
    sizes = ", ".join(f"{size:,.0f}" for size in slope.sizes)
    each = f"{slope.slope:,.3g} {slope.cost_unit}/{slope.size_unit}"
    fixed = f"{slope.intercept:,.3g} {slope.cost_unit}"
    worst = f"{slope.worst_residual:,.3g} {slope.cost_unit}"
    cells = [slope.name, sizes, each, fixed, f"{slope.r_squared:.4f}", worst]
    return "| " + " | ".join(cells) + " |"


def table(slopes: list[Slope]) -> str:
    """Return all slopes as a table."""
    head = "| cost | sizes | slope | at zero | R² | worst residual |"
    rows = [table_line(slope) for slope in slopes]
    return "\n".join([head, "| --- | --- | --- | --- | --- | --- |", *rows])


def main() -> int:
    """Run every part."""
    slopes: list[Slope] = []
    for part in PARTS:
        print(f"measuring: {part.__name__}", file=sys.stderr)
        slopes.extend(part())
    run = SlopeRun(
        time=datetime.now(UTC).isoformat(timespec="seconds"),
        python=platform.python_version(),
        load_average=round(os.getloadavg()[0], 2),
        slopes=slopes,
    )
    RESULTS.write_bytes(msgspec.json.format(msgspec.json.encode(run), indent=1) + b"\n")
    print(table(slopes))
    return 0


if __name__ == "__main__":
    sys.exit(main())
