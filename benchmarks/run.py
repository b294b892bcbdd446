"""Run the routing and placement benchmark: `python -m benchmarks.run`."""

import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import click
import msgspec

from benchmarks.matrix import Cell, CellResult, all_cells, run_cell, shift_cells
from benchmarks.targets import PRODUCT, Check, all_checks, shift_checks

RESULTS = Path(__file__).parent / "results.json"
WORKER_PROCESSES = 2
FIRST_SEED = 1


def run_product(cell: Cell) -> CellResult:
    """Run only the product's own strategy on a cell."""
    return run_cell(cell, (PRODUCT,))


def table_row(result: CellResult, name: str) -> str:
    """Return the table row of one strategy in one cell."""
    measures = result.measures[name]
    stall = measures.stalls["interactive"]
    batch = measures.stalls["batch"]
    fill = "-" if measures.batch_fill is None else f"{measures.batch_fill:.2f}"
    return (
        f"{result.cell!s:56} {name:20} {measures.loads_per_request:5.3f} "
        f"{measures.loads_over_bound:5.2f} {stall.mean:7.3f} {stall.p50:7.3f} "
        f"{stall.p95:7.3f} {stall.p99:7.3f} {batch.mean:7.3f} {fill:>5} "
        f"{measures.refused:5d} {measures.good_rate / result.capacity:5.2f} "
        f"{measures.batch_jobs_done}/{measures.batch_jobs}"
    )


def print_table(results: list[CellResult]) -> None:
    """Print the measures of every run, stalls in seconds."""
    header = (
        f"{'trace':56} {'strategy':20} loads bound    mean     p50     p95     p99"
        "   batch  fill refus  good batch jobs"
    )
    click.echo(header)
    for result in results:
        for name in result.measures:
            click.echo(table_row(result, name))


def print_missed_checks(checks: list[Check]) -> int:
    """Print the checks that failed, and return their number."""
    missed = [check for check in checks if not check.met]
    for check in missed:
        click.echo(
            f"missed: {check.where} {check.what} {check.figure:.3f}, "
            f"bound {check.bound:.3f}"
        )
    click.echo(f"{len(checks) - len(missed)} of {len(checks)} checks met")
    return len(missed)


@click.command()
@click.option("--requests", default=1500, show_default=True, help="For each trace.")
@click.option(
    "--seeds", default=4, show_default=True, help="For recovery from a shift."
)
@click.option("--output", default=RESULTS, type=click.Path(path_type=Path))
def main(requests: int, seeds: int, output: Path) -> None:
    """Run every cell, print the table, write the results and check the targets."""
    cells = list(all_cells(requests, FIRST_SEED))
    recovery_cells = list(
        shift_cells(requests, range(FIRST_SEED + 1, FIRST_SEED + seeds))
    )
    with ProcessPoolExecutor(WORKER_PROCESSES) as pool:
        results = list(pool.map(run_cell, cells))
        recoveries = list(pool.map(run_product, recovery_cells))
    print_table(results)
    checks = all_checks(results)
    checks.extend(shift_checks([*results, *recoveries]))
    document = {"results": results, "checks": checks}
    encoded = msgspec.json.encode(document)
    output.write_bytes(msgspec.json.format(encoded, indent=1) + b"\n")
    sys.exit(1 if print_missed_checks(checks) else 0)


if __name__ == "__main__":
    main()
